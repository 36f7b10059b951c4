#include "core/picker.h"

#include "config.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <functional>
#include <limits>
#include <ranges>
#include <utility>

namespace pw {

Picker::Picker(std::uint64_t seed, PickBy pickBy)
    : m_random(seed)
    , m_pickBy(pickBy)
{
}

std::optional<std::size_t> Picker::pick(const std::vector<ServerEntry>& servers, const PickContext& context, TimePoint now)
{
    const auto& strategy = strategies.at(static_cast<std::size_t>(m_pickBy));
    const auto& named = observations(servers);
    PickState state { servers, named, slowThreshold(named), now, context.route };
    auto all = withoutWarming(state, usable(state, context));
    if (all.empty()) {
        return std::nullopt;
    }
    using InTier = bool (*)(const ServerEntry&, const PickContext&);
    constexpr std::array<InTier, 2> localityTiers {
        [](const ServerEntry& server, const PickContext& place) { return server.failureDomain == place.failureDomain; },
        [](const ServerEntry& server, const PickContext& place) { return server.region == place.region; },
    };
    auto choice = (this->*strategy.best)(state, all);
    // From the widest tier to the narrowest: a nearer server is preferred unless the farther one is much better.
    for (auto inTier : localityTiers | std::views::reverse) {
        Candidates candidates;
        candidates.reserve(all.size());
        std::ranges::copy_if(all, std::back_inserter(candidates), [&](std::size_t n) { return inTier(servers[n], context); });
        if (candidates.empty()) {
            break;
        }
        const auto nearer = (this->*strategy.best)(state, candidates);
        if ((this->*strategy.prefersNearer)(state, nearer, choice)) {
            choice = nearer;
        }
    }
    return choice;
}

bool Picker::hasCapacity(const ServerEntry& server, TimePoint now) const
{
    return load({ { server }, { &observation(server.name) }, std::numeric_limits<double>::max(), now }, 0) <= 1;
}

std::optional<StatedRate> Picker::statedRate(const std::string& server) const
{
    const auto& hint = observation(server).second.hint;
    return hint && hint->requestsPerSecond ? std::optional(StatedRate { hint->backendStart, *hint->requestsPerSecond }) : std::nullopt;
}

void Picker::started(const std::string& server, TimePoint now, std::string_view route)
{
    if (m_pickBy == PickBy::Completion) {
        m_completion.started(server, route, now);
    }
    auto& observed = m_observations[server];
    ++observed.outstanding;
    ++observed.sentSinceHint;
    if (observed.ejectionTime > Duration(0) && now >= observed.ejectedUntil) {
        // This call is the probe; the server stays ejected for other calls until it ends.
        observed.ejectedUntil = now + observed.ejectionTime;
    }
}

void Picker::finished(const std::string& server, RunOutcome outcome, Duration latency, const LoadHint* hint, TimePoint now, std::string_view route)
{
    if (m_pickBy == PickBy::Completion) {
        m_completion.finished(server, { route, outcome, latency, hint ? hint->workTime : std::chrono::microseconds(0) }, now);
    }
    auto& observed = m_observations[server];
    observed.outstanding -= std::min(observed.outstanding, 1U);
    if (hint) {
        observed.hint = *hint;
        observed.hintReceivedAt = now;
        observed.sentSinceHint = 0;
        observed.departedStart = hint->departed ? hint->backendStart : observed.departedStart;
    }
    if (outcome == RunOutcome::Failed || outcome == RunOutcome::Timeout) {
        recordFailure(observed, now);
        return;
    }
    if (outcome != RunOutcome::Ok) {
        return;
    }
    observed.consecutiveFailures = 0;
    observed.ejectionTime = Duration(0);
    auto sample = static_cast<double>(latency.count());
    observed.latency += observed.latency == 0 ? sample : (sample - observed.latency) * config::latencyWeight;
    observed.latencyAt = now;
}

void Picker::setUnresponsive(const std::string& daemon, bool unresponsive)
{
    if (unresponsive) {
        m_unresponsive.insert(daemon);
    } else {
        m_unresponsive.erase(daemon);
    }
}

std::uint32_t Picker::outstanding(const std::string& server) const
{
    return observation(server).second.outstanding;
}

void Picker::retain(const std::vector<std::string>& known)
{
    m_lastPicks.clear(); // Refers to the observations.
    std::erase_if(m_observations, [&known](const auto& entry) {
        return entry.second.outstanding == 0 && std::ranges::find(known, entry.first) == known.end();
    });
    m_completion.retain(known);
}

Picker::Candidates Picker::usable(const PickState& state, const PickContext& context) const
{
    const auto& servers = state.servers;
    Candidates allowed;
    allowed.reserve(servers.size());
    for (std::size_t n = 0; n < servers.size(); ++n) {
        auto leaving = servers[n].leaving || reportedLeaving(servers[n], state.observed(n), state.now);
        const auto evacuated = context.isEvacuated && context.isEvacuated(servers[n].failureDomain);
        if (!leaving && !evacuated && std::ranges::find(context.excluded, servers[n].name) == context.excluded.end()) {
            allowed.push_back(n);
        }
    }
    Candidates healthy;
    healthy.reserve(allowed.size());
    std::ranges::copy_if(allowed, std::back_inserter(healthy),
        [&](std::size_t n) { return !m_unresponsive.contains(servers[n].daemon) && !isEjected(state.observed(n), state.now); });
    // If no server is healthy, all are used: avoiding every one of them would only turn failures into refusals.
    return answeredSince(context.preferAnsweredSince, state, healthy.empty() ? std::move(allowed) : std::move(healthy));
}

Picker::Candidates Picker::answeredSince(TimePoint since, const PickState& state, Candidates candidates)
{
    if (since == TimePoint {}) {
        return candidates;
    }
    Candidates answered;
    std::ranges::copy_if(candidates, std::back_inserter(answered), [&](std::size_t n) {
        const auto& observed = state.observed(n);
        return observed.hint && observed.hintReceivedAt >= since;
    });
    return answered.empty() ? candidates : answered;
}

/// \returns the candidates that are not warming up. Only when even the least loaded of them is loaded, those warming servers
/// whose rate is not exhausted are returned instead.
Picker::Candidates Picker::withoutWarming(const PickState& state, Candidates candidates)
{
    const auto isWarming = [&](std::size_t n) {
        return warmUpRate(state.servers[n], state.observed(n), state.now) > 0;
    };
    const auto loadOf = [&](std::size_t n) { return load(state, n); };
    auto warming = std::ranges::stable_partition(candidates, std::not_fn(isWarming));
    if (warming.empty()) {
        return candidates;
    }
    Candidates withRoom;
    std::ranges::copy_if(warming, std::back_inserter(withRoom), [&](std::size_t n) {
        return loadOf(n) <= 1 && warmUpLoad(state.servers[n], state.observed(n), state.now) < 1;
    });
    const Candidates others(candidates.begin(), warming.begin());
    if (others.empty()) {
        return withRoom.empty() ? candidates : withRoom;
    }
    const auto least = std::ranges::min(others | std::views::transform(loadOf));
    return withRoom.empty() || least < config::loadedThreshold ? others : withRoom;
}

std::size_t Picker::pickLessLoaded(const PickState& state, const Candidates& candidates)
{
    if (candidates.size() == 1) {
        return candidates.front();
    }
    auto last = candidates.size() - 1;
    auto first = std::uniform_int_distribution<std::size_t>(0, last)(m_random);
    auto second = std::uniform_int_distribution<std::size_t>(0, last - 1)(m_random);
    if (second >= first) {
        ++second;
    }
    auto a = candidates[first];
    auto b = candidates[second];
    return load(state, a) <= load(state, b) ? a : b;
}

bool Picker::prefersNearerByLoad(const PickState& state, std::size_t nearer, std::size_t other) const
{
    const auto nearerLoad = load(state, nearer);
    return nearerLoad < config::loadedThreshold || nearerLoad <= load(state, other) + config::localityLoadTolerance;
}

double Picker::load(const PickState& state, std::size_t server)
{
    const auto& entry = state.servers[server];
    const auto& observed = state.observed(server);
    double limit = std::min(config::maxOutstandingBeforeHint, std::max(1U, std::min(entry.slots, entry.connections)));
    double busy = observed.outstanding;
    if (observed.hint && observed.hint->limit > 0) {
        limit = observed.hint->limit;
    }
    if (observed.hint && state.now - observed.hintReceivedAt < config::loadHintLifetime) {
        busy = std::max(busy, static_cast<double>(observed.hint->running + observed.hint->queued + observed.sentSinceHint));
    }
    // A server without answers and calls counts as unloaded. Otherwise it would never get a first request while others are idle.
    const auto added = observed.hint || busy > 0 ? 1.0 : 0.0;
    const auto stated = observed.hint && observed.hint->requestsPerSecond ? rateLoad(observed, *observed.hint->requestsPerSecond, state.now) : 0;
    const auto byRate = std::max(stated, warmUpLoad(entry, observed, state.now));
    return std::max((busy + added) / limit, byRate) * slowPenalty(observed, state);
}

/// \returns the rate of requests for a server that has sent a load hint, relative to \p rate.
double Picker::rateLoad(const Observation& observed, double rate, TimePoint now)
{
    const std::chrono::duration<double> window = config::offeredRateWindow;
    const std::chrono::duration<double> age = now - observed.hintReceivedAt;
    // Without the decay, a server that is avoided would never be asked whether its limit still holds.
    const auto offered = observed.hint->offeredPerSecond * std::exp(-age / window) + observed.sentSinceHint / window.count();
    return offered / std::max(rate, config::minBackendRate);
}

/// \returns the rate of a server that is warming up, otherwise zero.
double Picker::warmUpRate(const ServerEntry& server, const Observation& observed, TimePoint now)
{
    // An answer is more recent than the membership view, until the server has not been used for some time.
    const auto isRecent = observed.hint && now - observed.hintReceivedAt < config::warmUpHintLifetime;
    return isRecent ? observed.hint->warmUpRate : server.warmUpRate;
}

/// \returns the rate of requests for a server that is warming up, relative to its warm-up rate; zero for others.
double Picker::warmUpLoad(const ServerEntry& server, const Observation& observed, TimePoint now)
{
    const auto rate = warmUpRate(server, observed, now);
    if (rate <= 0) {
        return 0;
    }
    if (observed.hint && observed.hint->warmUpRate > 0) {
        return rateLoad(observed, rate, now);
    }
    // Without a hint from the warm-up, the requests of other daemons are unknown, so that only few are sent before the first answer.
    return static_cast<double>(observed.outstanding) / config::maxOutstandingBeforeHint;
}

double Picker::slowThreshold(const NamedObservations& observations)
{
    auto fastest = 0.0;
    for (const auto* named : observations) {
        const auto latency = named->second.latency;
        if (latency > 0 && (fastest == 0 || latency < fastest)) {
            fastest = latency;
        }
    }
    return fastest * config::slowLatencyRatio + static_cast<double>(Duration(config::slowLatencyMargin).count());
}

double Picker::slowPenalty(const Observation& observed, const PickState& state)
{
    // The penalty decays without new samples, so that the server eventually gets a request again.
    auto age = std::chrono::duration<double>(state.now - observed.latencyAt) / std::chrono::duration<double>(config::slowPenaltyLifetime);
    auto factor = std::clamp(observed.latency / state.slowThreshold, 1.0, config::maxSlowFactor);
    return 1 + (factor - 1) * std::max(0.0, 1 - age);
}

bool Picker::isEjected(const Observation& observed, TimePoint now)
{
    return observed.ejectionTime > Duration(0) && now < observed.ejectedUntil;
}

bool Picker::reportedLeaving(const ServerEntry& server, const Observation& observed, TimePoint now)
{
    // A start that has said so does not come back, even if a restarted daemon beside it lists it again.
    if (server.backendIncarnation != 0 && server.backendIncarnation == observed.departedStart) {
        return true;
    }
    // The membership view will follow. The hint expires, so that a server that came back is used again even if the view is late.
    return observed.hint && observed.hint->leaving && now - observed.hintReceivedAt < config::leavingHintLifetime;
}

/// \returns the observations of \p servers, in the same order. Looks up only servers whose position differs from the last pick
/// of the service: comparing a name costs less than finding it.
const Picker::NamedObservations& Picker::observations(const std::vector<ServerEntry>& servers)
{
    static const NamedObservations none;
    if (servers.empty()) {
        return none;
    }
    auto& named = m_lastPicks[servers.front().service];
    named.resize(servers.size());
    for (std::size_t n = 0; n < servers.size(); ++n) {
        if (!named[n] || named[n]->first != servers[n].name) {
            named[n] = &*m_observations.try_emplace(servers[n].name).first;
        }
    }
    return named;
}

const Picker::NamedObservation& Picker::observation(const std::string& server) const
{
    static const NamedObservation none;
    auto it = m_observations.find(server);
    return it == m_observations.end() ? none : *it;
}

void Picker::recordFailure(Observation& observed, TimePoint now)
{
    ++observed.consecutiveFailures;
    if (observed.consecutiveFailures < config::ejectionFailures) {
        return;
    }
    auto next = std::max<Duration>(config::minEjectionTime, 2 * observed.ejectionTime);
    observed.ejectionTime = std::min<Duration>(next, config::maxEjectionTime);
    // Jitter, so that daemons do not probe at the same time.
    auto spread = 0.75 + 0.5 * uniform(m_random);
    observed.ejectedUntil = now + std::chrono::duration_cast<Duration>(observed.ejectionTime * spread);
}

} // namespace pw
