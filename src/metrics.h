#pragma once

// Counters and histograms per service, tenant and class, as flat lists that are added up over the entries.
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

/// Counts in buckets whose bounds are the same in every entry: five a decade from 100 us to 1000 s, and one for the
/// rest. A quantile is then off by at most a factor of 1.6.
struct BucketCounts
{
    static constexpr std::size_t Bounds = 36;

    std::array<double, Bounds + 1> counts{};
    double sum = 0;  // seconds

    static double bound(std::size_t bucket);  // upper bound in seconds
    static std::size_t bucketOf(double seconds);
    static std::string boundText(std::size_t bucket);  // value of the label `le`

    double count() const;
    /// In seconds, interpolated on the logarithmic scale; 0 without samples, the last bound beyond the last bucket.
    double quantile(double share) const;
    BucketCounts &operator+=(const BucketCounts &other);
};

// [2] Accumulator -----------------------------------------------------------------------------------------------------

/// The framework's own histogram (density) takes its bounds from the first samples, so two of them cannot be added.
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

/// Series name with its labels, as in the text exposition, to its value. Buckets hold their own count, not the sum up
/// to their bound, and empty ones are left out; the exposition adds them up.
using MetricList = std::map<std::string, double>;

using MetricLabels = std::map<std::string, std::string>;

namespace metric
{
constexpr std::string_view Requests = "briarvane_requests_total";  // label outcome
constexpr std::string_view Refused = "briarvane_refused_total";    // label reason
constexpr std::string_view Retries = "briarvane_retries_total";
constexpr std::string_view Upstream = "briarvane_upstream_results_total";  // label result
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

struct MetricLimits
{
    std::size_t tenants = 100;  // teams with quotas; tenants beyond are counted as "other"
    std::size_t services = 64;
};

class Metrics
{
public:
    explicit Metrics(MetricLimits limits = {});

    void add(std::string_view name, const MetricKey &key, const MetricLabels &more = {}, double amount = 1);
    void observe(std::string_view name, const MetricKey &key, Duration time);
    /// Replaces a value that is not per request, for example `briarvane_in_service{pool="..."}`.
    void set(std::string_view name, const MetricLabels &labels, double value);
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

/// `name{a="b"}`; escapes backslash, quote and line end in values.
std::string formatSeries(std::string_view name, const MetricLabels &labels);
Result<MetricSeries> parseSeries(std::string_view text);

/// Sums the values of equal series. A list stands for one entry, so its gauges add up as well.
MetricList mergeMetrics(const std::vector<MetricList> &lists);

/// Sum over all series of the name whose labels contain `filter`; nothing when there is no such series.
std::optional<double> metricSum(const MetricList &list, std::string_view name, const MetricLabels &filter);
/// All buckets of a histogram whose labels contain `filter`.
BucketCounts metricBuckets(const MetricList &list, std::string_view name, const MetricLabels &filter);
/// In seconds; nothing without samples.
std::optional<double> metricQuantile(const MetricList &list, std::string_view name, const MetricLabels &filter,
                                     double share);

/// Prometheus text format, version 0.0.4.
std::string formatExposition(const MetricList &list);

}
