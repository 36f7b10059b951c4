#pragma once

#include "app/cli_options.h"
#include "app/operator_client.h"

#include <iosfwd>
#include <string>

namespace pw {

/// What a subcommand runs with.
struct CliContext {
    const CliOptions& options;
    OperatorClient* client; ///< Null for subcommands that work offline.
    OperatorTransport& transport;
    std::ostream& out; ///< Results.
    std::ostream& err; ///< Notes and errors.
};

/// Runs the subcommand selected in \p context.options. \returns the exit code of the process.
ExitCode runCommand(const CliContext& context);

} // namespace pw
