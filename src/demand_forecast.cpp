#include "demand_forecast.h"

#include <algorithm>

namespace briarvane
{

DemandForecast::DemandForecast(DemandForecastSettings settings)
    : m_settings(settings)
{
}

Duration DemandForecast::toleranceTime() const
{
    return std::chrono::duration_cast<Duration>(period().value_or(Duration{0}) * m_settings.tolerance);
}

void DemandForecast::observe(const std::string &name, int milliCores, int smallestPeak, TimePoint now)
{
    const auto [found, isNew] = m_pools.try_emplace(name);
    Pool &pool = found->second;
    dropMissedPeak(pool, now);
    const double beginAbove = std::max(m_settings.peakFactor * pool.quietMilliCores, static_cast<double>(smallestPeak));
    if (pool.isPeaking) {
        if (pool.isExpectedToRecur) {
            const double seconds = std::chrono::duration<double>(now - pool.lastSample).count();
            pool.coreTime += milliCores * seconds;
            pool.peakSeconds += seconds;
        }
        pool.isPeaking = milliCores > beginAbove / 2;
    } else if (!isNew && milliCores > beginAbove) {
        beginPeak(pool, now);
    }
    if (!pool.isPeaking) {
        pool.quietMilliCores += (isNew ? 1 : m_settings.smoothing) * (milliCores - pool.quietMilliCores);
    }
    pool.lastSample = now;
}

void DemandForecast::dropMissedPeak(Pool &pool, TimePoint now)
{
    const std::optional<Duration> known = period();
    if (!pool.lastPeak || !known || now <= *pool.lastPeak + *known + toleranceTime()) {
        return;
    }
    pool.lastPeak.reset();
    pool.isReliable = false;
    m_hitRate -= m_settings.hitWeight * m_hitRate;
    const bool noneLeft = std::none_of(m_pools.begin(), m_pools.end(),
                                       [](const auto &entry) { return entry.second.lastPeak.has_value(); });
    if (noneLeft) {
        m_period.reset();
    }
}

void DemandForecast::beginPeak(Pool &pool, TimePoint now)
{
    pool.isPeaking = true;
    const std::optional<Duration> known = period();
    pool.isExpectedToRecur = !pool.lastPeak || (known && now >= *pool.lastPeak + *known - toleranceTime());
    if (!pool.isExpectedToRecur) {
        return;
    }
    if (pool.lastPeak) {
        m_period = now - *pool.lastPeak;
        pool.isReliable = true;
        m_hitRate += m_settings.hitWeight * (1 - m_hitRate);
    }
    pool.lastPeak = now;
    pool.coreTime = 0;
    pool.peakSeconds = 0;
}

std::optional<Duration> DemandForecast::period() const
{
    if (m_period || m_pools.size() < 2) {
        return m_period;
    }
    TimePoint first = TimePoint::max();
    TimePoint last = TimePoint::min();
    for (const auto &[name, pool] : m_pools) {
        if (!pool.lastPeak) {
            return std::nullopt;
        }
        first = std::min(first, *pool.lastPeak);
        last = std::max(last, *pool.lastPeak);
    }
    // Each of the n pools has had one peak, and n - 1 intervals lie between the first and the last one.
    return (last - first) * static_cast<Duration::rep>(m_pools.size()) / static_cast<Duration::rep>(m_pools.size() - 1);
}

std::optional<ExpectedPeak> DemandForecast::nextPeak(const std::string &name, TimePoint now) const
{
    const auto found = m_pools.find(name);
    const std::optional<Duration> known = period();
    if (found == m_pools.end() || !known || m_hitRate < m_settings.minHitRate || !found->second.lastPeak
        || !found->second.isReliable || found->second.isPeaking || found->second.peakSeconds <= 0) {
        return std::nullopt;
    }
    const Pool &pool = found->second;
    const TimePoint begin = *pool.lastPeak + *known;
    if (now > begin + toleranceTime()) {
        return std::nullopt;  // the expected peak did not come
    }
    return ExpectedPeak{begin, static_cast<int>(pool.coreTime / pool.peakSeconds)};
}

}
