#pragma once

// Which instances change their pool, so that capacity follows demand that takes turns. Decisions only.
//
// Load that this answers: each queue asks about five times its mean for some seconds, more than its pool holds, one
// queue after another. A move takes 1.5 s and ends what runs on the instance, so only empty instances move: spare ones
// first, then those that another pool does not need.
//
// Index
// [1] Settings and inputs
// [2] The planner

#include "plan.h"

#include <set>

namespace briarvane
{

// [1] Settings and inputs ---------------------------------------------------------------------------------------------

struct PoolPlannerSettings
{
    double headroom = 1.1;                  // of the wanted cores; placement cannot fill every instance
    Duration idleBeforeParking{2'500'000};  // an instance in a pool costs, and the next turn may come
    Duration orderRepeat{1'500'000};        // an unanswered or refused move is tried again
    Duration arrivalLimit{6'000'000};       // a moved instance that has not come up by then is no longer counted
    Duration loadAge{3'000'000};            // older loads are not acted on: their owner may be gone
};

/// What the owner of a share tells about its pool.
struct PoolLoad
{
    int wantedMilliCores = 0;    // running, waiting and soon ready
    int longMilliCores = 0;      // of these, long-running
    int widestStep = 0;          // executors that a long-running step needs at least
    std::set<std::string> idle;  // executors without runs
    TimePoint learned;
};

struct MoveOrder
{
    std::string instance;
    std::string pool;
};

std::string encodePoolLoad(const PoolLoad &load);
Result<PoolLoad> parsePoolLoad(std::string_view text, TimePoint now);

// [2] The planner -----------------------------------------------------------------------------------------------------

class PoolPlanner
{
public:
    explicit PoolPlanner(PoolPlannerSettings settings);

    void setInstances(const std::vector<PooledInstance> &instances, const std::set<std::string> &sparePools,
                      TimePoint now);
    void setLoad(const std::string &pool, PoolLoad load);
    void setCleared(std::set<std::string> executors);
    void setReserved(std::set<std::string> instances);  // in a wave now
    void moved(const std::string &instance, TimePoint now);
    void refused(const std::string &instance, TimePoint now);

    std::vector<MoveOrder> tick(TimePoint now);
    std::set<std::string> vacating() const;  // executors that must take no work
    std::set<std::string> busy() const;      // instances that are being moved
    bool active() const;

private:
    struct Move
    {
        std::string pool;  // goal
        std::string from;
        std::string executor;  // before the move; empty when it is spare
        TimePoint since;
        TimePoint orderedAt;
        bool accepted = false;
    };

    int instancesOf(const std::string &pool) const;  // present and arriving
    int wantedOf(const std::string &pool, TimePoint now) const;
    bool isEmpty(const Move &move) const;
    void planArrivals(TimePoint now);
    void planParking(TimePoint now);

    PoolPlannerSettings m_settings;
    std::map<std::string, PooledInstance> m_instances;
    std::set<std::string> m_sparePools;
    std::map<std::string, int> m_baseSizes;  // of each pool when it was first seen
    std::map<std::string, PoolLoad> m_loads;
    std::map<std::string, TimePoint> m_idleSince;  // by executor
    std::set<std::string> m_cleared;
    std::set<std::string> m_reserved;
    std::map<std::string, Move> m_moves;
    std::map<std::string, std::string> m_homes;  // pool of each instance when it was first seen
};

}
