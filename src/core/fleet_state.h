#pragma once

#include "core/change.h"
#include "core/fleet_image.h"

#include <deque>

namespace pw {

/// Entry of the configuration history: one accepted version.
struct ConfigurationRevision {
    std::uint64_t version = 0;
    std::uint64_t index = 0; ///< Log index.
    std::string changeId;

    bool operator==(const ConfigurationRevision&) const = default;
};

/// Stored answer to a change; a re-sent change gets the same answer.
struct StoredChangeResult {
    std::string id;
    std::uint32_t checksum = 0; ///< Checksum of the change's contents.
    ChangeResult result;

    bool operator==(const StoredChangeResult&) const = default;
};

/// Result of applying a log entry.
struct ApplyResult {
    ChangeResult result;
    std::optional<FleetDelta> delta; ///< Set when the state changed.
};

/// State machine of the replicated log. Deterministic: the same entries yield the same state at every member, so it uses
/// no clock.
class FleetState {
public:
    FleetState() = default;
    FleetState(FleetImage image, const std::vector<StoredChangeResult>& kept, const std::vector<ConfigurationRevision>& history);

    /// Applies the change at log index \p index; returns the stored answer if its id was answered before.
    ApplyResult apply(std::uint64_t index, const Change& change);

    /// Applies a membership change.
    FleetDelta applyMembers(std::uint64_t index, const std::vector<ControlMemberRecord>& members);

    /// Advances the index for an entry that does not change the state.
    void advance(std::uint64_t index) { m_image.advance(index); }

    const FleetImage& image() const { return m_image; }
    const std::deque<StoredChangeResult>& storedAnswers() const { return m_storedAnswers; } ///< Oldest first.
    const std::deque<ConfigurationRevision>& history() const { return m_history; } ///< Oldest first.

private:
    const StoredChangeResult* findAnswer(const std::string& id) const;
    void storeAnswer(const std::string& id, std::uint32_t checksum, const ChangeResult& result);
    ApplyResult execute(std::uint64_t index, const std::string& changeId, const SubmitConfiguration& change);
    ApplyResult execute(std::uint64_t index, const std::string& changeId, const IssueKey& change);
    ApplyResult execute(std::uint64_t index, const std::string& changeId, const WithdrawKey& change);
    ApplyResult execute(std::uint64_t index, const std::string& changeId, const SetEvacuation& change);
    ApplyResult execute(std::uint64_t index, const std::string& changeId, const ReportCrash& change);
    ApplyResult execute(std::uint64_t index, const std::string& changeId, const ClearSuspects& change);
    ApplyResult execute(std::uint64_t index, const std::string& changeId, const ClaimTrial& change);
    ApplyResult execute(std::uint64_t index, const std::string& changeId, const RecordDeparture& change);
    ApplyResult invalid(std::string reason) const;
    ApplyResult accept(FleetDelta delta);

    FleetImage m_image;
    std::deque<StoredChangeResult> m_storedAnswers;
    std::map<std::string, std::uint64_t> m_answerPositions; ///< Change id to index in m_storedAnswers plus m_evictedAnswers.
    std::uint64_t m_evictedAnswers = 0; ///< Number of answers evicted from m_storedAnswers.
    std::deque<ConfigurationRevision> m_history;
};

} // namespace pw
