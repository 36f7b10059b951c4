#pragma once

#include "app/cli_options.h"
#include "app/operator_client.h"

#include <iosfwd>
#include <string>

namespace pw {

/// Where a subcommand prints, and whom it asks.
struct CliContext {
    const CliOptions& options;
    OperatorClient* client; ///< Null for subcommands that ask no member.
    OperatorTransport& transport;
    std::ostream& out; ///< Results.
    std::ostream& err; ///< Remarks and problems.
};

/// Runs the subcommand. \returns the exit code of the process.
ExitCode runCommand(const CliContext& context);

} // namespace pw
