#pragma once

#include "core/types.h"

#include <algorithm>

namespace pw {

/// Smallest duration seen in the last one to two windows, in constant memory.
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

    /// \returns Duration::max() scaled down when nothing was added yet, so that it may be multiplied.
    Duration value() const { return std::min({ m_previous, m_current, Duration::max() / largestFactor }); }

private:
    static constexpr int largestFactor = 1024;

    Duration m_window;
    Duration m_previous = Duration::max();
    Duration m_current = Duration::max();
    TimePoint m_began {};
};

} // namespace pw
