#include "app/cli_support.h"

#include "app/deployment_yaml.h"
#include "core/json_writer.h"

#include <ostream>

namespace pw::cli {
namespace {

    constexpr std::chrono::milliseconds drainPoll { 250 };

    std::optional<Deployment> accepted(const CliContext& context, ExitCode& code)
    {
        const auto json = fetch(context, "/v1/configuration", code);
        std::string reason;
        auto deployment = json && numberOf(*json, "version") > 0 ? parseDeployment(textOf(*json, "text"), reason) : Deployment();
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
        out << "  " << textOf(server, "name") << "  service " << textOf(server, "service") << "  " << textOf(server, "region") << '/'
            << textOf(server, "failureDomain") << "  daemon " << textOf(server, "daemon") << "  slots " << textOf(server, "slots")
            << (textOf(server, "leaving") == "true" ? "  leaving" : "") << '\n';
    }

    void printMember(std::ostream& out, const YAML::Node& member)
    {
        out << "  " << textOf(member, "name") << "  " << textOf(member, "address") << "  "
            << (textOf(member, "voter") == "true" ? "voter" : "learner") << (textOf(member, "leader") == "true" ? "  leader" : "")
            << '\n';
    }

    void printControl(std::ostream& out, const YAML::Node& control)
    {
        out << "control: " << textOf(control, "role") << "  leader " << textOf(control, "leader") << "  epoch "
            << textOf(control, "epoch") << "  version " << textOf(control, "version") << "  applied " << textOf(control, "appliedIndex")
            << " of " << textOf(control, "commitIndex") << "  complete " << textOf(control, "completeAgeMs") << " ms ago\n";
        if (const auto reason = textOf(control, "reason"); !reason.empty()) {
            out << "  stopped: " << reason << '\n';
        }
        out << "members:\n";
        for (const auto& it : control["members"]) {
            printMember(out, it);
        }
        out << "daemons attached here:\n";
        for (const auto& it : control["daemons"]) {
            out << "  " << textOf(it, "name") << "  " << textOf(it, "address") << "  version " << textOf(it, "version") << "  applied "
                << textOf(it, "appliedIndex") << "  heard " << textOf(it, "silenceMs") << " ms ago\n";
        }
    }

    void printDaemon(std::ostream& out, const YAML::Node& daemon)
    {
        out << "daemon: " << textOf(daemon, "name") << "  " << textOf(daemon, "region") << '/' << textOf(daemon, "failureDomain")
            << "  version " << textOf(daemon, "version") << "  applied " << textOf(daemon, "appliedIndex") << "  validity lease "
            << (textOf(daemon, "keysValid") == "true" ? "holds" : "lapsed") << '\n';
        if (const auto server = daemon["backendServer"]) {
            out << "backend server: running " << textOf(server, "running") << "  queued " << textOf(server, "queued") << "  limit "
                << textOf(server, "limit") << "  admits from " << textOf(server, "admissionFloor") << '\n';
            printServer(out, server);
        }
    }

    /// Polls until nothing runs at the backend server. \returns whether that came within the time.
    bool waitUntilIdle(const CliContext& context)
    {
        const auto deadline = context.transport.now() + context.options.timeout;
        while (context.transport.now() < deadline) {
            auto code = ExitCode::Done;
            const auto json = fetch(context, "/v1/status", code);
            const auto server = json ? (*json)["daemon"]["backendServer"] : YAML::Node(YAML::NodeType::Undefined);
            if (server && numberOf(server, "running") + numberOf(server, "queued") == 0) {
                return true;
            }
            context.transport.pause(drainPoll);
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
    const auto deployment = accepted(context, code);
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
    const auto deployment = accepted(context, code);
    const auto state = deployment ? fetch(context, "/v1/status", code) : std::nullopt;
    if (!state) {
        return code;
    }
    JsonWriter json;
    json.object().array("services");
    for (const auto& it : deployment->services) {
        std::size_t servers = 0;
        for (const auto& server : (*state)["backendServers"]) {
            servers += textOf(server, "service") == it.name ? 1 : 0;
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
        list.object().field("name", textOf(it, "name")).field("address", textOf(it, "address"));
        list.field("voter", textOf(it, "voter") == "true").field("leader", textOf(it, "leader") == "true").endObject();
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
    return print(context, change(context, "/v1/members/remove?name=" + queryText(context.options.argument), "", ""));
}

ExitCode memberBootstrap(const CliContext& context)
{
    return print(context, change(context, "/v1/members/bootstrap", "", ""));
}

ExitCode drain(const CliContext& context)
{
    const auto report = change(context, "/v1/drain", "", "");
    if (report.code == ExitCode::Done && context.options.wait && !waitUntilIdle(context)) {
        context.err << "Requests still run there.\n";
        print(context, report);
        return ExitCode::NotInForce;
    }
    return print(context, report);
}

} // namespace pw::cli
