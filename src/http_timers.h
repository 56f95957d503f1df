#pragma once

// Deadlines of many requests on one Asio timer. A request that ends in time costs one insertion and one removal in an
// ordered map instead of starting and cancelling a timer of its own.

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

/// Runs functions at their time on the I/O thread. All functions that are left are dropped with the object.
class Timers
{
public:
    using Key = std::pair<TimePoint, std::uint64_t>;  // a default-constructed key is never in use

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
        std::uint64_t sequence = 0;
        TimePoint armedFor = TimePoint::max();  // the timer is left running when its function is cancelled
    };

    static void arm(const std::shared_ptr<State> &state, TimePoint time)
    {
        state->armedFor = time;
        state->timer.expires_at(time);
        state->timer.async_wait([weak = std::weak_ptr<State>(state)](const boost::system::error_code &error) {
            const auto held = weak.lock();
            if (held == nullptr || error) {
                return;
            }
            held->armedFor = TimePoint::max();
            const TimePoint now = steadyNow();
            while (!held->functions.empty() && held->functions.begin()->first.first <= now) {
                auto node = held->functions.extract(held->functions.begin());
                node.mapped()();
            }
            if (!held->functions.empty() && held->functions.begin()->first.first < held->armedFor) {
                arm(held, held->functions.begin()->first.first);
            }
        });
    }

    std::shared_ptr<State> m_state;
};

}
