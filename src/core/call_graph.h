#pragma once

#include "core/types.h"

#include <map>
#include <string>
#include <vector>

namespace pw {

/// Average number of nested calls to one route in a run of another.
struct CallsPerRun {
    std::string route; ///< Route that is called.
    double count = 0; ///< Calls per run.
};

/// Estimates which nested calls the runs of each route make at the backend server beside this daemon.
///
/// A call does not identify the run that makes it. It is therefore attributed proportionally to the routes that are running
/// when it arrives, weighted by the number of their runs and the estimated rate at which each of them makes that call.
class CallGraph {
public:
    void runStarted(const std::string& route);
    void runEnded(const std::string& route, Duration length);
    void recordCall(const std::string& route);

    /// Decays the estimates; to be called every config::callGraphDecayInterval.
    void decay();

    /// \returns the estimated nested calls of a run of \p route.
    std::vector<CallsPerRun> callsOf(const std::string& route) const;

private:
    struct RouteStats {
        std::uint32_t running = 0;
        double runs = 0; ///< Ended runs, with exponential decay.
        double seconds = 0; ///< Total duration of these runs, with the same decay.
        std::map<std::string, double> calls; ///< Nested calls attributed to these runs, by called route.
    };

    static double rateOf(const RouteStats& stats, const std::string& route);

    std::map<std::string, RouteStats> m_routes;
};

} // namespace pw
