#pragma once

// Orders of the fleet's owner to the machines API: which may be sent, which are open, and which executors they may
// still end. Does no input or output.
//
// Expected load: a pool's demand peak and a wave make hundreds of orders due at once. Orders that wait for a connection
// time out, and keep others waiting.
//
// Index
// [1] Orders and their results
// [2] The book

#include "pool_planner.h"
#include "wave_planner.h"

#include <variant>

namespace briarvane
{

// [1] Orders and their results ----------------------------------------------------------------------------------------

/// Result of an order to the machines API.
enum class OrderResult {
    Begun,
    Refused,     // refused for now; may be accepted later
    Impossible,  // will never be accepted
    Fenced,      // the fencing token is outdated: the partition has another owner
    Unknown,     // no usable answer; the order may have taken effect
};

struct FleetOrder
{
    std::variant<MaintenanceRequest, MoveRequest> request;

    const std::string &instance() const;
    /// Incarnation that the order ends; empty: the instance was listed without one.
    const std::string &executor() const;
};

// [2] The book --------------------------------------------------------------------------------------------------------

struct OrderBookSettings
{
    std::size_t maxOpen = 4;     // orders without an answer; each has a connection of its own
    std::size_t maxQueued = 64;  // orders that wait to be sent; the planners keep the others
};

/// Has at most one order for each instance. An order without an answer may be carried out late, so its executor stays
/// in executors() until a later answer or list settles it.
class OrderBook
{
public:
    explicit OrderBook(OrderBookSettings settings = {});

    std::size_t room() const;  // orders that add() takes before the queue is full
    /// Queues the order, unless there is one for the instance or no room.
    void add(FleetOrder order);
    /// Orders that are to be sent now. Each is answered by answered().
    std::vector<FleetOrder> takeDue();
    /// The result to act on: a refusal is Unknown while an earlier order for the instance may still be carried out.
    OrderResult answered(const FleetOrder &order, OrderResult result);
    /// Settles the orders without an answer whose executor is no longer the one that the instance is listed with.
    void setInstances(const std::vector<PooledInstance> &instances);
    /// Executors that orders may end. They must get no work.
    std::set<std::string> executors() const;
    std::size_t openCount() const
    {
        return m_open.size();
    }

private:
    OrderBookSettings m_settings;
    std::deque<FleetOrder> m_queue;
    std::map<std::string, std::string> m_pending;    // queued and open orders: executor by instance
    std::set<std::string> m_open;                    // instances with an open order
    std::map<std::string, std::string> m_unsettled;  // orders without an answer: executor by instance
};

}
