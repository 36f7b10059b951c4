#pragma once

#include "core/types.h"

#include <array>
#include <cstdint>
#include <string>
#include <unordered_map>

namespace pw {

/// Fleet-wide bound of the requests that are repeated to the backend servers of each service, enforced without
/// coordination: in any window, each daemon may repeat a share of the requests that it sent for the first time, plus an
/// equal part of a fixed number for the whole fleet. This limits the repeats after a burst of failures, for example when a
/// server crashes while many requests are running.
class RetryBudget {
public:
    /// \param ratio repeats allowed per request.
    /// \param extra additional repeats allowed per window in the whole fleet.
    RetryBudget(double ratio, double extra, Duration window);

    /// Changes the parameters; see the constructor.
    void configure(double ratio, double extra, Duration window);

    /// Sets the number of daemons that share the additional repeats.
    void setDaemons(std::size_t daemons);

    /// Counts a request that is sent to a backend server of \p service for the first time.
    void recordFirstAttempt(const std::string& service, TimePoint now);

    /// Takes one repeat for \p service from the budget. \returns whether one was available.
    bool tryTake(const std::string& service, TimePoint now);

    /// \returns how many repeats for \p service are available.
    double available(const std::string& service, TimePoint now) const;

private:
    /// Number of intervals into which a window is divided; counts expire one interval at a time.
    static constexpr std::int64_t intervals = 16;

    struct Interval {
        std::int64_t number = -1; ///< Interval number since the clock's epoch.
        std::uint32_t firsts = 0;
        std::uint32_t repeats = 0;
    };
    /// One interval more than a window has, because the window may begin within an interval.
    using Intervals = std::array<Interval, intervals + 1>;

    std::int64_t intervalAt(TimePoint now) const;
    Interval& current(const std::string& service, TimePoint now);

    double m_ratio;
    double m_extra;
    Duration m_window;
    std::size_t m_daemons = 1;
    std::unordered_map<std::string, Intervals> m_services;
};

} // namespace pw
