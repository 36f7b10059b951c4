#include "app/metrics.h"

#include <boost/accumulators/statistics/rolling_window.hpp>

#include <algorithm>
#include <cassert>
#include <cmath>
#include <sstream>

namespace pw {
namespace {

    namespace acc = boost::accumulators;

    /// Number of samples below which quantiles are computed from the samples themselves.
    constexpr std::size_t minEstimateSamples = 32;

    void appendEscaped(std::string& text, std::string_view value)
    {
        for (char c : value) {
            if (c == '\\' || c == '"') {
                text += '\\';
            }
            text += c == '\n' ? ' ' : c;
        }
    }

    /// \returns the rendered labels without braces.
    std::string labelText(const MetricLabels& labels)
    {
        constexpr std::size_t usualBytes = 128; // One allocation for most label sets.
        std::string result;
        result.reserve(usualBytes);
        for (const auto& it : labels) {
            result += result.empty() ? "" : ",";
            result += it.name;
            result += "=\"";
            appendEscaped(result, it.value);
            result += '"';
        }
        return result;
    }

    std::string braced(const std::string& labels)
    {
        return labels.empty() ? "" : "{" + labels + "}";
    }

    double seconds(std::chrono::microseconds value)
    {
        return std::chrono::duration<double>(value).count();
    }

    void renderHead(std::ostream& out, const std::string& name, const std::string& help, const char* type)
    {
        out << "# HELP " << name << ' ' << help << "\n# TYPE " << name << ' ' << type << '\n';
    }

    void renderSummary(std::ostream& out, const std::string& name, const std::string& labels, const Summary& summary)
    {
        const std::string comma = labels.empty() ? "" : ",";
        for (std::size_t n = 0; n < Summary::quantiles.size(); ++n) {
            out << name << '{' << labels << comma << "quantile=\"" << Summary::quantiles.at(n) << "\"} " << seconds(summary.quantile(n))
                << '\n';
        }
        out << name << "_sum" << braced(labels) << ' ' << seconds(summary.sum()) << '\n';
        out << name << "_count" << braced(labels) << ' ' << summary.count() << '\n';
    }

    void renderHistogram(std::ostream& out, const std::string& name, const std::string& labels, const Histogram& histogram)
    {
        const std::string comma = labels.empty() ? "" : ",";
        for (std::size_t n = 0; n < Histogram::bounds.size(); ++n) {
            out << name << "_bucket{" << labels << comma << "le=\"" << Histogram::bounds.at(n) << "\"} " << histogram.countUpTo(n) << '\n';
        }
        out << name << "_bucket{" << labels << comma << "le=\"+Inf\"} " << histogram.count() << '\n';
        out << name << "_sum" << braced(labels) << ' ' << seconds(histogram.sum()) << '\n';
        out << name << "_count" << braced(labels) << ' ' << histogram.count() << '\n';
    }

    /// \returns the name of the rate gauge of a counter.
    std::string rateName(const std::string& counter)
    {
        constexpr std::string_view suffix = "_total";
        return (counter.ends_with(suffix) ? counter.substr(0, counter.size() - suffix.size()) : counter) + "_per_second";
    }

} // namespace

Counter::Counter()
    : m_mean(acc::tag::rolling_window::window_size = config::rateWindow)
{
}

double Counter::perSecond() const
{
    return acc::rolling_count(m_mean) > 0 ? acc::rolling_mean(m_mean) : 0;
}

void Counter::tick()
{
    m_mean(static_cast<double>(m_count - m_countAtTick));
    m_countAtTick = m_count;
}

Summary::Window::Window()
    : estimate(acc::tag::extended_p_square::probabilities = quantiles)
{
}

Summary::Summary() = default;

void Summary::observe(std::chrono::microseconds value)
{
    ++m_count;
    m_sum += value;
    const auto sample = static_cast<double>(value.count());
    m_current.estimate(sample);
    ++m_current.count;
    if (m_current.count <= minEstimateSamples) {
        m_current.firstSamples.insert(std::ranges::upper_bound(m_current.firstSamples, sample), sample);
    }
}

std::chrono::microseconds Summary::quantile(std::size_t n) const
{
    const auto& window = m_previous.count > 0 ? m_previous : m_current;
    return std::chrono::microseconds(static_cast<std::int64_t>(quantileOf(window, n)));
}

void Summary::nextWindow()
{
    m_previous = std::move(m_current);
    m_current = Window();
}

double Summary::quantileOf(const Window& window, std::size_t n)
{
    if (window.count == 0) {
        return 0;
    }
    if (window.count > minEstimateSamples) {
        return acc::extended_p_square(window.estimate)[n];
    }
    const auto last = window.firstSamples.size() - 1;
    return window.firstSamples.at(static_cast<std::size_t>(std::lround(quantiles.at(n) * static_cast<double>(last))));
}

Histogram::Histogram()
    : m_buckets(Axis(bounds.begin(), bounds.end()))
{
}

void Histogram::observe(std::chrono::microseconds value)
{
    ++m_count;
    m_sum += value;
    // The library's buckets include their lower bound, those of the text format their upper bound.
    m_buckets(std::nextafter(seconds(value), 0.0));
}

std::uint64_t Histogram::countUpTo(std::size_t n) const
{
    double sum = 0;
    for (auto it = -1; it < static_cast<int>(n); ++it) {
        sum += m_buckets.at(it);
    }
    return static_cast<std::uint64_t>(sum);
}

template <typename Item>
Item& Metrics::find(Families<Item>& families, std::string_view name, std::string_view help, const MetricLabels& labels)
{
    auto family = families.find(name);
    if (family == families.end()) {
        family = families.emplace(name, Family<Item> { std::string(help), {} }).first;
    }
    auto& items = family->second.items;
    const auto key = labelText(labels);
    if (const auto found = items.find(key); found != items.end()) {
        return *found->second;
    }
    // Bound the memory that a flood of label values can use.
    auto& item = items[m_series < config::maxMetricSeries ? key : "overflow=\"true\""];
    if (!item) {
        item = std::make_unique<Item>();
        ++m_series;
    }
    return *item;
}

Counter& Metrics::counter(std::string_view name, std::string_view help, const MetricLabels& labels)
{
    return find(m_counters, name, help, labels);
}

Summary& Metrics::summary(std::string_view name, std::string_view help, const MetricLabels& labels)
{
    return find(m_summaries, name, help, labels);
}

Histogram& Metrics::histogram(std::string_view name, std::string_view help, const MetricLabels& labels)
{
    return find(m_histograms, name, help, labels);
}

void Metrics::gauge(std::string_view name, std::string_view help, const MetricLabels& labels, std::function<double()> read)
{
    assert(read);
    find(m_gauges, name, help, labels) = std::move(read);
}

void Metrics::tick(TimePoint now)
{
    constexpr std::chrono::seconds second { 1 };
    if (m_nextTick == TimePoint()) {
        m_nextTick = now + second;
        m_nextWindow = now + config::quantileWindow;
        return;
    }
    // After a long suspension of the process, catch up on at most config::rateWindow missed seconds.
    m_nextTick = std::max(m_nextTick, now - second * static_cast<int>(config::rateWindow));
    for (; m_nextTick <= now; m_nextTick += second) {
        for (auto& [name, family] : m_counters) {
            std::ranges::for_each(family.items, [](auto& it) { it.second->tick(); });
        }
    }
    if (now >= m_nextWindow) {
        m_nextWindow = now + config::quantileWindow;
        for (auto& [name, family] : m_summaries) {
            std::ranges::for_each(family.items, [](auto& it) { it.second->nextWindow(); });
        }
    }
}

std::string Metrics::render() const
{
    std::ostringstream out;
    out.precision(9);
    for (const auto& [name, family] : m_counters) {
        renderHead(out, name, family.help, "counter");
        for (const auto& [labels, item] : family.items) {
            out << name << braced(labels) << ' ' << item->count() << '\n';
        }
        renderHead(out, rateName(name), family.help + " Average over the last seconds.", "gauge");
        for (const auto& [labels, item] : family.items) {
            out << rateName(name) << braced(labels) << ' ' << item->perSecond() << '\n';
        }
    }
    for (const auto& [name, family] : m_gauges) {
        renderHead(out, name, family.help, "gauge");
        for (const auto& [labels, read] : family.items) {
            out << name << braced(labels) << ' ' << (*read)() << '\n';
        }
    }
    for (const auto& [name, family] : m_summaries) {
        renderHead(out, name, family.help, "summary");
        for (const auto& [labels, item] : family.items) {
            renderSummary(out, name, labels, *item);
        }
    }
    for (const auto& [name, family] : m_histograms) {
        renderHead(out, name, family.help, "histogram");
        for (const auto& [labels, item] : family.items) {
            renderHistogram(out, name, labels, *item);
        }
    }
    return out.str();
}

} // namespace pw
