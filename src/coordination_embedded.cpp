#include "memory_store.h"

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include <algorithm>

namespace briarvane
{

namespace
{

TimePoint steadyNow()
{
    return std::chrono::time_point_cast<Duration>(std::chrono::steady_clock::now());
}

Error unavailableError()
{
    return Error{ErrorCode::Unavailable, "the embedded coordination service is set to be down"};
}

}

struct EmbeddedCoordination::Impl : std::enable_shared_from_this<EmbeddedCoordination::Impl>
{
    struct Watch
    {
        std::string prefixes;
        std::uint64_t after = 0;
        TimePoint until;
        Done<WatchBatch> done;
    };

    Impl(boost::asio::io_context &ioContext, EmbeddedCoordination &coordination)
        : io(ioContext)
        , owner(&coordination)
        , timer(ioContext)
    {
    }

    template<class T>
    void complete(const Done<T> &done, Result<T> result)
    {
        boost::asio::post(io, [self = shared_from_this(), done, result = std::move(result)] {
            if (self->owner) {
                done(result);
            }
        });
    }

    /// Runs the call now, or keeps it for runDeferredCalls() while calls are deferred.
    void run(std::function<void()> call)
    {
        if (owner->faults.deferCalls) {
            deferred.push_back(std::move(call));
            return;
        }
        store.expire(steadyNow());
        call();
        completeWatches();
    }

    template<class T>
    void runRead(const Done<T> &done, std::function<Result<T>()> call)
    {
        run([this, done, call = std::move(call)] {
            ++owner->reads;
            complete<T>(done, owner->faults.down ? Result<T>(unavailableError()) : call());
        });
    }

    template<class T>
    void runWrite(const Done<T> &done, std::function<Result<T>()> call)
    {
        run([this, done, call = std::move(call)] {
            EmbeddedFaults &faults = owner->faults;
            ++owner->writes;
            if (faults.down) {
                complete<T>(done, unavailableError());
            } else if (faults.failWrites > 0) {
                --faults.failWrites;
                complete<T>(done, Error{ErrorCode::Unavailable, "injected fault: the write had no effect"});
            } else if (faults.loseResponses > 0) {
                --faults.loseResponses;
                static_cast<void>(call());
                complete<T>(
                    done,
                    Error{ErrorCode::Unknown, "injected fault: the write took effect, but its response was lost"});
            } else {
                complete<T>(done, call());
            }
        });
    }

    /// Runs a lease or reboot call. These are not counted and not subject to the faults of writes, so that a fault
    /// which a test injects affects the intended write and not a lease renewal in the background.
    template<class T>
    void runUncounted(const Done<T> &done, std::function<Result<T>()> call)
    {
        run([this, done, call = std::move(call)] {
            complete<T>(done, owner->faults.down ? Result<T>(unavailableError()) : call());
        });
    }

    /// Completes the watches that have a change or whose watch time is over, and all watches while `down` is set.
    void completeWatches()
    {
        const TimePoint now = steadyNow();
        std::vector<Watch> pending;
        pending.swap(watches);
        for (Watch &watch : pending) {
            if (owner->faults.down) {
                complete<WatchBatch>(watch.done, unavailableError());
                continue;
            }
            Result<WatchBatch> batch = store.changes(watch.prefixes, watch.after);
            if (!batch || !batch.value().values.empty() || watch.until <= now) {
                complete<WatchBatch>(watch.done, std::move(batch));
            } else {
                watches.push_back(std::move(watch));
            }
        }
        schedule();
    }

    /// Sets the timer to the next end of a lease, a watch or a reboot. Watches that are waiting when a test sets `down`
    /// fail at the next call or timer, hence at the end of their watch time at the latest.
    void schedule()
    {
        std::optional<TimePoint> next = store.nextExpiry();
        const auto consider = [&next](TimePoint time) { next = next ? std::min(*next, time) : time; };
        for (const Watch &watch : watches) {
            consider(watch.until);
        }
        for (const auto &[instance, until] : reboots) {
            consider(until);
        }
        if (!next || timerAt == next) {
            return;
        }
        timerAt = next;
        timer.expires_at(*next);
        timer.async_wait([self = shared_from_this()](const boost::system::error_code &error) {
            if (!error && self->owner) {
                self->timerAt.reset();
                self->onTimer();
            }
        });
    }

    void onTimer()
    {
        const TimePoint now = steadyNow();
        store.expire(now);
        std::erase_if(reboots, [this, now](const auto &reboot) {
            if (reboot.second > now) {
                return false;
            }
            setPresence(reboot.first, Presence::Live);
            return true;
        });
        completeWatches();
    }

    bool setPresence(const InstanceId &instance, Presence presence)
    {
        for (InstanceRecord &record : owner->records) {
            if (record.id == instance) {
                record.presence = presence;
                return true;
            }
        }
        return false;
    }

    boost::asio::io_context &io;
    EmbeddedCoordination *owner;  // null once the EmbeddedCoordination is destroyed
    boost::asio::steady_timer timer;
    std::optional<TimePoint> timerAt;  // time at which the timer expires; not set: the timer is not running
    MemoryStore store;
    std::vector<Watch> watches;
    std::vector<std::function<void()>> deferred;
    std::map<InstanceId, TimePoint> reboots;  // ends of the reboots in progress
};

EmbeddedCoordination::EmbeddedCoordination(boost::asio::io_context &io)
    : m_impl(std::make_shared<Impl>(io, *this))
{
}

EmbeddedCoordination::~EmbeddedCoordination()
{
    m_impl->owner = nullptr;
    m_impl->timer.cancel();
    m_impl->watches.clear();
    m_impl->deferred.clear();
}

void EmbeddedCoordination::read(const std::string &key, const Done<StoreValue> &done)
{
    m_impl->runRead<StoreValue>(done, [impl = m_impl.get(), key] { return impl->store.read(key); });
}

void EmbeddedCoordination::list(const std::string &prefix, const Done<std::vector<StoreValue>> &done)
{
    m_impl->runRead<std::vector<StoreValue>>(done, [impl = m_impl.get(), prefix] { return impl->store.list(prefix); });
}

void EmbeddedCoordination::swap(const SwapRequest &request, const Done<std::uint64_t> &done)
{
    m_impl->runWrite<std::uint64_t>(done, [impl = m_impl.get(), request] { return impl->store.swap(request); });
}

void EmbeddedCoordination::remove(const std::string &key, std::uint64_t expected, const Done<bool> &done)
{
    m_impl->runWrite<bool>(done, [impl = m_impl.get(), key, expected] { return impl->store.remove(key, expected); });
}

void EmbeddedCoordination::watch(const std::string &prefix, std::uint64_t after, const Done<WatchBatch> &done)
{
    m_impl->run([impl = m_impl.get(), prefix, after, done] {
        ++impl->owner->reads;
        impl->watches.push_back({prefix, after, steadyNow() + DefaultWatchTimeout, done});
    });
}

void EmbeddedCoordination::grantLease(Duration ttl, const Done<std::string> &done)
{
    m_impl->runUncounted<std::string>(done,
                                      [impl = m_impl.get(), ttl] { return impl->store.grantLease(ttl, steadyNow()); });
}

void EmbeddedCoordination::renewLease(const std::string &lease, const Done<bool> &done)
{
    m_impl->runUncounted<bool>(done,
                               [impl = m_impl.get(), lease] { return impl->store.renewLease(lease, steadyNow()); });
}

void EmbeddedCoordination::instances(const Done<std::vector<InstanceRecord>> &done)
{
    m_impl->runRead<std::vector<InstanceRecord>>(done, [impl = m_impl.get()] { return impl->owner->records; });
}

void EmbeddedCoordination::reboot(const InstanceId &instance, const Done<bool> &done)
{
    m_impl->runUncounted<bool>(done, [impl = m_impl.get(), instance]() -> Result<bool> {
        if (!impl->setPresence(instance, Presence::Gone)) {
            return Error{ErrorCode::NotFound, "no such instance"};
        }
        impl->reboots[instance] = steadyNow() + impl->owner->rebootTime;
        return true;
    });
}

void EmbeddedCoordination::runDeferredCalls()
{
    std::vector<std::function<void()>> calls;
    calls.swap(m_impl->deferred);
    for (std::function<void()> &call : calls) {
        m_impl->run(std::move(call));
    }
}

}
