#include "app/deployment_yaml.h"

#include "app/yaml_reader.h"
#include "core/deployment_check.h"

#include <algorithm>
#include <charconv>
#include <map>

namespace pw {
namespace {

    constexpr std::size_t maxDeploymentBytes = 1024 * 1024;
    constexpr Range<std::chrono::milliseconds> callerTimeoutRange { config::minCallerTimeout, config::maxCallerTimeout };
    constexpr Range<std::chrono::milliseconds> anyDuration { std::chrono::milliseconds(0), std::chrono::hours(24) };

    std::vector<std::string_view> allImportanceNames()
    {
        std::vector<std::string_view> result(static_cast<std::size_t>(Importance::Count));
        std::ranges::generate(result, [n = 0]() mutable { return importanceName(static_cast<Importance>(n++)); });
        return result;
    }

    /// Reads the value of \p key into \p result when there is one.
    template <typename Value>
    void take(std::optional<Value> value, Value& result)
    {
        if (value) {
            result = *value;
        }
    }

    /// Methods that are seldom idempotent: the default would be a trap.
    bool mustStateIdempotency(const std::string& method)
    {
        return method == "POST" || method == "PATCH";
    }

    void readService(YamlMap& map, Service& service)
    {
        map.require("name", nameAccepted);
        take(map.text("name"), service.name);
        take(map.integer("slotsPerServer", { 1, config::maxSlotsPerServer }), service.slotsPerServer);
        take(map.integer("connectionsPerServer", { 1, config::maxConnectionsPerServer }), service.connectionsPerServer);
    }

    /// Parts of a route that is divided among services: a mapping of the services to their weights.
    void readParts(YamlMap& map, Route& route)
    {
        constexpr std::string_view accepted = "a list of mappings with service and weight";
        for (const auto& node : map.list("services", accepted)) {
            if (!node.IsMap()) {
                map.wrong("services", "not a mapping", accepted);
                continue;
            }
            auto part = map.child(node, "services");
            part.require("service", "the name of an entry of services");
            WeightedService parsed;
            take(part.text("service"), parsed.service);
            take(part.integer("weight", { 1, config::maxWeight }), parsed.weight);
            part.finish();
            route.services.push_back(parsed);
        }
    }

    void readRoute(YamlMap& map, Route& route)
    {
        map.require("name", nameAccepted);
        map.require("pathPrefix", "a path prefix");
        if (!map.has("services")) {
            map.require("service", "the name of an entry of services");
        }
        take(map.text("name"), route.name);
        take(map.text("method"), route.method);
        take(map.text("host"), route.host);
        take(map.text("pathPrefix"), route.pathPrefix);
        take(map.text("service"), route.service);
        readParts(map, route);
        if (auto n = map.choice("importance", allImportanceNames())) {
            route.importance = static_cast<Importance>(*n);
        }
        if (auto n = map.integer("priority", { 0, config::maxPriority })) {
            route.priority = static_cast<std::uint16_t>(*n);
        }
        if (mustStateIdempotency(route.method)) {
            map.require("idempotent", "true or false, stated for each route with POST or PATCH");
        }
        take(map.boolean("idempotent"), route.idempotent);
        take(map.boolean("open"), route.open);
        take(map.boolean("nestedOnly"), route.nestedOnly);
        take(map.duration("deadline", anyDuration), route.deadline);
        take(map.duration("targetLatency", anyDuration), route.targetLatency);
        take(map.integer("attempts", { 1, config::maxAttempts }), route.attempts);
        take(map.integer("maxServers", { 1, config::maxAttempts }), route.maxServers);
    }

    void readWorkspace(YamlMap& map, Workspace& workspace)
    {
        map.require("name", nameAccepted);
        take(map.text("name"), workspace.name);
        take(map.boolean("limited"), workspace.limited);
        take(map.number("rate", { config::minRate, config::maxRate }), workspace.rate);
        take(map.number("burst", { config::minBurst, config::maxBurst }), workspace.burst);
        if (auto n = map.integer("priority", { 0, config::maxPriority })) {
            workspace.priority = static_cast<std::uint16_t>(*n);
        }
        for (const auto& node : map.list("keyDigests", "a list of SHA-256 digests in hexadecimal")) {
            workspace.keyDigests.push_back(node.IsScalar() ? node.Scalar() : "");
        }
    }

    void readLimits(YamlMap map, CallerLimits& limits)
    {
        std::uint32_t header = limits.headerBytes;
        std::uint32_t body = limits.bodyBytes;
        take(map.integer("headerBytes", { config::minHeaderBytes, config::maxCallerBytes }), header);
        take(map.integer("bodyBytes", { 0, config::maxCallerBytes }), body);
        limits.headerBytes = header;
        limits.bodyBytes = body;
        take(map.duration("headerTimeout", callerTimeoutRange), limits.headerTimeout);
        take(map.duration("idleTimeout", callerTimeoutRange), limits.idleTimeout);
        map.finish();
    }

    /// Lines of the text that a deployment was read from.
    class Places {
    public:
        void add(const std::string& section, std::size_t index, const YamlMap& map)
        {
            m_maps.emplace(std::pair(section, index), map);
        }

        /// Reports \p problem at its line.
        void report(const DeploymentProblem& problem, YamlMap& root)
        {
            auto it = m_maps.find(std::pair(problem.section, problem.index));
            if (it == m_maps.end()) {
                root.wrong(problem.section, problem.wrong, problem.accepted);
                return;
            }
            it->second.wrong(problem.field, problem.wrong, problem.accepted);
        }

    private:
        std::map<std::pair<std::string, std::size_t>, YamlMap> m_maps;
    };

    template <typename Entry>
    void readSection(YamlMap& root, const std::string& section, void (*read)(YamlMap&, Entry&), std::vector<Entry>& entries, Places& places,
        YamlProblems& problems)
    {
        const auto items = root.list(section, "a list of mappings");
        for (std::size_t n = 0; n < items.size(); ++n) {
            const auto key = section + "[" + std::to_string(n) + "]";
            entries.emplace_back();
            if (!items[n].IsMap()) {
                problems.add(items[n].Mark(), key, "not a mapping", "a mapping of keys to values");
                continue;
            }
            YamlMap map(items[n], key, problems);
            read(map, entries.back());
            map.finish();
            places.add(section, n, map);
        }
    }

} // namespace

std::optional<Deployment> parseDeployment(const std::string& yaml, std::string& reason, const std::string& source)
{
    YamlProblems problems(source);
    Deployment deployment;
    if (auto node = parseYamlMap(yaml, maxDeploymentBytes, problems)) {
        YamlMap root(*node, "", problems);
        Places places;
        readSection(root, "services", readService, deployment.services, places, problems);
        readSection(root, "routes", readRoute, deployment.routes, places, problems);
        readSection(root, "workspaces", readWorkspace, deployment.workspaces, places, problems);
        readLimits(root.map("limits"), deployment.limits);
        root.finish();
        // Values that could not be read stand at their defaults and would only repeat the problem.
        if (problems.empty()) {
            for (const auto& it : deploymentProblems(deployment)) {
                places.report(it, root);
            }
        }
    }
    if (!problems.empty()) {
        reason = problems.text();
        return std::nullopt;
    }
    return deployment;
}

} // namespace pw
