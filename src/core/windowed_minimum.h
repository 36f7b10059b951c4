#pragma once

#include "core/types.h"

#include <algorithm>

namespace pw {

/// Minimum of the durations added in the last one to two windows, in constant memory.
class WindowedMinimum {
public:
    explicit WindowedMinimum(Duration window)
        : m_window(window)
    {
    }

    void add(Duration value, TimePoint now)
    {
        if (now - m_began > m_window) {
            m_previous = m_current;
            m_current = Duration::max();
            m_began = now;
        }
        m_current = std::min(m_current, value);
    }

    /// \returns the minimum; Duration::max() / largestFactor if nothing was added, so that a multiple of it does not overflow.
    Duration value() const { return std::min({ m_previous, m_current, Duration::max() / largestFactor }); }

private:
    static constexpr int largestFactor = 1024;

    Duration m_window;
    Duration m_previous = Duration::max();
    Duration m_current = Duration::max();
    TimePoint m_began {};
};

} // namespace pw
