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

    template <typename Value>
    void assignIfSet(std::optional<Value> value, Value& result)
    {
        if (value) {
            result = *value;
        }
    }

    /// Requests with these methods are seldom idempotent, so the default (true) would be a dangerous choice.
    bool requiresExplicitIdempotency(const std::string& method)
    {
        return method == "POST" || method == "PATCH";
    }

    void readService(YamlMap& map, Service& service)
    {
        map.require("name", nameAccepted);
        assignIfSet(map.text("name"), service.name);
        assignIfSet(map.integer("slotsPerServer", { 1, config::maxSlotsPerServer }), service.slotsPerServer);
        assignIfSet(map.integer("connectionsPerServer", { 1, config::maxConnectionsPerServer }), service.connectionsPerServer);
        assignIfSet(map.text("healthPath"), service.healthPath);
        assignIfSet(map.duration("warmUpTime", { std::chrono::milliseconds(0), config::maxWarmUpTime }), service.warmUpTime);
        assignIfSet(map.number("warmUpRate", { config::minWarmUpRate, config::maxRate }), service.warmUpRate);
    }

    /// Reads the services among which the requests of a route are divided, with their weights.
    void readWeightedServices(YamlMap& map, Route& route)
    {
        constexpr std::string_view accepted = "a list of mappings with service and weight";
        for (const auto& node : map.list("services", accepted)) {
            if (!node.IsMap()) {
                map.addProblem("services", "not a mapping", accepted);
                continue;
            }
            auto part = map.child(node, "services");
            part.require("service", "the name of an entry of services");
            WeightedService parsed;
            assignIfSet(part.text("service"), parsed.service);
            assignIfSet(part.integer("weight", { 1, config::maxWeight }), parsed.weight);
            part.reportUnknownKeys();
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
        assignIfSet(map.text("name"), route.name);
        assignIfSet(map.text("method"), route.method);
        assignIfSet(map.text("host"), route.host);
        assignIfSet(map.text("pathPrefix"), route.pathPrefix);
        assignIfSet(map.text("service"), route.service);
        readWeightedServices(map, route);
        if (auto n = map.choice("importance", allImportanceNames())) {
            route.importance = static_cast<Importance>(*n);
        }
        if (auto n = map.integer("priority", { 0, config::maxPriority })) {
            route.priority = static_cast<std::uint16_t>(*n);
        }
        if (requiresExplicitIdempotency(route.method)) {
            map.require("idempotent", "true or false, stated for each route with POST or PATCH");
        }
        assignIfSet(map.boolean("idempotent"), route.idempotent);
        assignIfSet(map.boolean("open"), route.open);
        assignIfSet(map.boolean("nestedOnly"), route.nestedOnly);
        assignIfSet(map.duration("deadline", anyDuration), route.deadline);
        assignIfSet(map.duration("targetLatency", anyDuration), route.targetLatency);
        assignIfSet(map.integer("attempts", { 1, config::maxAttempts }), route.attempts);
        assignIfSet(map.integer("maxServers", { 1, config::maxAttempts }), route.maxServers);
    }

    void readWorkspace(YamlMap& map, Workspace& workspace)
    {
        map.require("name", nameAccepted);
        assignIfSet(map.text("name"), workspace.name);
        assignIfSet(map.boolean("limited"), workspace.limited);
        assignIfSet(map.number("rate", { config::minRate, config::maxRate }), workspace.rate);
        assignIfSet(map.number("burst", { config::minBurst, config::maxBurst }), workspace.burst);
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
        assignIfSet(map.integer("headerBytes", { config::minHeaderBytes, config::maxCallerBytes }), header);
        assignIfSet(map.integer("bodyBytes", { 0, config::maxCallerBytes }), body);
        limits.headerBytes = header;
        limits.bodyBytes = body;
        assignIfSet(map.duration("headerTimeout", callerTimeoutRange), limits.headerTimeout);
        assignIfSet(map.duration("idleTimeout", callerTimeoutRange), limits.idleTimeout);
        map.reportUnknownKeys();
    }

    /// Positions of the sections' entries in the YAML text that a deployment was read from.
    class SourceLocations {
    public:
        void add(const std::string& section, std::size_t index, const YamlMap& map)
        {
            m_maps.emplace(std::pair(section, index), map);
        }

        /// Adds \p problem with the line of the entry that it concerns.
        void report(const DeploymentProblem& problem, YamlMap& root)
        {
            auto it = m_maps.find(std::pair(problem.section, problem.index));
            if (it == m_maps.end()) {
                root.addProblem(problem.section, problem.wrong, problem.accepted);
                return;
            }
            it->second.addProblem(problem.field, problem.wrong, problem.accepted);
        }

    private:
        std::map<std::pair<std::string, std::size_t>, YamlMap> m_maps;
    };

    template <typename Entry>
    void readSection(YamlMap& root, const std::string& section, void (*read)(YamlMap&, Entry&), std::vector<Entry>& entries, SourceLocations& locations,
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
            map.reportUnknownKeys();
            locations.add(section, n, map);
        }
    }

} // namespace

std::optional<Deployment> parseDeployment(const std::string& yaml, std::string& reason, const std::string& source)
{
    YamlProblems problems(source);
    Deployment deployment;
    if (auto node = parseYamlMap(yaml, maxDeploymentBytes, problems)) {
        YamlMap root(*node, "", problems);
        SourceLocations locations;
        readSection(root, "services", readService, deployment.services, locations, problems);
        readSection(root, "routes", readRoute, deployment.routes, locations, problems);
        readSection(root, "workspaces", readWorkspace, deployment.workspaces, locations, problems);
        readLimits(root.map("limits"), deployment.limits);
        root.reportUnknownKeys();
        // Values that could not be read keep their defaults; validating those would only repeat the problem.
        if (problems.empty()) {
            for (const auto& it : deploymentProblems(deployment)) {
                locations.report(it, root);
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
