#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// Operators' library: describe a deployment in plain structs and print the configuration to submit.
namespace pw {

/// Rank of a kind of request. Under overload the lowest is shed first.
enum class Importance : std::uint8_t {
    Low, ///< Catalogue and bundle reads.
    Normal,
    High,
    Critical, ///< Curtailment orders, recorded prices, declarations.
    Count
};

/// Place of a request in the order of service: the least one goes first, and is shed last.
struct Rank {
    std::uint16_t workspace = 0; ///< Priority of its workspace, compared first.
    std::uint16_t route = 0; ///< Priority of its route.

    constexpr Rank() = default;
    constexpr Rank(std::uint16_t workspacePriority, std::uint16_t routePriority)
        : workspace(workspacePriority)
        , route(routePriority)
    {
    }
    /// The named levels as priorities of a route: Critical is 0.
    constexpr Rank(Importance importance) // NOLINT(google-explicit-constructor): a level is a rank.
        : route(static_cast<std::uint16_t>(static_cast<unsigned>(Importance::Critical) - static_cast<unsigned>(importance)))
    {
    }

    auto operator<=>(const Rank&) const = default;
};

/// A group of backend servers that answer the same routes.
struct Service {
    std::string name;
    std::uint32_t slotsPerServer = 64; ///< Requests that one backend server runs at once, at most.
    std::uint32_t connectionsPerServer = 256; ///< Connections that one backend server takes, at most.
};

/// Part of a route's requests that goes to one service.
struct WeightedService {
    std::string service;
    std::uint32_t weight = 1; ///< In proportion to the other parts of the route.

    bool operator==(const WeightedService&) const = default;
};

/// Maps requests to a service. The longest matching path prefix wins.
struct Route {
    std::string name;
    std::string method = "GET"; ///< HTTP method, matched whole; empty: every method.
    std::string host; ///< Host that requests name, without a port; empty: every host.
    std::string pathPrefix; ///< Begins with "/"; matched at segment borders.
    std::string service; ///< Name of the service that answers; empty when services are given.
    std::vector<WeightedService> services; ///< Services among which the requests are divided.
    Importance importance = Importance::Normal;
    std::optional<std::uint16_t> priority; ///< Instead of importance: 0 goes first.
    bool idempotent = true; ///< False: runs at most once, never re-sent once it may have run.
    bool open = false; ///< True: served without a key.
    bool nestedOnly = false; ///< True: only for calls of backend servers, never for callers.
    std::chrono::milliseconds deadline { 2000 };
    std::chrono::milliseconds targetLatency { 0 }; ///< Time within which an answer is worth most; zero: the deadline.
    std::uint32_t attempts = 16; ///< Attempt budget of a root request, its nested calls included.
    std::uint32_t maxServers = 3; ///< Backend servers that one request may be sent to.
};

/// A tenant whose requests are counted together over the whole fleet.
struct Workspace {
    std::string name;
    double rate = 100; ///< Requests a second.
    double burst = 100; ///< Requests above the rate that may come at once.
    std::uint16_t priority = 0; ///< 0 goes first; compared before the priority of routes.
    bool limited = true; ///< False: rate and burst do not bound it.
    std::vector<std::string> keyDigests; ///< SHA-256 of keys that are valid beside the issued ones, in hexadecimal.
};

/// What callers may send, and how long they may take.
struct CallerLimits {
    std::size_t headerBytes = 16 * 1024;
    std::size_t bodyBytes = 1024 * 1024;
    std::chrono::milliseconds headerTimeout { 30000 }; ///< From the first byte of a request to the end of its header.
    std::chrono::milliseconds idleTimeout { 30000 }; ///< Between requests of one connection.
};

/// Everything that operators configure.
struct Deployment {
    std::vector<Service> services;
    std::vector<Route> routes;
    std::vector<Workspace> workspaces;
    CallerLimits limits;
};

/// \returns the rank of requests of \p route from a workspace of \p workspacePriority.
inline Rank rankOf(const Route& route, std::uint16_t workspacePriority)
{
    return { workspacePriority, route.priority.value_or(Rank(route.importance).route) };
}

/// \returns the name of \p importance in the configuration.
std::string_view importanceName(Importance importance);

/// \returns nothing when \p deployment can be submitted, otherwise what is wrong with it, a line for each problem.
std::optional<std::string> check(const Deployment& deployment);

/// \returns \p deployment as the YAML text that `pistachiowheel config submit` takes.
std::string toYaml(const Deployment& deployment);

} // namespace pw
