#pragma once

#include "core/types.h"

#include <cstdint>
#include <optional>

namespace pw {

/// Phases of a planned stop, in this order.
enum class StopPhase : std::uint8_t {
    Draining, ///< Requests are accepted; each is the last one on its connection.
    Selective, ///< Only requests that end in time are accepted.
    Refusing, ///< Nothing is accepted any more; requests that have not been sent to a backend server are refused.
    Ending, ///< Requests that are still unanswered are given up.
    Count
};

/// Schedule of a planned stop: decides until when a stopping daemon accepts requests, and when it gives up the last ones.
class StopSchedule {
public:
    /// \param begin when the stop was requested.
    /// \param timeout time from then until the process must have exited.
    StopSchedule(TimePoint begin, Duration timeout);

    StopPhase phase(TimePoint now) const;

    TimePoint selectiveFrom() const { return m_selectiveFrom; }
    TimePoint refusingFrom() const { return m_refusingFrom; }
    /// \returns when the requests that are still unanswered are given up. The rest of the time is for sending their answers.
    TimePoint endingFrom() const { return m_endingFrom; }
    /// \returns how long the last answers may take to be sent, so that the process exits in time.
    Duration flushTime() const { return m_flushTime; }
    /// \returns the latest deadline for work at a backend server: an answer at that time still reaches the caller.
    TimePoint workDeadline() const;

    /// Decides on a request that arrives at \p now.
    /// \param deadline of the request.
    /// \param isNested whether a backend server made it while it ran another request. The work done so far would be lost if it
    ///     were refused, and it cannot be sent to another daemon.
    /// \returns the deadline to apply, or nothing if the request must be refused.
    std::optional<TimePoint> admit(TimePoint now, TimePoint deadline, bool isNested) const;

private:
    TimePoint m_selectiveFrom;
    TimePoint m_refusingFrom;
    TimePoint m_endingFrom;
    Duration m_flushTime;
};

} // namespace pw
