#pragma once

// Which instances change their pool, so that capacity follows demand that takes turns. Decisions only.
//
// Load that this answers: each queue asks about five times its mean for some seconds, more than its pool holds, one
// queue after another, and a twentieth between. An instance in a pool costs for every second, a move as much as about
// one second. A move takes 1.5 s and ends what runs on the instance, so only empty instances move. A pool that needs
// less gives up instances that hold no long-running task; they take no new work until they are empty. They go to a pool
// that needs more, or else to a spare pool, where they cost nothing.
//
// Index
// [1] Settings and inputs
// [2] The planner

#include "deployment.h"

#include <deque>
#include <set>

namespace briarvane
{

// [1] Settings and inputs ---------------------------------------------------------------------------------------------

struct PoolPlannerSettings
{
    double headroom = 1.1;             // of the wanted cores; placement cannot fill every instance
    double floorShare = 0.85;          // of the mean pool with spares; the start of a turn meets at least this
    Duration riseOver{500'000};        // the rise of demand is taken over this time
    Duration riseAhead{1'500'000};     // and continued for this time, which a move takes; at most to twice the present
    Duration surplusFor{1'500'000};    // not needed for this long: demand falls and rises between steps of jobs
    Duration refusedPause{2'000'000};  // after a refused move: the instance is busy or another owner's turn is not over
    Duration requestRepeat{1'500'000};  // an unanswered or refused move is tried again
    Duration arrivalLimit{6'000'000};   // a moved instance that has not come up by then is no longer counted
    Duration loadAge{3'000'000};        // older loads are not acted on: their owner may be gone
};

/// What the owner of a partition tells about its pool.
struct PoolLoad
{
    int wantedMilliCores = 0;                    // running, waiting and soon ready
    std::map<std::string, int> wantedWithLabel;  // the part of them that requires a label, milli-cores by label
    int widestStep = 0;                          // executors that a long-running step needs at least
    std::set<std::string> idle;                  // executors without runs
    std::set<std::string> light;                 // the others without long-running tasks
    TimePoint learned;
};

struct MoveRequest
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
    /// Empty executors, each with the revision of the list of vacating executors that its owner answered.
    void setVacated(std::map<std::string, std::uint64_t> executors);
    /// The stored list of vacating executors. A word that an executor is empty counts only if it answers a list that
    /// holds it without a gap until now: between two moves the executor may have taken work again.
    void setVacatePublished(const std::set<std::string> &executors, std::uint64_t revision);
    void setReserved(std::set<std::string> instances);  // in a wave now
    void moved(const std::string &instance, TimePoint now);
    /// `forGood`: the pool takes no instances of this kind.
    void refused(const std::string &instance, bool forGood, TimePoint now);

    std::vector<MoveRequest> tick(TimePoint now);
    std::set<std::string> vacating() const;  // executors that must take no work
    std::set<std::string> busy() const;      // instances that are being moved
    bool active() const;

private:
    struct Move
    {
        std::string pool;  // goal
        std::string from;
        std::string executor;  // before the move; empty when it is spare
        TimePoint requestedAt;
        bool accepted = false;
        std::uint64_t vacateRevision = 0;  // of the first stored list that names the executor; 0: none yet
    };

    int instancesOf(const std::string &pool) const;              // present and arriving
    const std::string &poolOf(const PooledInstance &one) const;  // once the moves that are planned have ended
    int coresWithLabel(const std::string &pool, const std::string &label) const;  // milli-cores
    /// Whether the instance's pool would lack its kind, or cores with a label that its jobs require.
    bool wouldMiss(const PooledInstance &one) const;
    /// Instances that a pool needs for so many cores; none when its load is not known.
    std::optional<int> neededFor(const std::string &pool, int milliCores, TimePoint now) const;
    /// Cores that a pool is expected to want when an instance that is requested now has come up.
    int expectedOf(const std::string &pool) const;
    int meanSize() const;  // of a pool, if the spare instances were divided as well
    bool mayMove(const PooledInstance &one, const std::string &pool, TimePoint now) const;
    std::optional<std::string> sparePoolFor(const PooledInstance &one, TimePoint now) const;
    bool isEmpty(const Move &move) const;
    bool isSent(const Move &move) const;
    void planParking(TimePoint now);
    void planArrivals(TimePoint now);
    void planLabels(std::vector<std::string> &free, TimePoint now);
    void keep(const std::string &pool, int &missing);

    PoolPlannerSettings m_settings;
    std::map<std::string, PooledInstance> m_instances;
    std::set<std::string> m_sparePools;
    std::map<std::string, PoolLoad> m_loads;
    std::map<std::string, std::deque<std::pair<TimePoint, int>>> m_recent;  // wanted cores by pool, latest last
    std::map<std::string, std::uint64_t> m_vacated;
    std::set<std::string> m_reserved;
    std::map<std::string, Move> m_moves;
    std::map<std::string, TimePoint> m_pausedUntil;              // by instance whose move was refused
    std::set<std::pair<std::string, std::string>> m_impossible;  // kind of instance and pool
    std::map<std::string, std::string> m_homes;                  // pool of each instance when it was first seen
};

}
