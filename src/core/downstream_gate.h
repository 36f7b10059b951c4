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
/// rank and workspace it lets through little more than that service lately took, so that its own order of
/// shedding and its own shares apply here as well, and probes always get through.
class DownstreamGate {
public:
    /// Judges a request before it is sent.
    /// \returns the refusal, or nothing when it may go.
    std::optional<Refusal> check(const std::string& route, Rank rank, const std::string& workspace, TimePoint now);

    /// Learns from the answer, whole or not, to a request of \p route that was sent.
    void onAnswer(const std::string& route, Rank rank, const std::string& workspace, const Answer& answer, TimePoint now);

private:
    /// A downstream service as requests of one rank meet it.
    struct LevelKey {
        std::string service;
        Rank rank;
        auto operator<=>(const LevelKey&) const = default;
    };
    struct FlowKey {
        LevelKey level;
        std::string workspace;
        auto operator<=>(const FlowKey&) const = default;
    };

    /// What was seen since a level last shed something.
    struct Level {
        std::uint32_t takenSince = 0;
        TimePoint lastShed {};
    };

    /// Decayed counts of one workspace's requests at a level.
    struct Flow {
        double wanted = 0; ///< That came, let through or not.
        double taken = 0; ///< That the downstream service did not shed.
        double shed = 0; ///< That it shed.
        double share = 1; ///< Part that is let through now.
        double credit = 0; ///< Turns the share into single decisions without random numbers.
        TimePoint last {}; ///< When the counts decayed and the share was set.
    };

    /// Services seen downstream of a route, with the time they were last seen.
    using Downstream = std::map<std::string, TimePoint>;

    Flow& flow(const std::string& service, Rank rank, const std::string& workspace, TimePoint now);
    bool quiet(const LevelKey& key, TimePoint now) const;
    void update(const FlowKey& key, Flow& flow, TimePoint now) const;
    void noteShed(const std::string& service, Rank rank, const std::string& workspace, TimePoint now);
    void forget(TimePoint now);

    std::unordered_map<std::string, Downstream> m_routes;
    std::map<LevelKey, Level> m_levels;
    std::map<FlowKey, Flow> m_flows;
};

} // namespace pw
