#pragma once

// Base of PartitionOwner and FleetOwner: completions and timers that do nothing once the owner is destroyed, the end of
// an ownership after an unexpected exception, and the check of the ownership key.

#include "guarded_call.h"
#include "http_timers.h"
#include "store.h"

namespace briarvane
{

class OwnershipGuard
{
public:
    /// `onException` is called once a wrapped completion has thrown. The state of the owner may be half changed then,
    /// so the function must end the ownership; the next owner loads the state from the store.
    OwnershipGuard(Timers &timers, std::uint64_t fencingToken, std::function<void()> onException)
        : m_timers(timers)
        , m_fencingToken(fencingToken)
        , m_onException(std::move(onException))
        , m_alive(std::make_shared<bool>(true))
    {
    }
    OwnershipGuard(const OwnershipGuard &) = delete;
    OwnershipGuard &operator=(const OwnershipGuard &) = delete;
    ~OwnershipGuard()
    {
        *m_alive = false;
    }

    /// Wraps a completion so that it does nothing once the owner is destroyed, and ends the ownership if it throws.
    template<class F>
    auto guarded(F function) const
    {
        return [this, alive = m_alive, function = std::move(function)](const auto &...arguments) mutable {
            if (*alive && !callGuarded("partition-owner", [&] { function(arguments...); }) && *alive) {
                m_onException();
            }
        };
    }

    /// Calls the function after the pause unless the owner has been destroyed by then.
    Timers::Key later(Duration pause, std::function<void()> function) const
    {
        return m_timers.at(steadyNow() + pause, guarded(std::move(function)));
    }

    std::uint64_t fencingToken() const
    {
        return m_fencingToken;
    }

    /// Whether a reply to a read of the ownership key shows that another owner, or none, has the partition. A failed
    /// read shows neither.
    bool isDeposed(const StoreReply &reply) const
    {
        const bool answered = reply.outcome == StoreOutcome::Done;
        return reply.outcome == StoreOutcome::NotFound
            || (answered && (reply.items.empty() || reply.items.front().revision != m_fencingToken));
    }

private:
    Timers &m_timers;
    std::uint64_t m_fencingToken;
    std::function<void()> m_onException;
    std::shared_ptr<bool> m_alive;
};

}
