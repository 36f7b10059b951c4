#pragma once

#include "app/cli_commands.h"

#include <yaml-cpp/yaml.h>

#include <cstdint>
#include <optional>
#include <string>

/// Parts that the subcommands share.
namespace pw::cli {

/// A subcommand.
using Handler = ExitCode (*)(const CliContext&);

/// What is known of a change after it was sent.
struct ChangeReport {
    ExitCode code = ExitCode::Unknown;
    std::string outcome; ///< "accepted", "conflict", "invalid", "unknown" or "unavailable".
    std::string changeId;
    std::uint64_t version = 0; ///< After the change; the current one on a conflict.
    std::uint64_t index = 0;
    std::string reason;
    std::optional<bool> inForce; ///< Known when it was waited for.
};

/// \returns the JSON document \p text, read as the YAML that it also is; an undefined node when it is none.
YAML::Node readJson(const std::string& text);

/// \returns the field \p key as text, empty when it is absent.
std::string textOf(const YAML::Node& node, const char* key);

/// \returns the field \p key as a whole number, zero when it is absent.
std::uint64_t numberOf(const YAML::Node& node, const char* key);

/// \returns a new id that begins with \p prefix.
std::string newId(const std::string& prefix);

/// \returns \p text with everything that does not belong into a query escaped.
std::string queryText(const std::string& text);

/// Fetches \p target. \returns the document of a good answer; otherwise explains and sets \p code.
std::optional<YAML::Node> fetch(const CliContext& context, const std::string& target, ExitCode& code, std::string* text = nullptr);

/// Sends a change and, when asked to, waits until it is in force everywhere.
ChangeReport change(const CliContext& context, const std::string& target, const std::string& changeId, const std::string& body);

/// Prints \p report. \returns its code.
ExitCode print(const CliContext& context, const ChangeReport& report);

/// \returns the fields of \p report as JSON fields, without braces.
std::string jsonFields(const ChangeReport& report);

/// Explains why there is no good answer. \returns the code that goes with it.
ExitCode explain(const CliContext& context, const OperatorPortReply& reply);

ExitCode configCheck(const CliContext& context);
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
ExitCode explainRequest(const CliContext& context);

} // namespace pw::cli
