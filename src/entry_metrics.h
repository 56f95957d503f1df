#pragma once

// Metrics of this entry, and metrics of all entries merged from their reports. Runs on the I/O thread.
//
// Index
// [1] Periods
// [2] EntryMetrics

#include "alerts.h"
#include "entry_cluster.h"
#include "entry_requests.h"
#include "metrics.h"

#include <boost/asio/steady_timer.hpp>

#include <deque>

namespace briarvane
{

// [1] Periods ---------------------------------------------------------------------------------------------------------

constexpr Duration ReportPeriod{1'000'000};
constexpr Duration ReportTimeout{3'000'000};  // samples() leaves out entries whose last report is older
constexpr Duration WaitWindow{10'000'000};    // samples() computes the p99 of the queue wait over this time
constexpr Duration SumTimeout{300'000};       // time for the other entries to answer a metrics query

// [2] EntryMetrics ----------------------------------------------------------------------------------------------------

/// Records the metrics of this entry. Once a second it sends the changed values (counters, gauges and histograms,
/// summed over tenants) to the entry that evaluates the alert rules, which merges the reports of all entries. It
/// answers metrics queries of other entries with all values.
template<CoordinationService S>
class EntryMetrics
{
public:
    using SumCallback = std::function<void(MetricList)>;

    explicit EntryMetrics(Cluster<S> &cluster)
        : m_cluster(cluster)
        , m_timer(cluster.io())
    {
        m_cluster.peers().onMessage([this, alive = std::weak_ptr<bool>(m_alive)](const wire::Envelope &message) {
            if (!alive.expired()) {
                receive(message);
            }
        });
    }

    void start();
    void count(const FinishedRequest &finished);
    /// Sets the gauges: queued requests per service, and requests in service per pool.
    void setLoad(const std::map<ServiceId, ServiceLoad> &services, const std::map<PoolId, int> &pools);
    std::string exposition() const
    {
        return formatExposition(m_metrics.list());
    }
    /// Samples for the alert rules, summed over all entries that reported within ReportTimeout.
    std::vector<MetricSample> samples(TimePoint now);
    /// Queries all entries and calls `done` with the sum of the reports that arrive within SumTimeout.
    void sumOverEntries(SumCallback done);

private:
    struct Report
    {
        TimePoint at;
        MetricList list;  // without the tenant label, summed over tenants
    };

    static MetricList withoutTenants(const MetricList &list);
    void sendReport(TimePoint now);
    void receive(const wire::Envelope &message);
    MetricList mergedReports(TimePoint now);

    Cluster<S> &m_cluster;
    boost::asio::steady_timer m_timer;
    Metrics m_metrics;
    MetricList m_lastSent;  // values at the time of the last report to another entry, summed over tenants
    EntryId m_lastTarget;
    std::map<EntryId, Report> m_reports;                     // filled on the entry that evaluates the alert rules
    std::deque<std::pair<TimePoint, MetricList>> m_history;  // merged reports of the samples() calls within WaitWindow
    std::map<EntryId, MetricList> m_queryReports;            // answers to the last metrics query
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);  // callbacks that run after destruction are ignored
};

template<CoordinationService S>
void EntryMetrics<S>::start()
{
    m_timer.expires_after(ReportPeriod);
    m_timer.async_wait([this, alive = std::weak_ptr<bool>(m_alive)](boost::system::error_code error) {
        if (!error && !alive.expired()) {
            sendReport(m_cluster.now());
            start();
        }
    });
}

template<CoordinationService S>
void EntryMetrics<S>::count(const FinishedRequest &finished)
{
    const MetricKey key{finished.service, finished.tenant, finished.requestClass};
    m_metrics.add(metric::Requests, key, {{"outcome", std::string(toString(finished.outcome))}});
    if (finished.retries > 0) {
        m_metrics.add(metric::Retries, key, {}, finished.retries);
    }
    if (finished.upstreamStatus != 0) {
        m_metrics.add(metric::Upstream, key, {{"result", std::to_string(finished.upstreamStatus / 100) + "xx"}});
        m_metrics.observe(metric::Service, key, finished.serviceTime);
    }
    m_metrics.observe(metric::Wait, key, finished.queueWait);
    m_metrics.observe(metric::Response, key, finished.totalTime);
}

template<CoordinationService S>
void EntryMetrics<S>::setLoad(const std::map<ServiceId, ServiceLoad> &services, const std::map<PoolId, int> &pools)
{
    for (const auto &[service, load] : services) {
        m_metrics.set(metric::Queued, {{"service", service.value}}, load.open - load.sending);
    }
    for (const auto &[pool, count] : pools) {
        m_metrics.set(metric::InService, {{"pool", pool.value}}, count);
    }
}

template<CoordinationService S>
MetricList EntryMetrics<S>::withoutTenants(const MetricList &list)
{
    MetricList sums;
    for (const auto &[name, value] : list) {
        auto series = parseSeries(name);
        if (series) {
            series.value().labels.erase("tenant");
            sums[formatSeries(series.value().name, series.value().labels)] += value;
        }
    }
    return sums;
}

/// Sends the changed values to the entry that evaluates the alert rules. An entry that has just become responsible for
/// the rules has no current report of this entry, so the first report to that entry contains all values.
template<CoordinationService S>
void EntryMetrics<S>::sendReport(TimePoint now)
{
    const EntryId target = m_cluster.membership().responsible("alerts", now);
    const MetricList list = withoutTenants(m_metrics.list());
    if (target == m_cluster.membership().self()) {
        m_reports[target] = {now, list};
        m_lastTarget = target;
        return;
    }
    const bool isNewTarget = target != m_lastTarget;
    wire::Envelope message;
    wire::MetricsReport &report = *message.mutable_metrics_report();
    report.set_complete(isNewTarget);
    for (const auto &[name, value] : list) {
        const auto before = m_lastSent.find(name);
        if (isNewTarget || before == m_lastSent.end() || before->second != value) {
            wire::Counter &counter = *report.add_counters();
            counter.set_name(name);
            counter.set_value(value);
        }
    }
    m_lastSent = list;
    m_lastTarget = target;
    m_cluster.peers().send(target, std::move(message));
}

template<CoordinationService S>
void EntryMetrics<S>::receive(const wire::Envelope &message)
{
    const EntryId sender{message.sender()};
    if (message.has_metrics_query()) {
        wire::Envelope answer;
        wire::MetricsReport &report = *answer.mutable_metrics_report();
        report.set_complete(true);
        report.set_on_request(true);
        for (const auto &[name, value] : m_metrics.list()) {
            wire::Counter &counter = *report.add_counters();
            counter.set_name(name);
            counter.set_value(value);
        }
        m_cluster.peers().send(sender, std::move(answer));
    } else if (message.has_metrics_report()) {
        const wire::MetricsReport &report = message.metrics_report();
        MetricList &list = report.on_request() ? m_queryReports[sender] : m_reports[sender].list;
        if (report.complete()) {
            list.clear();
        }
        for (const wire::Counter &counter : report.counters()) {
            list[counter.name()] = counter.value();
        }
        if (!report.on_request()) {
            m_reports[sender].at = m_cluster.now();
        }
    }
}

template<CoordinationService S>
MetricList EntryMetrics<S>::mergedReports(TimePoint now)
{
    std::vector<MetricList> lists;
    std::erase_if(m_reports, [now](const auto &item) { return now - item.second.at > ReportTimeout; });
    for (const auto &[entry, report] : m_reports) {
        lists.push_back(report.list);
    }
    return mergeMetrics(lists);
}

template<CoordinationService S>
std::vector<MetricSample> EntryMetrics<S>::samples(TimePoint now)
{
    MetricList merged = mergedReports(now);
    std::vector<MetricSample> samples;
    std::set<std::pair<std::string, std::string>> waitSeries;  // service and class labels
    for (const auto &[name, value] : merged) {
        const auto series = parseSeries(name);
        if (!series) {
            continue;
        }
        const Labels &labels = series.value().labels;
        if (series.value().name == metric::Requests) {
            samples.push_back({"briarvane_requests_total", labels, value});
            waitSeries.emplace(labels.at("service"), labels.at("class"));
        } else if (series.value().name == metric::Queued) {
            samples.push_back({"briarvane_queue_length", labels, value});
        } else if (series.value().name == metric::InService) {
            samples.push_back({"briarvane_slots_in_use", labels, value});
        }
    }
    while (!m_history.empty() && now - m_history.front().first > WaitWindow) {
        m_history.pop_front();
    }
    for (const auto &[service, requestClass] : waitSeries) {
        const MetricLabels filter{{"service", service}, {"class", requestClass}};
        BucketCounts recent = metricBuckets(merged, metric::Wait, filter);
        if (!m_history.empty()) {
            const BucketCounts before = metricBuckets(m_history.front().second, metric::Wait, filter);
            for (std::size_t i = 0; i < recent.counts.size(); ++i) {
                // The counters of a restarted entry begin at zero, so a difference can be negative.
                recent.counts[i] = std::max(0.0, recent.counts[i] - before.counts[i]);
            }
        }
        constexpr double p99 = 0.99;
        const double seconds = recent.count() > 0 ? recent.quantile(p99) : 0.0;
        samples.push_back({"briarvane_queue_wait_seconds_p99", filter, seconds});
    }
    m_history.emplace_back(now, std::move(merged));
    return samples;
}

template<CoordinationService S>
void EntryMetrics<S>::sumOverEntries(SumCallback done)
{
    m_queryReports.clear();
    wire::Envelope query;
    query.mutable_metrics_query();
    m_cluster.peers().broadcast(query);
    auto timer = std::make_shared<boost::asio::steady_timer>(m_cluster.io(), SumTimeout);
    timer->async_wait(
        [this, timer, done = std::move(done), alive = std::weak_ptr<bool>(m_alive)](boost::system::error_code) {
            if (alive.expired()) {
                return;
            }
            std::vector<MetricList> lists{m_metrics.list()};
            for (const auto &[entry, list] : m_queryReports) {
                lists.push_back(list);
            }
            done(mergeMetrics(lists));
        });
}

}
