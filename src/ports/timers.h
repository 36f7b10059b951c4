#pragma once

#include "core/types.h"

#include <cstdint>
#include <functional>

namespace pw {

/// Handle of a timer; zero means none.
using TimerId = std::uint64_t;

/// Port: the clock and the timers of the event loop.
class Timers {
public:
    virtual ~Timers() = default;

    /// \returns the current monotonic time.
    virtual TimePoint now() const = 0;

    /// Calls \p action once after \p delay. \returns a handle for cancel().
    virtual TimerId after(Duration delay, std::function<void()> action) = 0;

    /// Cancels a pending timer; ignores zero and handles of timers that have fired.
    virtual void cancel(TimerId id) = 0;
};

} // namespace pw
