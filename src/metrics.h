#pragma once

// Counters, gauges and histograms per service, tenant and request class. Each entry lists its series with their values;
// the lists are summed over all entries.
//
// Index
// [1] Buckets
// [2] Accumulator
// [3] Metrics of this entry
// [4] Flat lists: merge, queries, text exposition

#include "types.h"

#include <boost/accumulators/framework/accumulator_base.hpp>
#include <boost/accumulators/framework/accumulator_set.hpp>
#include <boost/accumulators/framework/depends_on.hpp>
#include <boost/accumulators/framework/extractor.hpp>
#include <boost/accumulators/framework/features.hpp>
#include <boost/accumulators/framework/parameters/sample.hpp>

#include <map>
#include <set>

namespace briarvane
{

// [1] Buckets ---------------------------------------------------------------------------------------------------------

/// Histogram with the same bucket bounds in every entry, so that counts can be summed: five buckets per decade from
/// 100 us to 1000 s, and one for longer times. With these bounds a quantile within this range is off by at most a
/// factor of 1.6.
struct BucketCounts
{
    static constexpr std::size_t Bounds = 36;

    std::array<double, Bounds + 1> counts{};
    double sum = 0;  // seconds

    static double bound(std::size_t bucket);  // upper bound in seconds
    static std::size_t bucketOf(double seconds);
    static std::string boundText(std::size_t bucket);  // value of the Prometheus label `le`

    double count() const;
    /// Quantile in seconds, interpolated on the logarithmic scale. Returns 0 without samples, and the highest bound
    /// when the quantile lies above it.
    double quantile(double fraction) const;
    BucketCounts &operator+=(const BucketCounts &other);
};

// [2] Accumulator -----------------------------------------------------------------------------------------------------

/// Accumulates samples into BucketCounts. The histogram of Boost.Accumulators (density) derives its bounds from the
/// first samples, so histograms of two entries could not be summed.
struct BucketAccumulator : boost::accumulators::accumulator_base
{
    using result_type = const BucketCounts &;

    explicit BucketAccumulator(boost::accumulators::dont_care)
    {
    }
    template<class Arguments>
    void operator()(const Arguments &arguments)
    {
        const double seconds = arguments[boost::accumulators::sample];
        m_counts.counts[BucketCounts::bucketOf(seconds)] += 1;
        m_counts.sum += seconds;
    }
    result_type result(boost::accumulators::dont_care) const
    {
        return m_counts;
    }

private:
    BucketCounts m_counts;
};

struct BucketTag : boost::accumulators::depends_on<>
{
    using impl = boost::mpl::always<BucketAccumulator>;
};

using Histogram = boost::accumulators::accumulator_set<double, boost::accumulators::features<BucketTag>>;

inline const BucketCounts &buckets(const Histogram &histogram)
{
    return boost::accumulators::extract_result<BucketTag>(histogram);
}

// [3] Metrics of this entry -------------------------------------------------------------------------------------------

/// Maps each series, written with its labels as in the text exposition, to its value. Unlike in the exposition, bucket
/// counts are not cumulative, and empty buckets are left out.
using MetricList = std::map<std::string, double>;

using MetricLabels = std::map<std::string, std::string>;

namespace metric
{
constexpr std::string_view Requests = "briarvane_requests_total";          // counter with the extra label "outcome"
constexpr std::string_view Refused = "briarvane_refused_total";            // counter with the extra label "reason"
constexpr std::string_view Retries = "briarvane_retries_total";            // counter
constexpr std::string_view Upstream = "briarvane_upstream_results_total";  // counter with the extra label "result"
constexpr std::string_view Wait = "briarvane_wait_seconds";                // histogram
constexpr std::string_view Service = "briarvane_service_seconds";          // histogram
constexpr std::string_view Response = "briarvane_response_seconds";        // histogram
constexpr std::string_view InService = "briarvane_in_service";             // gauge
constexpr std::string_view Queued = "briarvane_queued";                    // gauge
}

struct MetricKey
{
    ServiceId service;
    TenantId tenant;
    RequestClass requestClass = RequestClass::Short;
};

/// Maximum numbers of distinct label values. Requests of further tenants or services are counted as "other".
struct MetricLimits
{
    std::size_t tenants = 100;  // enough for all tenants with quotas
    std::size_t services = 64;
};

class Metrics
{
public:
    explicit Metrics(MetricLimits limits = {});

    void add(std::string_view name, const MetricKey &key, const MetricLabels &extraLabels = {}, double amount = 1);
    void observe(std::string_view name, const MetricKey &key, Duration time);
    /// Sets the value of a gauge, for example `briarvane_in_service{pool="..."}`.
    void set(std::string_view name, const MetricLabels &labels, double value);
    /// The current value of every series.
    MetricList list() const;

private:
    MetricLabels labelsOf(const MetricKey &key);

    MetricLimits m_limits;
    std::set<TenantId> m_tenants;
    std::set<ServiceId> m_services;
    MetricList m_values;
    std::map<std::pair<std::string, MetricLabels>, Histogram> m_histograms;
};

// [4] Flat lists: merge, queries, text exposition ---------------------------------------------------------------------

struct MetricSeries
{
    std::string name;
    MetricLabels labels;
};

/// Formats a series as `name{a="b"}`. Escapes backslash, quote and line feed in label values.
std::string formatSeries(std::string_view name, const MetricLabels &labels);
Result<MetricSeries> parseSeries(std::string_view text);

/// Sums the values of equal series. Each list is from a different entry, so gauges are summed as well.
MetricList mergeMetrics(const std::vector<MetricList> &lists);

/// Sum over all series with this name whose labels contain `filter`; nothing when there is no such series.
std::optional<double> metricSum(const MetricList &list, std::string_view name, const MetricLabels &filter);
/// Sum of all histograms with this name whose labels contain `filter`.
BucketCounts metricBuckets(const MetricList &list, std::string_view name, const MetricLabels &filter);
/// Quantile of metricBuckets() in seconds; nothing without samples.
std::optional<double> metricQuantile(const MetricList &list, std::string_view name, const MetricLabels &filter,
                                     double fraction);

/// Formats a list in the Prometheus text format, version 0.0.4.
std::string formatExposition(const MetricList &list);

}
