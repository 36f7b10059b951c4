#include "app/operator_http.h"
#include "core/json_writer.h"

#include <algorithm>

namespace pw {
namespace {

    void writeServer(JsonWriter& json, const ServerEntry& entry)
    {
        json.field("name", entry.name).field("service", entry.service).field("daemon", entry.daemon);
        json.field("region", entry.region).field("failureDomain", entry.failureDomain);
        json.field("slots", entry.slots).field("connections", entry.connections).field("leaving", entry.leaving);
    }

    void writeDaemon(JsonWriter& json, const DaemonStatus& report)
    {
        json.object("daemon");
        json.field("name", report.name).field("region", report.region).field("failureDomain", report.failureDomain);
        json.field("address", report.address);
        json.array("roles");
        std::ranges::for_each(report.roles, [&](const std::string& it) { json.item(it); });
        json.endArray();
        json.field("version", report.version).field("appliedIndex", report.appliedIndex).field("keysValid", report.keysValid);
        if (!report.evacuatedDomains.empty()) {
            json.array("evacuatedDomains");
            std::ranges::for_each(report.evacuatedDomains, [&](const std::string& it) { json.item(it); });
            json.endArray();
        }
        if (report.server) {
            json.object("backendServer");
            writeServer(json, report.server->entry);
            const auto& load = report.server->load;
            json.field("running", load.running).field("queued", load.queued).field("limit", load.limit);
            if (load.requestsPerSecond) {
                json.field("rateLimit", *load.requestsPerSecond).field("offeredPerSecond", load.offeredPerSecond);
            }
            json.field("admissionFloor", importanceName(load.admissionFloor));
            json.endObject();
        }
        json.endObject();
    }

    void writeMember(JsonWriter& json, const ControlMemberRecord& member, const PeerAddress& leader)
    {
        json.object();
        json.field("name", member.name).field("address", member.address);
        json.field("voter", member.voter).field("leader", member.address == leader);
        json.endObject();
    }

    void writeAttachedDaemon(JsonWriter& json, const AttachedDaemon& daemon)
    {
        json.object();
        json.field("name", daemon.name).field("address", daemon.address).field("version", daemon.version);
        json.field("appliedIndex", daemon.appliedIndex).field("silenceMs", daemon.sinceLastContact.count());
        json.endObject();
    }

    void writeControl(JsonWriter& json, const ControlReport& report)
    {
        json.object("control");
        json.field("role", report.role).field("epoch", report.epoch).field("leader", report.leader);
        json.field("version", report.version).field("commitIndex", report.commitIndex).field("appliedIndex", report.appliedIndex);
        json.field("completeAgeMs", report.completeAge.count());
        if (!report.reason.empty()) {
            json.field("reason", report.reason);
        }
        json.array("members");
        std::ranges::for_each(report.members, [&](const auto& it) { writeMember(json, it, report.leader); });
        json.endArray();
        json.array("daemons");
        std::ranges::for_each(report.daemons, [&](const auto& it) { writeAttachedDaemon(json, it); });
        json.endArray();
        json.endObject();
    }

} // namespace

std::string statusJson(const LocalDaemon& daemon, const OperatorBackend* control)
{
    JsonWriter json;
    json.object();
    writeDaemon(json, daemon.report());
    if (control) {
        writeControl(json, control->report());
    }
    json.array("backendServers");
    for (const auto& it : daemon.servers()) {
        json.object();
        writeServer(json, it);
        json.endObject();
    }
    json.endArray();
    json.endObject();
    return json.text() + "\n";
}

} // namespace pw
