#include "core/demand_board.h"

#include "config.h"

#include <algorithm>
#include <cmath>

namespace pw {

void DemandBoard::learn(const std::string& route, const std::vector<ServiceDemand>& demands, TimePoint now)
{
    auto& services = m_routes[route];
    for (const auto& it : demands) {
        auto& entry = services[it.service];
        // Words come in as often as requests are let through: the rarer, the more each one counts.
        const auto age = std::chrono::duration<double>(now - entry.heard) / std::chrono::duration<double>(config::demandAveraging);
        const auto weight = entry.heard == TimePoint {} ? 1.0 : std::max(config::demandWeight, 1 - std::exp(-age));
        entry.work += (std::chrono::duration<double>(it.work).count() - entry.work) * weight;
        entry.price += (it.price - entry.price) * weight;
        entry.heard = now;
    }
}

std::vector<ServiceDemand> DemandBoard::of(const std::string& route, TimePoint now) const
{
    std::vector<ServiceDemand> result;
    const auto it = m_routes.find(route);
    if (it == m_routes.end()) {
        return result;
    }
    for (const auto& [service, entry] : it->second) {
        const auto age = now - entry.heard;
        if (age >= config::demandMemory) {
            continue;
        }
        const auto late = std::max(std::chrono::duration<double>(age - config::demandFresh).count(), 0.0);
        const auto fading = std::exp2(-late / std::chrono::duration<double>(config::demandFresh).count());
        const auto work = std::chrono::duration_cast<std::chrono::microseconds>(std::chrono::duration<double>(entry.work));
        result.push_back({ service, entry.price * fading, work });
    }
    return result;
}

void DemandBoard::prune(TimePoint now)
{
    for (auto& [route, services] : m_routes) {
        std::erase_if(services, [now](const auto& entry) { return now - entry.second.heard >= config::demandMemory; });
    }
    std::erase_if(m_routes, [](const auto& entry) { return entry.second.empty(); });
}

} // namespace pw
