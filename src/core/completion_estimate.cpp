#include "core/completion_estimate.h"

#include "config_pick.h"

#include <algorithm>

namespace pw {
namespace {

    double seconds(Duration time)
    {
        return std::chrono::duration<double>(time).count();
    }

} // namespace

void CompletionEstimate::started(const std::string& server, std::string_view route, TimePoint now)
{
    auto& observed = m_servers[server];
    const auto it = observed.routes.find(route);
    observed.unanswered.push_back({ now, it == observed.routes.end() ? 0 : it->second.latency });
}

void CompletionEstimate::finished(const std::string& server, const CompletedCall& call, TimePoint now)
{
    auto& observed = m_servers[server];
    const auto it = std::ranges::find(observed.unanswered, now - call.latency, &UnansweredCall::sent);
    if (it != observed.unanswered.end()) {
        observed.unanswered.erase(it);
    }
    if (call.workTime > Duration(0)) {
        auto& times = timesOf(observed, call.route);
        times.work = seconds(call.workTime);
        times.workAt = now;
    }
    if (call.outcome == RunOutcome::Ok) {
        observed.lastResponse = now;
        auto& times = timesOf(observed, call.route);
        const auto sample = seconds(call.latency);
        times.latency = times.latency == 0 ? sample : times.latency + (sample - times.latency) * config::latencyWeight;
    }
}

CompletionEstimate::RouteTimes& CompletionEstimate::timesOf(Server& server, std::string_view route)
{
    const auto it = server.routes.find(route);
    return it == server.routes.end() ? server.routes.emplace(route, RouteTimes {}).first->second : it->second;
}

std::optional<double> CompletionEstimate::expected(const std::string& server, std::string_view route, double load, TimePoint now) const
{
    const auto observed = m_servers.find(server);
    if (observed == m_servers.end()) {
        return std::nullopt;
    }
    const auto it = observed->second.routes.find(route);
    if (it == observed->second.routes.end() || it->second.work <= 0 || now - it->second.workAt >= config::workTimeLifetime) {
        return std::nullopt;
    }
    const auto work = std::max(it->second.work, stallOf(observed->second, now));
    const auto full = std::max(0.0, load - config::loadedThreshold) / (1 - config::loadedThreshold);
    return work * (1 + config::fullServerPenalty * full);
}

void CompletionEstimate::retain(const std::vector<std::string>& known)
{
    std::erase_if(m_servers, [&known](const auto& entry) {
        return entry.second.unanswered.empty() && std::ranges::find(known, entry.first) == known.end();
    });
}

/// \returns the age of the oldest unanswered call, in seconds, if the server has not answered for much longer than usual;
/// otherwise zero.
double CompletionEstimate::stallOf(const Server& server, TimePoint now)
{
    if (server.unanswered.empty()) {
        return 0;
    }
    const auto& oldest = server.unanswered.front();
    const auto age = seconds(now - std::max(oldest.sent, server.lastResponse));
    return oldest.usual > 0 && age > config::stalledCallRatio * oldest.usual ? age : 0;
}

} // namespace pw
