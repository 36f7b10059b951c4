#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// Library for operators: describes a deployment in plain structs, validates it and converts it to the configuration to
/// submit.
namespace pw {

/// Importance of a route's requests. Under overload the lowest is shed first.
enum class Importance : std::uint8_t {
    Low, ///< Catalogue and bundle reads.
    Normal,
    High,
    Critical, ///< Curtailment orders, recorded prices, declarations.
    Count
};

/// Order in which requests are served: the smallest rank is served first and shed last.
struct Rank {
    std::uint16_t workspace = 0; ///< Priority of its workspace, compared first.
    std::uint16_t route = 0; ///< Priority of its route.

    constexpr Rank() = default;
    constexpr Rank(std::uint16_t workspacePriority, std::uint16_t routePriority)
        : workspace(workspacePriority)
        , route(routePriority)
    {
    }
    /// Converts an importance to the priority of a route; Critical is 0.
    constexpr Rank(Importance importance) // NOLINT(google-explicit-constructor): implicit conversion intended.
        : route(static_cast<std::uint16_t>(static_cast<unsigned>(Importance::Critical) - static_cast<unsigned>(importance)))
    {
    }

    auto operator<=>(const Rank&) const = default;
};

/// A group of backend servers that answer the same routes.
struct Service {
    std::string name;
    std::uint32_t slotsPerServer = 64; ///< Maximum number of requests that one backend server runs at once.
    std::uint32_t connectionsPerServer = 256; ///< Maximum number of connections to one backend server.
    std::string healthPath; ///< Path at which a backend server reports its health; empty: none.
    std::chrono::milliseconds warmUpTime { 0 }; ///< Time for which a backend server is cold after its start.
    double warmUpRate = 0; ///< Requests per second that a cold backend server tolerates; zero: it needs no warm-up.
};

/// A service that receives a share of a route's requests.
struct WeightedService {
    std::string service;
    std::uint32_t weight = 1; ///< Share relative to the weights of the route's other services.

    bool operator==(const WeightedService&) const = default;
};

/// Maps requests to a service. The longest matching path prefix wins.
struct Route {
    std::string name;
    std::string method = "GET"; ///< HTTP method, matched exactly; empty: any method.
    std::string host; ///< Host name in the request, without the port; empty: any host.
    std::string pathPrefix; ///< Begins with "/"; matches whole path segments.
    std::string service; ///< Name of the service that handles the requests; empty when services are given.
    std::vector<WeightedService> services; ///< Services among which the requests are divided by weight.
    Importance importance = Importance::Normal;
    std::optional<std::uint16_t> priority; ///< Overrides importance; 0 is served first.
    bool idempotent = true; ///< False: runs at most once; not retried once it may have been executed.
    bool open = false; ///< True: served without a key.
    bool nestedOnly = false; ///< True: only for nested calls of backend servers, refused for callers.
    std::chrono::milliseconds deadline { 2000 }; ///< Time within which a request must be answered.
    std::chrono::milliseconds targetLatency { 0 }; ///< Time after which the value of an answer decreases; zero: the deadline.
    std::uint32_t attempts = 16; ///< Attempt budget of a root request, its nested calls included.
    std::uint32_t maxServers = 3; ///< Maximum number of backend servers that one request is sent to.
};

/// A tenant. The rate of its requests is limited over the whole fleet.
struct Workspace {
    std::string name;
    double rate = 100; ///< Requests a second.
    double burst = 100; ///< Requests above the rate that may arrive at once.
    std::uint16_t priority = 0; ///< 0 is served first; compared before the priority of routes.
    bool limited = true; ///< False: rate and burst aren't enforced.
    std::vector<std::string> keyDigests; ///< SHA-256 digests, in hexadecimal, of keys that are valid in addition to the issued ones.
};

/// Limits on the size and duration of callers' requests.
struct CallerLimits {
    std::size_t headerBytes = 16 * 1024;
    std::size_t bodyBytes = 1024 * 1024;
    std::chrono::milliseconds headerTimeout { 30000 }; ///< From the first byte of a request to the end of its header.
    std::chrono::milliseconds idleTimeout { 30000 }; ///< Between requests of one connection.
};

/// The complete configuration of a deployment.
struct Deployment {
    std::vector<Service> services;
    std::vector<Route> routes;
    std::vector<Workspace> workspaces;
    CallerLimits limits;
};

/// \returns the rank of requests to \p route from a workspace with \p workspacePriority.
inline Rank rankOf(const Route& route, std::uint16_t workspacePriority)
{
    return { workspacePriority, route.priority.value_or(Rank(route.importance).route) };
}

/// \returns the name of \p importance as used in the configuration.
std::string_view importanceName(Importance importance);

/// \returns nothing when \p deployment is valid, otherwise a description of what is wrong, one line per problem.
std::optional<std::string> check(const Deployment& deployment);

/// \returns \p deployment as YAML text for `pistachiowheel config submit`.
std::string toYaml(const Deployment& deployment);

} // namespace pw
