#include "core/call_graph.h"

#include "config.h"

#include <algorithm>

namespace pw {
namespace {

    /// Rate, in calls per second of run time, assumed for a route that was not yet observed to make a call.
    constexpr double minCallRate = 0.01;
    /// Minimum number of ended runs for which the calls of a route are reported.
    constexpr double minRuns = 3;
    /// Calls per run below which they are assumed to be misattributed calls of other routes.
    constexpr double minCallsPerRun = 0.02;

} // namespace

/// \returns the calls to \p route per second of run time.
double CallGraph::rateOf(const RouteStats& stats, const std::string& route)
{
    const auto it = stats.calls.find(route);
    const auto known = it != stats.calls.end() && stats.seconds > 0 ? it->second / stats.seconds : 0;
    return std::max(known, minCallRate);
}

void CallGraph::runStarted(const std::string& route)
{
    ++m_routes[route].running;
}

void CallGraph::runEnded(const std::string& route, Duration length)
{
    auto& stats = m_routes[route];
    stats.running -= std::min(stats.running, 1U);
    stats.runs += 1;
    stats.seconds += std::chrono::duration<double>(length).count();
}

void CallGraph::recordCall(const std::string& route)
{
    double total = 0;
    for (const auto& [name, stats] : m_routes) {
        total += stats.running * rateOf(stats, route);
    }
    if (total <= 0) {
        return;
    }
    for (auto& [name, stats] : m_routes) {
        if (stats.running > 0) {
            stats.calls[route] += stats.running * rateOf(stats, route) / total;
        }
    }
}

void CallGraph::decay()
{
    for (auto& [name, stats] : m_routes) {
        stats.runs *= config::callGraphDecayFactor;
        stats.seconds *= config::callGraphDecayFactor;
        std::ranges::for_each(stats.calls, [](auto& entry) { entry.second *= config::callGraphDecayFactor; });
    }
    std::erase_if(m_routes, [](const auto& entry) { return entry.second.running == 0 && entry.second.runs < minCallsPerRun; });
}

std::vector<CallsPerRun> CallGraph::callsOf(const std::string& route) const
{
    std::vector<CallsPerRun> result;
    const auto it = m_routes.find(route);
    if (it == m_routes.end() || it->second.runs < minRuns) {
        return result;
    }
    for (const auto& [called, count] : it->second.calls) {
        const auto perRun = count / it->second.runs;
        if (perRun >= minCallsPerRun) {
            result.push_back({ called, perRun });
        }
    }
    return result;
}

} // namespace pw
