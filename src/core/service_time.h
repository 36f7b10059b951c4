#pragma once

#include "core/types.h"

namespace pw {

/// Moving average of service times that fades when no new ones arrive, so that an estimate from a slow phase cannot
/// keep every request out for good.
class ServiceTime {
public:
    void add(Duration value, TimePoint now);

    /// \returns the estimate at \p now; zero when nothing is known.
    Duration estimate(TimePoint now) const;

private:
    double m_average = 0; ///< In clock ticks.
    TimePoint m_last {};
};

} // namespace pw
