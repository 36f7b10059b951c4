#pragma once

#include "pistachiowheel/pistachiowheel.h"

#include <string>
#include <unordered_map>
#include <vector>

namespace pw {

/// Divides the requests of routes among their services in proportion to the weights. Any run of requests of a route is
/// divided as evenly as whole requests can be; nothing is left to chance.
class ServiceSplit {
public:
    /// Forgets routes that are gone or whose parts have changed.
    void configure(const std::vector<Route>& routes);

    /// \returns the service of the next request of \p route.
    const std::string& next(const Route& route);

private:
    /// Parts of one route; each part's credit grows by its weight, and the one with the most is chosen.
    struct Parts {
        std::vector<WeightedService> services;
        std::vector<std::int64_t> credits;
    };

    std::unordered_map<std::string, Parts> m_routes; ///< By name; only those with several parts.
};

} // namespace pw
