#pragma once

#include "pistachiowheel/pistachiowheel.h"

#include <string>
#include <unordered_map>
#include <vector>

namespace pw {

/// Distributes the requests of each route among its services in proportion to their weights, by smooth weighted
/// round-robin. The distribution is deterministic, and any sequence of requests of a route is divided as evenly as possible.
class ServiceSplit {
public:
    /// Discards the state of routes that were removed or whose services changed.
    void configure(const std::vector<Route>& routes);

    /// \returns the service for the next request of \p route.
    const std::string& next(const Route& route);

private:
    /// State of one route. On each request, the credit of every service grows by its weight; the service with the highest
    /// credit is chosen and pays the sum of the weights.
    struct RouteState {
        std::vector<WeightedService> services;
        std::vector<std::int64_t> credits;
    };

    std::unordered_map<std::string, RouteState> m_routes; ///< By route name; only routes with several services.
};

} // namespace pw
