#include "app/cli_support.h"

#include "app/deployment_diff.h"
#include "app/deployment_yaml.h"
#include "core/deployment_review.h"
#include "core/json_writer.h"

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <fstream>
#include <functional>
#include <ostream>
#include <sstream>

namespace pw::cli {
namespace {

    std::optional<std::string> readFile(const CliContext& context)
    {
        std::ifstream in(context.options.argument, std::ios::binary);
        std::ostringstream text;
        if (!in || !(text << in.rdbuf())) {
            context.err << context.options.argument << ": cannot be read: " << std::strerror(errno) << '\n';
            return std::nullopt;
        }
        return text.str();
    }

    /// Reads and validates the configuration file given as the argument.
    std::optional<Deployment> readDeployment(const CliContext& context, std::string& text)
    {
        auto content = readFile(context);
        if (!content) {
            return std::nullopt;
        }
        text = *content;
        std::string reason;
        auto deployment = parseDeployment(text, reason, context.options.argument);
        if (!deployment && context.options.json) {
            context.out << JsonWriter().object().field("valid", false).field("reason", reason).endObject().text() << '\n';
        } else if (!deployment) {
            context.err << reason << '\n';
        }
        return deployment;
    }

    /// \returns the accepted configuration; an empty one before the first is accepted.
    std::optional<Deployment> fetchDeployment(const CliContext& context, std::uint64_t& version, ExitCode& code)
    {
        const auto json = fetch(context, "/v1/configuration", code);
        if (!json) {
            return std::nullopt;
        }
        version = numberField(*json, "version");
        if (version == 0) {
            return Deployment();
        }
        std::string reason;
        auto deployment = parseDeployment(textField(*json, "text"), reason, "accepted configuration");
        if (!deployment) {
            context.err << reason << '\n';
            code = ExitCode::Invalid;
        }
        return deployment;
    }

    void printCounts(const CliContext& context, const Deployment& deployment)
    {
        context.out << "valid: " << deployment.services.size() << " services, " << deployment.routes.size() << " routes, "
                    << deployment.workspaces.size() << " workspaces\n";
    }

    std::vector<std::string> warningsOf(const Deployment& deployment)
    {
        const auto warnings = deploymentWarnings(deployment);
        std::vector<std::string> lines(warnings.size());
        std::ranges::transform(warnings, lines.begin(), [](const DeploymentProblem& it) { return problemText(it, "suggested"); });
        return lines;
    }

    void addItems(JsonWriter& json, std::string_view name, const std::vector<std::string>& lines)
    {
        json.array(name);
        std::ranges::for_each(lines, [&json](const std::string& it) { json.item(it); });
        json.endArray();
    }

    void printWarnings(const CliContext& context, const std::vector<std::string>& warnings)
    {
        std::ranges::for_each(warnings, [&context](const std::string& it) { context.out << "warning: " << it << '\n'; });
    }

    void printReview(const CliContext& context, std::uint64_t version, const std::vector<std::string>& warnings, const std::vector<std::string>& changes)
    {
        if (context.options.json) {
            JsonWriter json;
            json.object().field("valid", true).field("version", version);
            addItems(json, "warnings", warnings);
            addItems(json, "changes", changes);
            context.out << json.endObject().text() << '\n';
            return;
        }
        printWarnings(context, warnings);
        std::ranges::for_each(changes, [&context](const std::string& it) { context.out << it << '\n'; });
        context.err << warnings.size() << " warnings, " << changes.size() << " differences from version " << version << '\n';
    }

    void printDiff(const CliContext& context, std::uint64_t version, const std::vector<std::string>& lines)
    {
        if (context.options.json) {
            JsonWriter json;
            json.object().field("version", version);
            addItems(json, "changes", lines);
            context.out << json.endObject().text() << '\n';
            return;
        }
        std::ranges::for_each(lines, [&](const std::string& it) { context.out << it << '\n'; });
        context.err << lines.size() << " differences from version " << version << '\n';
    }

    /// A configuration file beside the accepted configuration.
    struct Comparison {
        Deployment deployment; ///< In the file.
        std::uint64_t version = 0; ///< Accepted version; zero before the first.
        std::vector<std::string> changes; ///< From the accepted version to the file.
    };

    /// Compares the file given as the argument with the accepted configuration and prints the result with \p print.
    ExitCode compareWithAccepted(const CliContext& context, const std::function<void(const Comparison&)>& print)
    {
        std::string text;
        const auto deployment = readDeployment(context, text);
        if (!deployment) {
            return ExitCode::Invalid;
        }
        auto code = ExitCode::Done;
        std::uint64_t version = 0;
        const auto accepted = fetchDeployment(context, version, code);
        if (!accepted) {
            return code;
        }
        const Comparison result { *deployment, version, diffDeployments(*accepted, *deployment) };
        print(result);
        return result.changes.empty() ? ExitCode::Done : ExitCode::Differs;
    }

} // namespace

ExitCode configCheck(const CliContext& context)
{
    std::string text;
    const auto deployment = readDeployment(context, text);
    if (!deployment) {
        return ExitCode::Invalid;
    }
    const auto warnings = warningsOf(*deployment);
    if (context.options.json) {
        JsonWriter json;
        json.object().field("valid", true).field("services", deployment->services.size());
        json.field("routes", deployment->routes.size()).field("workspaces", deployment->workspaces.size());
        addItems(json, "warnings", warnings);
        context.out << json.endObject().text() << '\n';
        return ExitCode::Done;
    }
    printCounts(context, *deployment);
    printWarnings(context, warnings);
    return ExitCode::Done;
}

ExitCode configReview(const CliContext& context)
{
    return compareWithAccepted(context, [&context](const Comparison& it) { printReview(context, it.version, warningsOf(it.deployment), it.changes); });
}

ExitCode configDiff(const CliContext& context)
{
    return compareWithAccepted(context, [&context](const Comparison& it) { printDiff(context, it.version, it.changes); });
}

ExitCode configSubmit(const CliContext& context)
{
    std::string text;
    if (!readDeployment(context, text)) {
        return ExitCode::Invalid;
    }
    const auto id = context.options.changeId.empty() ? generateId("change") : context.options.changeId;
    const auto target = "/v1/configuration?base=" + std::to_string(*context.options.base) + "&change=" + percentEncode(id);
    return printReport(context, submitChange(context, target, id, text));
}

ExitCode configShow(const CliContext& context)
{
    auto code = ExitCode::Done;
    std::string text;
    const auto json = fetch(context, "/v1/configuration", code, &text);
    if (!json) {
        return code;
    }
    if (context.options.json) {
        context.out << text;
        return code;
    }
    context.out << textField(*json, "text");
    context.err << "version " << numberField(*json, "version") << '\n';
    return code;
}

ExitCode configHistory(const CliContext& context)
{
    auto code = ExitCode::Done;
    std::string text;
    const auto json = fetch(context, "/v1/configuration/history", code, &text);
    if (!json) {
        return code;
    }
    if (context.options.json) {
        context.out << text;
        return code;
    }
    for (const auto& it : (*json)["history"]) {
        context.out << "version " << textField(it, "version") << "  index " << textField(it, "index") << "  change " << textField(it, "changeId")
                    << '\n';
    }
    return code;
}

} // namespace pw::cli
