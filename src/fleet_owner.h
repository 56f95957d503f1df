#pragma once

// Runs the maintenance waves and the moves between pools while this entry owns the fleet partition.

#include "boot_clock.h"
#include "fleet_planner.h"
#include "job_keys.h"
#include "log.h"
#include "ownership_guard.h"
#include "partition_ownership.h"
#include "store_view.h"

#include <boost/json.hpp>

#include <charconv>

namespace briarvane
{

struct FleetOwnerSettings : FleetPlannerSettings
{
    PlanPace pace;
    Duration planPeriod{250'000};  // longest time between two planning passes
    /// Time between two requests for the list of instances while a wave or a move is in progress. All entries share the
    /// rate limit of the list.
    Duration listPeriod{1'000'000};
    /// Time between two requests for the list while no wave and no move is in progress.
    Duration idleListPeriod{2'000'000};
    Duration storeTimeout{700'000};  // timeout of one call to the store
    Duration retryPause{150'000};    // pause after a failed call to the store
    /// Pause after a write that the store rejected as invalid, which the same write cannot change.
    Duration rejectedPause{5'000'000};
    Duration statePeriod{1'000'000};  // time between log lines with the state of the owner
};

/// Counts of one period, for the log.
struct FleetOwnerCounts
{
    int passes = 0;  // planning passes
    Duration longestPass{0};
    int requested = 0;  // orders for maintenance and moves
    int begun = 0;
    int refused = 0;
    int unanswered = 0;
    int failedLists = 0;
};

/// Functions that the entry provides to the owner.
struct FleetOwnerHooks
{
    using Listed = std::function<void(const Result<std::vector<PooledInstance>> &)>;
    std::function<void(Listed)> list;
    std::function<void(const MaintenanceRequest &, std::uint64_t fencingToken, std::function<void(OrderResult)>)>
        maintain;
    std::function<void(const MoveRequest &, std::uint64_t fencingToken, std::function<void(OrderResult)>)> move;
    std::string statusPrefix;                                             // of the keys with the status of the waves
    std::function<StoreWrite(std::int64_t wave, bool completed)> status;  // write of the wave's status for operators
    std::function<Result<WaveStatus>(const StoreItem &)> parseStatus;     // item under `statusPrefix`
    /// The entry must destroy the owner after the hook has returned, since the owner is the caller.
    std::function<void(std::string_view why)> ownershipLost;
};

template<Store S>
class FleetOwner : private OwnershipGuard
{
public:
    FleetOwner(S &store, Timers &timers, std::uint64_t fencingToken, bool hadOwner, FleetOwnerSettings settings,
               FleetOwnerHooks hooks, TimePoint acquiredAt)
        : OwnershipGuard(timers, fencingToken, [this] { reportOwnershipLost("unexpected-error"); })
        , m_store(store)
        , m_writer(store, keys::owner(keys::FleetPartition), fencingToken)
        , m_settings(settings)
        , m_hooks(std::move(hooks))
        , m_timers(timers)
        , m_planner(settings, hadOwner, acquiredAt)
    {
    }
    using OwnershipGuard::fencingToken;

    void start()
    {
        m_store.read(keys::FleetMaintenanceBegun, m_settings.storeTimeout, guarded([this](const StoreReply &reply) {
                         if (reply.outcome == StoreOutcome::Done && !reply.items.empty()) {
                             m_writer.recordRevision(keys::FleetMaintenanceBegun, reply.items.front().revision);
                             loadBegunInstances(reply.items.front().value);
                         } else if (reply.outcome != StoreOutcome::NotFound) {
                             later(m_settings.retryPause, [this] { start(); });
                             return;
                         }
                         loadStatuses({});
                     }));
    }

    /// Whether the record of begun instances leaves out the waves whose stored status is "completed". Every entry that
    /// may own the fleet must read the status then.
    void setStatusTrusted(bool trusted)
    {
        m_statusTrusted = trusted;
    }

    void addWave(const MaintenanceWave &wave)
    {
        m_waves[wave.id] = wave;
        if (m_loaded) {
            guarded([&] { planWave(wave); })();
            schedulePlanning();
        }
    }
    void setSparePools(std::set<std::string> pools)
    {
        m_planner.setSparePools(std::move(pools));
    }
    /// Sets the vacated and the blocked executors (see VacatedReport), each with the revision of the list of vacating
    /// executors to which the report of its partition's owner refers.
    void setVacated(const std::map<std::string, std::uint64_t> &vacated,
                    const std::map<std::string, std::uint64_t> &blocked)
    {
        guarded([&] {
            m_planner.setVacated(vacated);
            m_planner.setBlocked(blocked);
        })();
        schedulePlanning();
    }
    void setLoad(const std::string &pool, PoolLoad load)
    {
        guarded([&] { m_planner.setLoad(pool, std::move(load)); })();
        schedulePlanning();
    }

private:
    void reportOwnershipLost(std::string_view why)
    {
        if (!std::exchange(m_ownershipLost, true)) {
            m_hooks.ownershipLost(why);
        }
    }

    void loadBegunInstances(const std::string &text)
    {
        boost::system::error_code error;
        const boost::json::value value = boost::json::parse(text, error);
        if (error || !value.is_object()) {
            logEvent(LogLevel::Error, "wave-record-unreadable");
            return;
        }
        for (const auto &[wave, instances] : value.get_object()) {
            std::int64_t id = 0;
            const auto [end, parsed] = std::from_chars(wave.data(), wave.data() + wave.size(), id);
            const auto ids = parseIds(&instances);
            if (parsed != std::errc() || end != wave.data() + wave.size() || !ids) {
                logEvent(LogLevel::Error, "wave-record-unreadable", {{"wave", std::string(wave)}});
                continue;
            }
            m_begunInstances[id].insert(ids.value().begin(), ids.value().end());
        }
        m_storedBegun = text;
    }

    /// Reads the status of the waves that earlier owners have stored.
    void loadStatuses(const std::string &after)
    {
        m_store.range(m_hooks.statusPrefix, after, false, m_settings.storeTimeout,
                      guarded([this, after](const StoreReply &reply) {
                          if (reply.outcome != StoreOutcome::Done) {
                              later(m_settings.retryPause, [this, after] { loadStatuses(after); });
                              return;
                          }
                          for (const StoreItem &item : reply.items) {
                              m_writer.recordRevision(item.key, item.revision);
                              const Result<WaveStatus> status = m_hooks.parseStatus(item);
                              if (status) {
                                  m_storedStatuses[status.value().wave] = status.value();
                              } else {
                                  logEvent(LogLevel::Error, "wave-status-unreadable",
                                           {{"key", item.key}, {"why", status.error().message}});
                              }
                          }
                          if (reply.truncated && !reply.items.empty()) {
                              loadStatuses(reply.items.back().key);
                          } else {
                              loadVacating();
                          }
                      }));
    }

    /// Passes the wave to the planner with the progress that earlier owners have stored.
    void planWave(const MaintenanceWave &wave)
    {
        const auto stored = m_storedStatuses.find(wave.id);
        const bool isCompleted = stored != m_storedStatuses.end() && stored->second.completed;
        m_planner.waves().addWave(
            wave, isCompleted ? std::set(wave.instances.begin(), wave.instances.end()) : m_begunInstances[wave.id],
            bootNow());
        if (isCompleted) {
            m_planner.waves().completionPublished(wave.id);
        } else if (stored != m_storedStatuses.end()) {
            m_planner.waves().runningPublished(wave.id);
        }
    }

    /// Reads the list of vacating executors that the predecessor has stored.
    void loadVacating()
    {
        m_store.read(keys::FleetVacating, m_settings.storeTimeout, guarded([this](const StoreReply &reply) {
                         if (reply.outcome == StoreOutcome::Done && !reply.items.empty()) {
                             inheritVacating(reply.items.front());
                         } else if (reply.outcome != StoreOutcome::NotFound) {
                             later(m_settings.retryPause, [this] { loadVacating(); });
                             return;
                         }
                         m_loaded = true;
                         for (const auto &[id, wave] : m_waves) {
                             planWave(wave);
                         }
                         listInstances();
                         confirmOwnership();
                         logState();
                     }));
    }

    void inheritVacating(const StoreItem &item)
    {
        m_writer.recordRevision(item.key, item.revision);
        boost::system::error_code error;
        const boost::json::value value = boost::json::parse(item.value, error);
        auto executors = parseIds(error ? nullptr : &value);
        if (executors) {
            m_planner.inheritVacating(std::move(executors.value()), item.revision);
        } else {
            logEvent(LogLevel::Error, "fleet-item-unreadable", {{"key", item.key}});
        }
    }

    /// Reads the ownership key periodically. No orders are sent unless a recent answer proves the ownership.
    void confirmOwnership()
    {
        const TimePoint sentAt = bootNow();
        m_store.read(keys::owner(keys::FleetPartition), m_settings.storeTimeout,
                     guarded([this, sentAt](const StoreReply &reply) {
                         if (isDeposed(reply)) {
                             reportOwnershipLost("ownership-key-gone");
                             return;
                         }
                         const bool answered = reply.outcome == StoreOutcome::Done;
                         if (answered) {
                             m_planner.confirmed(sentAt);
                         }
                         later(answered ? m_settings.listPeriod : m_settings.retryPause,
                               [this] { confirmOwnership(); });
                     }));
    }

    void listInstances()
    {
        const TimePoint askedAt = bootNow();
        m_hooks.list(guarded([this, askedAt](const Result<std::vector<PooledInstance>> &listed) {
            if (listed) {
                m_planner.setInstances(listed.value(), askedAt, bootNow());
                schedulePlanning();
            } else {
                ++m_counts.failedLists;
                logRepeated(LogLevel::Warn, "machines-not-listed", "list", {{"why", listed.error().message}});
            }
            later(m_planner.inProgress() ? m_settings.listPeriod : m_settings.idleListPeriod,
                  [this] { listInstances(); });
        }));
    }

    void logState()
    {
        const FleetOwnerCounts counts = std::exchange(m_counts, {});
        const auto age = [](TimePoint time) {
            return time == TimePoint{} ? std::string("none") : std::to_string((bootNow() - time).count() / 1000);
        };
        logEvent(LogLevel::Info, "fleet-state",
                 {{"passes", std::to_string(counts.passes)},
                  {"longest_pass_us", std::to_string(counts.longestPass.count())},
                  {"requested", std::to_string(counts.requested)},
                  {"begun", std::to_string(counts.begun)},
                  {"refused", std::to_string(counts.refused)},
                  {"unanswered", std::to_string(counts.unanswered)},
                  {"open", std::to_string(m_planner.openOrders())},
                  {"failed_lists", std::to_string(counts.failedLists)},
                  {"list_age_ms", age(m_planner.listedAt())},
                  {"proof_ms", age(m_planner.provenAt())}});
        later(m_settings.statePeriod, [this] { logState(); });
    }

    // Planning

    /// Schedules one pass for all events that arrive until it runs. Events change state only, so the cost of planning
    /// does not grow with their number.
    void schedulePlanning()
    {
        schedulePlanningAt(std::max(steadyNow(), m_nextPlanAt));
    }

    void schedulePlanningAt(TimePoint time)
    {
        if (m_ownershipLost || !m_loaded || !m_planner.hasInstances()) {
            return;
        }
        if (m_planTimer.second != 0) {
            if (m_planTimer.first <= time) {
                return;
            }
            m_timers.cancel(m_planTimer);
        }
        m_planTimer = m_timers.at(time, guarded([this] {
                                      m_planTimer = {};
                                      runPlanners();
                                  }));
    }

    void runPlanners()
    {
        if (m_ownershipLost) {
            return;
        }
        const TimePoint startedAt = steadyNow();
        m_planner.plan(bootNow());
        sendOrders();
        publish();
        const TimePoint endedAt = steadyNow();
        ++m_counts.passes;
        m_counts.longestPass = std::max(m_counts.longestPass, endedAt - startedAt);
        m_nextPlanAt = m_settings.pace.next(startedAt, endedAt);
        schedulePlanningAt(std::max(startedAt + m_settings.planPeriod, m_nextPlanAt));
    }

    // Orders

    void sendOrders()
    {
        for (FleetOrder &order : m_planner.takeOrders(bootNow())) {
            send(std::move(order));
        }
    }

    void send(FleetOrder order)
    {
        ++m_counts.requested;
        const auto *maintenance = std::get_if<MaintenanceRequest>(&order.request);
        const auto *move = std::get_if<MoveRequest>(&order.request);
        auto done
            = guarded([this, order, sentAt = bootNow()](OrderResult result) { orderAnswered(order, result, sentAt); });
        if (maintenance != nullptr) {
            logEvent(LogLevel::Info, "maintenance-ordered",
                     {{"instance", maintenance->instance},
                      {"executor", maintenance->executor},
                      {"wave", std::to_string(maintenance->wave)},
                      {"list_revision", std::to_string(m_planner.publishedRevision())}});
            m_hooks.maintain(*maintenance, fencingToken(), std::move(done));
        } else {
            logEvent(LogLevel::Info, "move-ordered",
                     {{"instance", move->instance},
                      {"executor", move->executor},
                      {"pool", move->pool},
                      {"from", move->sourcePool},
                      {"why", std::string(toString(move->reason))}});
            m_hooks.move(*move, fencingToken(), std::move(done));
        }
    }

    void orderAnswered(const FleetOrder &order, OrderResult result, TimePoint sentAt)
    {
        const TimePoint now = bootNow();
        switch (result) {
        case OrderResult::Fenced:
            reportOwnershipLost("fenced");
            return;
        case OrderResult::Begun:
            ++m_counts.begun;
            logEvent(LogLevel::Info, "instance-order-accepted",
                     {{"instance", order.instance()},
                      {"executor", order.executor()},
                      {"after_ms", std::to_string((now - sentAt).count() / 1000)}});
            break;
        case OrderResult::Refused:
        case OrderResult::Impossible:
            ++m_counts.refused;
            break;
        case OrderResult::Unknown:
            ++m_counts.unanswered;
            break;
        }
        m_planner.answered(order, result, now);
        sendOrders();
        schedulePlanning();
    }

    // Publishing

    /// A write that is repeated until the store has its content. Writes that do not depend on each other are sent in
    /// transactions of their own, so that one that is refused does not hold up the others.
    struct Publication
    {
        bool inFlight = false;
        TimePoint notBefore;  // time of the steady clock; set after a failed attempt
    };

    void publish()
    {
        publishVacating();
        publishWaves();
    }

    static bool maySend(const Publication &publication)
    {
        return !publication.inFlight && steadyNow() >= publication.notBefore;
    }

    /// `done` is called with the reply unless another owner has the partition.
    template<class F>
    void sendWrite(Publication &publication, StoreTxn txn, F done)
    {
        publication.inFlight = true;
        m_writer.commit(std::move(txn), m_settings.storeTimeout,
                        guarded([this, &publication, done](const StoreReply &reply, bool deposed) {
                            publication.inFlight = false;
                            if (deposed) {
                                reportOwnershipLost("precondition");
                                return;
                            }
                            if (reply.outcome != StoreOutcome::Done) {
                                const bool rejected = reply.outcome == StoreOutcome::Malformed;
                                const Duration pause = rejected ? m_settings.rejectedPause : m_settings.retryPause;
                                publication.notBefore = steadyNow() + pause;
                                later(pause, [this] { schedulePlanning(); });
                            }
                            done(reply);
                        }));
    }

    /// Writes the list of vacating executors if it has changed.
    void publishVacating()
    {
        const std::set<std::string> vacating = m_planner.vacating(bootNow());
        const bool changed = vacating != m_planner.publishedVacating() || m_planner.publishedRevision() == 0;
        if (!changed || !maySend(m_vacatingPublication)) {
            return;
        }
        boost::json::array list;
        for (const std::string &executor : vacating) {
            list.push_back(boost::json::string(executor));
        }
        StoreTxn txn;
        txn.writes.push_back({keys::FleetVacating, boost::json::serialize(list), 0});
        m_planner.publishing();
        sendWrite(m_vacatingPublication, std::move(txn), [this, vacating](const StoreReply &reply) {
            if (reply.outcome != StoreOutcome::Done) {
                m_planner.published({}, 0);  // the write may or may not have taken effect
                return;
            }
            m_planner.published(vacating, reply.revision);
            logEvent(LogLevel::Info, "vacating-published",
                     {{"executors", std::to_string(vacating.size())}, {"revision", std::to_string(reply.revision)}});
            schedulePlanning();
        });
    }

    /// Writes the instances whose maintenance has begun and the status of the waves, as far as they have changed and as
    /// many as one transaction holds.
    void publishWaves()
    {
        if (!maySend(m_wavesPublication)) {
            return;
        }
        boost::json::object begun;
        for (const auto &[wave, instances] : m_planner.waves().begunInstances(!m_statusTrusted)) {
            begun[std::to_string(wave)] = boost::json::value_from(instances);
        }
        const std::string begunText = boost::json::serialize(begun);
        std::map<std::int64_t, bool> statuses;  // whether the wave is completed, by wave
        for (const std::int64_t wave : m_planner.waves().unpublishedStarts()) {
            statuses[wave] = false;
        }
        StoreTxn txn;
        if (begunText != m_storedBegun) {
            txn.writes.push_back({keys::FleetMaintenanceBegun, begunText, 0});
        } else {
            // A wave is reported as completed only once the record of its begun instances is stored.
            for (const std::int64_t wave : m_planner.waves().unpublishedCompletions()) {
                statuses[wave] = true;
            }
        }
        std::vector<WaveStatus> sent;
        for (const auto &[wave, completed] : statuses) {
            StoreTxn row;
            row.writes.push_back(m_hooks.status(wave, completed));
            if (!FencedWriter<S>::appendIfAccepted(txn, row)) {
                break;  // sent once this transaction is done
            }
            sent.push_back({wave, completed});
        }
        if (txn.writes.empty()) {
            return;
        }
        sendWrite(m_wavesPublication, std::move(txn), [this, begunText, sent](const StoreReply &reply) {
            if (reply.outcome != StoreOutcome::Done) {
                return;
            }
            m_storedBegun = begunText;
            for (const WaveStatus &status : sent) {
                if (status.completed) {
                    m_planner.waves().completionPublished(status.wave);
                    logEvent(LogLevel::Info, "wave-completed", {{"wave", std::to_string(status.wave)}});
                } else {
                    m_planner.waves().runningPublished(status.wave);
                }
            }
            schedulePlanning();
        });
    }

    S &m_store;
    FencedWriter<S> m_writer;
    FleetOwnerSettings m_settings;
    FleetOwnerHooks m_hooks;
    Timers &m_timers;
    FleetPlanner m_planner;
    FleetOwnerCounts m_counts;  // since the last log line
    Timers::Key m_planTimer{};
    TimePoint m_nextPlanAt;  // earliest time of the next planning pass
    std::map<std::int64_t, MaintenanceWave> m_waves;
    std::map<std::int64_t, std::set<std::string>> m_begunInstances;
    std::map<std::int64_t, WaveStatus> m_storedStatuses;  // by wave, as read at the start
    std::string m_storedBegun;
    Publication m_vacatingPublication;
    Publication m_wavesPublication;
    bool m_statusTrusted = false;
    bool m_loaded = false;
    bool m_ownershipLost = false;
};

}
