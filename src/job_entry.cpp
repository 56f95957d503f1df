#include "job_entry.h"

#include "clients.h"
#include "fleet_owner.h"
#include "http.h"
#include "job_front.h"
#include "metrics.h"
#include "share_owner.h"

#include <boost/asio/signal_set.hpp>

#include <charconv>
#include <random>

namespace briarvane
{

namespace
{

constexpr Duration LeaseTtl{2'000'000};    // of membership and ownership; a takeover begins this late
constexpr Duration LeaseRenewal{550'000};  // three tries within the lease
constexpr Duration SettlePause{450'000};   // all entries start within 0.3 s; the first must not take every share
constexpr Duration AssignPeriod{200'000};
constexpr Duration RankDelay{500'000};         // the next entry tries when the one before it did not
constexpr Duration ListPeriod{700'000};        // of executors; a leaving one gets no new work after 2 s
constexpr Duration RebalancePause{4'000'000};  // between two shares that are handed over
constexpr double RebalanceGain = 1.5;          // a handover costs a fraction of a second of starts
constexpr double SmallestCpuShare = 0.01;
constexpr std::string_view ServingState = "serving ";  // followed by the entry's processor share
constexpr Duration StoreTimeout{700'000};
constexpr Duration NewsPause{120'000};      // joins the news of several shares into one call
constexpr Duration StatePeriod{5'000'000};  // of the line with the counters of the store
constexpr Duration PlanWatch{1'500'000};    // a silent connection is noticed before a change must be in force
constexpr int ExecutorConnections = 3;      // one waits for ends, two carry starts and stops
constexpr Duration StopLead{2'600'000};     // the balancer needs two looks, a second apart, to turn away
constexpr Duration StopSlack{700'000};      // the process is gone this long before it would be killed

struct OwnerMark
{
    std::string holder;  // entry name and start id
    std::uint64_t revision = 0;
    TimePoint vacantSince;  // default: owned
};

std::string startId()
{
    std::random_device device;
    return std::to_string((static_cast<std::uint64_t>(device()) << 32U) | device());
}

/// Parts of the daemon and their wiring; everything runs on the I/O thread.
class JobEntry
{
public:
    JobEntry(boost::asio::io_context &io, const JobEntrySettings &settings);
    int run();

private:
    using Client = platform::StoreClient;

    // Settings of the operators
    void operatorItem(const StoreItem &item);

    // Membership and ownership
    void renew();
    void grant();
    void enterMembership();
    void memberItem(const StoreItem &item);
    std::vector<std::string> neededShares() const;
    struct Candidate
    {
        double cpuShare = 1;
        int owned = 0;
    };
    std::map<std::string, Candidate> candidates() const;
    int rankFor(const std::string &share) const;
    void assign();
    void acquire(const std::string &share);
    void acquireAfterMark(const std::string &share, keys::Predecessor predecessor);
    void own(const std::string &share, std::uint64_t fencingToken, keys::Predecessor predecessor, TimePoint provenAt);
    void dropOwner(std::string share, std::string_view why);
    void release(std::string share);
    void rebalance();
    int ownedCount() const;

    // Fleet
    void watchFleet();
    void fleetItem(const StoreItem &item);
    void updateVacating();
    static MaintenanceResult meaningOf(const std::string &instance, platform::InstanceOrderResult result);
    FleetOwnerHooks fleetHooks();
    ShareOwnerHooks shareHooks();

    // Executors
    void listExecutors(const std::string &after);

    // Callers
    void handle(const std::shared_ptr<HttpExchange> &exchange);
    void submit(const std::shared_ptr<HttpExchange> &exchange, const Queue &queue, const std::string &id);
    void reply(const std::shared_ptr<HttpExchange> &exchange, int status, const std::string &body);
    void refuse(const std::shared_ptr<HttpExchange> &exchange, const FrontReply &result);
    void handleReadiness(const std::shared_ptr<HttpExchange> &exchange);
    std::string exposition();
    void summarize();

    // Stop
    void waitSignal();
    void beginStop();

    void later(Duration pause, std::function<void()> function)
    {
        m_timers.at(steadyNow() + pause, std::move(function));
    }

    boost::asio::io_context &m_io;
    JobEntrySettings m_settings;
    std::string m_startId = startId();
    Timers m_timers;
    Client m_store;
    platform::ExecutorClient m_executors;
    platform::MachineClient m_machines;
    JobFront<Client> m_front;
    StoreView<Client> m_operator;
    StoreView<Client> m_membership;
    std::optional<StoreView<Client>> m_vacateView;  // while this entry owns a share
    std::optional<StoreView<Client>> m_newsView;    // while it owns the fleet
    HttpServer m_callers;
    HttpServer m_readiness;
    std::optional<HttpServer> m_metricsServer;
    boost::asio::signal_set m_signals;
    Metrics m_metrics;

    Plan m_plan;
    std::map<std::int64_t, MaintenanceWave> m_waves;
    std::uint64_t m_lease = 0;
    TimePoint m_enteredAt;
    bool m_entered = false;
    bool m_stopping = false;
    std::map<std::string, std::string> m_entries;  // name to state
    std::map<std::string, OwnerMark> m_owners;     // by share
    std::set<std::string> m_acquiring;
    std::map<std::string, std::unique_ptr<ShareOwner<Client>>> m_shares;
    std::unique_ptr<FleetOwner<Client>> m_fleet;
    TimePoint m_rebalancedAt;
    std::vector<ExecutorRecord> m_listed;  // being read
    std::vector<ExecutorRecord> m_executorList;
    bool m_haveExecutors = false;
    std::set<std::string> m_known;  // executors with an endpoint
    std::unordered_set<std::string> m_vacating;
    std::map<std::string, std::set<std::string>> m_cleared;  // by share
    std::map<std::string, PoolLoad> m_loads;                 // news by share
};

HttpServerSettings serverSettings(const Endpoint &endpoint, std::size_t connections)
{
    HttpServerSettings server;
    server.address = endpoint.address;
    server.port = endpoint.port;
    server.bodyLimit = 262'144;  // of the operators' configuration
    server.bodiesLimit = 32UL << 20U;
    server.connections = connections;
    server.idleTimeout = Duration{60'000'000};
    server.readTimeout = Duration{5'000'000};
    return server;
}

JobEntry::JobEntry(boost::asio::io_context &io, const JobEntrySettings &settings)
    : m_io(io)
    , m_settings(settings)
    , m_timers(io)
    , m_store(io, settings.store.address, settings.store.port)
    , m_executors(io)
    , m_machines(io, settings.machines.address, settings.machines.port, settings.name)
    , m_front(m_store, m_timers, {})
    , m_operator(
          m_store, m_timers, std::string(platform::OperatorPrefix), {.watchWait = PlanWatch},
          [this](const StoreItem &item) { operatorItem(item); }, [] {})
    , m_membership(
          m_store, m_timers, keys::Membership, {}, [this](const StoreItem &item) { memberItem(item); }, [] {})
    , m_callers(io, serverSettings(settings.listen, 3000), [this](const auto &exchange) { handle(exchange); })
    , m_readiness(io, serverSettings(settings.readiness, 64),
                  [this](const auto &exchange) { handleReadiness(exchange); })
    , m_signals(io, SIGTERM, SIGINT, SIGHUP)
{
    if (settings.metrics) {
        m_metricsServer.emplace(io, serverSettings(*settings.metrics, 16),
                                [this](const auto &exchange) { handleReadiness(exchange); });
    }
}

int JobEntry::run()
{
    for (const auto &[name, server] : {std::pair{"callers", &m_callers}, std::pair{"readiness", &m_readiness},
                                       std::pair{"metrics", m_metricsServer ? &*m_metricsServer : nullptr}}) {
        if (server == nullptr) {
            continue;
        }
        if (const auto port = server->open(); !port) {
            logEvent(LogLevel::Error, "listen-failed", {{"port", name}, {"reason", port.error().message}});
            return 1;
        }
    }
    waitSignal();
    m_operator.start();
    m_membership.start();
    grant();
    assign();
    listExecutors({});
    summarize();
    logEvent(LogLevel::Info, "entry-started",
             {{"entry", m_settings.name}, {"start_id", m_startId}, {"listen", formatEndpoint(m_settings.listen)}});
    m_io.run();
    logEvent(LogLevel::Info, "entry-ended", {{"entry", m_settings.name}});
    return 0;
}

// Settings of the operators -------------------------------------------------------------------------------------------

void JobEntry::operatorItem(const StoreItem &item)
{
    if (item.removed) {
        return;
    }
    if (item.key == platform::ConfigKey) {
        auto plan = platform::decodePlan(item.value);
        if (!plan) {
            logEvent(LogLevel::Error, "configuration-unreadable", {{"why", plan.error().message}});
            return;
        }
        if (plan.value().version < m_plan.version) {
            return;  // what is in force never goes back
        }
        m_plan = std::move(plan.value());
        logEvent(LogLevel::Info, "configuration-in-force",
                 {{"version", std::to_string(m_plan.version)}, {"queues", std::to_string(m_plan.queues.size())}});
        if (m_fleet) {
            std::set<std::string> spare;
            for (const PooledService &service : m_plan.services) {
                if (service.spare) {
                    spare.insert(service.name);
                }
            }
            m_fleet->setSparePools(std::move(spare));
        }
        return;
    }
    if (item.key.starts_with(platform::WavePrefix)) {
        const auto wave = platform::decodeWave(item.value);
        if (!wave) {
            logEvent(LogLevel::Error, "wave-unreadable", {{"key", item.key}});
            return;
        }
        logEvent(LogLevel::Info, "wave-learned",
                 {{"wave", std::to_string(wave.value().id)},
                  {"instances", std::to_string(wave.value().instances.size())},
                  {"at_once", std::to_string(wave.value().atOnce)}});
        m_waves[wave.value().id] = wave.value();
        if (m_fleet) {
            m_fleet->addWave(wave.value());
        }
    }
}

// Membership and ownership --------------------------------------------------------------------------------------------

void JobEntry::grant()
{
    m_store.grantLease(LeaseTtl, [this](const StoreReply &granted) {
        m_front.note(granted);
        if (granted.outcome != StoreOutcome::Done || granted.lease == 0) {
            later(LeaseRenewal / 2, [this] { grant(); });
            return;
        }
        m_lease = granted.lease;
        enterMembership();
    });
}

void JobEntry::enterMembership()
{
    StoreTxn txn;
    txn.writes.push_back({keys::entry(m_settings.name),
                          m_stopping ? "stopping" : std::string(ServingState) + std::to_string(m_settings.cpuShare),
                          m_lease});
    m_store.commit(txn, StoreTimeout, [this](const StoreReply &entered) {
        m_front.note(entered);
        if (entered.outcome == StoreOutcome::NotFound) {  // the lease lapsed meanwhile
            grant();
            return;
        }
        if (entered.outcome != StoreOutcome::Done) {
            later(LeaseRenewal / 2, [this] { enterMembership(); });
            return;
        }
        if (!m_entered) {
            m_enteredAt = steadyNow();
            m_entered = true;
            logEvent(LogLevel::Info, "store-reached", {{"lease", std::to_string(m_lease)}});
        }
        later(LeaseRenewal, [this] { renew(); });
    });
}

void JobEntry::renew()
{
    m_store.renewLease(m_lease, [this](const StoreReply &renewed) {
        m_front.note(renewed);
        if (renewed.outcome == StoreOutcome::NotFound) {
            logEvent(LogLevel::Warn, "lease-lapsed", {{"lease", std::to_string(m_lease)}});
            m_entered = false;
            grant();
            return;
        }
        later(renewed.outcome == StoreOutcome::Done ? LeaseRenewal : LeaseRenewal / 3, [this] { renew(); });
    });
}

void JobEntry::memberItem(const StoreItem &item)
{
    if (item.key.starts_with(keys::Entries)) {
        const std::string name = item.key.substr(keys::Entries.size());
        if (item.removed) {
            m_entries.erase(name);
        } else {
            m_entries[name] = item.value;
        }
        return;
    }
    if (!item.key.starts_with(keys::Owners)) {
        return;
    }
    const std::string share = item.key.substr(keys::Owners.size());
    OwnerMark &mark = m_owners[share];
    mark.revision = item.revision;
    mark.holder = item.removed ? std::string() : item.value;
    mark.vacantSince = item.removed ? steadyNow() : TimePoint{};
}

std::vector<std::string> JobEntry::neededShares() const
{
    std::vector<std::string> shares{keys::FleetShare};
    for (const PooledService &service : m_plan.services) {
        shares.push_back(service.name);
    }
    return shares;
}

int JobEntry::ownedCount() const
{
    return static_cast<int>(m_shares.size()) + (m_fleet ? 1 : 0);
}

/// Serving entries with their processor share and the shares that they own.
std::map<std::string, JobEntry::Candidate> JobEntry::candidates() const
{
    std::map<std::string, Candidate> serving;
    for (const auto &[name, state] : m_entries) {
        if (state.starts_with(ServingState)) {
            Candidate &candidate = serving[name];
            const std::string_view share = std::string_view(state).substr(ServingState.size());
            std::from_chars(share.data(), share.data() + share.size(), candidate.cpuShare);
            candidate.cpuShare = std::clamp(candidate.cpuShare, SmallestCpuShare, 64.0);
        }
    }
    for (const auto &[share, mark] : m_owners) {
        const auto place = serving.find(mark.holder.substr(0, mark.holder.find(' ')));
        if (place != serving.end()) {
            ++place->second.owned;
        }
    }
    return serving;
}

/// Place of this entry among those that should own the share: least loaded with it first, then by hash. -1: not at all.
int JobEntry::rankFor(const std::string &share) const
{
    const auto serving = candidates();
    if (!serving.contains(m_settings.name)) {
        return -1;
    }
    const auto key = [&](const std::string &name) {
        const Candidate &candidate = serving.at(name);
        return std::pair((candidate.owned + 1) / candidate.cpuShare, std::hash<std::string>{}(name + '/' + share));
    };
    const auto own = key(m_settings.name);
    int rank = 0;
    for (const auto &[name, candidate] : serving) {
        rank += key(name) < own ? 1 : 0;
    }
    return rank;
}

void JobEntry::assign()
{
    const TimePoint now = steadyNow();
    if (m_entered && !m_stopping && m_membership.complete() && m_plan.version >= 0 && now - m_enteredAt > SettlePause) {
        for (const std::string &share : neededShares()) {
            OwnerMark &mark = m_owners[share];
            const std::string self = m_settings.name + ' ';
            const bool formerSelf = mark.holder.starts_with(self) && mark.holder != self + m_startId;
            if (!mark.holder.empty() && !formerSelf) {
                continue;
            }
            if (mark.vacantSince == TimePoint{}) {
                mark.vacantSince = now;
            }
            const int rank = rankFor(share);
            if (rank >= 0 && now - mark.vacantSince >= rank * RankDelay && !m_acquiring.contains(share)) {
                acquire(share);
                break;  // the next one after this has been seen, so that shares spread
            }
        }
        rebalance();
    }
    later(AssignPeriod / 4, [this] { assign(); });
}

void JobEntry::acquire(const std::string &share)
{
    m_acquiring.insert(share);
    m_store.read(keys::ownerMark(share), StoreTimeout, [this, share](const StoreReply &reply) {
        if (reply.outcome == StoreOutcome::Done || reply.outcome == StoreOutcome::NotFound) {
            const bool exists = reply.outcome == StoreOutcome::Done && !reply.items.empty();
            acquireAfterMark(share,
                             !exists                                               ? keys::Predecessor::None
                                 : reply.items.front().value == keys::ReleasedMark ? keys::Predecessor::Released
                                                                                   : keys::Predecessor::Lost);
        } else {
            m_acquiring.erase(share);
        }
    });
}

void JobEntry::acquireAfterMark(const std::string &share, keys::Predecessor predecessor)
{
    const OwnerMark mark = m_owners[share];
    const std::string holder = m_settings.name + ' ' + m_startId;
    StoreTxn txn;
    txn.expected.emplace_back(keys::owner(share), mark.holder.empty() ? 0 : mark.revision);
    txn.writes.push_back({keys::owner(share), holder, m_lease});
    txn.writes.push_back({keys::ownerMark(share), holder, 0});
    const TimePoint sentAt = bootNow();
    m_store.commit(txn, StoreTimeout, [this, share, predecessor, holder, sentAt](const StoreReply &reply) {
        if (reply.outcome == StoreOutcome::Done) {
            own(share, reply.revision, predecessor, sentAt);
        } else if (reply.outcome == StoreOutcome::Unknown) {
            m_store.read(keys::owner(share), StoreTimeout,
                         [this, share, predecessor, holder, sentAt](const StoreReply &read) {
                             if (read.outcome == StoreOutcome::Done && !read.items.empty()
                                 && read.items.front().value == holder) {
                                 own(share, read.items.front().revision, predecessor, sentAt);
                             }
                             m_acquiring.erase(share);
                         });
            return;
        }
        m_acquiring.erase(share);
    });
}

void JobEntry::own(const std::string &share, std::uint64_t fencingToken, keys::Predecessor predecessor,
                   TimePoint provenAt)
{
    OwnerMark &mark = m_owners[share];
    if (mark.revision < fencingToken) {
        mark = {m_settings.name + ' ' + m_startId, fencingToken, {}};
    }
    logEvent(LogLevel::Info, "share-acquired",
             {{"share", share},
              {"token", std::to_string(fencingToken)},
              {"predecessor",
               predecessor == keys::Predecessor::None           ? "none"
                   : predecessor == keys::Predecessor::Released ? "released"
                                                                : "lost"}});
    watchFleet();
    const TimePoint now = bootNow();
    if (share == keys::FleetShare) {
        FleetOwnerSettings settings;
        settings.turnPause = m_settings.holderTurn + std::chrono::milliseconds(300);
        m_fleet = std::make_unique<FleetOwner<Client>>(
            m_store, m_timers, fencingToken, predecessor != keys::Predecessor::None, settings, fleetHooks(), now);
        std::set<std::string> spare;
        for (const PooledService &service : m_plan.services) {
            if (service.spare) {
                spare.insert(service.name);
            }
        }
        m_fleet->setSparePools(std::move(spare));
        for (const auto &[id, wave] : m_waves) {
            m_fleet->addWave(wave);
        }
        m_fleet->start();
        watchFleet();
        updateVacating();
        return;
    }
    ShareOwnerSettings settings;
    settings.scheduler.lease = m_settings.runLease;
    settings.scheduler.stopTime = m_settings.stopTime;
    settings.keepFinal = m_settings.keepFinal;
    auto owner = std::make_unique<ShareOwner<Client>>(m_store, m_timers, share, fencingToken, predecessor, settings,
                                                      shareHooks(), now, provenAt);
    owner->setVacating(m_vacating);
    if (m_haveExecutors) {
        owner->setExecutors(m_executorList);
    }
    owner->start();
    m_shares[share] = std::move(owner);
}

void JobEntry::dropOwner(std::string share, std::string_view why)
{
    logEvent(LogLevel::Warn, "share-lost", {{"share", share}, {"why", std::string(why)}});
    // Not at once: the owner is still on the stack.
    later(Duration{0}, [this, share] {
        if (share == keys::FleetShare) {
            m_fleet.reset();
            m_newsView.reset();
        } else {
            m_shares.erase(share);
        }
        OwnerMark &mark = m_owners[share];
        if (mark.holder == m_settings.name + ' ' + m_startId) {  // not yet seen to be gone: let the store decide
            m_store.read(keys::owner(share), StoreTimeout, [this, share](const StoreReply &reply) {
                OwnerMark &current = m_owners[share];
                if (reply.outcome == StoreOutcome::NotFound) {
                    current.holder.clear();
                    current.vacantSince = steadyNow();
                } else if (reply.outcome == StoreOutcome::Done && !reply.items.empty()) {
                    const bool own = reply.items.front().value == m_settings.name + ' ' + m_startId;
                    const bool running = m_shares.contains(share) || (share == keys::FleetShare && m_fleet);
                    if (own && !running) {
                        release(share);
                    } else {
                        current.holder = reply.items.front().value;
                        current.revision = reply.items.front().revision;
                    }
                } else {
                    later(StoreTimeout, [this, share] { dropOwner(share, "check-again"); });
                }
            });
        }
    });
}

/// Gives a share back, so that another entry takes it at once.
void JobEntry::release(std::string share)
{
    const bool running = share == keys::FleetShare ? m_fleet != nullptr : m_shares.contains(share);
    const std::uint64_t token = !running ? m_owners[share].revision
        : share == keys::FleetShare      ? m_fleet->fencingToken()
                                         : m_shares.at(share)->fencingToken();
    if (share == keys::FleetShare) {
        m_fleet.reset();
        m_newsView.reset();
    } else {
        m_shares.erase(share);
    }
    logEvent(LogLevel::Info, "share-released", {{"share", share}, {"token", std::to_string(token)}});
    StoreTxn txn;
    txn.expected.emplace_back(keys::owner(share), token);
    txn.removed.push_back(keys::owner(share));
    txn.writes.push_back({keys::ownerMark(share), keys::ReleasedMark, 0});
    m_store.commit(txn, StoreTimeout, [this, share](const StoreReply &reply) {
        const bool open = reply.outcome != StoreOutcome::Done && reply.outcome != StoreOutcome::Conflict;
        if (open && !m_shares.contains(share) && !(share == keys::FleetShare && m_fleet)) {
            later(LeaseRenewal, [this, share] {
                if (!m_shares.contains(share) && !(share == keys::FleetShare && m_fleet)) {
                    release(share);
                }
            });
        }
    });
}

/// Hands a share over when another entry would carry it much more easily.
void JobEntry::rebalance()
{
    const TimePoint now = steadyNow();
    if (ownedCount() == 0 || now - m_rebalancedAt < RebalancePause || now - m_enteredAt < RebalancePause) {
        return;
    }
    const auto serving = candidates();
    const auto self = serving.find(m_settings.name);
    if (self == serving.end()) {
        return;
    }
    const double load = self->second.owned / self->second.cpuShare;
    const bool better = std::any_of(serving.begin(), serving.end(), [load](const auto &entry) {
        return (entry.second.owned + 1) / entry.second.cpuShare * RebalanceGain < load;
    });
    if (better) {
        m_rebalancedAt = now;
        release(m_shares.empty() ? keys::FleetShare : m_shares.rbegin()->first);
    }
}

// Fleet ---------------------------------------------------------------------------------------------------------------

void JobEntry::watchFleet()
{
    const auto watch = [this](std::optional<StoreView<Client>> &view, const std::string &prefix, Duration pause) {
        if (!view) {
            view.emplace(
                m_store, m_timers, prefix, StoreViewSettings{.watchPause = pause},
                [this](const StoreItem &item) { fleetItem(item); }, [this] { updateVacating(); });
            view->start();
        }
    };
    watch(m_vacateView, keys::FleetVacate, Duration{0});
    if (m_fleet) {
        watch(m_newsView, keys::FleetNews, NewsPause);
    }
}

void JobEntry::fleetItem(const StoreItem &item)
{
    boost::system::error_code error;
    std::set<std::string> ids;
    if (item.key == keys::FleetDone) {
        return;
    }
    if (item.key.starts_with(keys::FleetLoads)) {
        const auto load = parsePoolLoad(item.value, bootNow());
        if (load) {
            m_loads[item.key.substr(keys::FleetLoads.size())] = load.value();
        } else if (!item.removed) {
            logEvent(LogLevel::Error, "load-unreadable", {{"key", item.key}});
        }
        return;
    }
    const boost::json::value value
        = item.removed ? boost::json::value(boost::json::array()) : boost::json::parse(item.value, error);
    if (error || !value.is_array()) {
        logEvent(LogLevel::Error, "fleet-item-unreadable", {{"key", item.key}});
        return;
    }
    for (const boost::json::value &id : value.get_array()) {
        ids.insert(std::string(id.as_string()));
    }
    if (item.key == keys::FleetVacate) {
        m_vacating = {ids.begin(), ids.end()};
    } else if (item.key.starts_with(keys::FleetCleared)) {
        m_cleared[item.key.substr(keys::FleetCleared.size())] = std::move(ids);
    }
}

void JobEntry::updateVacating()
{
    for (const auto &[share, owner] : m_shares) {
        owner->setVacating(m_vacating);
    }
    if (m_fleet) {
        std::set<std::string> cleared;
        for (const auto &[share, ids] : m_cleared) {
            cleared.insert(ids.begin(), ids.end());
        }
        m_fleet->setCleared(cleared);
        for (const auto &[pool, load] : std::exchange(m_loads, {})) {
            m_fleet->setLoad(pool, load);
        }
    }
}

MaintenanceResult JobEntry::meaningOf(const std::string &instance, platform::InstanceOrderResult result)
{
    using Order = platform::InstanceOrderResult;
    if (result != Order::Done) {
        logEvent(LogLevel::Warn, "instance-order-refused",
                 {{"instance", instance}, {"result", std::string(toString(result))}});
    }
    switch (result) {
    case Order::Done:
        return MaintenanceResult::Begun;
    case Order::Fenced:
        return MaintenanceResult::Fenced;
    case Order::WrongWave:
    case Order::Invalid:
        return MaintenanceResult::Impossible;
    case Order::Busy:
    case Order::Refused:
        return MaintenanceResult::Refused;
    case Order::Unknown:
        break;
    }
    return MaintenanceResult::Unknown;
}

FleetOwnerHooks JobEntry::fleetHooks()
{
    FleetOwnerHooks hooks;
    hooks.list = [this](FleetOwnerHooks::Listed done) { m_machines.list(std::move(done)); };
    hooks.maintain = [this](const MaintenanceOrder &order, std::uint64_t fencingToken,
                            std::function<void(MaintenanceResult)> done) {
        m_machines.maintain(order.instance, order.wave, fencingToken,
                            [order, done = std::move(done)](platform::InstanceOrderResult result) {
                                done(meaningOf(order.instance, result));
                            });
    };
    hooks.move
        = [this](const MoveOrder &order, std::uint64_t fencingToken, std::function<void(MaintenanceResult)> done) {
              m_machines.move(order.instance, order.pool, fencingToken,
                              [order, done = std::move(done)](platform::InstanceOrderResult result) {
                                  done(meaningOf(order.instance, result));
                              });
          };
    hooks.status = [](std::int64_t wave, bool completed) {
        return StoreWrite{std::string(platform::WaveStatusPrefix) + std::to_string(wave),
                          platform::encodeWaveStatus(completed), 0};
    };
    hooks.lost = [this](std::string_view why) { dropOwner(keys::FleetShare, why); };
    return hooks;
}

ShareOwnerHooks JobEntry::shareHooks()
{
    ShareOwnerHooks hooks;
    hooks.send = [this](const ExecutorOrder &order, ShareOwnerHooks::Ordered done) {
        m_executors.send(order, std::move(done));
    };
    hooks.know = [this](const ExecutorRecord &record) {
        m_known.insert(record.id);
        m_executors.setExecutor(record.id, record.address, record.port, ExecutorConnections);
    };
    hooks.finished = [this](const Scheduler::Finished &finished) {
        const MetricKey key{ServiceId{finished.queue}, {}, RequestClass::Short};
        m_metrics.add("briarvane_jobs_ended_total", key, {{"in_time", finished.inTime ? "yes" : "no"}});
        m_metrics.observe(metric::Response, key, finished.total);
    };
    hooks.lost = [this](const std::string &share, std::string_view why) { dropOwner(share, why); };
    return hooks;
}

// Executors -----------------------------------------------------------------------------------------------------------

void JobEntry::listExecutors(const std::string &after)
{
    if (m_shares.empty()) {
        m_haveExecutors = false;
        later(AssignPeriod / 2, [this] { listExecutors({}); });
        return;
    }
    if (after.empty()) {
        m_listed.clear();
    }
    m_store.range(std::string(platform::ExecutorPrefix), after, false, StoreTimeout, [this](const StoreReply &reply) {
        m_front.note(reply);
        if (reply.outcome != StoreOutcome::Done) {
            later(ListPeriod / 4, [this] { listExecutors({}); });
            return;
        }
        for (const StoreItem &item : reply.items) {
            const std::string id = item.key.substr(platform::ExecutorPrefix.size());
            auto record = platform::decodeExecutor(id, item.value);
            if (record) {
                m_listed.push_back(std::move(record.value()));
            } else {
                logRepeated(LogLevel::Warn, "executor-entry-unreadable", id);
            }
        }
        if (reply.truncated && !reply.items.empty()) {
            listExecutors(reply.items.back().key);
            return;
        }
        m_executorList = std::exchange(m_listed, {});
        m_haveExecutors = true;
        std::set<std::string> wanted;
        for (const ExecutorRecord &record : m_executorList) {
            wanted.insert(record.id);
        }
        for (const auto &[share, owner] : m_shares) {
            owner->setExecutors(m_executorList);
            for (const auto &[id, executor] : owner->scheduler().executors()) {
                wanted.insert(id);
            }
        }
        for (auto it = m_known.begin(); it != m_known.end();) {
            if (wanted.contains(*it)) {
                ++it;
            } else {
                m_executors.removeExecutor(*it);
                it = m_known.erase(it);
            }
        }
        later(ListPeriod, [this] { listExecutors({}); });
    });
}

// Callers -------------------------------------------------------------------------------------------------------------

void JobEntry::reply(const std::shared_ptr<HttpExchange> &exchange, int status, const std::string &body)
{
    HttpFields fields;
    if (status == 503 || status == 429) {
        fields.add("Retry-After", "1");
    }
    m_metrics.add(metric::Requests, {}, {{"outcome", std::to_string(status)}});
    exchange->respond(status, "application/json", body, std::move(fields));
}

void JobEntry::refuse(const std::shared_ptr<HttpExchange> &exchange, const FrontReply &result)
{
    switch (result.outcome) {
    case FrontOutcome::NoSuchJob:
        reply(exchange, 410, platform::encodeError("no such job"));
        return;
    case FrontOutcome::NotRun:
        reply(exchange, 503, platform::encodeError("the store cannot be reached"));
        return;
    default:
        reply(exchange, 504, platform::encodeError("the outcome is not known; ask again with the same id"));
    }
}

void JobEntry::handle(const std::shared_ptr<HttpExchange> &exchange)
{
    const HttpRequest &request = exchange->request();
    if (m_plan.version < 0) {
        reply(exchange, 503, platform::encodeError("no configuration yet"));
        return;
    }
    const std::string *hostField = request.fields.find("Host");
    const std::string host = hostField == nullptr ? std::string() : hostField->substr(0, hostField->find(':'));
    const Queue *queue = m_plan.queueFor(host, request.path());
    if (queue == nullptr) {
        reply(exchange, 404, platform::encodeError("no such queue"));
        return;
    }
    const std::string id(request.path().substr(queue->prefix.size()));
    if (id.empty() && request.method == "GET") {
        m_front.waiting(queue->name, [this, exchange](const FrontReply &result) {
            if (result.outcome == FrontOutcome::Done) {
                reply(exchange, 200, platform::encodeWaiting(result.waiting));
            } else {
                refuse(exchange, result);
            }
        });
        return;
    }
    if (!platform::isJobId(id)) {
        reply(exchange, 400, platform::encodeError("the path does not end with a job id of 16 hexadecimal digits"));
        return;
    }
    const auto answered = [this, exchange](const FrontReply &result) {
        if (result.outcome == FrontOutcome::Done) {
            reply(exchange, 200, platform::encodeState(result.state));
        } else {
            refuse(exchange, result);
        }
    };
    if (request.method == "POST") {
        submit(exchange, *queue, id);
    } else if (request.method == "GET") {
        m_front.state(queue->service, id, answered);
    } else if (request.method == "DELETE") {
        m_front.cancel(queue->service, id, [answered, id](const FrontReply &result) {
            logEvent(LogLevel::Info, "job-cancel",
                     {{"job", id},
                      {"outcome", std::to_string(static_cast<int>(result.outcome))},
                      {"state", std::string(toString(result.state))}});
            answered(result);
        });
    } else {
        reply(exchange, 405, platform::encodeError("POST, GET or DELETE"));
    }
}

void JobEntry::submit(const std::shared_ptr<HttpExchange> &exchange, const Queue &queue, const std::string &id)
{
    auto spec = platform::decodeJob(id, queue, exchange->request().body, wallNowMs());
    if (!spec) {
        reply(exchange, 400, platform::encodeError(spec.error().message));
        return;
    }
    const TimePoint arrived = bootNow();
    m_front.submit(
        std::move(spec.value()),
        [this, exchange, id, arrived, name = queue.name, version = m_plan.version](const FrontReply &result) {
            const Duration took = bootNow() - arrived;
            logEvent(LogLevel::Info, "job-submitted",
                     {{"job", id},
                      {"queue", name},
                      {"config_version", std::to_string(version)},
                      {"outcome",
                       result.outcome == FrontOutcome::Done         ? "accepted"
                           : result.outcome == FrontOutcome::NotRun ? "refused"
                                                                    : "unknown"},
                      {"took_ms", std::to_string(took.count() / 1000)}});
            m_metrics.observe("briarvane_accept_seconds", MetricKey{ServiceId{name}, {}, RequestClass::Short}, took);
            if (result.outcome == FrontOutcome::Done) {
                reply(exchange, 200, platform::encodeState(JobState::Pending));
            } else {
                refuse(exchange, result);
            }
        });
}

void JobEntry::handleReadiness(const std::shared_ptr<HttpExchange> &exchange)
{
    if (exchange->request().path() == "/metrics") {
        exchange->respond(200, "text/plain; version=0.0.4", exposition());
        return;
    }
    const bool ready = !m_stopping && m_plan.version >= 0;
    exchange->respond(ready ? 200 : 503, "application/json", ready ? "{}" : platform::encodeError("not ready"));
}

std::string JobEntry::exposition()
{
    const platform::StoreCounts &calls = m_store.counts();
    m_metrics.set("briarvane_store_calls_total", {{"kind", "read"}}, static_cast<double>(calls.reads));
    m_metrics.set("briarvane_store_calls_total", {{"kind", "range"}}, static_cast<double>(calls.ranges));
    m_metrics.set("briarvane_store_calls_total", {{"kind", "watch"}}, static_cast<double>(calls.watches));
    m_metrics.set("briarvane_store_calls_total", {{"kind", "write"}}, static_cast<double>(calls.writes));
    m_metrics.set("briarvane_store_calls_total", {{"kind", "renewal"}}, static_cast<double>(calls.renewals));
    m_metrics.set("briarvane_store_refused_total", {}, static_cast<double>(calls.refused));
    m_metrics.set("briarvane_store_unanswered_total", {}, static_cast<double>(calls.unanswered));
    m_metrics.set("briarvane_config_version", {}, static_cast<double>(m_plan.version));
    for (const auto &[share, owner] : m_shares) {
        const SchedulerCounts &counts = owner->scheduler().counts();
        const MetricLabels labels{{"share", share}};
        m_metrics.set("briarvane_share_token", labels, static_cast<double>(owner->fencingToken()));
        m_metrics.set("briarvane_share_starts_total", labels, static_cast<double>(counts.starts));
        m_metrics.set("briarvane_share_stops_total", labels, static_cast<double>(counts.stops));
        m_metrics.set("briarvane_share_requeued_total", labels, static_cast<double>(counts.requeued));
        m_metrics.set("briarvane_share_refused_starts_total", labels, static_cast<double>(counts.refusedStarts));
        m_metrics.set("briarvane_share_open_jobs", labels, static_cast<double>(owner->scheduler().openJobs()));
    }
    return formatExposition(m_metrics.list());
}

/// One line every few seconds: what this entry asked of the store.
void JobEntry::summarize()
{
    const platform::StoreCounts &calls = m_store.counts();
    logEvent(LogLevel::Info, "entry-state",
             {{"reads", std::to_string(calls.reads)},
              {"ranges", std::to_string(calls.ranges)},
              {"watches", std::to_string(calls.watches)},
              {"writes", std::to_string(calls.writes)},
              {"renewals", std::to_string(calls.renewals)},
              {"refused", std::to_string(calls.refused)},
              {"unanswered", std::to_string(calls.unanswered)},
              {"shares", std::to_string(ownedCount())},
              {"connections", std::to_string(m_callers.load().connections)}});
    later(StatePeriod, [this] { summarize(); });
}

// Stop ----------------------------------------------------------------------------------------------------------------

void JobEntry::waitSignal()
{
    m_signals.async_wait([this](boost::system::error_code error, int signal) {
        if (error) {
            return;
        }
        if (signal == SIGHUP) {
            logEvent(LogLevel::Warn, "settings-changed",
                     {{"applied", "no"}, {"why", "settings are read at the start"}});
        } else if (!m_stopping) {
            beginStop();
        }
        waitSignal();
    });
}

/// Not ready at once; ownership goes to other entries; callers on open connections are served until the end.
void JobEntry::beginStop()
{
    m_stopping = true;
    logEvent(LogLevel::Info, "stop-begun", {{"entry", m_settings.name}, {"open", std::to_string(m_front.open())}});
    enterMembership();
    std::vector<std::string> shares;
    for (const auto &[share, owner] : m_shares) {
        shares.push_back(share);
    }
    if (m_fleet) {
        shares.push_back(keys::FleetShare);
    }
    for (const std::string &share : shares) {
        release(share);
    }
    later(StopLead, [this] {
        m_callers.stop([this] {
            if (m_lease != 0) {
                m_store.endLease(m_lease, [this](const StoreReply &) { m_io.stop(); });
            } else {
                m_io.stop();
            }
        });
    });
    later(std::max(StopLead, m_settings.grace - StopSlack), [this] { m_io.stop(); });
}

}

int runJobEntry(const JobEntrySettings &settings)
{
    openLog(settings.logLevel);
    boost::asio::io_context io(1);
    const int code = JobEntry(io, settings).run();
    // Without static destructors: log4cplus joins its threads there, which on the users' machines outlasted the grace
    // time, so that each planned stop ended in SIGKILL three seconds later. Every line is flushed as it is written.
    std::_Exit(code);
}

}
