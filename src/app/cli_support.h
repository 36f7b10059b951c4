#pragma once

#include "app/cli_commands.h"

#include <yaml-cpp/yaml.h>

#include <cstdint>
#include <optional>
#include <string>

/// Handlers of the subcommands, and functions they share.
namespace pw::cli {

/// Runs a subcommand.
using Handler = ExitCode (*)(const CliContext&);

/// Result of submitting a change.
struct ChangeReport {
    ExitCode code = ExitCode::Unknown;
    std::string outcome; ///< "accepted", "conflict", "invalid", "unknown" or "unavailable".
    std::string changeId;
    std::uint64_t version = 0; ///< Configuration version after the change; the current one on a conflict.
    std::uint64_t index = 0; ///< Log index of the change.
    std::string reason; ///< Why it was not accepted.
    std::optional<bool> inForce; ///< Whether it is in force on all daemons; only set with --wait.
};

/// Parses \p text with the YAML parser, as JSON is a subset of YAML. \returns an undefined node when that fails.
YAML::Node parseJson(const std::string& text);

/// \returns the field \p key as text, empty when it is absent or not a scalar.
std::string textField(const YAML::Node& node, const char* key);

/// \returns the field \p key as an integer, zero when it is absent.
std::uint64_t numberField(const YAML::Node& node, const char* key);

/// \returns a new random id that begins with \p prefix.
std::string generateId(const std::string& prefix);

/// \returns \p text percent-encoded for use in a URL query.
std::string percentEncode(const std::string& text);

/// Fetches \p target. \returns the JSON document of a successful reply; otherwise prints the error and sets \p code.
/// \param text receives the body of the reply when it isn't null.
std::optional<YAML::Node> fetch(const CliContext& context, const std::string& target, ExitCode& code, std::string* text = nullptr);

/// Submits a change and, with --wait, waits until it is in force on all daemons.
ChangeReport submitChange(const CliContext& context, const std::string& target, const std::string& changeId, const std::string& body);

/// Prints \p report. \returns its exit code.
ExitCode printReport(const CliContext& context, const ChangeReport& report);

/// \returns the fields of \p report as JSON fields, without braces.
std::string jsonFields(const ChangeReport& report);

/// Prints why there was no successful reply. \returns the matching exit code.
ExitCode printFailure(const CliContext& context, const OperatorHttpReply& reply);

ExitCode configCheck(const CliContext& context);
ExitCode configReview(const CliContext& context);
ExitCode configDiff(const CliContext& context);
ExitCode configSubmit(const CliContext& context);
ExitCode configShow(const CliContext& context);
ExitCode configHistory(const CliContext& context);
ExitCode keyIssue(const CliContext& context);
ExitCode keyWithdraw(const CliContext& context);
ExitCode keyList(const CliContext& context);
ExitCode workspaceList(const CliContext& context);
ExitCode serviceList(const CliContext& context);
ExitCode memberList(const CliContext& context);
ExitCode memberRemove(const CliContext& context);
ExitCode memberBootstrap(const CliContext& context);
ExitCode status(const CliContext& context);
ExitCode drain(const CliContext& context);
ExitCode evacuate(const CliContext& context);
ExitCode quarantineList(const CliContext& context);
ExitCode quarantineRelease(const CliContext& context);
ExitCode explainRequest(const CliContext& context);

} // namespace pw::cli
