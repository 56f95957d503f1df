#pragma once

// Multiplexes many deadlines onto one Asio timer. A request that completes before its deadline costs one insertion into
// and one removal from an ordered map, instead of starting and cancelling a timer of its own.

#include "guarded_call.h"
#include "types.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <map>
#include <memory>

namespace briarvane
{

inline TimePoint steadyNow()
{
    return std::chrono::time_point_cast<Duration>(std::chrono::steady_clock::now());
}

/// Runs functions at given times on the I/O thread. Functions that are still pending at destruction are discarded.
class Timers
{
public:
    using Key = std::pair<TimePoint, std::uint64_t>;  // a default-constructed key refers to no function

    explicit Timers(boost::asio::io_context &io)
        : m_state(std::make_shared<State>(io))
    {
    }
    Timers(const Timers &) = delete;
    Timers &operator=(const Timers &) = delete;
    ~Timers()
    {
        m_state->functions.clear();
        m_state->timer.cancel();
    }

    Key at(TimePoint time, std::function<void()> function)
    {
        const Key key{time, ++m_state->sequence};
        m_state->functions.emplace(key, std::move(function));
        if (time < m_state->armedFor) {
            arm(m_state, time);
        }
        return key;
    }

    /// Sets a function that is called with the delay of each expiry: the time from the earliest due time to the moment
    /// at which the event loop runs the due functions. A loop that has more events than processor time shows here
    /// first.
    void onExpiry(std::function<void(Duration delay)> observer)
    {
        m_state->observer = std::move(observer);
    }

    /// Discards the function, if it has not run, and resets the key.
    void cancel(Key &key)
    {
        if (key.second != 0) {
            m_state->functions.erase(key);
            key = {};
        }
    }

private:
    struct State
    {
        explicit State(boost::asio::io_context &io)
            : timer(io)
        {
        }
        boost::asio::steady_timer timer;
        std::map<Key, std::function<void()>> functions;
        std::function<void(Duration)> observer;
        std::uint64_t sequence = 0;
        // Expiry of the timer. The timer keeps running when the function that it was started for is cancelled.
        TimePoint armedFor = TimePoint::max();
    };

    static void arm(const std::shared_ptr<State> &state, TimePoint time)
    {
        state->armedFor = time;
        state->timer.expires_at(time);
        state->timer.async_wait([weak = std::weak_ptr<State>(state)](const boost::system::error_code &error) {
            const auto locked = weak.lock();
            if (locked == nullptr || error) {
                return;
            }
            locked->armedFor = TimePoint::max();
            const TimePoint now = steadyNow();
            if (locked->observer && !locked->functions.empty() && locked->functions.begin()->first.first <= now) {
                locked->observer(now - locked->functions.begin()->first.first);
            }
            while (!locked->functions.empty() && locked->functions.begin()->first.first <= now) {
                auto node = locked->functions.extract(locked->functions.begin());
                callGuarded("timer", node.mapped());
            }
            if (!locked->functions.empty() && locked->functions.begin()->first.first < locked->armedFor) {
                arm(locked, locked->functions.begin()->first.first);
            }
        });
    }

    std::shared_ptr<State> m_state;
};

}
