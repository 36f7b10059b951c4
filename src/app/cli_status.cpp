#include "app/cli_support.h"

#include "app/deployment_yaml.h"
#include "core/json_writer.h"

#include <ostream>

namespace pw::cli {
namespace {

    constexpr std::chrono::milliseconds drainPollInterval { 250 };

    std::optional<Deployment> fetchDeployment(const CliContext& context, ExitCode& code)
    {
        const auto json = fetch(context, "/v1/configuration", code);
        std::string reason;
        auto deployment = json && numberField(*json, "version") > 0 ? parseDeployment(textField(*json, "text"), reason) : Deployment();
        if (!json) {
            return std::nullopt;
        }
        if (!deployment) {
            context.err << reason << '\n';
            code = ExitCode::Invalid;
        }
        return deployment;
    }

    void printServer(std::ostream& out, const YAML::Node& server)
    {
        out << "  " << textField(server, "name") << "  service " << textField(server, "service") << "  " << textField(server, "region") << '/'
            << textField(server, "failureDomain") << "  daemon " << textField(server, "daemon") << "  slots " << textField(server, "slots")
            << (textField(server, "leaving") == "true" ? "  leaving" : "") << '\n';
    }

    void printMember(std::ostream& out, const YAML::Node& member)
    {
        out << "  " << textField(member, "name") << "  " << textField(member, "address") << "  "
            << (textField(member, "voter") == "true" ? "voter" : "learner") << (textField(member, "leader") == "true" ? "  leader" : "")
            << '\n';
    }

    void printControl(std::ostream& out, const YAML::Node& control)
    {
        out << "control: " << textField(control, "role") << "  leader " << textField(control, "leader") << "  epoch "
            << textField(control, "epoch") << "  version " << textField(control, "version") << "  applied " << textField(control, "appliedIndex")
            << " of " << textField(control, "commitIndex") << "  complete " << textField(control, "completeAgeMs") << " ms ago\n";
        if (const auto reason = textField(control, "reason"); !reason.empty()) {
            out << "  stopped: " << reason << '\n';
        }
        out << "members:\n";
        for (const auto& it : control["members"]) {
            printMember(out, it);
        }
        out << "daemons attached here:\n";
        for (const auto& it : control["daemons"]) {
            out << "  " << textField(it, "name") << "  " << textField(it, "address") << "  version " << textField(it, "version") << "  applied "
                << textField(it, "appliedIndex") << "  heard " << textField(it, "silenceMs") << " ms ago\n";
        }
    }

    void printDaemon(std::ostream& out, const YAML::Node& daemon)
    {
        out << "daemon: " << textField(daemon, "name") << "  " << textField(daemon, "region") << '/' << textField(daemon, "failureDomain")
            << "  version " << textField(daemon, "version") << "  applied " << textField(daemon, "appliedIndex") << "  validity lease "
            << (textField(daemon, "keysValid") == "true" ? "holds" : "lapsed") << '\n';
        if (const auto domains = daemon["evacuatedDomains"]) {
            out << "evacuated failure domains:";
            for (const auto& it : domains) {
                out << ' ' << it.Scalar();
            }
            out << '\n';
        }
        if (const auto server = daemon["backendServer"]) {
            out << "backend server: running " << textField(server, "running") << "  queued " << textField(server, "queued") << "  limit "
                << textField(server, "limit") << "  admits from " << textField(server, "admissionFloor") << '\n';
            if (server["rateLimit"]) {
                out << "rate limit: " << textField(server, "rateLimit") << "/s  offered " << textField(server, "offeredPerSecond") << "/s\n";
            }
            printServer(out, server);
        }
    }

    /// Polls until no request runs or is queued at the backend server. \returns false on timeout.
    bool waitUntilIdle(const CliContext& context)
    {
        const auto deadline = context.transport.now() + context.options.timeout;
        while (context.transport.now() < deadline) {
            auto code = ExitCode::Done;
            const auto json = fetch(context, "/v1/status", code);
            const auto server = json ? (*json)["daemon"]["backendServer"] : YAML::Node(YAML::NodeType::Undefined);
            if (server && numberField(server, "running") + numberField(server, "queued") == 0) {
                return true;
            }
            context.transport.pause(drainPollInterval);
        }
        return false;
    }

} // namespace

ExitCode status(const CliContext& context)
{
    auto code = ExitCode::Done;
    std::string text;
    const auto json = fetch(context, "/v1/status", code, &text);
    if (!json) {
        return code;
    }
    if (context.options.json) {
        context.out << text;
        return code;
    }
    printDaemon(context.out, (*json)["daemon"]);
    if (const auto control = (*json)["control"]) {
        printControl(context.out, control);
    }
    context.out << "backend servers:\n";
    for (const auto& it : (*json)["backendServers"]) {
        printServer(context.out, it);
    }
    return code;
}

ExitCode workspaceList(const CliContext& context)
{
    auto code = ExitCode::Done;
    const auto deployment = fetchDeployment(context, code);
    if (!deployment) {
        return code;
    }
    JsonWriter json;
    json.object().array("workspaces");
    for (const auto& it : deployment->workspaces) {
        json.object().field("name", it.name).field("rate", it.rate).field("burst", it.burst).endObject();
        if (!context.options.json) {
            context.out << it.name << "  rate " << it.rate << "/s  burst " << it.burst << '\n';
        }
    }
    if (context.options.json) {
        context.out << json.endArray().endObject().text() << '\n';
    }
    return code;
}

ExitCode serviceList(const CliContext& context)
{
    auto code = ExitCode::Done;
    const auto deployment = fetchDeployment(context, code);
    const auto state = deployment ? fetch(context, "/v1/status", code) : std::nullopt;
    if (!state) {
        return code;
    }
    JsonWriter json;
    json.object().array("services");
    for (const auto& it : deployment->services) {
        std::size_t servers = 0;
        for (const auto& server : (*state)["backendServers"]) {
            servers += textField(server, "service") == it.name ? 1 : 0;
        }
        json.object().field("name", it.name).field("slotsPerServer", it.slotsPerServer);
        json.field("connectionsPerServer", it.connectionsPerServer).field("backendServers", servers).endObject();
        if (!context.options.json) {
            context.out << it.name << "  slots " << it.slotsPerServer << "  connections " << it.connectionsPerServer
                        << "  backend servers " << servers << '\n';
        }
    }
    if (context.options.json) {
        context.out << json.endArray().endObject().text() << '\n';
    }
    return code;
}

ExitCode memberList(const CliContext& context)
{
    auto code = ExitCode::Done;
    const auto json = fetch(context, "/v1/status", code);
    if (!json) {
        return code;
    }
    JsonWriter list;
    list.object().array("members");
    for (const auto& it : (*json)["control"]["members"]) {
        list.object().field("name", textField(it, "name")).field("address", textField(it, "address"));
        list.field("voter", textField(it, "voter") == "true").field("leader", textField(it, "leader") == "true").endObject();
        if (!context.options.json) {
            printMember(context.out, it);
        }
    }
    if (context.options.json) {
        context.out << list.endArray().endObject().text() << '\n';
    }
    return code;
}

ExitCode memberRemove(const CliContext& context)
{
    return printReport(context, submitChange(context, "/v1/members/remove?name=" + percentEncode(context.options.argument), "", ""));
}

ExitCode memberBootstrap(const CliContext& context)
{
    return printReport(context, submitChange(context, "/v1/members/bootstrap", "", ""));
}

ExitCode drain(const CliContext& context)
{
    const auto report = submitChange(context, "/v1/drain", "", "");
    if (report.code == ExitCode::Done && context.options.wait && !waitUntilIdle(context)) {
        context.err << "The backend server is still running requests.\n";
        printReport(context, report);
        return ExitCode::NotInForce;
    }
    return printReport(context, report);
}

} // namespace pw::cli
