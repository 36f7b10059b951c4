#pragma once

#include "core/types.h"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/rolling_mean.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/histogram.hpp>

#include <array>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

namespace pw {

/// A label of a metric.
struct MetricLabel {
    std::string name;
    std::string value;
};
using MetricLabels = std::vector<MetricLabel>;

/// Counts events and computes their rate over the last seconds.
class Counter {
public:
    Counter();

    void add(std::uint64_t n = 1) { m_count += n; }
    std::uint64_t count() const { return m_count; }

    /// \returns events per second, averaged over the last config::rateWindow ticks.
    double perSecond() const;

    /// Marks the end of one second.
    void tick();

private:
    using Mean = boost::accumulators::accumulator_set<double, boost::accumulators::stats<boost::accumulators::tag::rolling_mean>>;

    std::uint64_t m_count = 0;
    std::uint64_t m_countAtTick = 0;
    Mean m_mean;
};

/// Latency quantiles, estimated in constant memory over windows of config::quantileWindow.
class Summary {
public:
    static constexpr std::array<double, 4> quantiles { 0.5, 0.9, 0.99, 0.999 };

    Summary();

    void observe(std::chrono::microseconds value);

    std::uint64_t count() const { return m_count; }
    std::chrono::microseconds sum() const { return m_sum; }

    /// \returns the n-th entry of quantiles over the last complete window, or over the current window when there is none.
    ///     Zero when nothing was observed.
    std::chrono::microseconds quantile(std::size_t n) const;

    /// Starts a new window.
    void nextWindow();

private:
    using Quantiles = boost::accumulators::accumulator_set<double, boost::accumulators::stats<boost::accumulators::tag::extended_p_square>>;

    /// Samples of one window. The estimator needs a minimum number of samples before its results are usable.
    struct Window {
        Window();
        Quantiles estimate;
        std::vector<double> firstSamples; ///< Sorted; used until the estimator has enough samples.
        std::uint64_t count = 0;
    };

    static double quantileOf(const Window& window, std::size_t n);

    std::uint64_t m_count = 0;
    std::chrono::microseconds m_sum { 0 };
    Window m_current;
    Window m_previous;
};

/// Latency histogram since the start of the daemon.
class Histogram {
public:
    /// Upper bounds of the buckets in seconds. One more bucket holds larger values.
    static constexpr std::array<double, 13> bounds { 0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10 };

    Histogram();

    void observe(std::chrono::microseconds value);

    std::uint64_t count() const { return m_count; }
    std::chrono::microseconds sum() const { return m_sum; }

    /// \returns the number of values that are at most the n-th entry of bounds.
    std::uint64_t countUpTo(std::size_t n) const;

private:
    using Axis = boost::histogram::axis::variable<double>;

    boost::histogram::histogram<std::tuple<Axis>> m_buckets;
    std::uint64_t m_count = 0;
    std::chrono::microseconds m_sum { 0 };
};

/// All metrics of a daemon, rendered in the Prometheus text format.
class Metrics {
public:
    /// \returns the counter \p name with \p labels, created if necessary. The reference stays valid. Names end in "_total".
    Counter& counter(std::string_view name, std::string_view help, const MetricLabels& labels = {});

    /// \returns the summary \p name with \p labels, created if necessary. The reference stays valid. Names end in "_seconds".
    Summary& summary(std::string_view name, std::string_view help, const MetricLabels& labels = {});

    /// \returns the histogram \p name with \p labels, created if necessary. The reference stays valid. Names end in "_seconds".
    Histogram& histogram(std::string_view name, std::string_view help, const MetricLabels& labels = {});

    /// Adds a gauge. \p read is called when the metrics are rendered.
    void gauge(std::string_view name, std::string_view help, const MetricLabels& labels, std::function<double()> read);

    /// Updates rates and windows. To be called about once a second.
    void tick(TimePoint now);

    /// \returns all metrics as text.
    std::string render() const;

private:
    template <typename Item>
    struct Family {
        std::string help;
        std::map<std::string, std::unique_ptr<Item>> items; ///< By rendered labels.
    };
    template <typename Item>
    using Families = std::map<std::string, Family<Item>, std::less<>>;

    template <typename Item>
    Item& find(Families<Item>& families, std::string_view name, std::string_view help, const MetricLabels& labels);

    Families<Counter> m_counters;
    Families<Summary> m_summaries;
    Families<Histogram> m_histograms;
    Families<std::function<double()>> m_gauges;
    std::size_t m_series = 0;
    TimePoint m_nextTick {};
    TimePoint m_nextWindow {};
};

/// Limits of the metrics.
namespace config {
    /// Time series above which new label values are counted in one overflow series.
    inline constexpr std::size_t maxMetricSeries = 4096;
    /// Number of one-second ticks over which a rate is averaged.
    inline constexpr std::size_t rateWindow = 10;
    /// Length of the windows over which quantiles are estimated.
    inline constexpr std::chrono::seconds quantileWindow { 30 };
} // namespace config

} // namespace pw
