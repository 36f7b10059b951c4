#include "core/quarantine_policy.h"

#include "config.h"

#include <algorithm>

namespace pw {

Duration holdTimeAfter(std::uint32_t crashes, Duration holdTime)
{
    auto time = holdTime;
    for (auto n = config::crashesUntilHeld; n < crashes && time < config::maxHoldTime; ++n) {
        time *= config::holdTimeGrowth;
    }
    return std::min<Duration>(time, config::maxHoldTime);
}

SuspectMode suspectMode(std::uint32_t crashes, Duration age, Duration holdTime)
{
    if (crashes >= config::crashesUntilHeld) {
        return age < holdTimeAfter(crashes, holdTime) ? SuspectMode::Held : SuspectMode::Trial;
    }
    if (crashes >= config::crashesUntilTrial) {
        return SuspectMode::Trial;
    }
    return crashes > 0 ? SuspectMode::Isolated : SuspectMode::Clear;
}

std::size_t isolationLimit(std::size_t suspects)
{
    return std::max<std::size_t>(suspects / config::isolationDivisor, 1);
}

} // namespace pw
