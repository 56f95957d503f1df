#include "routing.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace briarvane
{

namespace
{

constexpr double MicrosPerSecond = 1e6;
/// Weight of the declared service time in an estimate, as a number of samples.
constexpr double DeclaredWeight = 3;

double seconds(Duration duration)
{
    return static_cast<double>(duration.count()) / MicrosPerSecond;
}

double micros(Duration duration)
{
    return static_cast<double>(duration.count());
}

Duration fromMicros(double value)
{
    return Duration{static_cast<std::int64_t>(value)};
}

}

bool isFailure(UpstreamResult result)
{
    return result != UpstreamResult::Completed && result != UpstreamResult::Cancelled
        && result != UpstreamResult::NotSent;
}

// [4] Estimated service times -----------------------------------------------------------------------------------------

ServiceTimeEstimate::ServiceTimeEstimate(Duration declared, Duration halfLife)
    : m_prior(DeclaredWeight)
    , m_halfLife(halfLife)
{
    m_weights[bucketOf(declared)] = m_prior;
    m_total = m_prior;
}

std::size_t ServiceTimeEstimate::bucketOf(Duration time)
{
    const double octaves = std::log2(std::max(1.0, micros(time) / 64.0));
    return std::min(BucketCount - 1, static_cast<std::size_t>(octaves * 2));
}

double ServiceTimeEstimate::bucketTime(std::size_t bucket)
{
    return 64.0 * std::exp2((static_cast<double>(bucket) + 0.5) / 2);
}

void ServiceTimeEstimate::add(Duration time, TimePoint now)
{
    if (!m_started) {
        m_started = true;
        m_base = now;
    }
    // Instead of decaying all old weights, each new sample gets a larger weight. The weights are scaled back before
    // they lose precision.
    double scale = std::exp2(micros(now - m_base) / micros(m_halfLife));
    if (scale > 1e6) {
        for (double &weight : m_weights) {
            weight /= scale;
        }
        m_total /= scale;
        m_prior /= scale;
        m_base = now;
        scale = 1;
    }
    m_weights[bucketOf(time)] += scale;
    m_total += scale;
}

double ServiceTimeEstimate::weight(TimePoint now) const
{
    return m_started ? (m_total - m_prior) / std::exp2(micros(now - m_base) / micros(m_halfLife)) : 0;
}

Duration ServiceTimeEstimate::quantile(double probability) const
{
    double rest = probability * m_total;
    for (std::size_t bucket = 0; bucket < BucketCount; ++bucket) {
        rest -= m_weights[bucket];
        if (rest <= 0) {
            return fromMicros(bucketTime(bucket));
        }
    }
    return fromMicros(bucketTime(BucketCount - 1));
}

Duration ServiceTimeEstimate::mean() const
{
    double sum = 0;
    for (std::size_t bucket = 0; bucket < BucketCount; ++bucket) {
        sum += m_weights[bucket] * bucketTime(bucket);
    }
    return fromMicros(sum / m_total);
}

Duration ServiceTimeEstimate::meanUpTo(Duration bound) const
{
    double sum = 0;
    for (std::size_t bucket = 0; bucket < BucketCount; ++bucket) {
        sum += m_weights[bucket] * std::min(bucketTime(bucket), micros(bound));
    }
    return fromMicros(sum / m_total);
}

Duration ServiceTimeEstimate::remaining(Duration elapsed) const
{
    double sum = 0;
    double weight = 0;
    for (std::size_t bucket = bucketOf(elapsed); bucket < BucketCount; ++bucket) {
        sum += m_weights[bucket] * std::max(0.0, bucketTime(bucket) - micros(elapsed));
        weight += m_weights[bucket];
    }
    // Work that has run for longer than all samples is expected to take as long again, as is usual for heavy-tailed
    // distributions.
    return weight > 0 ? fromMicros(sum / weight) : elapsed;
}

// [5] Ejection of failing instances -----------------------------------------------------------------------------------

Ejection::Ejection(EjectionSettings settings)
    : m_settings(settings)
{
}

void Ejection::setInstances(const std::set<InstanceId> &instances)
{
    std::erase_if(m_records, [&](const auto &item) { return !instances.contains(item.first); });
    for (const InstanceId &instance : instances) {
        m_records.try_emplace(instance);
    }
    // If the pool has shrunk, the ejections that end first are ended until at most a third of the pool is ejected.
    while (3 * ejected() > static_cast<int>(m_records.size())) {
        const auto first = std::min_element(m_records.begin(), m_records.end(), [](const auto &a, const auto &b) {
            return std::tuple(!a.second.ejected, a.second.ejectedUntil)
                < std::tuple(!b.second.ejected, b.second.ejectedUntil);
        });
        first->second.ejected = false;
    }
}

void Ejection::eject(Record &record, TimePoint now)
{
    const Duration time
        = std::min(m_settings.longestEjection, Duration{m_settings.firstEjection * (1LL << record.doublings)});
    record.ejected = true;
    record.ejectedUntil = now + time;
    record.doublings = std::min(record.doublings + 1, 6);
    record.successes = 0;
    record.failures = 0;
}

void Ejection::recordOutcome(const InstanceId &instance, UpstreamResult result, TimePoint now)
{
    const auto found = m_records.find(instance);
    if (found == m_records.end() || result == UpstreamResult::Cancelled || result == UpstreamResult::NotSent) {
        return;
    }
    Record &record = found->second;
    if (record.ejected) {
        if (now < record.ejectedUntil) {
            return;  // result of a request that was sent before the ejection
        }
        if (isFailure(result)) {
            eject(record, now);
        } else {
            record.ejected = false;
            record.healthySince = now;
        }
        return;
    }
    const double decay = std::exp2(-micros(now - record.decayedAt) / micros(m_settings.halfLife));
    record.successes *= decay;
    record.failures *= decay;
    record.decayedAt = now;
    if (!isFailure(result)) {
        record.successes += 1;
        if (record.doublings > 0 && now - record.healthySince >= m_settings.recoveryPeriod) {
            --record.doublings;
            record.healthySince = now;
        }
        return;
    }
    record.failures += 1;
    record.healthySince = now;
    const bool mayEject = 3 * (ejected() + 1) <= static_cast<int>(m_records.size());
    if (record.failures >= m_settings.minFailures && record.failures > record.successes && mayEject) {
        eject(record, now);
    }
}

Ejection::InstanceState Ejection::instanceState(const InstanceId &instance, TimePoint now) const
{
    const auto found = m_records.find(instance);
    if (found == m_records.end()) {
        return InstanceState::Normal;
    }
    const Record &record = found->second;
    if (record.ejected) {
        return now < record.ejectedUntil ? InstanceState::Ejected : InstanceState::Probe;
    }
    return record.failures >= m_settings.minFailures && record.failures > record.successes ? InstanceState::Suspect
                                                                                           : InstanceState::Normal;
}

int Ejection::ejected() const
{
    return static_cast<int>(
        std::count_if(m_records.begin(), m_records.end(), [](const auto &item) { return item.second.ejected; }));
}

std::optional<TimePoint> Ejection::nextProbe(TimePoint now) const
{
    std::optional<TimePoint> next;
    for (const auto &[instance, record] : m_records) {
        if (record.ejected && record.ejectedUntil > now && (!next || record.ejectedUntil < *next)) {
            next = record.ejectedUntil;
        }
    }
    return next;
}

// [6] Retry budget ----------------------------------------------------------------------------------------------------

RetryBudget::RetryBudget(double floorPerSecond, double share)
    : m_floor(floorPerSecond)
    , m_share(share)
    , m_floorTokens(floorPerSecond)
{
}

void RetryBudget::refill(TimePoint now)
{
    if (m_started) {
        const double elapsed = seconds(now - m_refilled);
        m_floorTokens = std::min(m_floor, m_floorTokens + m_floor * elapsed);
        // The share tokens decay exponentially with a time constant of 10 s, so they amount to `m_share` of the
        // requests of about the last 10 s, less the retries taken from them.
        m_shareTokens *= std::exp(-elapsed / 10);
    }
    m_started = true;
    m_refilled = now;
}

void RetryBudget::recordRequest(TimePoint now)
{
    refill(now);
    m_shareTokens += m_share;
}

bool RetryBudget::tryTake(TimePoint now)
{
    refill(now);
    double &tokens = m_floorTokens >= 1 ? m_floorTokens : m_shareTokens;
    if (tokens < 1 - 1e-6) {  // the tolerance covers the rounding errors in a sum of many tenths
        return false;
    }
    tokens -= 1;
    return true;
}

void RetryBudget::setFloor(double perSecond)
{
    m_floor = perSecond;
    m_floorTokens = std::min(m_floorTokens, m_floor);
}

}
