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
    Done = 0, ///< Accepted, or answered.
    Invalid = 1, ///< Refused: the input is wrong.
    Usage = 2,
    Conflict = 3, ///< Based on another version than the current one; not applied.
    Unknown = 4, ///< It may have been applied: ask again with the same change id.
    Unavailable = 5, ///< Certainly not applied: no member could carry it out.
    NotInForce = 6, ///< Accepted, but not known to be in force everywhere within the time.
    SecretRefused = 7,
    Differs = 8, ///< `config diff` found differences.
};

/// A subcommand as typed.
enum class CliAction : std::uint8_t {
    ConfigCheck,
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
    Explain,
    Count
};

/// What the operator asked for.
struct CliOptions {
    CliAction action = CliAction::Status;
    std::string argument; ///< File, key id, member name or request id; empty where the action takes none.
    std::vector<std::string> files; ///< After the argument, where the action takes them.
    std::vector<std::string> members; ///< Operator addresses, asked in turn.
    std::string secretFile;
    std::chrono::milliseconds timeout { 0 };
    bool json = false;
    bool wait = false;
    std::optional<std::uint64_t> base;
    std::string changeId; ///< Empty: one is generated.
    std::string keyId; ///< Empty: one is generated.
    std::string workspace;
    std::string label;
};

/// Outcome of reading a command line: options to run, or a text to print and an exit code.
struct CliParse {
    std::optional<CliOptions> options;
    ExitCode code = ExitCode::Done;
    std::string text;
};

/// Reads an environment variable; returns an empty string when it is not set.
using Environment = std::function<std::string(const std::string& name)>;

/// Reads the arguments after the program's name.
CliParse parseCommandLine(const std::vector<std::string>& arguments, const Environment& environment);

} // namespace pw
