#pragma once

// Runs the maintenance waves while this entry owns the fleet partition.

#include "boot_clock.h"
#include "job_keys.h"
#include "log.h"
#include "ownership_guard.h"
#include "partition_ownership.h"
#include "pool_planner.h"
#include "store_view.h"
#include "wave_planner.h"

#include <boost/json.hpp>

namespace briarvane
{

struct FleetOwnerSettings
{
    WavePlannerSettings waves;
    PoolPlannerSettings pools;
    Duration lookPeriod{1'000'000};  // of the machines' list while a wave runs; the list's rate is shared by all
    Duration idlePeriod{2'000'000};  // and while none does
    Duration turnPause{3'300'000};   // after a takeover: requests of two holders must not come close together
    Duration storeTimeout{700'000};
    Duration retryPause{150'000};
};

enum class MaintenanceResult { Begun, Refused, Impossible, Fenced, Unknown };

/// What the owner needs from its entry.
struct FleetOwnerHooks
{
    using Listed = std::function<void(const Result<std::vector<PooledInstance>> &)>;
    std::function<void(Listed)> list;
    std::function<void(const MaintenanceRequest &, std::uint64_t fencingToken, std::function<void(MaintenanceResult)>)>
        maintain;
    std::function<void(const MoveRequest &, std::uint64_t fencingToken, std::function<void(MaintenanceResult)>)> move;
    std::function<StoreWrite(std::int64_t wave, bool completed)> status;  // the wave's status for the operator
    std::function<void(std::string_view why)> lost;
};

template<Store S>
class FleetOwner : private OwnershipGuard
{
public:
    FleetOwner(S &store, Timers &timers, std::uint64_t fencingToken, bool hadOwner, FleetOwnerSettings settings,
               FleetOwnerHooks hooks, TimePoint acquiredAt)
        : OwnershipGuard(timers, fencingToken)
        , m_store(store)
        , m_writer(store, keys::owner(keys::FleetPartition), fencingToken)
        , m_settings(settings)
        , m_hooks(std::move(hooks))
        , m_planner(settings.waves)
        , m_pools(settings.pools)
        , m_requestsFrom(hadOwner ? acquiredAt + settings.turnPause : acquiredAt)
    {
    }
    using OwnershipGuard::fencingToken;

    void start()
    {
        m_store.read(keys::FleetDone, m_settings.storeTimeout, guarded([this](const StoreReply &reply) {
                         if (reply.outcome == StoreOutcome::Done && !reply.items.empty()) {
                             m_writer.know(keys::FleetDone, reply.items.front().revision);
                             readDone(reply.items.front().value);
                         } else if (reply.outcome != StoreOutcome::NotFound) {
                             later(m_settings.retryPause, [this] { start(); });
                             return;
                         }
                         m_loaded = true;
                         for (const auto &[id, wave] : m_waves) {
                             m_planner.addWave(wave, m_done[id], bootNow());
                         }
                         look();
                         confirm();
                     }));
    }

    void addWave(const MaintenanceWave &wave)
    {
        m_waves[wave.id] = wave;
        if (m_loaded) {
            m_planner.addWave(wave, m_done[wave.id], bootNow());
            act();
        }
    }
    void setSparePools(std::set<std::string> pools)
    {
        m_sparePools = std::move(pools);
    }
    /// Empty executors, each with the revision of the published list that its owner answered.
    void setVacated(const std::map<std::string, std::uint64_t> &executors)
    {
        std::set<std::string> ids;
        for (const auto &[id, revision] : executors) {
            ids.insert(id);
        }
        m_planner.setVacated(std::move(ids));
        m_pools.setVacated(executors);
        act();
    }
    void setLoad(const std::string &pool, PoolLoad load)
    {
        m_pools.setLoad(pool, std::move(load));
        act();
    }

private:
    void lose(std::string_view why)
    {
        if (!std::exchange(m_lost, true)) {
            m_hooks.lost(why);
        }
    }

    void readDone(const std::string &text)
    {
        boost::system::error_code error;
        const boost::json::value value = boost::json::parse(text, error);
        if (error || !value.is_object()) {
            logEvent(LogLevel::Error, "wave-record-unreadable");
            return;
        }
        for (const auto &[wave, instances] : value.get_object()) {
            for (const boost::json::value &instance : instances.as_array()) {
                m_done[std::stoll(std::string(wave))].insert(std::string(instance.as_string()));
            }
        }
        m_storedDone = text;
    }

    /// Proves the ownership; without proof no requests are sent.
    void confirm()
    {
        const TimePoint sentAt = bootNow();
        m_store.read(keys::owner(keys::FleetPartition), m_settings.storeTimeout,
                     guarded([this, sentAt](const StoreReply &reply) {
                         if (isDeposed(reply)) {
                             lose("ownership-key-gone");
                             return;
                         }
                         const bool answered = reply.outcome == StoreOutcome::Done;
                         if (answered) {
                             m_confirmedAt = sentAt;
                         }
                         later(answered ? m_settings.lookPeriod : m_settings.retryPause, [this] { confirm(); });
                     }));
    }

    void look()
    {
        m_hooks.list(guarded([this](const Result<std::vector<PooledInstance>> &listed) {
            if (listed) {
                m_planner.setInstances(listed.value(), m_sparePools, bootNow());
                m_pools.setInstances(listed.value(), m_sparePools, bootNow());
                m_listed = true;
                act();
            } else {
                logRepeated(LogLevel::Warn, "machines-not-listed", "list", {{"why", listed.error().message}});
            }
            const bool busy = !m_planner.idle() || m_pools.active();
            later(busy ? m_settings.lookPeriod : m_settings.idlePeriod, [this] { look(); });
        }));
    }

    void act()
    {
        const TimePoint now = bootNow();
        if (m_lost || !m_loaded || !m_listed) {
            return;
        }
        constexpr Duration proofAge{2'500'000};  // an owner that cannot prove its duty for this long pauses
        if (now >= m_requestsFrom && now - m_confirmedAt < proofAge) {
            m_planner.setReserved(m_pools.busy());
            for (const MaintenanceRequest &request : m_planner.tick(now)) {
                maintain(request);
            }
            m_pools.setReserved(m_planner.busy());
            if (!m_publishing) {
                m_pools.setVacatePublished(m_published, m_publishedRevision);
            }
            for (const MoveRequest &request : m_pools.tick(now)) {
                move(request);
            }
        }
        publish();
        if (!std::exchange(m_actDue, true)) {
            constexpr Duration period{250'000};
            later(period, [this] {
                m_actDue = false;
                act();
            });
        }
    }

    void maintain(const MaintenanceRequest &request)
    {
        logEvent(LogLevel::Info, "maintenance-ordered",
                 {{"instance", request.instance}, {"wave", std::to_string(request.wave)}});
        m_hooks.maintain(request, fencingToken(), guarded([this, request](MaintenanceResult result) {
                             const TimePoint now = bootNow();
                             switch (result) {
                             case MaintenanceResult::Begun:
                                 m_planner.begun(request.wave, request.instance, now);
                                 break;
                             case MaintenanceResult::Fenced:
                                 lose("fenced");
                                 return;
                             case MaintenanceResult::Refused:
                             case MaintenanceResult::Impossible:
                                 m_planner.refused(request.wave, request.instance,
                                                   result == MaintenanceResult::Impossible, now);
                                 break;
                             case MaintenanceResult::Unknown:
                                 break;  // repeated; the same request again has no second effect
                             }
                             act();
                         }));
    }

    void move(const MoveRequest &request)
    {
        logEvent(LogLevel::Info, "move-ordered", {{"instance", request.instance}, {"pool", request.pool}});
        m_hooks.move(request, fencingToken(), guarded([this, request](MaintenanceResult result) {
                         const TimePoint now = bootNow();
                         if (result == MaintenanceResult::Fenced) {
                             lose("fenced");
                         } else if (result == MaintenanceResult::Begun) {
                             m_pools.moved(request.instance, now);
                         } else if (result != MaintenanceResult::Unknown) {
                             m_pools.refused(request.instance, result == MaintenanceResult::Impossible, now);
                         }
                         act();
                     }));
    }

    /// One write at a time: which executors must become empty, what has begun, and the status of the waves.
    void publish()
    {
        if (m_publishing) {
            return;
        }
        boost::json::array vacate;
        std::set<std::string> leaving = m_planner.vacating();
        leaving.merge(m_pools.vacating());
        for (const std::string &executor : leaving) {
            vacate.push_back(boost::json::string(executor));
        }
        boost::json::object done;
        for (const auto &[wave, instances] : m_planner.begunInstances()) {
            done[std::to_string(wave)] = boost::json::value_from(instances);
        }
        const bool vacateChanged = leaving != m_published || m_publishedRevision == 0;
        const std::string vacateText = boost::json::serialize(vacate);
        const std::string doneText = boost::json::serialize(done);
        const std::vector<std::int64_t> announced = m_planner.unannouncedWaves();
        std::vector<std::int64_t> completed;
        StoreTxn txn;
        if (vacateChanged) {
            txn.writes.push_back({keys::FleetVacate, vacateText, 0});
        }
        if (doneText != m_storedDone) {
            txn.writes.push_back({keys::FleetDone, doneText, 0});
        } else {
            completed = m_planner.completedWaves();  // their record is stored
        }
        for (const std::int64_t wave : announced) {
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
                        guarded([this, leaving, vacateChanged, doneText, announced, completed](const StoreReply &reply,
                                                                                               bool deposed) {
                            m_publishing = false;
                            if (deposed) {
                                lose("precondition");
                                return;
                            }
                            if (reply.outcome != StoreOutcome::Done) {
                                m_published.clear();  // either list may be stored
                                m_publishedRevision = 0;
                                later(m_settings.retryPause, [this] { act(); });
                                return;
                            }
                            if (vacateChanged) {
                                m_published = leaving;
                                m_publishedRevision = reply.revision;
                            }
                            m_storedDone = doneText;
                            for (const std::int64_t wave : announced) {
                                m_planner.announced(wave);
                            }
                            for (const std::int64_t wave : completed) {
                                m_planner.reportedCompleted(wave);
                                logEvent(LogLevel::Info, "wave-completed", {{"wave", std::to_string(wave)}});
                            }
                            act();
                        }));
    }

    S &m_store;
    FencedWriter<S> m_writer;
    FleetOwnerSettings m_settings;
    FleetOwnerHooks m_hooks;
    WavePlanner m_planner;
    PoolPlanner m_pools;
    TimePoint m_requestsFrom;
    TimePoint m_confirmedAt;
    std::map<std::int64_t, MaintenanceWave> m_waves;
    std::map<std::int64_t, std::set<std::string>> m_done;
    std::set<std::string> m_sparePools;
    std::set<std::string> m_published;      // executors that must become empty, as stored
    std::uint64_t m_publishedRevision = 0;  // of that list
    std::string m_storedDone;
    bool m_loaded = false;
    bool m_listed = false;
    bool m_publishing = false;
    bool m_actDue = false;
    bool m_lost = false;
};

}
