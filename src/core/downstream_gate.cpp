#include "core/downstream_gate.h"

#include "config.h"

#include <algorithm>
#include <cmath>

namespace pw {

std::optional<Refusal> DownstreamGate::check(
    const std::string& route, Rank rank, const std::string& workspace, TimePoint now)
{
    auto it = m_routes.find(route);
    if (it == m_routes.end()) {
        return std::nullopt;
    }
    std::erase_if(it->second, [now](const auto& entry) { return now - entry.second > config::downstreamMemory; });
    auto refused = false;
    for (const auto& [service, seen] : it->second) {
        auto& entry = flow(service, rank, workspace, now);
        entry.wanted += 1;
        entry.credit = std::min(2.0, entry.credit + entry.share);
        refused = refused || entry.credit < 1;
    }
    if (refused) {
        return Refusal { Verdict::NotRun, Reason::DownstreamOverloaded, config::minRetryAfter };
    }
    for (const auto& [service, seen] : it->second) {
        flow(service, rank, workspace, now).credit -= 1;
    }
    return std::nullopt;
}

void DownstreamGate::onAnswer(
    const std::string& route, Rank rank, const std::string& workspace, const Answer& answer, TimePoint now)
{
    if (answer.downstream.empty() && answer.saturated.empty()) {
        return;
    }
    auto& known = m_routes[route];
    for (const auto& service : answer.downstream) {
        known[service] = now;
        if (service != answer.saturated) {
            flow(service, rank, workspace, now).taken += 1;
            ++m_levels[{ service, rank }].takenSince;
        }
    }
    if (!answer.saturated.empty()) {
        known[answer.saturated] = now;
        noteShed(answer.saturated, rank, workspace, now);
    }
}

void DownstreamGate::noteShed(const std::string& service, Rank rank, const std::string& workspace, TimePoint now)
{
    m_levels[{ service, rank }] = { 0, now };
    auto& entry = flow(service, rank, workspace, now);
    entry.shed += 1;
    if (entry.share >= 1 && entry.shed <= config::gateQuietShare * (entry.taken + entry.shed)) {
        return;
    }
    auto allowed = config::gateProbe * entry.taken + config::gateProbeFloor;
    entry.share = std::min(1.0, allowed / std::max(1.0, entry.wanted));
}

DownstreamGate::Flow& DownstreamGate::flow(
    const std::string& service, Rank rank, const std::string& workspace, TimePoint now)
{
    if (m_flows.size() >= config::maxGateKeys) {
        forget(now);
    }
    FlowKey key { { service, rank }, workspace };
    auto& entry = m_flows[key];
    if (now - entry.last >= config::gateInterval) {
        update(key, entry, now);
    }
    return entry;
}

bool DownstreamGate::quiet(const LevelKey& key, TimePoint now) const
{
    auto it = m_levels.find(key);
    return it == m_levels.end() || it->second.takenSince >= config::gateQuietAnswers
        || now - it->second.lastShed >= config::gateQuietTime;
}

void DownstreamGate::update(const FlowKey& key, Flow& flow, TimePoint now) const
{
    auto intervals = static_cast<double>((now - flow.last) / config::gateInterval);
    flow.last = now;
    if (flow.share < 1 && quiet(key.level, now)) {
        flow.share = std::min(1.0, std::max(flow.share, config::gateLeastShare) * std::pow(config::gateGrowth, std::min(intervals, 64.0)));
    } else if (flow.share < 1) {
        auto allowed = config::gateProbe * flow.taken + config::gateProbeFloor;
        flow.share = std::min(1.0, allowed / std::max(1.0, flow.wanted));
    }
    auto kept = std::pow(config::gateDecay, intervals);
    flow.wanted *= kept;
    flow.taken *= kept;
    flow.shed *= kept;
}

void DownstreamGate::forget(TimePoint now)
{
    std::erase_if(m_flows, [now](const auto& entry) { return now - entry.second.last > config::downstreamMemory; });
    if (m_flows.size() >= config::maxGateKeys) {
        m_flows.clear();
    }
}

} // namespace pw
