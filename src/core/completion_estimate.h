#pragma once

#include "core/limit_sample.h"
#include "core/types.h"

#include <chrono>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace pw {

/// Outcome of a call, as far as it tells how fast the server is.
struct CompletedCall {
    std::string_view route;
    RunOutcome outcome = RunOutcome::Ok;
    Duration latency { 0 };
    std::chrono::microseconds workTime { 0 }; ///< LoadHint::workTime; zero if unknown.
};

/// Estimates when a backend server would complete a call, from the work times that the daemons beside the servers report and
/// from the calls of this daemon that are unanswered.
class CompletionEstimate {
public:
    void started(const std::string& server, std::string_view route, TimePoint now);
    void finished(const std::string& server, const CompletedCall& call, TimePoint now);

    /// \param load running and queued requests of the server relative to its concurrency limit, with the call.
    /// \returns the expected time until \p server completes a call of \p route, in seconds; empty if its work time is unknown.
    std::optional<double> expected(const std::string& server, std::string_view route, double load, TimePoint now) const;

    /// Removes the servers that are no longer in the fleet.
    void retain(const std::vector<std::string>& known);

private:
    /// A route at one server.
    struct RouteTimes {
        double work = 0; ///< As last reported, in seconds; zero if unknown.
        TimePoint workAt {};
        double latency = 0; ///< Moving average of the response time, in seconds; zero if unknown.
    };

    struct UnansweredCall {
        TimePoint sent;
        double usual; ///< Usual response time when it was sent, in seconds; zero if unknown.
    };

    struct Server {
        std::map<std::string, RouteTimes, std::less<>> routes; ///< Found without a copy of the name.
        std::vector<UnansweredCall> unanswered; ///< Oldest first.
        TimePoint lastResponse {};
    };

    static RouteTimes& timesOf(Server& server, std::string_view route);
    static double stallOf(const Server& server, TimePoint now);

    std::unordered_map<std::string, Server> m_servers;
};

} // namespace pw
