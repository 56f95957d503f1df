#pragma once

// Routing policies with which the benchmarks compare PoolRouter.

#include "routing.h"

#include <algorithm>
#include <deque>
#include <set>

namespace briarvane
{

/// Baseline: one queue in order of arrival, instances round-robin, 8 slots each.
class FifoRouter
{
public:
    using Decisions = std::vector<PermitDecision>;

    Decisions setInstances(const std::vector<PoolInstance> &admitted, std::size_t, TimePoint)
    {
        m_instances.clear();
        for (const PoolInstance &instance : admitted) {
            m_instances.push_back(instance.id);
        }
        return dispatch();
    }
    Decisions enqueue(const PermitRequest &request, TimePoint)
    {
        m_queue.push_back({request.requester, request.info.id});
        return dispatch();
    }
    Decisions cancel(const RequestKey &key, TimePoint)
    {
        std::erase(m_queue, key);
        return dispatch();
    }
    Decisions release(const Requester &, std::uint64_t, const InstanceId &instance, const ServiceId &,
                      const std::string &, RequestClass, UpstreamResult, Duration, TimePoint)
    {
        --m_inService[instance];
        return dispatch();
    }
    Decisions tick(TimePoint)
    {
        return {};
    }

private:
    Decisions dispatch()
    {
        Decisions decisions;
        std::size_t full = 0;
        while (!m_queue.empty() && full < m_instances.size()) {
            const InstanceId &instance = m_instances[m_nextInstance++ % m_instances.size()];
            int &inService = m_inService[instance];
            if (inService >= Slots) {
                ++full;
                continue;
            }
            full = 0;
            ++inService;
            decisions.push_back({m_queue.front(), ++m_permit, instance});
            m_queue.pop_front();
        }
        return decisions;
    }

    static constexpr int Slots = 8;
    std::vector<InstanceId> m_instances;
    std::map<InstanceId, int> m_inService;
    std::deque<RequestKey> m_queue;
    std::size_t m_nextInstance = 0;
    std::uint64_t m_permit = 0;
};

/// Policy that is given the true service time of every waiting request, stragglers included. The shortest request
/// starts first, and requests longer than `longBound` use at most MaxLongShare of the slots. The policy does not
/// preempt, and it has no information on requests that have not arrived.
class ClairvoyantRouter
{
public:
    using Decisions = std::vector<PermitDecision>;

    ClairvoyantRouter(const std::map<std::uint64_t, Duration> &sizes, Duration longBound)
        : m_sizes(&sizes)
        , m_longBound(longBound)
    {
    }
    Decisions setInstances(const std::vector<PoolInstance> &admitted, std::size_t, TimePoint)
    {
        m_instances = admitted;
        return dispatch();
    }
    Decisions enqueue(const PermitRequest &request, TimePoint)
    {
        m_queue.insert({m_sizes->at(request.info.id), {request.requester, request.info.id}});
        return dispatch();
    }
    Decisions cancel(const RequestKey &key, TimePoint)
    {
        m_queue.erase({m_sizes->at(key.request), key});
        return dispatch();
    }
    Decisions release(const Requester &, std::uint64_t permit, const InstanceId &instance, const ServiceId &,
                      const std::string &, RequestClass, UpstreamResult, Duration, TimePoint)
    {
        --m_inService[instance];
        m_longs.erase(permit);
        return dispatch();
    }
    Decisions tick(TimePoint)
    {
        return {};
    }

private:
    Decisions dispatch()
    {
        Decisions decisions;
        const auto maxLongs = static_cast<std::size_t>(MaxLongShare * Slots * static_cast<double>(m_instances.size()));
        while (!m_queue.empty()) {
            // The queue is sorted by size: when the first request is long and may not start, no other may start either.
            const auto next = m_queue.begin();
            const bool isLong = next->first > m_longBound;
            if (isLong && m_longs.size() >= maxLongs) {
                return decisions;
            }
            const auto leastLoaded = std::min_element(
                m_instances.begin(), m_instances.end(),
                [&](const PoolInstance &a, const PoolInstance &b) { return m_inService[a.id] < m_inService[b.id]; });
            if (leastLoaded == m_instances.end() || m_inService[leastLoaded->id] >= Slots) {
                return decisions;
            }
            ++m_inService[leastLoaded->id];
            decisions.push_back({next->second, ++m_permit, leastLoaded->id});
            if (isLong) {
                m_longs.insert(m_permit);
            }
            m_queue.erase(next);
        }
        return decisions;
    }

    static constexpr int Slots = 8;
    static constexpr double MaxLongShare = 0.75;
    const std::map<std::uint64_t, Duration> *m_sizes;
    Duration m_longBound;
    std::vector<PoolInstance> m_instances;
    std::map<InstanceId, int> m_inService;
    std::set<std::pair<Duration, RequestKey>> m_queue;
    std::set<std::uint64_t> m_longs;
    std::uint64_t m_permit = 0;
};

static_assert(RouterPolicy<FifoRouter>);
static_assert(RouterPolicy<ClairvoyantRouter>);

}
