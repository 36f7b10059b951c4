#include "core/call_graph.h"

#include "config.h"

#include <algorithm>

namespace pw {
namespace {

    /// Weight of routes that were not yet seen to make a call.
    constexpr double leastRate = 0.01;
    /// Ended runs below which the calls of a route are not known well enough.
    constexpr double leastRuns = 3;
    /// Calls in a run below which they are taken for those of other routes.
    constexpr double leastCalls = 0.02;

} // namespace

/// \returns calls to \p route a second of one run.
double CallGraph::rateOf(const Seen& seen, const std::string& route)
{
    const auto it = seen.calls.find(route);
    const auto known = it != seen.calls.end() && seen.seconds > 0 ? it->second / seen.seconds : 0;
    return std::max(known, leastRate);
}

void CallGraph::runStarted(const std::string& route)
{
    ++m_routes[route].running;
}

void CallGraph::runEnded(const std::string& route, Duration length)
{
    auto& seen = m_routes[route];
    seen.running -= std::min(seen.running, 1U);
    seen.runs += 1;
    seen.seconds += std::chrono::duration<double>(length).count();
}

void CallGraph::called(const std::string& route)
{
    double total = 0;
    for (const auto& [name, seen] : m_routes) {
        total += seen.running * rateOf(seen, route);
    }
    if (total <= 0) {
        return;
    }
    for (auto& [name, seen] : m_routes) {
        if (seen.running > 0) {
            seen.calls[route] += seen.running * rateOf(seen, route) / total;
        }
    }
}

void CallGraph::decay()
{
    for (auto& [name, seen] : m_routes) {
        seen.runs *= config::callGraphDecay;
        seen.seconds *= config::callGraphDecay;
        std::ranges::for_each(seen.calls, [](auto& entry) { entry.second *= config::callGraphDecay; });
    }
    std::erase_if(m_routes, [](const auto& entry) { return entry.second.running == 0 && entry.second.runs < leastCalls; });
}

std::vector<CallsPerRun> CallGraph::callsOf(const std::string& route) const
{
    std::vector<CallsPerRun> result;
    const auto it = m_routes.find(route);
    if (it == m_routes.end() || it->second.runs < leastRuns) {
        return result;
    }
    for (const auto& [called, count] : it->second.calls) {
        const auto perRun = count / it->second.runs;
        if (perRun >= leastCalls) {
            result.push_back({ called, perRun });
        }
    }
    return result;
}

} // namespace pw
