#pragma once

// Runs the maintenance waves and the moves between pools while this entry owns the fleet partition.

#include "boot_clock.h"
#include "job_keys.h"
#include "log.h"
#include "ownership_guard.h"
#include "partition_ownership.h"
#include "pool_planner.h"
#include "store_view.h"
#include "wave_planner.h"

#include <boost/json.hpp>

#include <charconv>

namespace briarvane
{

struct FleetOwnerSettings
{
    WavePlannerSettings waveSettings;
    PoolPlannerSettings poolSettings;
    /// Time between two requests for the list of instances while a wave or a move is in progress. All entries share the
    /// rate limit of the list.
    Duration listPeriod{1'000'000};
    /// Time between two requests for the list while no wave and no move is in progress.
    Duration idleListPeriod{2'000'000};
    /// Time after a takeover without requests for maintenance and moves: the machines API refuses requests of two
    /// owners that follow each other too closely.
    Duration takeoverDelay{3'300'000};
    Duration storeTimeout{700'000};   // timeout of one call to the store
    Duration retryPause{150'000};     // pause after a failed call to the store
    Duration statePeriod{1'000'000};  // time between log lines with the state of the owner
};

/// Result of a request to the machines API for the maintenance or the move of an instance.
enum class MaintenanceResult {
    Begun,
    Refused,     // refused for now; may be accepted later
    Impossible,  // will never be accepted
    Fenced,      // the fencing token is outdated: the partition has another owner
    Unknown,     // no usable answer; the request may have taken effect
};

/// Counts of one period, for the log.
struct FleetOwnerCounts
{
    int passes = 0;  // planning passes
    Duration longestPass{0};
    int requested = 0;  // requests for maintenance and moves
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
    std::function<void(const MaintenanceRequest &, std::uint64_t fencingToken, std::function<void(MaintenanceResult)>)>
        maintain;
    std::function<void(const MoveRequest &, std::uint64_t fencingToken, std::function<void(MaintenanceResult)>)> move;
    std::function<StoreWrite(std::int64_t wave, bool completed)> status;  // write of the wave's status for operators
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
        , m_wavePlanner(settings.waveSettings)
        , m_poolPlanner(settings.poolSettings)
        , m_requestsAllowedFrom(hadOwner ? acquiredAt + settings.takeoverDelay : acquiredAt)
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
                         m_loaded = true;
                         for (const auto &[id, wave] : m_waves) {
                             m_wavePlanner.addWave(wave, m_begunInstances[id], bootNow());
                         }
                         listInstances();
                         confirmOwnership();
                         logState();
                     }));
    }

    void addWave(const MaintenanceWave &wave)
    {
        m_waves[wave.id] = wave;
        if (m_loaded) {
            guarded([&] {
                m_wavePlanner.addWave(wave, m_begunInstances[wave.id], bootNow());
                runPlanners();
            })();
        }
    }
    void setSparePools(std::set<std::string> pools)
    {
        m_sparePools = std::move(pools);
    }
    /// Sets the vacated executors, each with the revision of the list of vacating executors to which the report of its
    /// partition's owner refers.
    void setVacated(const std::map<std::string, std::uint64_t> &executors)
    {
        std::set<std::string> ids;
        for (const auto &[id, revision] : executors) {
            ids.insert(id);
        }
        guarded([&] {
            m_wavePlanner.setVacated(std::move(ids));
            m_poolPlanner.setVacated(executors);
            runPlanners();
        })();
    }
    void setLoad(const std::string &pool, PoolLoad load)
    {
        guarded([&] {
            m_wavePlanner.setDemand(pool, load.demandMilliCores);
            m_poolPlanner.setLoad(pool, std::move(load));
            runPlanners();
        })();
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

    /// Reads the ownership key periodically. No requests for maintenance or moves are sent unless a recent answer
    /// proves the ownership.
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
                             m_confirmedAt = sentAt;
                         }
                         later(answered ? m_settings.listPeriod : m_settings.retryPause,
                               [this] { confirmOwnership(); });
                     }));
    }

    void listInstances()
    {
        const TimePoint sentAt = bootNow();
        m_hooks.list(guarded([this, sentAt](const Result<std::vector<PooledInstance>> &listed) {
            if (listed) {
                m_listedAt = sentAt;
                m_wavePlanner.setInstances(listed.value(), m_sparePools, bootNow());
                m_poolPlanner.setInstances(listed.value(), m_sparePools, bootNow());
                m_hasInstances = true;
                runPlanners();
            } else {
                ++m_counts.failedLists;
                logRepeated(LogLevel::Warn, "machines-not-listed", "list", {{"why", listed.error().message}});
            }
            const bool inProgress = !m_wavePlanner.allWavesCompleted() || m_poolPlanner.hasMoves();
            later(inProgress ? m_settings.listPeriod : m_settings.idleListPeriod, [this] { listInstances(); });
        }));
    }

    void logState()
    {
        const FleetOwnerCounts counts = std::exchange(m_counts, {});
        const auto milliseconds = [](Duration time) { return std::to_string(time.count() / 1000); };
        logEvent(LogLevel::Info, "fleet-state",
                 {{"passes", std::to_string(counts.passes)},
                  {"longest_pass_us", std::to_string(counts.longestPass.count())},
                  {"requested", std::to_string(counts.requested)},
                  {"begun", std::to_string(counts.begun)},
                  {"refused", std::to_string(counts.refused)},
                  {"unanswered", std::to_string(counts.unanswered)},
                  {"open", std::to_string(m_openRequests)},
                  {"failed_lists", std::to_string(counts.failedLists)},
                  {"list_age_ms", m_hasInstances ? milliseconds(bootNow() - m_listedAt) : "none"},
                  {"proof_ms", milliseconds(bootNow() - m_confirmedAt)}});
        later(m_settings.statePeriod, [this] { logState(); });
    }

    /// Counts the answer to a request for maintenance or for a move.
    void countAnswer(const std::string &instance, const std::string &executor, TimePoint orderedAt,
                     MaintenanceResult result)
    {
        if (result == MaintenanceResult::Begun) {
            logEvent(LogLevel::Info, "instance-order-accepted",
                     {{"instance", instance},
                      {"executor", executor},
                      {"after_ms", std::to_string((bootNow() - orderedAt).count() / 1000)}});
        }
        --m_openRequests;
        m_counts.begun += result == MaintenanceResult::Begun ? 1 : 0;
        m_counts.unanswered += result == MaintenanceResult::Unknown ? 1 : 0;
        m_counts.refused += result == MaintenanceResult::Refused || result == MaintenanceResult::Impossible ? 1 : 0;
    }

    void runPlanners()
    {
        const TimePoint startedAt = steadyNow();
        planAndPublish();
        ++m_counts.passes;
        m_counts.longestPass = std::max(m_counts.longestPass, steadyNow() - startedAt);
    }

    void planAndPublish()
    {
        const TimePoint now = bootNow();
        if (m_ownershipLost || !m_loaded || !m_hasInstances) {
            return;
        }
        constexpr Duration maxProofAge{2'500'000};  // requests need a proof that is not older than this
        if (now >= m_requestsAllowedFrom && now - m_confirmedAt < maxProofAge) {
            m_wavePlanner.setMoving(m_poolPlanner.movingInstances());
            for (const MaintenanceRequest &request : m_wavePlanner.tick(now)) {
                maintain(request);
            }
            m_poolPlanner.setInMaintenance(m_wavePlanner.instancesInMaintenance());
            if (!m_publishing) {
                m_poolPlanner.setPublishedVacating(m_publishedVacating, m_vacatingRevision);
            }
            for (const MoveRequest &request : m_poolPlanner.tick(now)) {
                move(request);
            }
        }
        publish();
        if (!std::exchange(m_planScheduled, true)) {
            constexpr Duration planPeriod{250'000};
            later(planPeriod, [this] {
                m_planScheduled = false;
                runPlanners();
            });
        }
    }

    void maintain(const MaintenanceRequest &request)
    {
        logEvent(LogLevel::Info, "maintenance-ordered",
                 {{"instance", request.instance},
                  {"executor", request.executor},
                  {"wave", std::to_string(request.wave)},
                  {"list_revision", std::to_string(m_vacatingRevision)}});
        ++m_counts.requested;
        ++m_openRequests;
        m_hooks.maintain(request, fencingToken(),
                         guarded([this, request, sentAt = bootNow()](MaintenanceResult result) {
                             countAnswer(request.instance, request.executor, sentAt, result);
                             const TimePoint now = bootNow();
                             switch (result) {
                             case MaintenanceResult::Begun:
                                 m_wavePlanner.maintenanceBegun(request.wave, request.instance, now);
                                 break;
                             case MaintenanceResult::Fenced:
                                 reportOwnershipLost("fenced");
                                 return;
                             case MaintenanceResult::Refused:
                             case MaintenanceResult::Impossible:
                                 m_wavePlanner.maintenanceRefused(request.wave, request.instance,
                                                                  result == MaintenanceResult::Impossible, now);
                                 break;
                             case MaintenanceResult::Unknown:
                                 break;  // the planner repeats the request; a repeated request has no second effect
                             }
                             runPlanners();
                         }));
    }

    void move(const MoveRequest &request)
    {
        logEvent(LogLevel::Info, "move-ordered",
                 {{"instance", request.instance},
                  {"executor", request.executor},
                  {"pool", request.pool},
                  {"from", request.sourcePool},
                  {"why", std::string(toString(request.reason))}});
        ++m_counts.requested;
        ++m_openRequests;
        m_hooks.move(request, fencingToken(), guarded([this, request, sentAt = bootNow()](MaintenanceResult result) {
                         countAnswer(request.instance, request.executor, sentAt, result);
                         const TimePoint now = bootNow();
                         if (result == MaintenanceResult::Fenced) {
                             reportOwnershipLost("fenced");
                         } else if (result == MaintenanceResult::Begun) {
                             m_poolPlanner.moveAccepted(request.instance, now);
                         } else if (result != MaintenanceResult::Unknown) {
                             m_poolPlanner.moveRefused(request.instance, result == MaintenanceResult::Impossible, now);
                         }
                         runPlanners();
                     }));
    }

    /// Writes the list of vacating executors, the instances whose maintenance has begun, and the status of the waves,
    /// as far as they have changed. Only one write is in progress at a time.
    void publish()
    {
        if (m_publishing) {
            return;
        }
        boost::json::array vacatingList;
        std::set<std::string> vacating = m_wavePlanner.vacating();
        vacating.merge(m_poolPlanner.vacating());
        for (const std::string &executor : vacating) {
            vacatingList.push_back(boost::json::string(executor));
        }
        boost::json::object begun;
        for (const auto &[wave, instances] : m_wavePlanner.begunInstances()) {
            begun[std::to_string(wave)] = boost::json::value_from(instances);
        }
        const bool vacatingChanged = vacating != m_publishedVacating || m_vacatingRevision == 0;
        const std::string vacatingText = boost::json::serialize(vacatingList);
        const std::string begunText = boost::json::serialize(begun);
        const std::vector<std::int64_t> started = m_wavePlanner.unpublishedStarts();
        std::vector<std::int64_t> completed;
        StoreTxn txn;
        if (vacatingChanged) {
            txn.writes.push_back({keys::FleetVacating, vacatingText, 0});
        }
        if (begunText != m_storedBegun) {
            txn.writes.push_back({keys::FleetMaintenanceBegun, begunText, 0});
        } else {
            // A wave is reported as completed only once the record of its begun instances is stored.
            completed = m_wavePlanner.unpublishedCompletions();
        }
        for (const std::int64_t wave : started) {
            txn.writes.push_back(m_hooks.status(wave, false));
        }
        for (const std::int64_t wave : completed) {
            txn.writes.push_back(m_hooks.status(wave, true));
        }
        if (txn.writes.empty()) {
            return;
        }
        m_publishing = true;
        m_writer.commit(std::move(txn), m_settings.storeTimeout,
                        guarded([this, vacating, vacatingChanged, begunText, started,
                                 completed](const StoreReply &reply, bool deposed) {
                            m_publishing = false;
                            if (deposed) {
                                reportOwnershipLost("precondition");
                                return;
                            }
                            if (reply.outcome != StoreOutcome::Done) {
                                // The write may or may not have taken effect, so the stored list is not known.
                                m_publishedVacating.clear();
                                m_vacatingRevision = 0;
                                later(m_settings.retryPause, [this] { runPlanners(); });
                                return;
                            }
                            if (vacatingChanged) {
                                m_publishedVacating = vacating;
                                m_vacatingRevision = reply.revision;
                                logEvent(LogLevel::Info, "vacating-published",
                                         {{"executors", std::to_string(vacating.size())},
                                          {"revision", std::to_string(reply.revision)}});
                            }
                            m_storedBegun = begunText;
                            for (const std::int64_t wave : started) {
                                m_wavePlanner.runningPublished(wave);
                            }
                            for (const std::int64_t wave : completed) {
                                m_wavePlanner.completionPublished(wave);
                                logEvent(LogLevel::Info, "wave-completed", {{"wave", std::to_string(wave)}});
                            }
                            runPlanners();
                        }));
    }

    S &m_store;
    FencedWriter<S> m_writer;
    FleetOwnerSettings m_settings;
    FleetOwnerHooks m_hooks;
    WavePlanner m_wavePlanner;
    PoolPlanner m_poolPlanner;
    TimePoint m_requestsAllowedFrom;
    TimePoint m_confirmedAt;
    TimePoint m_listedAt;       // send time of the request for the last list of instances
    FleetOwnerCounts m_counts;  // since the last log line
    int m_openRequests = 0;     // requests for maintenance and moves without an answer yet
    std::map<std::int64_t, MaintenanceWave> m_waves;
    std::map<std::int64_t, std::set<std::string>> m_begunInstances;
    std::set<std::string> m_sparePools;
    std::set<std::string> m_publishedVacating;  // stored list of vacating executors
    std::uint64_t m_vacatingRevision = 0;       // store revision of the list of vacating executors; 0: not known
    std::string m_storedBegun;
    bool m_loaded = false;
    bool m_hasInstances = false;
    bool m_publishing = false;
    bool m_planScheduled = false;
    bool m_ownershipLost = false;
};

}
