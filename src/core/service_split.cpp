#include "core/service_split.h"

#include <algorithm>
#include <numeric>

namespace pw {

void ServiceSplit::configure(const std::vector<Route>& routes)
{
    std::erase_if(m_routes, [&](const auto& entry) {
        const auto it = std::ranges::find(routes, entry.first, &Route::name);
        return it == routes.end() || it->services != entry.second.services;
    });
}

const std::string& ServiceSplit::next(const Route& route)
{
    if (route.services.empty()) {
        return route.service;
    }
    auto& state = m_routes[route.name];
    if (state.services.empty()) {
        state = { route.services, std::vector<std::int64_t>(route.services.size()) };
    }
    const auto total = std::accumulate(state.services.begin(), state.services.end(), std::int64_t { 0 },
        [](std::int64_t sum, const WeightedService& it) { return sum + it.weight; });
    std::ranges::transform(state.services, state.credits, state.credits.begin(),
        [](const WeightedService& it, std::int64_t credit) { return credit + it.weight; });
    const auto highest = std::ranges::max_element(state.credits);
    *highest -= total;
    return state.services[static_cast<std::size_t>(highest - state.credits.begin())].service;
}

} // namespace pw
