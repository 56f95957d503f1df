#pragma once

// Periodic control work: fleet steps, reboots and the health checks after them, alert evaluation. Every entry runs the
// controller, but only the entry responsible for the fleet steps it, and only the entry responsible for the alerts
// evaluates them. Runs on the I/O thread.
//
// Index
// [1] Callbacks supplied by the daemon
// [2] Health check of a rebooted instance
// [3] Controller

#include "alerts.h"
#include "config.h"
#include "entry_cluster.h"
#include "fleet.h"
#include "log.h"

#include <boost/asio/steady_timer.hpp>

#include <random>

namespace briarvane
{

// [1] Callbacks supplied by the daemon --------------------------------------------------------------------------------

struct ControlHooks
{
    std::function<std::map<InstanceId, int>()> inFlight;  // by instance: number of this entry's requests in flight
    std::function<std::vector<MetricSample>(TimePoint)> samples;  // metrics summed over all entries
};

// [2] Health check of a rebooted instance -----------------------------------------------------------------------------

/// Connects to the instance and sends one GET request for "/". Calls `done` once, with true if the instance answered
/// with a status below 500 in time.
void checkInstance(boost::asio::io_context &io, const std::string &address, std::uint16_t port, Duration timeout,
                   std::function<void(bool)> done);

// [3] Controller ------------------------------------------------------------------------------------------------------

constexpr Duration ControlPeriod{200'000};
// The instance list lags: for up to about this time after the coordination service has accepted a reboot request, the
// list still shows the instance as live.
constexpr Duration RebootSettleTime{1'000'000};
constexpr Duration RebootRetryPeriod{5'000'000};   // between two requests of the same reboot
constexpr std::int64_t RebootTimeoutMs = 180'000;  // a reboot that takes longer counts as failed
constexpr std::int64_t VerifyTimeoutMs = 60'000;   // a health check must succeed within this time after a reboot
constexpr Duration CheckPeriod{1'000'000};         // time between the starts of two checks of one instance
constexpr Duration CheckTimeout{1'000'000};

template<CoordinationService S>
class Controller
{
public:
    Controller(Cluster<S> &cluster, ControlHooks hooks);

    void start();
    void stop();
    const Fleet &fleet() const;
    const Sheet &sheet() const;

private:
    struct RebootProgress
    {
        TimePoint requestedAt;                // time of the last request to the coordination service
        std::optional<TimePoint> acceptedAt;  // when the coordination service accepted the request
        TimePoint checkStartedAt;             // when the last health check began
        std::optional<bool> healthy;          // result of the last health check; empty: none has ended
    };

    void tick();
    void adoptFleet(const StoreValue &value);
    void reportDraining();
    void runFleetStep(TimePoint now);
    FleetObservation observe(TimePoint now) const;
    void advanceReboots(TimePoint now);
    void startCheck(const InstanceId &id, TimePoint now);
    const InstanceRecord *record(const InstanceId &id) const;
    void evaluateAlerts(TimePoint now);
    void onAlarmsStored(const AlertEvaluation &step, const Result<StoreValue> &result);
    void addFleetSamples(std::vector<MetricSample> &samples) const;
    bool isResponsible(std::string_view responsibility, TimePoint now) const;
    static std::int64_t unixMs();

    Cluster<S> &m_cluster;
    ControlHooks m_hooks;
    boost::asio::steady_timer m_timer;
    Fleet m_fleet;
    Sheet m_sheet;
    std::string m_sheetDigest;
    std::vector<AlertRule> m_rules;
    AlertState m_alertState;
    std::uint64_t m_alarmsVersion = 0;
    bool m_alarmsPending = false;
    bool m_fleetPending = false;
    bool m_stopped = false;
    TimePoint m_lastAlerts;
    std::map<InstanceId, RebootProgress> m_reboots;
    std::mt19937_64 m_random{std::random_device{}()};
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);  // callbacks after stop() or destruction are ignored
};

template<CoordinationService S>
Controller<S>::Controller(Cluster<S> &cluster, ControlHooks hooks)
    : m_cluster(cluster)
    , m_hooks(std::move(hooks))
    , m_timer(cluster.io())
{
    // The handlers run before the next heartbeat, so the heartbeat that confirms a fleet version with a drain also
    // contains the requests in flight on the draining instance.
    m_cluster.onChanged("fleet", [this](const StoreValue &value) { adoptFleet(value); });
    m_cluster.onChanged("config/sheet", [this](const StoreValue &value) {
        const auto config = parseConfig(value.value);
        if (config) {
            m_sheet = parseSheet(config.value().text).sheet;
            m_sheetDigest = config.value().digest;
        }
    });
    m_cluster.onChanged("config/alerts", [this](const StoreValue &value) {
        const auto config = parseConfig(value.value);
        if (config) {
            m_rules = parseAlerts(config.value().text).rules;
        }
    });
}

template<CoordinationService S>
void Controller<S>::start()
{
    m_timer.expires_after(ControlPeriod);
    m_timer.async_wait([this, alive = std::weak_ptr<bool>(m_alive)](boost::system::error_code error) {
        if (!error && !alive.expired() && !m_stopped) {
            tick();
            start();
        }
    });
}

template<CoordinationService S>
void Controller<S>::stop()
{
    m_stopped = true;
    m_timer.cancel();
    m_alive.reset();
}

template<CoordinationService S>
const Fleet &Controller<S>::fleet() const
{
    return m_fleet;
}

template<CoordinationService S>
const Sheet &Controller<S>::sheet() const
{
    return m_sheet;
}

template<CoordinationService S>
void Controller<S>::tick()
{
    const TimePoint now = m_cluster.now();
    reportDraining();
    if (isResponsible("fleet", now)) {
        advanceReboots(now);
        runFleetStep(now);
    } else {
        m_reboots.clear();
    }
    if (now - m_lastAlerts >= AlertPeriod) {
        m_lastAlerts = now;
        evaluateAlerts(now);
    }
}

template<CoordinationService S>
void Controller<S>::adoptFleet(const StoreValue &value)
{
    auto fleet = parseFleet(value.value);
    if (!fleet) {
        logRepeated(LogLevel::Error, "fleet-malformed", "fleet", {{"reason", fleet.error().message}});
        return;
    }
    m_fleet = std::move(fleet.value());
    reportDraining();
}

template<CoordinationService S>
void Controller<S>::reportDraining()
{
    std::map<InstanceId, int> draining;
    for (const auto &[id, count] : m_hooks.inFlight()) {
        const auto it = m_fleet.instances.find(id);
        if (count > 0 && (it == m_fleet.instances.end() || it->second.state != InstanceState::Active)) {
            draining[id] = count;
        }
    }
    m_cluster.membership().setDraining(draining);
}

template<CoordinationService S>
void Controller<S>::runFleetStep(TimePoint now)
{
    if (m_fleetPending || m_cluster.instances().empty() || m_cluster.membership().coordinationDown(now)) {
        return;
    }
    FleetStep step = stepFleet(m_fleet, m_sheet, m_sheetDigest, observe(now), unixMs());
    if (step.next == m_fleet) {
        return;
    }
    ++step.next.change;
    step.next.changeId = m_cluster.membership().self().value + "-" + std::to_string(m_random());
    m_fleetPending = true;
    m_cluster.change(
        "fleet", m_cluster.inForce("fleet").version, formatFleet(step.next),
        [this, alive = std::weak_ptr<bool>(m_alive), notices = std::move(step.notices)](Result<StoreValue> result) {
            if (alive.expired()) {
                return;
            }
            m_fleetPending = false;
            if (!result) {
                logRepeated(LogLevel::Warn, "fleet-step-failed", "fleet", {{"reason", result.error().message}});
                return;
            }
            for (const std::string &notice : notices) {
                logEvent(LogLevel::Info, "fleet", {{"notice", notice}});
            }
        });
}

template<CoordinationService S>
FleetObservation Controller<S>::observe(TimePoint now) const
{
    FleetObservation observation{.records = m_cluster.instances(),
                                 .mayDrain = m_cluster.membership().mayAcceptDrain(now)};
    observation.wallNow = std::chrono::time_point_cast<Duration>(std::chrono::system_clock::now());
    const std::uint64_t version = m_cluster.inForce("fleet").version;
    const std::int64_t nowMs = unixMs();
    for (const auto &[id, instance] : m_fleet.instances) {
        if (instance.state == InstanceState::Draining
            && m_cluster.membership().drainBlockers(id, version, now).empty()) {
            observation.released.insert(id);
        }
        const InstanceRecord *listed = record(id);
        const bool isLive = listed != nullptr && listed->presence == Presence::Live;
        const auto progress = m_reboots.find(id);
        if (progress != m_reboots.end()) {
            const auto &acceptedAt = progress->second.acceptedAt;
            if (instance.state == InstanceState::Rebooting && acceptedAt && now - *acceptedAt >= RebootSettleTime
                && isLive) {
                observation.rebooted.insert(id);
            }
            if (instance.state != InstanceState::Rebooting && isLive && progress->second.healthy == true) {
                observation.verified[id] = true;
            }
        }
        const std::int64_t age = nowMs - instance.sinceMs;
        if ((instance.state == InstanceState::Verifying && age > VerifyTimeoutMs)
            || (instance.state == InstanceState::Rebooting && age > RebootTimeoutMs)) {
            observation.verified.try_emplace(id, false);
        }
    }
    return observation;
}

/// Requests the reboots of instances in state Rebooting and starts the health checks of those in state Verifying or
/// Failed.
/// The states are in the fleet value, so another entry can continue when it becomes responsible. A repeated reboot
/// request does no harm, because the instance serves no requests until a health check has succeeded.
template<CoordinationService S>
void Controller<S>::advanceReboots(TimePoint now)
{
    for (const auto &[id, instance] : m_fleet.instances) {
        const bool isRebooting = instance.state == InstanceState::Rebooting;
        const bool needsCheck = instance.state == InstanceState::Verifying || instance.state == InstanceState::Failed;
        if (!isRebooting && !needsCheck) {
            m_reboots.erase(id);
            continue;
        }
        RebootProgress &progress = m_reboots[id];
        if (isRebooting && !progress.acceptedAt
            && (progress.requestedAt == TimePoint{} || now - progress.requestedAt >= RebootRetryPeriod)) {
            progress.requestedAt = now;
            m_cluster.coordination().reboot(
                id, [this, alive = std::weak_ptr<bool>(m_alive), id = id](const Result<bool> &result) {
                    const auto it = alive.expired() ? m_reboots.end() : m_reboots.find(id);
                    if (!alive.expired() && it != m_reboots.end() && result) {
                        it->second.acceptedAt = m_cluster.now();
                    }
                });
        }
        if (needsCheck && now - progress.checkStartedAt >= CheckPeriod) {
            progress.checkStartedAt = now;
            startCheck(id, now);
        }
    }
}

template<CoordinationService S>
void Controller<S>::startCheck(const InstanceId &id, TimePoint /*now*/)
{
    const InstanceRecord *listed = record(id);
    if (listed == nullptr) {
        return;
    }
    checkInstance(m_cluster.io(), listed->address, listed->port, CheckTimeout,
                  [this, alive = std::weak_ptr<bool>(m_alive), id](bool healthy) {
                      if (alive.expired()) {
                          return;
                      }
                      const auto it = m_reboots.find(id);
                      if (it != m_reboots.end()) {
                          it->second.healthy = healthy;
                      }
                  });
}

template<CoordinationService S>
const InstanceRecord *Controller<S>::record(const InstanceId &id) const
{
    const auto &records = m_cluster.instances();
    const auto it
        = std::find_if(records.begin(), records.end(), [&](const InstanceRecord &item) { return item.id == id; });
    return it == records.end() ? nullptr : &*it;
}

/// Raised alarms are stored under the key "alarms", so that an alarm is raised once for all entries and the next
/// responsible entry continues with it.
template<CoordinationService S>
void Controller<S>::evaluateAlerts(TimePoint now)
{
    if (!isResponsible("alerts", now) || m_alarmsPending) {
        return;
    }
    const StoreValue &stored = m_cluster.inForce("alarms");
    if (stored.version != m_alarmsVersion) {
        const auto state = parseAlertState(stored.value);
        if (state) {
            m_alertState = mergeStoredAlarms(m_alertState, state.value());
        }
        m_alarmsVersion = stored.version;
    }
    std::vector<MetricSample> samples = m_hooks.samples(now);
    addFleetSamples(samples);
    const WallTime wallNow = std::chrono::time_point_cast<Duration>(std::chrono::system_clock::now());
    AlertEvaluation step = evaluateAlertRules(m_rules, m_alertState, samples, wallNow);
    if (!step.store) {
        m_alertState = std::move(step.next);
        return;
    }
    m_alarmsPending = true;
    m_cluster.change("alarms", stored.version, formatAlertState(step.next),
                     [this, alive = std::weak_ptr<bool>(m_alive), step](Result<StoreValue> result) {
                         if (!alive.expired()) {
                             m_alarmsPending = false;
                             onAlarmsStored(step, result);
                         }
                     });
}

template<CoordinationService S>
void Controller<S>::onAlarmsStored(const AlertEvaluation &step, const Result<StoreValue> &result)
{
    if (!result) {
        logRepeated(LogLevel::Warn, "alarms-not-stored", "alarms", {{"reason", result.error().message}});
        return;
    }
    for (const AlarmEvent &event : step.events) {
        logEvent(event.raised ? LogLevel::Warn : LogLevel::Info, event.raised ? "alarm-raised" : "alarm-cleared",
                 {{"rule", event.key.rule}, {"severity", event.severity}, {"value", std::to_string(event.value)}});
    }
    m_alertState = step.next;
    m_alarmsVersion = result.value().version;
}

template<CoordinationService S>
void Controller<S>::addFleetSamples(std::vector<MetricSample> &samples) const
{
    for (const PoolSpec &pool : m_sheet.pools) {
        const Labels labels{{"pool", pool.id.value}};
        double failures = 0;
        for (const auto &[id, wave] : m_fleet.waves) {
            const bool isOver = wave.state == WaveState::Done || wave.state == WaveState::Aborted;
            if (wave.pool == pool.id && !isOver) {
                failures
                    += static_cast<double>(std::count_if(wave.finished.begin(), wave.finished.end(),
                                                         [](const FinishedInstance &item) { return !item.succeeded; }));
            }
        }
        samples.push_back({"briarvane_wave_failures", labels, failures});
        samples.push_back({"briarvane_instances_disrupted", labels,
                           static_cast<double>(disrupted(m_fleet, pool.id, m_cluster.instances()))});
    }
}

template<CoordinationService S>
bool Controller<S>::isResponsible(std::string_view responsibility, TimePoint now) const
{
    return m_cluster.membership().responsible(responsibility, now) == m_cluster.membership().self();
}

template<CoordinationService S>
std::int64_t Controller<S>::unixMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch())
        .count();
}

}
