#pragma once

// Decisions of the fleet's owner: when the planners run, which of their orders are sent, and which executors are
// vacating. Takes its time from the caller and does no input or output.
//
// An order ends the executor of its instance, so from the order until its outcome is known the executor must get no
// work. That holds across owners: orders of the predecessor may still be carried out after the fleet has a new owner,
// which therefore keeps the predecessor's list of vacating executors until then.
//
// Index
// [1] Settings
// [2] Pace of the planning passes
// [3] The planner

#include "order_book.h"

namespace briarvane
{

// [1] Settings --------------------------------------------------------------------------------------------------------

struct FleetPlannerSettings
{
    WavePlannerSettings waveSettings;
    PoolPlannerSettings poolSettings;
    OrderBookSettings orderSettings;
    /// Time after a takeover without orders: the machines API refuses orders of two owners that follow each other too
    /// closely.
    Duration takeoverDelay{3'300'000};
    Duration maxProofAge{2'500'000};   // orders are sent with a proof of ownership that is not older
    Duration maxListAge{3'000'000};    // and with a list of instances that is not older
    Duration orderTimeout{1'500'000};  // an order is answered or given up within this time
    Duration orderMargin{300'000};     // time in which an order that was given up may still be carried out
};

// [2] Pace of the planning passes -------------------------------------------------------------------------------------

/// Bounds the share of the processor that planning takes. A pass looks at all instances, so its cost grows with the
/// fleet, while answers and reports come at hundreds a second.
struct PlanPace
{
    Duration minGap{50'000};  // shortest time between two passes
    double maxShare = 0.1;    // share of the time that passes may take

    /// Time from which on the next pass may run.
    TimePoint next(TimePoint startedAt, TimePoint endedAt) const
    {
        const auto pause
            = Duration(static_cast<std::int64_t>(static_cast<double>((endedAt - startedAt).count()) / maxShare));
        return startedAt + std::max(minGap, pause);
    }
};

// [3] The planner -----------------------------------------------------------------------------------------------------

class FleetPlanner
{
public:
    FleetPlanner(const FleetPlannerSettings &settings, bool hadOwner, TimePoint acquiredAt);

    /// The list of vacating executors that the predecessor has stored, and its revision.
    void inheritVacating(std::set<std::string> executors, std::uint64_t revision);
    void setSparePools(std::set<std::string> pools);
    /// All instances, as listed by a call that was sent at `askedAt`.
    void setInstances(const std::vector<PooledInstance> &instances, TimePoint askedAt, TimePoint now);
    /// Vacated executors, each with the revision of the list of vacating executors to which the report refers.
    void setVacated(const std::map<std::string, std::uint64_t> &executors);
    /// Blocked executors, with revisions like those of setVacated(); see VacatedReport.
    void setBlocked(const std::map<std::string, std::uint64_t> &executors);
    void setLoad(const std::string &pool, PoolLoad load);
    void confirmed(TimePoint provenAt);  // a call sent at `provenAt` proved the ownership

    /// Plans waves and moves, and queues the orders that are due.
    void plan(TimePoint now);
    /// Orders that are to be sent now. Each is answered by answered().
    std::vector<FleetOrder> takeOrders(TimePoint now);
    void answered(const FleetOrder &order, OrderResult result, TimePoint now);

    std::set<std::string> vacating(TimePoint now) const;  // executors that must get no new work
    void publishing();                                    // a write of the list of vacating executors was sent
    /// The stored list of vacating executors, once the write is answered; revision 0: not known.
    void published(std::set<std::string> executors, std::uint64_t revision);
    const std::set<std::string> &publishedVacating() const
    {
        return m_published;
    }
    std::uint64_t publishedRevision() const
    {
        return m_publishedRevision;
    }
    bool hasInstances() const
    {
        return m_listedAt != TimePoint{};
    }
    TimePoint listedAt() const
    {
        return m_listedAt;
    }
    TimePoint provenAt() const
    {
        return m_provenAt;
    }
    bool inProgress() const;  // a wave or a move is in progress
    std::size_t openOrders() const
    {
        return m_orders.openCount();
    }
    WavePlanner &waves()
    {
        return m_waves;
    }

private:
    bool mayOrder(TimePoint now) const;

    FleetPlannerSettings m_settings;
    WavePlanner m_waves;
    PoolPlanner m_pools;
    OrderBook m_orders;
    std::set<std::string> m_sparePools;
    TimePoint m_ordersAllowedFrom;
    TimePoint m_predecessorSendsUntil;  // the predecessor sends no order later
    TimePoint m_inheritedUntil;         // orders of the predecessor may be carried out until then
    std::set<std::string> m_inherited;  // executors that these may end
    std::set<std::string> m_published;
    std::uint64_t m_publishedRevision = 0;
    bool m_isPublishing = false;
    TimePoint m_provenAt;
    TimePoint m_listedAt;
};

}
