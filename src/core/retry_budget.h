#pragma once

#include "core/types.h"

#include <array>
#include <cstdint>
#include <string>
#include <unordered_map>

namespace pw {

/// Bound of what is sent again to the backend servers of each service, kept over the whole fleet without asking anybody:
/// in any window, every daemon repeats a part of the requests that it sent first, and has its equal part of a fixed
/// number besides.
/// Answers a burst of failures, as when a server crashes with many requests running.
class RetryBudget {
public:
    /// \param ratio repeats that the fleet allows for each request.
    /// \param extra repeats that it allows besides, in any window.
    RetryBudget(double ratio, double extra, Duration window);

    /// Changes the bound.
    void configure(double ratio, double extra, Duration window);

    /// Sets among how many daemons the fixed number is divided.
    void setDaemons(std::size_t daemons);

    /// Counts a request that reaches a backend server of \p service for the first time.
    void sentFirst(const std::string& service, TimePoint now);

    /// Takes one repeat for \p service. \returns false when there is none left.
    bool take(const std::string& service, TimePoint now);

    /// \returns repeats that could be taken for \p service now.
    double left(const std::string& service, TimePoint now) const;

private:
    /// Parts of a window that are counted by themselves; a count leaves the sums by whole parts.
    static constexpr std::int64_t parts = 16;

    struct Part {
        std::int64_t number = -1; ///< Of this part of time since the clock's epoch.
        std::uint32_t firsts = 0;
        std::uint32_t repeats = 0;
    };
    /// One part more than a window has, since the window may begin within a part.
    using Parts = std::array<Part, parts + 1>;

    std::int64_t partAt(TimePoint now) const;
    Part& current(const std::string& service, TimePoint now);

    double m_ratio;
    double m_extra;
    Duration m_window;
    std::size_t m_daemons = 1;
    std::unordered_map<std::string, Parts> m_services;
};

} // namespace pw
