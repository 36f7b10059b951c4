#include "app/metrics.h"
#include "ports/random.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <cmath>

namespace {

namespace data = boost::unit_test::data;
using namespace std::chrono_literals;

bool contains(const std::string& text, const std::string& part)
{
    return text.find(part) != std::string::npos;
}

} // namespace

BOOST_AUTO_TEST_SUITE(MetricsText)

BOOST_AUTO_TEST_CASE(countersGiveCountsAndRates)
{
    pw::Metrics metrics;
    pw::TimePoint now { 1000s };
    metrics.tick(now);
    auto& counter = metrics.counter("requests_total", "Requests.", { { "route", "a\"b" } });
    for (auto n = 0; n < 20; ++n) {
        counter.add(5);
        metrics.tick(now += 1s);
    }
    const auto text = metrics.render();
    BOOST_TEST(contains(text, "# TYPE requests_total counter\nrequests_total{route=\"a\\\"b\"} 100\n"), text);
    BOOST_TEST(contains(text, "requests_per_second{route=\"a\\\"b\"} 5\n"), text);
    BOOST_TEST((&counter == &metrics.counter("requests_total", "", { { "route", "a\"b" } })));
}

BOOST_AUTO_TEST_CASE(gaugesAreReadWhenRendered)
{
    pw::Metrics metrics;
    double value = 1;
    metrics.gauge("running", "Running requests.", {}, [&] { return value; });
    value = 7;
    BOOST_TEST(contains(metrics.render(), "# TYPE running gauge\nrunning 7\n"));
}

/// Sample counts that cover both exact and estimated quantiles.
const std::vector<int> sampleCounts { 1, 2, 5, 31, 32, 33, 100, 1000, 100'000 };

BOOST_DATA_TEST_CASE(quantilesAreNearTheExactOnes, data::make(sampleCounts), samples)
{
    pw::Random random(7);
    pw::Summary summary;
    std::vector<std::int64_t> values;
    for (auto n = 0; n < samples; ++n) {
        values.push_back(static_cast<std::int64_t>(random() % 10'000));
        summary.observe(std::chrono::microseconds(values.back()));
    }
    std::ranges::sort(values);
    for (std::size_t n = 0; n < pw::Summary::quantiles.size(); ++n) {
        const auto at = static_cast<std::size_t>(std::lround(pw::Summary::quantiles.at(n) * static_cast<double>(values.size() - 1)));
        const auto tolerance = samples <= 32 ? 0 : 1500;
        BOOST_TEST(std::abs(summary.quantile(n).count() - values[at]) <= tolerance);
    }
    BOOST_TEST(summary.count() == static_cast<std::uint64_t>(samples));
}

BOOST_AUTO_TEST_CASE(quantilesForgetOldWindows)
{
    pw::Metrics metrics;
    pw::TimePoint now { 1000s };
    metrics.tick(now);
    auto& summary = metrics.summary("latency_seconds", "Latency.");
    summary.observe(2s);
    metrics.tick(now += pw::config::quantileWindow);
    summary.observe(1ms);
    BOOST_TEST((summary.quantile(0) == 2s));
    metrics.tick(now += pw::config::quantileWindow);
    BOOST_TEST((summary.quantile(0) == 1ms));
    BOOST_TEST(contains(metrics.render(), "latency_seconds{quantile=\"0.5\"} 0.001\n"));
    BOOST_TEST(contains(metrics.render(), "latency_seconds_count 2\n"));
}

BOOST_AUTO_TEST_CASE(floodOfLabelValuesIsBounded)
{
    pw::Metrics metrics;
    for (auto n = 0; n < 10'000; ++n) {
        metrics.counter("requests_total", "Requests.", { { "route", std::to_string(n) } }).add();
    }
    const auto text = metrics.render();
    BOOST_TEST(contains(text, "requests_total{overflow=\"true\"} 5904\n"));
    BOOST_TEST(static_cast<std::size_t>(std::ranges::count(text, '\n')) <= 2 * (pw::config::maxMetricSeries + 1) + 4);
}

/// A value equal to an upper bound counts in the bucket of that bound.
BOOST_AUTO_TEST_CASE(histogramsCountByBuckets)
{
    pw::Metrics metrics;
    auto& histogram = metrics.histogram("run_seconds", "Runs.", { { "route", "share" } });
    for (const auto value : { 0us, 1000us, 1001us, 250'000us, 10'000'000us, 10'000'001us }) {
        histogram.observe(value);
    }
    const auto text = metrics.render();
    BOOST_TEST(contains(text, "# TYPE run_seconds histogram\nrun_seconds_bucket{route=\"share\",le=\"0.001\"} 2\n"), text);
    BOOST_TEST(contains(text, "{route=\"share\",le=\"0.0025\"} 3\n"), text);
    BOOST_TEST(contains(text, "{route=\"share\",le=\"0.1\"} 3\n"), text);
    BOOST_TEST(contains(text, "{route=\"share\",le=\"0.25\"} 4\n"), text);
    BOOST_TEST(contains(text, "{route=\"share\",le=\"10\"} 5\n"), text);
    BOOST_TEST(contains(text, "{route=\"share\",le=\"+Inf\"} 6\n"), text);
    BOOST_TEST(contains(text, "run_seconds_count{route=\"share\"} 6\n"), text);
    BOOST_TEST(contains(text, "run_seconds_sum{route=\"share\"} 20.252002\n"), text);
}

/// Guards against label values that break the text format, and against two label sets that share a time series.
BOOST_AUTO_TEST_CASE(labelsAreEscapedAndKeptApart)
{
    pw::Metrics metrics;
    metrics.counter("requests_total", "", { { "route", "a\"b\\c\nd" }, { "workspace", "" } }).add();
    metrics.counter("requests_total", "", { { "route", "a\"b\\c\nd" }, { "workspace", "w" } }).add(2);
    metrics.counter("requests_total", "", { { "route", "a\"b\\c\nd" }, { "workspace", "" } }).add();
    const auto text = metrics.render();
    BOOST_TEST(contains(text, "requests_total{route=\"a\\\"b\\\\c d\",workspace=\"\"} 2\n"));
    BOOST_TEST(contains(text, "requests_total{route=\"a\\\"b\\\\c d\",workspace=\"w\"} 2\n"));
}

BOOST_AUTO_TEST_SUITE_END()
