#pragma once

#include "core/call.h"
#include "core/change.h"
#include "core/types.h"
#include "ports/random.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace pw {

/// A change of the admitted share of a route, for log lines.
struct OutlookChange {
    bool lowered = false; ///< Requests of the route are refused from now on; otherwise all are admitted again.
    double failedShare = 0; ///< Share of the results that decided which were failures.
    std::size_t results = 0; ///< Number of these results.
    Duration lasted { 0 }; ///< Time since the share was first lowered.
};

/// Refuses root requests that will most likely not be served, before anything is done for them. It addresses two kinds of load:
/// requests whose callers do not wait as long as even fast responses of the route take, and requests of a route whose chain
/// of nested calls fails for most of them, so that they fail after they have started.
///
/// Both are judged by how the requests of the route that this daemon admitted have ended in the last seconds.
class RouteOutlook {
public:
    explicit RouteOutlook(std::uint64_t seed)
        : m_random(seed)
    {
    }

    /// Decides on a root request of \p route that has \p timeLeft until its deadline.
    /// \returns the refusal, or nothing if it is admitted.
    std::optional<Refusal> check(const Route& route, Duration timeLeft, TimePoint now);

    /// Records that an admitted request of \p route is sent to a backend server.
    void started(const Route& route, TimePoint now) { m_routes[route.name].lastStart = now; }

    /// Records the end of a started request of \p route.
    /// \param took time from its arrival to the answer.
    /// \returns a change of the admitted share that has not been reported yet, at most one per config::outlookLogInterval.
    std::optional<OutlookChange> ended(const Route& route, const Answer& answer, Duration took, TimePoint now);

    /// Removes the state of routes that are not in \p routes.
    void configure(const std::vector<Route>& routes);

    /// \returns the share of the requests of \p route that is admitted.
    double admittedShare(const std::string& route) const;

    /// \returns the lowest admitted share of all routes.
    double lowestAdmittedShare() const;

    /// \returns the number of routes whose admitted share is lowered.
    std::size_t loweredCount() const;

    /// \returns the number of routes with state.
    std::size_t trackedCount() const { return m_routes.size(); }

private:
    struct Result {
        TimePoint at {};
        Duration took { 0 };
        bool failed = false;
    };
    struct State {
        std::deque<Result> results; ///< Oldest first.
        std::size_t successes = 0; ///< Since the last failure.
        double usualTime = 0; ///< Moving average of the response times, in clock ticks.
        double share = 1; ///< Admitted share.
        double credit = 0; ///< Accumulated share; a request is admitted when it reaches one.
        bool lowered = false;
        bool reportedLowered = false;
        TimePoint loweredAt {}; ///< Since when the route has been failing.
        TimePoint restoredAt {};
        TimePoint lastStart {};
        TimePoint lastReport {};
    };
    struct Counts {
        std::size_t results = 0;
        std::size_t failed = 0;

        double failedShare() const { return results == 0 ? 0 : static_cast<double>(failed) / static_cast<double>(results); }
    };

    static Counts countRecent(const State& state, TimePoint now);
    static bool isFailing(const Counts& counts, bool idempotent);
    static bool isTooLate(const State& state, Duration timeLeft, TimePoint now);
    static void lower(State& state, const Counts& counts, TimePoint now);
    static void restore(State& state, TimePoint now);
    static void expire(State& state, TimePoint now);
    static std::optional<OutlookChange> report(State& state, const Counts& counts, TimePoint now);
    Refusal failingRefusal(const State& state, Duration timeLeft, TimePoint now);

    std::unordered_map<std::string, State> m_routes;
    Random m_random;
};

} // namespace pw
