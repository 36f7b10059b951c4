#include "core/picker.h"

#include "config.h"

#include <algorithm>
#include <array>
#include <limits>
#include <ranges>
#include <utility>

namespace pw {

Picker::Picker(std::uint64_t seed)
    : m_random(seed)
{
}

std::optional<std::size_t> Picker::pick(const std::vector<ServerEntry>& servers, const PickContext& context, TimePoint now)
{
    Scene scene { servers, slowFrom(servers), now };
    auto all = usable(scene, context);
    if (all.empty()) {
        return std::nullopt;
    }
    using Near = bool (*)(const ServerEntry&, const PickContext&);
    constexpr std::array<Near, 2> circles {
        [](const ServerEntry& server, const PickContext& place) { return server.failureDomain == place.failureDomain; },
        [](const ServerEntry& server, const PickContext& place) { return server.region == place.region; },
    };
    auto choice = twoChoices(scene, all);
    // From the widest circle to the narrowest: a nearer server is taken unless the farther one is much less loaded.
    for (auto near : circles | std::views::reverse) {
        Candidates candidates;
        std::ranges::copy_if(all, std::back_inserter(candidates), [&](std::size_t n) { return near(servers[n], context); });
        if (candidates.empty()) {
            break;
        }
        const auto nearer = twoChoices(scene, candidates);
        const auto nearerLoad = load(scene, nearer);
        if (nearerLoad < config::loadedShare || nearerLoad <= load(scene, choice) + config::distanceShare) {
            choice = nearer;
        }
    }
    return choice;
}

bool Picker::hasRoom(const ServerEntry& server, TimePoint now) const
{
    return load({ { server }, std::numeric_limits<double>::max(), now }, 0) <= 1;
}

void Picker::started(const std::string& server, TimePoint now)
{
    auto& seen = m_observations[server];
    ++seen.outstanding;
    ++seen.sentSinceHint;
    if (seen.avoidTime > Duration(0) && now >= seen.avoidUntil) {
        // This call is the probe; others stay away until it ends.
        seen.avoidUntil = now + seen.avoidTime;
    }
}

void Picker::finished(const std::string& server, RunOutcome outcome, Duration latency, const LoadHint* hint, TimePoint now)
{
    auto& seen = m_observations[server];
    seen.outstanding -= std::min(seen.outstanding, 1U);
    if (hint) {
        seen.hint = *hint;
        seen.hintAt = now;
        seen.sentSinceHint = 0;
    }
    if (outcome == RunOutcome::Failed || outcome == RunOutcome::Timeout) {
        noteFailure(seen, now);
        return;
    }
    if (outcome != RunOutcome::Ok) {
        return;
    }
    seen.failuresInRow = 0;
    seen.avoidTime = Duration(0);
    auto sample = static_cast<double>(latency.count());
    seen.latency += seen.latency == 0 ? sample : (sample - seen.latency) * config::latencyWeight;
    seen.latencyAt = now;
}

void Picker::setSilent(const std::string& daemon, bool silent)
{
    if (silent) {
        m_silent.insert(daemon);
    } else {
        m_silent.erase(daemon);
    }
}

std::uint32_t Picker::outstanding(const std::string& server) const
{
    return observation(server).outstanding;
}

void Picker::retain(const std::vector<std::string>& known)
{
    std::erase_if(m_observations, [&known](const auto& entry) {
        return entry.second.outstanding == 0 && std::ranges::find(known, entry.first) == known.end();
    });
}

Picker::Candidates Picker::usable(const Scene& scene, const PickContext& context) const
{
    const auto& servers = scene.servers;
    Candidates allowed;
    for (std::size_t n = 0; n < servers.size(); ++n) {
        auto leaving = servers[n].leaving || saidLeaving(observation(servers[n].name), scene.now);
        if (!leaving && std::ranges::find(context.excluded, servers[n].name) == context.excluded.end()) {
            allowed.push_back(n);
        }
    }
    Candidates healthy;
    std::ranges::copy_if(allowed, std::back_inserter(healthy),
        [&](std::size_t n) { return !m_silent.contains(servers[n].daemon) && !avoided(observation(servers[n].name), scene.now); });
    // With every server failing, avoiding all of them would only turn failures into refusals.
    return heardSince(context.heardSince, scene, healthy.empty() ? std::move(allowed) : std::move(healthy));
}

Picker::Candidates Picker::heardSince(TimePoint since, const Scene& scene, Candidates candidates) const
{
    if (since == TimePoint {}) {
        return candidates;
    }
    Candidates heard;
    std::ranges::copy_if(candidates, std::back_inserter(heard), [&](std::size_t n) {
        const auto& seen = observation(scene.servers[n].name);
        return seen.hint && seen.hintAt >= since;
    });
    return heard.empty() ? candidates : heard;
}

std::size_t Picker::twoChoices(const Scene& scene, const Candidates& candidates)
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
    return load(scene, a) <= load(scene, b) ? a : b;
}

double Picker::load(const Scene& scene, std::size_t server) const
{
    const auto& entry = scene.servers[server];
    const auto& seen = observation(entry.name);
    double limit = std::min(config::coldOutstanding, std::max(1U, std::min(entry.slots, entry.connections)));
    double busy = seen.outstanding;
    if (seen.hint && seen.hint->limit > 0) {
        limit = seen.hint->limit;
    }
    if (seen.hint && scene.now - seen.hintAt < config::loadHintMemory) {
        busy = std::max(busy, static_cast<double>(seen.hint->running + seen.hint->queued + seen.sentSinceHint));
    }
    // Nothing is known of a server that has not answered: without a first request that would stay so while others are idle.
    const auto added = seen.hint || busy > 0 ? 1.0 : 0.0;
    return (busy + added) / limit * slowFactor(seen, scene);
}

double Picker::slowFrom(const std::vector<ServerEntry>& servers) const
{
    auto fastest = 0.0;
    for (const auto& server : servers) {
        auto latency = observation(server.name).latency;
        if (latency > 0 && (fastest == 0 || latency < fastest)) {
            fastest = latency;
        }
    }
    return fastest * config::slowTolerance + static_cast<double>(Duration(config::slowMargin).count());
}

double Picker::slowFactor(const Observation& seen, const Scene& scene)
{
    // A server that is not sampled is forgiven in time, so that it is probed again.
    auto age = std::chrono::duration<double>(scene.now - seen.latencyAt) / std::chrono::duration<double>(config::slowMemory);
    auto factor = std::clamp(seen.latency / scene.slowFrom, 1.0, config::maxSlowFactor);
    return 1 + (factor - 1) * std::max(0.0, 1 - age);
}

bool Picker::avoided(const Observation& seen, TimePoint now)
{
    return seen.avoidTime > Duration(0) && now < seen.avoidUntil;
}

bool Picker::saidLeaving(const Observation& seen, TimePoint now)
{
    // The membership view follows; a server that came back is tried again even when the view is late.
    return seen.hint && seen.hint->leaving && now - seen.hintAt < config::leavingHintMemory;
}

const Picker::Observation& Picker::observation(const std::string& server) const
{
    static const Observation none;
    auto it = m_observations.find(server);
    return it == m_observations.end() ? none : it->second;
}

void Picker::noteFailure(Observation& seen, TimePoint now)
{
    ++seen.failuresInRow;
    if (seen.failuresInRow < config::failuresToAvoid) {
        return;
    }
    auto next = std::max<Duration>(config::minAvoidTime, 2 * seen.avoidTime);
    seen.avoidTime = std::min<Duration>(next, config::maxAvoidTime);
    // Spread the probes of many daemons.
    auto spread = 0.75 + 0.5 * uniform(m_random);
    seen.avoidUntil = now + std::chrono::duration_cast<Duration>(seen.avoidTime * spread);
}

} // namespace pw
