#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace pw {

/// Exit codes of the command-line tool, documented in docs/CLI.md.
enum class ExitCode : std::uint8_t {
    Done = 0, ///< Accepted, or the query was answered.
    Invalid = 1, ///< Rejected: the input is invalid.
    Usage = 2, ///< The command line is invalid.
    Conflict = 3, ///< Not applied: it is based on a version that isn't the current one.
    Unknown = 4, ///< It may have been applied; retry with the same change id.
    Unavailable = 5, ///< Not applied: no member could process it.
    NotInForce = 6, ///< Accepted, but not confirmed to be in force on all daemons within the timeout.
    SecretRefused = 7, ///< The member rejected the operators' secret.
    Differs = 8, ///< `config diff` or `config review` found differences.
};

/// A subcommand of the command-line tool.
enum class CliAction : std::uint8_t {
    ConfigCheck,
    ConfigReview,
    ConfigDiff,
    ConfigSubmit,
    ConfigShow,
    ConfigHistory,
    KeyIssue,
    KeyWithdraw,
    KeyList,
    WorkspaceList,
    ServiceList,
    MemberList,
    MemberRemove,
    MemberBootstrap,
    Status,
    Drain,
    Evacuate,
    QuarantineList,
    QuarantineRelease,
    Explain,
    Count
};

/// Parsed command line.
struct CliOptions {
    CliAction action = CliAction::Status;
    std::string argument; ///< File, key id, member name, failure domain or request id; empty for actions without an argument.
    std::vector<std::string> files; ///< Files after the argument, for actions that take them.
    std::vector<std::string> members; ///< Operator addresses of members, tried in turn.
    std::string secretFile;
    std::chrono::milliseconds timeout { 0 }; ///< For the whole command.
    bool json = false; ///< Print JSON.
    bool wait = false; ///< Wait until the change is in force on all daemons, or the drained server is idle.
    bool finish = false; ///< Finish the evacuation of the failure domain.
    std::optional<std::uint64_t> base; ///< Configuration version that the submitted file is based on, or revision of the failure domain.
    std::string changeId; ///< Empty: one is generated.
    std::string keyId; ///< Empty: one is generated.
    std::string workspace;
    std::string label; ///< Free-text description of a key.
};

/// Result of parsing a command line: options to run with, or a text to print and an exit code.
struct CliParseResult {
    std::optional<CliOptions> options;
    ExitCode code = ExitCode::Done;
    std::string text;
};

/// Looks up an environment variable; returns an empty string when it isn't set.
using Environment = std::function<std::string(const std::string& name)>;

/// Parses \p arguments, which don't include the name of the program.
CliParseResult parseCommandLine(const std::vector<std::string>& arguments, const Environment& environment);

} // namespace pw
