#include "pistachiowheel/pistachiowheel.h"

#include <yaml-cpp/yaml.h>

#include <array>
#include <charconv>

namespace pw {
namespace {

    /// \returns the shortest text that parses to the same number.
    std::string numberText(double value)
    {
        std::array<char, 32> buf {};
        auto [end, ec] = std::to_chars(buf.data(), buf.data() + buf.size(), value);
        return ec == std::errc() ? std::string(buf.data(), end) : "0";
    }

    std::string durationText(std::chrono::milliseconds value)
    {
        return std::to_string(value.count()) + "ms";
    }

    void emit(YAML::Emitter& out, const Service& service)
    {
        out << YAML::BeginMap;
        out << YAML::Key << "name" << YAML::Value << service.name;
        out << YAML::Key << "slotsPerServer" << YAML::Value << service.slotsPerServer;
        out << YAML::Key << "connectionsPerServer" << YAML::Value << service.connectionsPerServer;
        if (!service.healthPath.empty()) {
            out << YAML::Key << "healthPath" << YAML::Value << service.healthPath;
        }
        if (service.warmUpTime.count() > 0) {
            out << YAML::Key << "warmUpTime" << YAML::Value << durationText(service.warmUpTime);
        }
        if (service.warmUpRate > 0) {
            out << YAML::Key << "warmUpRate" << YAML::Value << numberText(service.warmUpRate);
        }
        out << YAML::EndMap;
    }

    void emitServices(YAML::Emitter& out, const Route& route)
    {
        if (route.services.empty()) {
            out << YAML::Key << "service" << YAML::Value << route.service;
            return;
        }
        out << YAML::Key << "services" << YAML::Value << YAML::Flow << YAML::BeginSeq;
        for (const auto& it : route.services) {
            out << YAML::BeginMap << YAML::Key << "service" << YAML::Value << it.service;
            out << YAML::Key << "weight" << YAML::Value << it.weight << YAML::EndMap;
        }
        out << YAML::EndSeq;
    }

    void emit(YAML::Emitter& out, const Route& route)
    {
        out << YAML::BeginMap;
        out << YAML::Key << "name" << YAML::Value << route.name;
        out << YAML::Key << "method" << YAML::Value << route.method;
        if (!route.host.empty()) {
            out << YAML::Key << "host" << YAML::Value << route.host;
        }
        out << YAML::Key << "pathPrefix" << YAML::Value << route.pathPrefix;
        emitServices(out, route);
        out << YAML::Key << "importance" << YAML::Value << std::string(importanceName(route.importance));
        if (route.priority) {
            out << YAML::Key << "priority" << YAML::Value << *route.priority;
        }
        out << YAML::Key << "idempotent" << YAML::Value << route.idempotent;
        out << YAML::Key << "open" << YAML::Value << route.open;
        out << YAML::Key << "nestedOnly" << YAML::Value << route.nestedOnly;
        out << YAML::Key << "deadline" << YAML::Value << durationText(route.deadline);
        if (route.targetLatency.count() > 0) {
            out << YAML::Key << "targetLatency" << YAML::Value << durationText(route.targetLatency);
        }
        out << YAML::Key << "attempts" << YAML::Value << route.attempts;
        out << YAML::Key << "maxServers" << YAML::Value << route.maxServers;
        out << YAML::EndMap;
    }

    void emit(YAML::Emitter& out, const Workspace& workspace)
    {
        out << YAML::BeginMap;
        out << YAML::Key << "name" << YAML::Value << workspace.name;
        if (!workspace.limited) {
            out << YAML::Key << "limited" << YAML::Value << false;
        }
        out << YAML::Key << "rate" << YAML::Value << numberText(workspace.rate);
        out << YAML::Key << "burst" << YAML::Value << numberText(workspace.burst);
        if (workspace.priority != 0) {
            out << YAML::Key << "priority" << YAML::Value << workspace.priority;
        }
        if (!workspace.keyDigests.empty()) {
            out << YAML::Key << "keyDigests" << YAML::Value << workspace.keyDigests;
        }
        out << YAML::EndMap;
    }

    void emit(YAML::Emitter& out, const CallerLimits& limits)
    {
        out << YAML::BeginMap;
        out << YAML::Key << "headerBytes" << YAML::Value << limits.headerBytes;
        out << YAML::Key << "bodyBytes" << YAML::Value << limits.bodyBytes;
        out << YAML::Key << "headerTimeout" << YAML::Value << durationText(limits.headerTimeout);
        out << YAML::Key << "idleTimeout" << YAML::Value << durationText(limits.idleTimeout);
        out << YAML::EndMap;
    }

    template <typename Entry>
    void emitSection(YAML::Emitter& out, const char* name, const std::vector<Entry>& entries)
    {
        out << YAML::Key << name << YAML::Value << YAML::BeginSeq;
        for (const auto& it : entries) {
            emit(out, it);
        }
        out << YAML::EndSeq;
    }

} // namespace

std::string toYaml(const Deployment& deployment)
{
    YAML::Emitter out;
    out << YAML::BeginMap;
    emitSection(out, "services", deployment.services);
    emitSection(out, "routes", deployment.routes);
    emitSection(out, "workspaces", deployment.workspaces);
    out << YAML::Key << "limits" << YAML::Value;
    emit(out, deployment.limits);
    out << YAML::EndMap;
    return std::string(out.c_str()) + "\n";
}

} // namespace pw
