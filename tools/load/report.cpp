#include "report.h"

#include <algorithm>
#include <numeric>

namespace pw::load {
namespace {

    constexpr std::chrono::milliseconds timelineStep { 100 };

    std::string quoted(const std::string& text)
    {
        std::string result = "\"";
        for (const char c : text) {
            if (c == '"' || c == '\\') {
                result += '\\';
            }
            result += c;
        }
        return result + "\"";
    }

    template <typename Map, typename ToText>
    std::string objectOf(const Map& map, ToText toText)
    {
        std::string text = "{";
        for (const auto& [name, value] : map) {
            text += (text.size() > 1 ? "," : "") + quoted(name) + ":" + toText(value);
        }
        return text + "}";
    }

    std::int64_t quantile(const std::vector<std::chrono::microseconds>& sorted, double share)
    {
        if (sorted.empty()) {
            return 0;
        }
        const auto last = static_cast<double>(sorted.size() - 1);
        return sorted.at(static_cast<std::size_t>(share * last)).count();
    }

} // namespace

Report::Report(const std::string& outcomesFile)
    : m_outcomes(outcomesFile.empty() ? nullptr : std::fopen(outcomesFile.c_str(), "we"))
{
}

void Report::add(const Attempt& attempt)
{
    count(m_all, attempt);
    count(m_mixes[attempt.mix], attempt);
    if (!attempt.workspace.empty()) {
        count(m_workspaces[attempt.workspace], attempt);
    }
    const auto step = static_cast<std::size_t>(attempt.at / timelineStep);
    m_timeline.resize(std::max(m_timeline.size(), step + 1));
    m_timeline[step] += attempt.whole ? 1 : 0;
    if (m_outcomes) {
        (void)std::fprintf(m_outcomes.get(), "%s %d %s %s %s %lld\n", attempt.marker.c_str(), attempt.status, attempt.whole ? "whole" : "not-whole",
            attempt.verdict.empty() ? "-" : attempt.verdict.c_str(), attempt.reason.empty() ? "-" : attempt.reason.c_str(),
            static_cast<long long>(attempt.at.count()));
    }
}

void Report::count(Counts& counts, const Attempt& attempt)
{
    ++counts.attempts;
    counts.requests += attempt.last ? 1 : 0;
    counts.crossed += attempt.crossed ? 1 : 0;
    if (attempt.whole) {
        ++counts.whole;
        counts.latencies.push_back(attempt.latency);
    } else {
        ++counts.refusals[attempt.reason + "/" + attempt.verdict];
    }
}

std::string Report::jsonOf(const Counts& counts)
{
    auto sorted = counts.latencies;
    std::ranges::sort(sorted);
    const auto number = [](std::uint64_t value) { return std::to_string(value); };
    return "{\"requests\":" + number(counts.requests) + ",\"attempts\":" + number(counts.attempts) + ",\"whole\":" + number(counts.whole)
        + ",\"crossed\":" + number(counts.crossed) + ",\"p50us\":" + std::to_string(quantile(sorted, 0.5))
        + ",\"p99us\":" + std::to_string(quantile(sorted, 0.99)) + ",\"refusals\":" + objectOf(counts.refusals, number) + "}";
}

std::string Report::json() const
{
    const auto addStep = [](std::string text, std::uint64_t value) { return std::move(text) + (text.empty() ? "" : ",") + std::to_string(value); };
    return "{\"all\":" + jsonOf(m_all) + ",\n\"workspaces\":" + objectOf(m_workspaces, jsonOf) + ",\n\"mixes\":" + objectOf(m_mixes, jsonOf)
        + ",\n\"timelineStepMs\":" + std::to_string(timelineStep.count()) + ",\"timeline\":["
        + std::accumulate(m_timeline.begin(), m_timeline.end(), std::string(), addStep) + "]}\n";
}

} // namespace pw::load
