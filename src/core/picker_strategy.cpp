#include "config_pick.h"
#include "core/picker.h"

#include <algorithm>
#include <limits>

namespace pw {

const std::array<Picker::Strategy, static_cast<std::size_t>(PickBy::Count)> Picker::strategies { {
    { &Picker::pickLessLoaded, &Picker::prefersNearerByLoad },
    { &Picker::pickEarlier, &Picker::prefersNearerByCompletion },
} };

/// \returns the random candidate with the earliest expected completion, or the less loaded one where that is unknown.
std::size_t Picker::pickEarlier(const PickState& state, const Candidates& candidates)
{
    auto left = candidates;
    auto best = left.front();
    for (std::size_t n = 0; n < std::min(config::completionChoices, left.size()); ++n) {
        std::swap(left[n], left[std::uniform_int_distribution<std::size_t>(n, left.size() - 1)(m_random)]);
        if (n == 0 || isEarlier(state, left[n], best)) {
            best = left[n];
        }
    }
    return best;
}

bool Picker::isEarlier(const PickState& state, std::size_t server, std::size_t other) const
{
    const auto time = completion(state, server);
    const auto otherTime = completion(state, other);
    return time && otherTime ? *time < *otherTime : load(state, server) < load(state, other);
}

bool Picker::prefersNearerByCompletion(const PickState& state, std::size_t nearer, std::size_t other) const
{
    const auto time = completion(state, nearer);
    const auto otherTime = completion(state, other);
    if (!time || !otherTime) {
        return prefersNearerByLoad(state, nearer, other);
    }
    const std::chrono::duration<double> margin = config::distanceMargin;
    return *time <= *otherTime * (1 + config::distanceMarginShare) + margin.count();
}

/// \returns the expected time until \p server completes the call, in seconds; empty if unknown.
std::optional<double> Picker::completion(const PickState& state, std::size_t server) const
{
    // The penalty for slow servers is left out: the work time accounts for their speed.
    const auto plainLoad = load({ state.servers, state.named, std::numeric_limits<double>::max(), state.now }, server);
    return m_completion.expected(state.servers[server].name, state.route, plainLoad, state.now);
}

} // namespace pw
