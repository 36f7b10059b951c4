#include "core/stop_schedule.h"

#include "config.h"

#include <algorithm>

namespace pw {

StopSchedule::StopSchedule(TimePoint begin, Duration timeout)
    : m_selectiveFrom(begin + std::min<Duration>(timeout / 2, config::stopDrainTime))
    , m_refusingFrom(begin + timeout - timeout / config::stopRefusingDivisor)
    , m_endingFrom(begin + timeout - timeout / config::stopEndingDivisor)
    , m_flushTime(std::min<Duration>(timeout / config::stopEndingDivisor / 2, config::stopFlushTime))
{
}

StopPhase StopSchedule::phase(TimePoint now) const
{
    if (now >= m_endingFrom) {
        return StopPhase::Ending;
    }
    if (now >= m_refusingFrom) {
        return StopPhase::Refusing;
    }
    return now >= m_selectiveFrom ? StopPhase::Selective : StopPhase::Draining;
}

TimePoint StopSchedule::workDeadline() const
{
    return m_endingFrom - std::min<Duration>((m_endingFrom - m_refusingFrom) / 2, config::stopAnswerMargin);
}

std::optional<TimePoint> StopSchedule::admit(TimePoint now, TimePoint deadline, bool isNested) const
{
    switch (phase(now)) {
    case StopPhase::Draining:
        return std::min(deadline, workDeadline());
    case StopPhase::Selective:
        return isNested || deadline <= workDeadline() ? std::optional(std::min(deadline, workDeadline())) : std::nullopt;
    default:
        return std::nullopt;
    }
}

} // namespace pw
