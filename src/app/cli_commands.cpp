#include "app/cli_commands.h"

#include "app/cli_support.h"

#include <array>

namespace pw {
namespace {

    constexpr std::array<cli::Handler, static_cast<std::size_t>(CliAction::Count)> handlers {
        cli::configCheck,
        cli::configReview,
        cli::configDiff,
        cli::configSubmit,
        cli::configShow,
        cli::configHistory,
        cli::keyIssue,
        cli::keyWithdraw,
        cli::keyList,
        cli::workspaceList,
        cli::serviceList,
        cli::memberList,
        cli::memberRemove,
        cli::memberBootstrap,
        cli::status,
        cli::drain,
        cli::evacuate,
        cli::quarantineList,
        cli::quarantineRelease,
        cli::explainRequest,
    };

} // namespace

ExitCode runCommand(const CliContext& context)
{
    return handlers.at(static_cast<std::size_t>(context.options.action))(context);
}

} // namespace pw
