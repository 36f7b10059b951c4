#include "pistachiowheel/pistachiowheel.h"

#include <yaml-cpp/yaml.h>

#include <array>
#include <charconv>

namespace pw {
namespace {

    /// Shortest text that reads back as the same number.
    std::string numberText(double value)
    {
        std::array<char, 32> buf {};
        auto [end, ec] = std::to_chars(buf.data(), buf.data() + buf.size(), value);
        return ec == std::errc() ? std::string(buf.data(), end) : "0";
    }

    void emit(YAML::Emitter& out, const Service& service)
    {
        out << YAML::BeginMap;
        out << YAML::Key << "name" << YAML::Value << service.name;
        out << YAML::Key << "slotsPerServer" << YAML::Value << service.slotsPerServer;
        out << YAML::Key << "connectionsPerServer" << YAML::Value << service.connectionsPerServer;
        out << YAML::EndMap;
    }

    void emit(YAML::Emitter& out, const Route& route)
    {
        out << YAML::BeginMap;
        out << YAML::Key << "name" << YAML::Value << route.name;
        out << YAML::Key << "method" << YAML::Value << route.method;
        out << YAML::Key << "pathPrefix" << YAML::Value << route.pathPrefix;
        out << YAML::Key << "service" << YAML::Value << route.service;
        out << YAML::Key << "importance" << YAML::Value << std::string(importanceName(route.importance));
        out << YAML::Key << "idempotent" << YAML::Value << route.idempotent;
        out << YAML::Key << "open" << YAML::Value << route.open;
        out << YAML::Key << "nestedOnly" << YAML::Value << route.nestedOnly;
        out << YAML::Key << "deadline" << YAML::Value << std::to_string(route.deadline.count()) + "ms";
        out << YAML::Key << "attempts" << YAML::Value << route.attempts;
        out << YAML::EndMap;
    }

    void emit(YAML::Emitter& out, const Workspace& workspace)
    {
        out << YAML::BeginMap;
        out << YAML::Key << "name" << YAML::Value << workspace.name;
        out << YAML::Key << "rate" << YAML::Value << numberText(workspace.rate);
        out << YAML::Key << "burst" << YAML::Value << numberText(workspace.burst);
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
    out << YAML::EndMap;
    return std::string(out.c_str()) + "\n";
}

} // namespace pw
