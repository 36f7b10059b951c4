#pragma once

#include "core/suspects.h"
#include "ports/fleet.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

namespace pw {

/// Replaces the configuration if its current version is still baseVersion.
struct SubmitConfiguration {
    std::uint64_t baseVersion = 0;
    std::string text;
    std::uint64_t version = 0; ///< Version of the new configuration, above baseVersion; zero assigns the next one.
};

/// Issues a key for a workspace.
struct IssueKey {
    std::string keyId; ///< Unique in the fleet; identifies the key in later changes.
    std::string workspace;
    std::string label;
    KeyDigest digest {};
};

/// Withdraws a key permanently.
struct WithdrawKey {
    std::string keyId;
};

/// Evacuates a failure domain, or finishes its evacuation.
struct SetEvacuation {
    std::string failureDomain;
    bool evacuated = true;
    std::optional<std::uint64_t> baseRevision; ///< Revision of the domain that the order is based on, zero for none: an order that
                                               ///< would change the state conflicts if another one was accepted since. Unset: no check.
};

/// A start of a backend server has left.
struct RecordDeparture {
    std::uint64_t start = 0; ///< ServerEntry::backendIncarnation of the backend server.
};

/// A change of the replicated state, submitted by an operator or, for suspects and departures, by a daemon.
struct Change {
    std::string id; ///< Idempotency key chosen by the submitter; a change re-sent with the same id gets the stored answer.
    std::variant<SubmitConfiguration, IssueKey, WithdrawKey, SetEvacuation, ReportCrash, ClearSuspects, ClaimTrial, RecordDeparture> operation;
};

/// Outcome of a change.
enum class ChangeOutcome : std::uint8_t {
    Accepted, ///< Committed and applied.
    Conflict, ///< Not applied: based on a version or revision other than the current one.
    Invalid, ///< Not applied for the given reason.
    Unknown, ///< May have been applied or may be applied later; resubmit with the same id to find out.
    Unavailable, ///< Not applied: no leader could be reached.
    Count
};

/// \returns the stable name of \p outcome, as shown to operators.
std::string_view changeOutcomeName(ChangeOutcome outcome);

/// Answer to a change.
struct ChangeResult {
    ChangeOutcome outcome = ChangeOutcome::Unknown;
    std::uint64_t version = 0; ///< Configuration version after the change; on a conflict, the current version.
    std::uint64_t index = 0; ///< Index of the log entry that applied it; zero if nothing was applied.
    std::string reason; ///< Explanation of Invalid, Unknown or Unavailable.

    bool operator==(const ChangeResult&) const = default;
};

} // namespace pw
