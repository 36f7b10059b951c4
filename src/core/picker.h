#pragma once

#include "core/call.h"
#include "core/completion_estimate.h"
#include "core/limit.h"
#include "core/pick_by.h"
#include "core/types.h"
#include "ports/fleet.h"
#include "ports/random.h"

#include <array>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <utility>
#include <vector>

namespace pw {

/// Location of the picking daemon and constraints of one pick.
struct PickContext {
    std::string failureDomain;
    std::string region;
    std::vector<std::string> excluded; ///< Servers that were already tried for this call.
    TimePoint preferAnsweredSince {}; ///< If set, servers that have answered since then are preferred.
    std::function<bool(const std::string& failureDomain)> isEvacuated {}; ///< If set, servers in evacuated failure domains are excluded.
    std::string_view route {}; ///< Of the call; used with PickBy::Completion.
};

/// Picks the backend server for a call: the better of two random choices, by default the less loaded one, where load is
/// relative to the concurrency limit. Servers in the own failure domain and region are preferred until they are loaded. Failing servers are ejected and
/// probed again, slow servers get a load penalty, and new servers get few requests until they have answered. Servers that warm
/// up are used only for what the others cannot take, within their warm-up rate.
class Picker {
public:
    explicit Picker(std::uint64_t seed, PickBy pickBy = PickBy::Load);

    /// \returns the index of the server to use, or nothing if no server is usable.
    std::optional<std::size_t> pick(const std::vector<ServerEntry>& servers, const PickContext& context, TimePoint now);

    /// \returns whether \p server can probably start another call immediately, according to its last load hint.
    bool hasCapacity(const ServerEntry& server, TimePoint now) const;

    /// \returns the rate limit that \p server has stated, as last heard by this daemon; empty if none.
    std::optional<StatedRate> statedRate(const std::string& server) const;

    /// Records that a call was sent to \p server.
    void started(const std::string& server, TimePoint now, std::string_view route = {});

    /// Records the outcome of a call. \p hint is null if there was no answer.
    void finished(const std::string& server, RunOutcome outcome, Duration latency, const LoadHint* hint, TimePoint now, std::string_view route = {});

    /// Records that the daemon at \p daemon became unresponsive or recovered.
    void setUnresponsive(const std::string& daemon, bool unresponsive);

    /// \returns the number of calls to \p server in progress.
    std::uint32_t outstanding(const std::string& server) const;

    /// Removes the observations of servers that are no longer in the fleet.
    /// \param known names of the servers in the fleet.
    void retain(const std::vector<std::string>& known);

private:
    /// What this daemon has observed of one server.
    struct Observation {
        std::uint32_t outstanding = 0;
        std::uint32_t sentSinceHint = 0;
        std::optional<LoadHint> hint;
        TimePoint hintReceivedAt {};
        std::uint64_t departedStart = 0; ///< Last start of the backend server that has said it is leaving.
        std::uint32_t consecutiveFailures = 0;
        Duration ejectionTime { 0 };
        TimePoint ejectedUntil {};
        double latency = 0; ///< Moving average, in clock ticks.
        TimePoint latencyAt {};
    };

    using Candidates = std::vector<std::size_t>;
    using NamedObservation = std::pair<const std::string, Observation>;
    using NamedObservations = std::vector<const NamedObservation*>;

    /// State of one pick: the servers of the service, their observations in the same order, and the time of the pick.
    struct PickState {
        const std::vector<ServerEntry>& servers;
        const NamedObservations& named;
        double slowThreshold; ///< Latency from which a server counts as slow, in clock ticks.
        TimePoint now;
        std::string_view route {};

        const Observation& observed(std::size_t server) const { return named[server]->second; }
    };

    /// How the candidates of a pick are compared.
    struct Strategy {
        /// \returns the better one of random candidates.
        std::size_t (Picker::*best)(const PickState& state, const Candidates& candidates);
        /// \returns whether \p nearer is used rather than \p other, the better one of a wider tier.
        bool (Picker::*prefersNearer)(const PickState& state, std::size_t nearer, std::size_t other) const;
    };
    static const std::array<Strategy, static_cast<std::size_t>(PickBy::Count)> strategies;

    Candidates usable(const PickState& state, const PickContext& context) const;
    static Candidates answeredSince(TimePoint since, const PickState& state, Candidates candidates);
    static Candidates withoutWarming(const PickState& state, Candidates candidates);
    std::size_t pickLessLoaded(const PickState& state, const Candidates& candidates);
    bool prefersNearerByLoad(const PickState& state, std::size_t nearer, std::size_t other) const;
    std::size_t pickEarlier(const PickState& state, const Candidates& candidates);
    bool prefersNearerByCompletion(const PickState& state, std::size_t nearer, std::size_t other) const;
    bool isEarlier(const PickState& state, std::size_t server, std::size_t other) const;
    std::optional<double> completion(const PickState& state, std::size_t server) const;
    static double load(const PickState& state, std::size_t server);
    static double rateLoad(const Observation& observed, double rate, TimePoint now);
    static double warmUpRate(const ServerEntry& server, const Observation& observed, TimePoint now);
    static double warmUpLoad(const ServerEntry& server, const Observation& observed, TimePoint now);
    static double slowThreshold(const NamedObservations& observations);
    static double slowPenalty(const Observation& observed, const PickState& state);
    static bool reportedLeaving(const ServerEntry& server, const Observation& observed, TimePoint now);
    static bool isEjected(const Observation& observed, TimePoint now);
    const NamedObservations& observations(const std::vector<ServerEntry>& servers);
    const NamedObservation& observation(const std::string& server) const;
    void recordFailure(Observation& observed, TimePoint now);

    Random m_random;
    PickBy m_pickBy;
    CompletionEstimate m_completion; ///< Used with PickBy::Completion.
    std::unordered_map<std::string, Observation> m_observations;
    std::unordered_map<std::string, NamedObservations> m_lastPicks; ///< By service: observations of the servers of its last pick.
    std::unordered_set<std::string> m_unresponsive; ///< Addresses of unresponsive daemons.
};

} // namespace pw
