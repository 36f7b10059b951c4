#pragma once

#include "core/types.h"

namespace pw {

/// Moving average of service times that decays while no samples arrive. Without the decay, a high estimate from a slow
/// phase could cause every request to be refused, so that it would never be corrected.
class ServiceTime {
public:
    void add(Duration value, TimePoint now);

    /// \returns the estimate at \p now; zero if there are no samples.
    Duration estimate(TimePoint now) const;

private:
    double m_average = 0; ///< In clock ticks.
    TimePoint m_last {};
};

} // namespace pw
