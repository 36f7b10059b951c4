#pragma once

#include "ports/timers.h"

#include <cstddef>
#include <deque>
#include <functional>

namespace pw {

/// Calls functions from the event loop, in the order in which they were added, once the current callback of the loop has returned.
/// A class that reports its results this way never calls back into a caller that is in the middle of a loop or change.
class DeferredCalls {
public:
    explicit DeferredCalls(Timers& timers);
    ~DeferredCalls();
    DeferredCalls(const DeferredCalls&) = delete;
    DeferredCalls& operator=(const DeferredCalls&) = delete;

    void add(std::function<void()> call);

    /// \returns the number of functions not called yet.
    std::size_t size() const { return m_calls.size(); }

private:
    void run();

    Timers& m_timers;
    TimerId m_timer = 0;
    std::deque<std::function<void()>> m_calls;
};

} // namespace pw
