#pragma once

// Expects the peaks of demand that recur in each pool after about the same time. Takes its time from the caller and
// does no input or output.
//
// Expected load: the pools have peaks one after another, in an order that recurs. A peak lasts only some times longer
// than the move of an instance, so capacity that is requested when the demand rises misses much of it.
// Nothing is expected before every pool has had a peak. After an expected peak did not come, nothing is expected in the
// pool until a later one has come at its time, and nothing in any pool if that happens often. A peak that comes early,
// for example an extra burst, does not shift the expected time of the next one.

#include "types.h"

#include <map>
#include <optional>
#include <string>

namespace briarvane
{

struct DemandForecastSettings
{
    /// A peak begins when the demand exceeds this multiple of the pool's demand between peaks, and the size that the
    /// caller regards as a peak. It ends when the demand falls below half of that.
    double peakFactor = 3;
    /// Part of the period by which a peak may begin earlier or later than expected.
    double tolerance = 0.2;
    /// Nothing is expected in any pool while fewer of the last expected peaks came at their times.
    double minHitRate = 0.5;
    double hitWeight = 0.25;  // weight of the last expected peak in the rate
    double smoothing = 0.2;   // weight of a new sample in the demand between peaks
};

struct ExpectedPeak
{
    TimePoint begin;
    int milliCores = 0;  // mean demand during the last peak of the pool
};

class DemandForecast
{
public:
    explicit DemandForecast(DemandForecastSettings settings = {});

    /// `smallestPeak`: milli-cores below which a rise of the demand is no peak. Call it with the demand of every pool;
    /// pools that were never observed are not waited for.
    void observe(const std::string &pool, int milliCores, int smallestPeak, TimePoint now);
    /// The peak that the pool is expected to have next, or that was expected to begin within the tolerance before
    /// `now`; none while the pool is in a peak or nothing is known.
    std::optional<ExpectedPeak> nextPeak(const std::string &pool, TimePoint now) const;
    /// Time between two peaks of a pool; none before every pool has had a peak.
    std::optional<Duration> period() const;

private:
    struct Pool
    {
        double quietMilliCores = 0;
        bool isPeaking = false;
        bool isReliable = true;          // false from a peak that did not come until one that came at its time
        bool isExpectedToRecur = false;  // whether the present peak did not come early
        /// Begin of the last peak that did not come early; none after the next one did not come.
        std::optional<TimePoint> lastPeak;
        TimePoint lastSample;
        double coreTime = 0;     // demand of the present or last peak, in milli-cores x seconds
        double peakSeconds = 0;  // its length so far
    };

    Duration toleranceTime() const;
    /// Forgets the last peak of the pool if the next one is overdue, and the period if that holds for all pools.
    void dropMissedPeak(Pool &pool, TimePoint now);
    void beginPeak(Pool &pool, TimePoint now);

    DemandForecastSettings m_settings;
    std::map<std::string, Pool> m_pools;
    double m_hitRate = 1;              // exponentially weighted share of the expected peaks that came at their times
    std::optional<Duration> m_period;  // measured between two peaks of one pool
};

}
