#pragma once

#include "ports/fleet.h"

#include <cstdint>
#include <string>
#include <variant>

namespace pw {

/// Replaces the configuration if it still has the version that the change is based on.
struct SubmitConfiguration {
    std::uint64_t baseVersion = 0;
    std::string text;
    std::uint64_t version = 0; ///< Of the new configuration, above the base; zero: the next number.
};

/// Makes a key valid for a workspace.
struct IssueKey {
    std::string keyId; ///< Unique in the fleet; names the key in later changes.
    std::string workspace;
    std::string label;
    KeyDigest digest {};
};

/// Withdraws a key for good.
struct WithdrawKey {
    std::string keyId;
};

/// A change of the replicated state, as an operator submits it.
struct Change {
    std::string id; ///< Chosen by the operator; a re-sent id gets its first answer again.
    std::variant<SubmitConfiguration, IssueKey, WithdrawKey> what;
};

/// What became of a change.
enum class ChangeOutcome : std::uint8_t {
    Accepted, ///< Committed by a majority and applied.
    Conflict, ///< Based on another version than the current one; not applied.
    Invalid, ///< Not applied; the reason says why.
    Unknown, ///< It may be applied or be applied later: ask again with the same id.
    Unavailable, ///< No leader was reached: certainly not applied.
    Count
};

/// \returns the stable name of \p outcome, as operators see it.
std::string_view changeOutcomeName(ChangeOutcome outcome);

/// Answer to a change.
struct ChangeResult {
    ChangeOutcome outcome = ChangeOutcome::Unknown;
    std::uint64_t version = 0; ///< Of the configuration after the change; the current one on a conflict.
    std::uint64_t index = 0; ///< Of the log entry that applied it; zero when nothing was applied.
    std::string reason; ///< For Invalid, Unknown and Unavailable.

    bool operator==(const ChangeResult&) const = default;
};

} // namespace pw
