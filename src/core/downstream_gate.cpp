#include "core/downstream_gate.h"

#include "config.h"

#include <algorithm>
#include <cmath>

namespace pw {

std::optional<Refusal> DownstreamGate::check(
    const std::string& route, Importance importance, const std::string& workspace, TimePoint now)
{
    auto it = m_routes.find(route);
    if (it == m_routes.end()) {
        return std::nullopt;
    }
    std::erase_if(it->second, [now](const auto& entry) { return now - entry.second > config::downstreamMemory; });
    auto refused = false;
    for (const auto& [service, seen] : it->second) {
        auto& entry = counts({ service, importance, workspace }, now);
        entry.wanted += 1;
        entry.credit = std::min(2.0, entry.credit + share(entry));
        refused = refused || entry.credit < 1;
    }
    if (refused) {
        return Refusal { Verdict::NotRun, Reason::DownstreamOverloaded, config::minRetryAfter };
    }
    for (const auto& [service, seen] : it->second) {
        counts({ service, importance, workspace }, now).credit -= 1;
    }
    return std::nullopt;
}

void DownstreamGate::onAnswer(
    const std::string& route, Importance importance, const std::string& workspace, const Answer& answer, TimePoint now)
{
    if (answer.downstream.empty() && answer.saturated.empty()) {
        return;
    }
    auto& known = m_routes[route];
    for (const auto& service : answer.downstream) {
        known[service] = now;
        if (service != answer.saturated) {
            counts({ service, importance, workspace }, now).taken += 1;
        }
    }
    if (!answer.saturated.empty()) {
        known[answer.saturated] = now;
        auto& entry = counts({ answer.saturated, importance, workspace }, now);
        entry.shed += 1;
        entry.throttled = entry.throttled || !quiet(entry);
    }
}

DownstreamGate::Counts& DownstreamGate::counts(Key key, TimePoint now)
{
    if (m_counts.size() >= config::maxGateKeys) {
        forget(now);
    }
    auto& entry = m_counts[std::move(key)];
    decay(entry, now);
    return entry;
}

void DownstreamGate::decay(Counts& counts, TimePoint now)
{
    auto intervals = (now - counts.last) / config::gateInterval;
    if (intervals == 0) {
        return;
    }
    auto kept = std::pow(config::gateDecay, static_cast<double>(intervals));
    counts.wanted *= kept;
    counts.taken *= kept;
    counts.shed *= kept;
    counts.last = now;
}

bool DownstreamGate::quiet(const Counts& counts)
{
    return counts.shed <= config::gateQuietShare * (counts.taken + counts.shed);
}

double DownstreamGate::share(Counts& counts)
{
    if (!counts.throttled) {
        return 1;
    }
    auto allowed = (quiet(counts) ? config::gateGrowth : config::gateProbe) * counts.taken + 1;
    counts.throttled = !quiet(counts) || allowed < counts.wanted;
    return std::min(1.0, allowed / std::max(1.0, counts.wanted));
}

void DownstreamGate::forget(TimePoint now)
{
    std::erase_if(m_counts, [now](const auto& entry) { return now - entry.second.last > config::downstreamMemory; });
    if (m_counts.size() >= config::maxGateKeys) {
        m_counts.clear();
    }
}

} // namespace pw
