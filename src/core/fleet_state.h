#pragma once

#include "core/change.h"
#include "core/fleet_image.h"

#include <deque>

namespace pw {

/// One accepted configuration, for the history.
struct ConfigurationStep {
    std::uint64_t version = 0;
    std::uint64_t index = 0;
    std::string changeId;

    bool operator==(const ConfigurationStep&) const = default;
};

/// First answer to a change, kept for re-sends.
struct KeptChange {
    std::string id;
    std::uint32_t checksum = 0; ///< Of what the change said.
    ChangeResult result;

    bool operator==(const KeptChange&) const = default;
};

/// What applying a log entry came to.
struct Applied {
    ChangeResult result;
    std::optional<FleetDelta> delta; ///< Set when the state changed.
};

/// The replicated state: the same entries make the same state at every member. No time enters it.
class FleetState {
public:
    FleetState() = default;
    FleetState(FleetImage image, const std::vector<KeptChange>& kept, const std::vector<ConfigurationStep>& history);

    /// Applies a change at log index \p index, unless its id was answered before.
    Applied apply(std::uint64_t index, const Change& change);

    /// Applies a change of the control members.
    FleetDelta applyMembers(std::uint64_t index, const std::vector<ControlMemberRecord>& members);

    /// Notes an entry that changes nothing.
    void advance(std::uint64_t index) { m_image.advance(index); }

    const FleetImage& image() const { return m_image; }
    const std::deque<KeptChange>& kept() const { return m_kept; } ///< Oldest first.
    const std::deque<ConfigurationStep>& history() const { return m_history; } ///< Oldest first.

private:
    const KeptChange* answered(const std::string& id) const;
    void keep(const std::string& id, std::uint32_t checksum, const ChangeResult& result);
    Applied decide(std::uint64_t index, const std::string& changeId, const SubmitConfiguration& change);
    Applied decide(std::uint64_t index, const std::string& changeId, const IssueKey& change);
    Applied decide(std::uint64_t index, const std::string& changeId, const WithdrawKey& change);
    Applied invalid(std::string reason) const;
    Applied accept(FleetDelta delta);

    FleetImage m_image;
    std::deque<KeptChange> m_kept;
    std::map<std::string, std::uint64_t> m_keptAt; ///< Change id to position: index in m_kept plus m_dropped.
    std::uint64_t m_dropped = 0;
    std::deque<ConfigurationStep> m_history;
};

} // namespace pw
