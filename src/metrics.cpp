#include "metrics.h"

#include <algorithm>
#include <charconv>
#include <cmath>

namespace briarvane
{

namespace
{

constexpr double FirstBound = 1e-4;
constexpr double BoundsPerDecade = 5;
constexpr std::string_view OtherLabel = "other";

struct HelpText
{
    std::string_view name;
    std::string_view text;
};

constexpr std::array<HelpText, 9> HelpTexts = {{
    {metric::Requests, "Requests by the outcome reported to the caller."},
    {metric::Refused, "Requests that were refused a permit, by reason."},
    {metric::Retries, "Requests that were retried at another instance."},
    {metric::Upstream, "Attempts at upstreams, by result."},
    {metric::Wait, "Time from arrival of a request until it received a permit."},
    {metric::Service, "Time that the upstream took to serve a request."},
    {metric::Response, "Time from arrival of a request until its response was complete."},
    {metric::InService, "Requests in service."},
    {metric::Queued, "Requests waiting for a permit."},
}};

std::string number(double value)
{
    std::array<char, 32> text{};
    const auto end = std::to_chars(text.data(), text.data() + text.size(), value).ptr;
    return {text.data(), end};
}

bool matchesFilter(const MetricLabels &labels, const MetricLabels &filter)
{
    return std::all_of(filter.begin(), filter.end(), [&](const auto &label) {
        const auto found = labels.find(label.first);
        return found != labels.end() && found->second == label.second;
    });
}

/// Calls `visit(series, value)` for each series with this name whose labels contain `filter`. The list is sorted by
/// series, so only the series whose text begins with the name are parsed.
template<class Visit>
void forEach(const MetricList &list, std::string_view name, const MetricLabels &filter, Visit visit)
{
    for (auto item = list.lower_bound(std::string(name)); item != list.end() && item->first.starts_with(name); ++item) {
        const Result<MetricSeries> series = parseSeries(item->first);
        if (series && series.value().name == name && matchesFilter(series.value().labels, filter)) {
            visit(series.value(), item->second);
        }
    }
}

/// Inverse of BucketCounts::boundText().
std::optional<std::size_t> bucketOfText(std::string_view text)
{
    for (std::size_t bucket = 0; bucket <= BucketCounts::Bounds; ++bucket) {
        if (BucketCounts::boundText(bucket) == text) {
            return bucket;
        }
    }
    return std::nullopt;
}

}

// [1] Buckets ---------------------------------------------------------------------------------------------------------

double BucketCounts::bound(std::size_t bucket)
{
    return FirstBound * std::pow(10.0, static_cast<double>(bucket) / BoundsPerDecade);
}

std::size_t BucketCounts::bucketOf(double seconds)
{
    if (seconds <= FirstBound) {
        return 0;
    }
    // Bounds are inclusive; the tolerance keeps a value that equals a bound in its bucket despite rounding.
    const double position = std::ceil(std::log10(seconds / FirstBound) * BoundsPerDecade - 1e-9);
    return std::min(Bounds, static_cast<std::size_t>(position));
}

std::string BucketCounts::boundText(std::size_t bucket)
{
    if (bucket >= Bounds) {
        return "+Inf";
    }
    std::array<char, 32> text{};
    const auto end
        = std::to_chars(text.data(), text.data() + text.size(), bound(bucket), std::chars_format::general, 3).ptr;
    return {text.data(), end};
}

double BucketCounts::count() const
{
    double total = 0;
    for (const double value : counts) {
        total += value;
    }
    return total;
}

double BucketCounts::quantile(double fraction) const
{
    double remaining = fraction * count();
    if (remaining <= 0) {
        return 0;
    }
    for (std::size_t bucket = 0; bucket < Bounds; ++bucket) {
        if (counts[bucket] >= remaining) {
            const double low = bound(bucket) / std::pow(10.0, 1 / BoundsPerDecade);
            return low * std::pow(bound(bucket) / low, remaining / counts[bucket]);
        }
        remaining -= counts[bucket];
    }
    return bound(Bounds - 1);
}

BucketCounts &BucketCounts::operator+=(const BucketCounts &other)
{
    for (std::size_t bucket = 0; bucket < counts.size(); ++bucket) {
        counts[bucket] += other.counts[bucket];
    }
    sum += other.sum;
    return *this;
}

// [3] Metrics of this entry -------------------------------------------------------------------------------------------

Metrics::Metrics(MetricLimits limits)
    : m_limits(limits)
{
}

MetricLabels Metrics::labelsOf(const MetricKey &key)
{
    // Callers choose the tenant in a request header, so the number of distinct tenants must be limited here.
    const auto bounded = [](auto &known, const auto &id, std::size_t limit) {
        if (known.contains(id)) {
            return id.value;
        }
        if (known.size() >= limit) {
            return std::string(OtherLabel);
        }
        known.insert(id);
        return id.value;
    };
    return {{"service", bounded(m_services, key.service, m_limits.services)},
            {"tenant", bounded(m_tenants, key.tenant, m_limits.tenants)},
            {"class", std::string(toString(key.requestClass))}};
}

void Metrics::add(std::string_view name, const MetricKey &key, const MetricLabels &extraLabels, double amount)
{
    MetricLabels labels = labelsOf(key);
    labels.insert(extraLabels.begin(), extraLabels.end());
    m_values[formatSeries(name, labels)] += amount;
}

void Metrics::observe(std::string_view name, const MetricKey &key, Duration time)
{
    m_histograms[{std::string(name), labelsOf(key)}](std::chrono::duration<double>(time).count());
}

void Metrics::set(std::string_view name, const MetricLabels &labels, double value)
{
    m_values[formatSeries(name, labels)] = value;
}

MetricList Metrics::list() const
{
    MetricList list = m_values;
    for (const auto &[key, histogram] : m_histograms) {
        const BucketCounts &counts = buckets(histogram);
        MetricLabels labels = key.second;
        list[formatSeries(key.first + "_count", labels)] = counts.count();
        list[formatSeries(key.first + "_sum", labels)] = counts.sum;
        for (std::size_t bucket = 0; bucket < counts.counts.size(); ++bucket) {
            if (counts.counts[bucket] > 0) {
                labels["le"] = BucketCounts::boundText(bucket);
                list[formatSeries(key.first + "_bucket", labels)] = counts.counts[bucket];
            }
        }
    }
    return list;
}

// [4] Flat lists: merge, queries, text exposition ---------------------------------------------------------------------

std::string formatSeries(std::string_view name, const MetricLabels &labels)
{
    std::string text(name);
    if (labels.empty()) {
        return text;
    }
    text += '{';
    for (const auto &[label, value] : labels) {
        text += text.back() == '{' ? "" : ",";
        text += label;
        text += "=\"";
        for (const char character : value) {
            if (character == '\n') {
                text += "\\n";
                continue;
            }
            text += character == '\\' || character == '"' ? "\\" : "";
            text += character;
        }
        text += '"';
    }
    text += '}';
    return text;
}

Result<MetricSeries> parseSeries(std::string_view text)
{
    const Error invalid{ErrorCode::Invalid, "not a series name: " + std::string(text)};
    MetricSeries series;
    const std::size_t open = text.find('{');
    series.name = std::string(text.substr(0, open));
    if (series.name.empty()) {
        return invalid;
    }
    if (open == std::string_view::npos) {
        return series;
    }
    std::size_t position = open + 1;
    while (position < text.size() && text[position] != '}') {
        const std::size_t equals = text.find("=\"", position);
        if (equals == std::string_view::npos || equals == position) {
            return invalid;
        }
        std::string &value = series.labels[std::string(text.substr(position, equals - position))];
        for (position = equals + 2; position < text.size() && text[position] != '"'; ++position) {
            if (text[position] == '\\' && position + 1 < text.size()) {
                ++position;
                value += text[position] == 'n' ? '\n' : text[position];
            } else {
                value += text[position];
            }
        }
        if (position >= text.size()) {
            return invalid;
        }
        ++position;
        if (position < text.size() && text[position] == ',') {
            ++position;
        }
    }
    if (position + 1 != text.size()) {
        return invalid;
    }
    return series;
}

MetricList mergeMetrics(const std::vector<MetricList> &lists)
{
    MetricList merged;
    for (const MetricList &list : lists) {
        for (const auto &[series, value] : list) {
            merged[series] += value;
        }
    }
    return merged;
}

std::optional<double> metricSum(const MetricList &list, std::string_view name, const MetricLabels &filter)
{
    std::optional<double> sum;
    forEach(list, name, filter, [&](const MetricSeries &, double value) { sum = sum.value_or(0) + value; });
    return sum;
}

BucketCounts metricBuckets(const MetricList &list, std::string_view name, const MetricLabels &filter)
{
    BucketCounts counts;
    forEach(list, std::string(name) + "_bucket", filter, [&](const MetricSeries &series, double value) {
        const auto le = series.labels.find("le");
        const auto bucket = le == series.labels.end() ? std::nullopt : bucketOfText(le->second);
        if (bucket) {
            counts.counts[*bucket] += value;
        }
    });
    counts.sum = metricSum(list, std::string(name) + "_sum", filter).value_or(0);
    return counts;
}

std::optional<double> metricQuantile(const MetricList &list, std::string_view name, const MetricLabels &filter,
                                     double fraction)
{
    const BucketCounts counts = metricBuckets(list, name, filter);
    return counts.count() > 0 ? std::optional(counts.quantile(fraction)) : std::nullopt;
}

std::string formatExposition(const MetricList &list)
{
    // Lines of counters and gauges by metric name. Histograms are collected before printing because bucket counts in
    // the exposition are cumulative.
    std::map<std::string, std::vector<std::string>> scalarLines;
    std::map<std::string, std::map<MetricLabels, BucketCounts>> histograms;
    for (const auto &[text, value] : list) {
        const Result<MetricSeries> parsed = parseSeries(text);
        if (!parsed) {
            continue;
        }
        MetricSeries series = parsed.value();
        if (series.name.ends_with("_bucket") && series.labels.contains("le")) {
            const auto bucket = bucketOfText(series.labels["le"]);
            series.labels.erase("le");
            const std::string family = series.name.substr(0, series.name.size() - 7);
            if (bucket) {
                histograms[family][series.labels].counts[*bucket] += value;
            }
        } else if (series.name.ends_with("_sum")) {
            histograms[series.name.substr(0, series.name.size() - 4)][series.labels].sum += value;
        } else if (!series.name.ends_with("_count")) {  // histogram counts are computed from the buckets
            scalarLines[series.name].push_back(text + " " + number(value) + "\n");
        }
    }
    std::string text;
    const auto appendHeader = [&](const std::string &family, std::string_view type) {
        const auto help = std::find_if(HelpTexts.begin(), HelpTexts.end(),
                                       [&](const HelpText &candidate) { return candidate.name == family; });
        if (help != HelpTexts.end()) {
            text += "# HELP " + family + " " + std::string(help->text) + "\n";
        }
        text += "# TYPE " + family + " " + std::string(type) + "\n";
    };
    for (const auto &[family, lines] : scalarLines) {
        appendHeader(family, family.ends_with("_total") ? "counter" : "gauge");
        for (const std::string &line : lines) {
            text += line;
        }
    }
    for (const auto &[family, series] : histograms) {
        appendHeader(family, "histogram");
        for (const auto &[labels, counts] : series) {
            double sum = 0;
            MetricLabels bucketLabels = labels;
            for (std::size_t bucket = 0; bucket < counts.counts.size(); ++bucket) {
                sum += counts.counts[bucket];
                bucketLabels["le"] = BucketCounts::boundText(bucket);
                text += formatSeries(family + "_bucket", bucketLabels) + " " + number(sum) + "\n";
            }
            text += formatSeries(family + "_sum", labels) + " " + number(counts.sum) + "\n";
            text += formatSeries(family + "_count", labels) + " " + number(sum) + "\n";
        }
    }
    return text;
}

}
