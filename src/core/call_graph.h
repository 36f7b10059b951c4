#pragma once

#include "core/types.h"

#include <map>
#include <string>
#include <vector>

namespace pw {

/// Nested calls that one run of a route makes on average.
struct CallsPerRun {
    std::string route; ///< That is called.
    double count = 0;
};

/// Learns which nested calls the runs of each route make at the backend server beside this daemon.
///
/// A call does not say for which run it is made, so it is divided among the routes that run when it comes, by how many
/// run and how often each of them is known to make that call.
class CallGraph {
public:
    void runStarted(const std::string& route);
    void runEnded(const std::string& route, Duration length);
    void called(const std::string& route);

    /// Forgets slowly; to be called every config::callGraphInterval.
    void decay();

    /// \returns the calls that a run of \p route makes.
    std::vector<CallsPerRun> callsOf(const std::string& route) const;

private:
    struct Seen {
        std::uint32_t running = 0;
        double runs = 0; ///< Ended, old ones counting less.
        double seconds = 0; ///< Their lengths together.
        std::map<std::string, double> calls; ///< Their nested calls, by route called.
    };

    static double rateOf(const Seen& seen, const std::string& route);

    std::map<std::string, Seen> m_routes;
};

} // namespace pw
