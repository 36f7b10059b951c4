#pragma once

#include "core/types.h"

#include <cstdint>
#include <functional>

namespace pw {

/// Handle of a pending timer; zero is none.
using TimerId = std::uint64_t;

/// Port: the clock and the timers of the one loop.
class Timers {
public:
    virtual ~Timers() = default;

    /// \returns the monotonic time now.
    virtual TimePoint now() const = 0;

    /// Calls \p action once after \p delay. \returns a handle for cancel().
    virtual TimerId after(Duration delay, std::function<void()> action) = 0;

    /// Drops a pending timer; a handle that has fired or is zero is ignored.
    virtual void cancel(TimerId id) = 0;
};

} // namespace pw
