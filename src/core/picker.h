#pragma once

#include "core/call.h"
#include "core/limit.h"
#include "core/types.h"
#include "ports/fleet.h"
#include "ports/random.h"

#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace pw {

/// Where the picker stands and what it must not pick.
struct PickContext {
    std::string failureDomain;
    std::string region;
    std::vector<std::string> excluded; ///< Servers already tried for this call.
    TimePoint heardSince {}; ///< Servers that answered since then go first, when it is set.
};

/// Picks the backend server of a call: two random choices by load over limit, own failure domain first until it is
/// loaded. Failing and slow servers are avoided by own observation and probed again; new ones get little at first.
class Picker {
public:
    explicit Picker(std::uint64_t seed);

    /// \returns the index of the server to use, or nothing when there is none.
    std::optional<std::size_t> pick(const std::vector<ServerEntry>& servers, const PickContext& context, TimePoint now);

    /// \returns whether \p server could start another call at once, as far as is known here.
    bool hasRoom(const ServerEntry& server, TimePoint now) const;

    /// Notes that a call was sent to \p server.
    void started(const std::string& server, TimePoint now);

    /// Notes how that call ended. \p hint is null when no answer came.
    void finished(const std::string& server, RunOutcome outcome, Duration latency, const LoadHint* hint, TimePoint now);

    /// Notes that the daemon at \p daemon fell silent, or was heard again.
    void setSilent(const std::string& daemon, bool silent);

    /// \returns calls sent to \p server that have not ended.
    std::uint32_t outstanding(const std::string& server) const;

    /// Forgets servers that are not in the fleet any more; \p known are the names that are.
    void retain(const std::vector<std::string>& known);

private:
    /// What this daemon saw of one server.
    struct Observation {
        std::uint32_t outstanding = 0;
        std::uint32_t sentSinceHint = 0;
        std::optional<LoadHint> hint;
        TimePoint hintAt {};
        std::uint32_t failuresInRow = 0;
        Duration avoidTime { 0 };
        TimePoint avoidUntil {};
        double latency = 0; ///< Average in clock ticks.
        TimePoint latencyAt {};
    };

    using Candidates = std::vector<std::size_t>;

    /// Servers of one service as one pick sees them.
    struct Scene {
        const std::vector<ServerEntry>& servers;
        double slowFrom; ///< Latency from which a server counts as slow, in clock ticks.
        TimePoint now;
    };

    Candidates usable(const Scene& scene, const PickContext& context) const;
    Candidates heardSince(TimePoint since, const Scene& scene, Candidates candidates) const;
    std::size_t twoChoices(const Scene& scene, const Candidates& candidates);
    double load(const Scene& scene, std::size_t server) const;
    double slowFrom(const std::vector<ServerEntry>& servers) const;
    static double slowFactor(const Observation& seen, const Scene& scene);
    static bool saidLeaving(const Observation& seen, TimePoint now);
    static bool avoided(const Observation& seen, TimePoint now);
    const Observation& observation(const std::string& server) const;
    void noteFailure(Observation& seen, TimePoint now);

    Random m_random;
    std::unordered_map<std::string, Observation> m_observations;
    std::unordered_set<std::string> m_silent; ///< Addresses of daemons.
};

} // namespace pw
