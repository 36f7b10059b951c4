#include "app/cli_support.h"

namespace pw::cli {

ExitCode quarantineList(const CliContext& context)
{
    auto code = ExitCode::Done;
    std::string text;
    const auto json = fetch(context, "/v1/quarantine", code, &text);
    if (!json) {
        return code;
    }
    if (context.options.json) {
        context.out << text;
        return code;
    }
    for (const auto& it : (*json)["suspects"]) {
        context.out << textField(it, "digest") << "  " << textField(it, "service") << "  crashes " << textField(it, "crashes") << "  trials "
                    << textField(it, "trials") << (textField(it, "held") == "true" ? "  held" : "  suspect") << '\n';
    }
    return code;
}

ExitCode quarantineRelease(const CliContext& context)
{
    const auto& options = context.options;
    const auto id = options.changeId.empty() ? generateId("change") : options.changeId;
    return printReport(context, submitChange(context, "/v1/quarantine/release?change=" + percentEncode(id) + "&digest=" + percentEncode(options.argument), id, ""));
}

} // namespace pw::cli
