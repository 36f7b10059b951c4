#pragma once

#include "core/types.h"

namespace pw {

/// Estimates the request arrival rate as an exponentially weighted average.
class RequestRateEstimate {
public:
    explicit RequestRateEstimate(Duration window)
        : m_window(window)
    {
    }

    /// Counts one request.
    void add(TimePoint now);

    /// \returns requests per second.
    double rate(TimePoint now) const;

private:
    double decayed(TimePoint now) const;

    Duration m_window;
    double m_count = 0;
    TimePoint m_last;
};

} // namespace pw
