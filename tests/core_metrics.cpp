#include "metrics.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <algorithm>

using namespace briarvane;
using namespace std::chrono_literals;

TEST_CASE("Histograms are summed over entries", "[metrics]")
{
    const MetricKey key{ServiceId{"orders"}, TenantId{"t"}, RequestClass::Short};

    SECTION("samples split over three entries give the same histogram as the same samples in one entry")
    {
        CHECK(rc::check("merge", [&](const std::vector<std::uint32_t> &samples) {
            std::array<Metrics, 3> split;
            Metrics single;
            std::vector<double> exact;
            for (std::size_t index = 0; index < samples.size(); ++index) {
                const Duration time{samples[index] % 500'000'000};
                split[index % 3].observe(metric::Wait, key, time);
                single.observe(metric::Wait, key, time);
                exact.push_back(std::chrono::duration<double>(time).count());
            }
            const MetricList merged = mergeMetrics({split[0].list(), split[1].list(), split[2].list()});
            const BucketCounts counts = metricBuckets(merged, metric::Wait, {{"service", "orders"}});
            RC_ASSERT(counts.counts == metricBuckets(single.list(), metric::Wait, {}).counts);
            if (!exact.empty()) {
                std::sort(exact.begin(), exact.end());
                const double median = std::max(1e-4, exact[(exact.size() - 1) / 2]);
                const double estimate = *metricQuantile(merged, metric::Wait, {}, 0.5);
                RC_ASSERT(estimate >= median / 1.6);
                RC_ASSERT(estimate <= std::max(1e-4, exact[exact.size() / 2]) * 1.6);
            }
        }));
    }
    SECTION("bounds are inclusive and have distinct texts, so that no bucket is lost in a metrics report")
    {
        std::set<std::string> texts;
        for (std::size_t bucket = 0; bucket < BucketCounts::Bounds; ++bucket) {
            CHECK(BucketCounts::bucketOf(BucketCounts::bound(bucket)) == bucket);
            CHECK(BucketCounts::bucketOf(BucketCounts::bound(bucket) * 1.01) == bucket + 1);
            texts.insert(BucketCounts::boundText(bucket));
        }
        CHECK(texts.size() == BucketCounts::Bounds);
    }
}

TEST_CASE("Series are bounded in number, and label values cannot forge labels or lines", "[metrics]")
{
    SECTION("the number of series is bounded when callers send arbitrary tenants")
    {
        Metrics metrics({.tenants = 3});
        for (int index = 0; index < 1000; ++index) {
            metrics.add(metric::Requests, {ServiceId{"s"}, TenantId{std::to_string(index)}}, {{"outcome", "answered"}});
        }
        const MetricList list = metrics.list();
        CHECK(list.size() == 4);
        CHECK(metricSum(list, metric::Requests, {{"tenant", "other"}}) == 997);
        CHECK(metricSum(list, metric::Requests, {}) == 1000);
        CHECK_FALSE(metricSum(list, metric::Requests, {{"tenant", "999"}}));
    }
    SECTION("a label value cannot forge another label or line")
    {
        CHECK(rc::check("round trip", [](const std::map<std::string, std::string> &values) {
            MetricLabels labels;
            for (const auto &[name, value] : values) {
                labels["l" + std::to_string(labels.size())] = value;
            }
            const Result<MetricSeries> parsed = parseSeries(formatSeries("name", labels));
            RC_ASSERT(parsed.has_value());
            RC_ASSERT(parsed.value().labels == labels);
        }));
        CHECK(formatSeries("n", {{"a", "x\"} 1\n"}}) == "n{a=\"x\\\"} 1\\n\"}");
        for (const char *text : {"", "{a=\"b\"}", "n{a=\"b\"", "n{a=\"b", "n{a}", "n{a=\"b\"}x"}) {
            CHECK_FALSE(parseSeries(text));
        }
    }
    SECTION("the exposition has type lines, cumulative buckets and matching counts")
    {
        Metrics metrics;
        const MetricKey key{ServiceId{"s"}, TenantId{"t"}, RequestClass::Urgent};
        metrics.observe(metric::Wait, key, 2ms);
        metrics.observe(metric::Wait, key, 2s);
        metrics.add(metric::Requests, key, {{"outcome", "answered"}});
        metrics.set(metric::Queued, {{"pool", "p"}}, 3);
        const std::string text = formatExposition(metrics.list());
        const std::string labels = "class=\"urgent\",service=\"s\",tenant=\"t\"";
        const std::vector<std::string> lines
            = {"# TYPE briarvane_requests_total counter",
               "# TYPE briarvane_queued gauge",
               "# TYPE briarvane_wait_seconds histogram",
               "briarvane_queued{pool=\"p\"} 3",
               "briarvane_requests_total{class=\"urgent\",outcome=\"answered\",service=\"s\",tenant=\"t\"} 1",
               "briarvane_wait_seconds_bucket{class=\"urgent\",le=\"0.00251\",service=\"s\",tenant=\"t\"} 1",
               "briarvane_wait_seconds_bucket{class=\"urgent\",le=\"1\",service=\"s\",tenant=\"t\"} 1",
               "briarvane_wait_seconds_bucket{class=\"urgent\",le=\"+Inf\",service=\"s\",tenant=\"t\"} 2",
               "briarvane_wait_seconds_count{" + labels + "} 2",
               "briarvane_wait_seconds_sum{" + labels + "} 2.002"};
        for (const std::string &line : lines) {
            INFO(line);
            CHECK(("\n" + text).find("\n" + line + "\n") != std::string::npos);
        }
    }
}
