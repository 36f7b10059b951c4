#pragma once

#include "core/call.h"
#include "core/types.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>

namespace pw {

/// Refuses requests at the root that a service further down their route's chain would shed, before any work is done.
///
/// Learns each route's downstream services from finished answers and forgets them slowly. For each downstream service,
/// importance and workspace it lets through little more than that service lately took, so that its own order of
/// shedding and its own shares apply here as well, and probes always get through.
class DownstreamGate {
public:
    /// Judges a request before it is sent.
    /// \returns the refusal, or nothing when it may go.
    std::optional<Refusal> check(const std::string& route, Importance importance, const std::string& workspace, TimePoint now);

    /// Learns from the answer, whole or not, to a request of \p route that was sent.
    void onAnswer(const std::string& route, Importance importance, const std::string& workspace, const Answer& answer, TimePoint now);

private:
    /// A downstream service for one importance and workspace.
    struct Key {
        std::string service;
        Importance importance;
        std::string workspace;
        auto operator<=>(const Key&) const = default;
    };

    /// Decayed counts of requests.
    struct Counts {
        double wanted = 0; ///< That came, let through or not.
        double taken = 0; ///< That the downstream service did not shed.
        double shed = 0; ///< That it shed.
        double credit = 0; ///< Turns the share let through into single decisions without random numbers.
        bool throttled = false; ///< It shed lately, and what it takes has not caught up with what comes.
        TimePoint last {};
    };

    /// Services seen downstream of a route, with the time they were last seen.
    using Downstream = std::map<std::string, TimePoint>;

    Counts& counts(Key key, TimePoint now);
    static void decay(Counts& counts, TimePoint now);
    static double share(Counts& counts);
    static bool quiet(const Counts& counts);
    void forget(TimePoint now);

    std::unordered_map<std::string, Downstream> m_routes;
    std::map<Key, Counts> m_counts;
};

} // namespace pw
