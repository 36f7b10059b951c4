#include "app/cli_support.h"

namespace pw::cli {

ExitCode evacuate(const CliContext& context)
{
    const auto& options = context.options;
    const auto id = options.changeId.empty() ? generateId("change") : options.changeId;
    auto target = std::string("/v1/evacuations") + (options.finish ? "/finish" : "") + "?change=" + percentEncode(id)
        + "&failureDomain=" + percentEncode(options.argument);
    if (options.base) {
        target += "&base=" + std::to_string(*options.base);
    }
    return printReport(context, submitChange(context, target, id, ""));
}

} // namespace pw::cli
