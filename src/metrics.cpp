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
constexpr std::string_view Other = "other";

struct Help
{
    std::string_view name;
    std::string_view text;
};

constexpr std::array<Help, 9> Helps = {{
    {metric::Requests, "Requests by the outcome that the caller was told."},
    {metric::Refused, "Requests that got no permit, by reason."},
    {metric::Retries, "Requests that were sent to another instance."},
    {metric::Upstream, "Attempts at upstreams by how they ended."},
    {metric::Wait, "Time from arrival until the permit."},
    {metric::Service, "Time at the upstream."},
    {metric::Response, "Time from arrival until the whole response."},
    {metric::InService, "Requests in service."},
    {metric::Queued, "Requests that wait for a permit."},
}};

std::string number(double value)
{
    std::array<char, 32> text{};
    const auto end = std::to_chars(text.data(), text.data() + text.size(), value).ptr;
    return {text.data(), end};
}

bool contains(const MetricLabels &labels, const MetricLabels &filter)
{
    return std::all_of(filter.begin(), filter.end(), [&](const auto &line) {
        const auto found = labels.find(line.first);
        return found != labels.end() && found->second == line.second;
    });
}

/// Calls `visit(series, value)` for each series of the name; the list is ordered, so only its part is looked at.
template<class Visit>
void forEach(const MetricList &list, std::string_view name, const MetricLabels &filter, Visit visit)
{
    for (auto line = list.lower_bound(std::string(name)); line != list.end() && line->first.starts_with(name); ++line) {
        const Result<MetricSeries> series = parseSeries(line->first);
        if (series && series.value().name == name && contains(series.value().labels, filter)) {
            visit(series.value(), line->second);
        }
    }
}

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
    // The tolerance keeps a value that equals a bound in the bucket that includes its bound.
    const double place = std::ceil(std::log10(seconds / FirstBound) * BoundsPerDecade - 1e-9);
    return std::min(Bounds, static_cast<std::size_t>(place));
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

double BucketCounts::quantile(double share) const
{
    double rest = share * count();
    if (rest <= 0) {
        return 0;
    }
    for (std::size_t bucket = 0; bucket < Bounds; ++bucket) {
        if (counts[bucket] >= rest) {
            const double low = bound(bucket) / std::pow(10.0, 1 / BoundsPerDecade);
            return low * std::pow(bound(bucket) / low, rest / counts[bucket]);
        }
        rest -= counts[bucket];
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
    // Tenants come from a header that callers choose, so their number must be bounded here.
    const auto bounded = [](auto &known, const auto &id, std::size_t limit) {
        if (known.contains(id)) {
            return id.value;
        }
        if (known.size() >= limit) {
            return std::string(Other);
        }
        known.insert(id);
        return id.value;
    };
    return {{"service", bounded(m_services, key.service, m_limits.services)},
            {"tenant", bounded(m_tenants, key.tenant, m_limits.tenants)},
            {"class", std::string(toString(key.requestClass))}};
}

void Metrics::add(std::string_view name, const MetricKey &key, const MetricLabels &more, double amount)
{
    MetricLabels labels = labelsOf(key);
    labels.insert(more.begin(), more.end());
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
        for (const char letter : value) {
            if (letter == '\n') {
                text += "\\n";
                continue;
            }
            text += letter == '\\' || letter == '"' ? "\\" : "";
            text += letter;
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
    std::size_t place = open + 1;
    while (place < text.size() && text[place] != '}') {
        const std::size_t equals = text.find("=\"", place);
        if (equals == std::string_view::npos || equals == place) {
            return invalid;
        }
        std::string &value = series.labels[std::string(text.substr(place, equals - place))];
        for (place = equals + 2; place < text.size() && text[place] != '"'; ++place) {
            if (text[place] == '\\' && place + 1 < text.size()) {
                ++place;
                value += text[place] == 'n' ? '\n' : text[place];
            } else {
                value += text[place];
            }
        }
        if (place >= text.size()) {
            return invalid;
        }
        ++place;
        if (place < text.size() && text[place] == ',') {
            ++place;
        }
    }
    if (place + 1 != text.size()) {
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
                                     double share)
{
    const BucketCounts counts = metricBuckets(list, name, filter);
    return counts.count() > 0 ? std::optional(counts.quantile(share)) : std::nullopt;
}

std::string formatExposition(const MetricList &list)
{
    // Family to its lines; histograms are collected first, because every bound must be printed with the sum up to it.
    std::map<std::string, std::vector<std::string>> plain;
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
        } else if (!series.name.ends_with("_count")) {  // counts follow from the buckets
            plain[series.name].push_back(text + " " + number(value) + "\n");
        }
    }
    std::string text;
    const auto head = [&](const std::string &family, std::string_view type) {
        const auto help
            = std::find_if(Helps.begin(), Helps.end(), [&](const Help &line) { return line.name == family; });
        if (help != Helps.end()) {
            text += "# HELP " + family + " " + std::string(help->text) + "\n";
        }
        text += "# TYPE " + family + " " + std::string(type) + "\n";
    };
    for (const auto &[family, lines] : plain) {
        head(family, family.ends_with("_total") ? "counter" : "gauge");
        for (const std::string &line : lines) {
            text += line;
        }
    }
    for (const auto &[family, series] : histograms) {
        head(family, "histogram");
        for (const auto &[labels, counts] : series) {
            double sum = 0;
            MetricLabels withBound = labels;
            for (std::size_t bucket = 0; bucket < counts.counts.size(); ++bucket) {
                sum += counts.counts[bucket];
                withBound["le"] = BucketCounts::boundText(bucket);
                text += formatSeries(family + "_bucket", withBound) + " " + number(sum) + "\n";
            }
            text += formatSeries(family + "_sum", labels) + " " + number(counts.sum) + "\n";
            text += formatSeries(family + "_count", labels) + " " + number(sum) + "\n";
        }
    }
    return text;
}

}
