#pragma once

#include "core/types.h"

namespace pw {

/// Estimate of the requests a second that arrive, with exponentially falling weights.
class DemandEstimate {
public:
    explicit DemandEstimate(Duration window)
        : m_window(window)
    {
    }

    /// Counts one request.
    void add(TimePoint now);

    /// \returns requests a second.
    double rate(TimePoint now) const;

private:
    double decayed(TimePoint now) const;

    Duration m_window;
    double m_count = 0;
    TimePoint m_last;
};

} // namespace pw
