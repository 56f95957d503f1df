#include "routing.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace briarvane
{

namespace
{

constexpr double MicrosPerSecond = 1e6;
/// The declared time weighs as much as this many samples.
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

// [4] Learned service times -------------------------------------------------------------------------------------------

SizeEstimate::SizeEstimate(Duration declared, Duration halfLife)
    : m_prior(DeclaredWeight)
    , m_halfLife(halfLife)
{
    m_weights[bucketOf(declared)] = m_prior;
    m_total = m_prior;
}

std::size_t SizeEstimate::bucketOf(Duration time)
{
    const double octaves = std::log2(std::max(1.0, micros(time) / 64.0));
    return std::min(BucketCount - 1, static_cast<std::size_t>(octaves * 2));
}

double SizeEstimate::bucketTime(std::size_t bucket)
{
    return 64.0 * std::exp2((static_cast<double>(bucket) + 0.5) / 2);
}

void SizeEstimate::add(Duration time, TimePoint now)
{
    if (!m_started) {
        m_started = true;
        m_base = now;
    }
    // New samples weigh more instead of old ones less; the scale is reset before it loses precision.
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

double SizeEstimate::weight(TimePoint now) const
{
    return m_started ? (m_total - m_prior) / std::exp2(micros(now - m_base) / micros(m_halfLife)) : 0;
}

Duration SizeEstimate::quantile(double share) const
{
    double rest = share * m_total;
    for (std::size_t bucket = 0; bucket < BucketCount; ++bucket) {
        rest -= m_weights[bucket];
        if (rest <= 0) {
            return fromMicros(bucketTime(bucket));
        }
    }
    return fromMicros(bucketTime(BucketCount - 1));
}

Duration SizeEstimate::mean() const
{
    double sum = 0;
    for (std::size_t bucket = 0; bucket < BucketCount; ++bucket) {
        sum += m_weights[bucket] * bucketTime(bucket);
    }
    return fromMicros(sum / m_total);
}

Duration SizeEstimate::meanUpTo(Duration bound) const
{
    double sum = 0;
    for (std::size_t bucket = 0; bucket < BucketCount; ++bucket) {
        sum += m_weights[bucket] * std::min(bucketTime(bucket), micros(bound));
    }
    return fromMicros(sum / m_total);
}

Duration SizeEstimate::remaining(Duration elapsed) const
{
    double sum = 0;
    double weight = 0;
    for (std::size_t bucket = bucketOf(elapsed); bucket < BucketCount; ++bucket) {
        sum += m_weights[bucket] * std::max(0.0, bucketTime(bucket) - micros(elapsed));
        weight += m_weights[bucket];
    }
    // Beyond everything seen so far, as much again as it has run is the usual guess for heavy tails.
    return weight > 0 ? fromMicros(sum / weight) : elapsed;
}

// [5] Ejection of failing instances -----------------------------------------------------------------------------------

Ejection::Ejection(EjectionSettings settings)
    : m_settings(settings)
{
}

void Ejection::setInstances(const std::set<InstanceId> &instances)
{
    std::erase_if(m_records, [&](const auto &line) { return !instances.contains(line.first); });
    for (const InstanceId &instance : instances) {
        m_records.try_emplace(instance);
    }
    // In a pool that shrank, those that were to come back first do so now.
    while (3 * ejected() > static_cast<int>(m_records.size())) {
        const auto first = std::min_element(m_records.begin(), m_records.end(), [](const auto &a, const auto &b) {
            return std::tuple(!a.second.out, a.second.until) < std::tuple(!b.second.out, b.second.until);
        });
        first->second.out = false;
    }
}

void Ejection::eject(Record &record, TimePoint now)
{
    const Duration time = std::min(m_settings.longestTime, Duration{m_settings.firstTime * (1LL << record.level)});
    record.out = true;
    record.until = now + time;
    record.level = std::min(record.level + 1, 6);
    record.good = 0;
    record.bad = 0;
}

void Ejection::outcome(const InstanceId &instance, UpstreamResult result, TimePoint now)
{
    const auto found = m_records.find(instance);
    if (found == m_records.end() || result == UpstreamResult::Cancelled || result == UpstreamResult::NotSent) {
        return;
    }
    Record &record = found->second;
    if (record.out) {
        if (now < record.until) {
            return;  // work that was sent before the ejection
        }
        if (isFailure(result)) {
            eject(record, now);
        } else {
            record.out = false;
            record.healthySince = now;
        }
        return;
    }
    const double decay = std::exp2(-micros(now - record.updated) / micros(m_settings.halfLife));
    record.good *= decay;
    record.bad *= decay;
    record.updated = now;
    if (!isFailure(result)) {
        record.good += 1;
        if (record.level > 0 && now - record.healthySince >= m_settings.forgive) {
            --record.level;
            record.healthySince = now;
        }
        return;
    }
    record.bad += 1;
    record.healthySince = now;
    const bool room = 3 * (ejected() + 1) <= static_cast<int>(m_records.size());
    if (record.bad >= m_settings.minFailures && record.bad > record.good && room) {
        eject(record, now);
    }
}

Ejection::Use Ejection::use(const InstanceId &instance, TimePoint now) const
{
    const auto found = m_records.find(instance);
    if (found == m_records.end()) {
        return Use::Normal;
    }
    const Record &record = found->second;
    if (record.out) {
        return now < record.until ? Use::Ejected : Use::Probe;
    }
    return record.bad >= m_settings.minFailures && record.bad > record.good ? Use::Suspect : Use::Normal;
}

int Ejection::ejected() const
{
    return static_cast<int>(
        std::count_if(m_records.begin(), m_records.end(), [](const auto &line) { return line.second.out; }));
}

std::optional<TimePoint> Ejection::nextProbe(TimePoint now) const
{
    std::optional<TimePoint> next;
    for (const auto &[instance, record] : m_records) {
        if (record.out && record.until > now && (!next || record.until < *next)) {
            next = record.until;
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
        // Requests older than some ten seconds no longer count as recent.
        m_shareTokens *= std::exp(-elapsed / 10);
    }
    m_started = true;
    m_refilled = now;
}

void RetryBudget::request(TimePoint now)
{
    refill(now);
    m_shareTokens += m_share;
}

bool RetryBudget::take(TimePoint now)
{
    refill(now);
    double &tokens = m_floorTokens >= 1 ? m_floorTokens : m_shareTokens;
    if (tokens < 1 - 1e-6) {  // the sum of many tenths is not exact
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
