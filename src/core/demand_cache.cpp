#include "core/demand_cache.h"

#include "config.h"

#include <algorithm>
#include <cmath>

namespace pw {

void DemandCache::record(const std::string& route, const std::vector<ServiceDemand>& demands, TimePoint now)
{
    auto& services = m_routes[route];
    for (const auto& it : demands) {
        auto& entry = services[it.service];
        // Reports arrive only with admitted requests. The fewer there are, the more weight each report gets.
        const auto age = std::chrono::duration<double>(now - entry.updatedAt) / std::chrono::duration<double>(config::demandAveragingTime);
        const auto weight = entry.updatedAt == TimePoint {} ? 1.0 : std::max(config::minDemandSampleWeight, 1 - std::exp(-age));
        entry.work += (std::chrono::duration<double>(it.work).count() - entry.work) * weight;
        entry.price += (it.price - entry.price) * weight;
        entry.updatedAt = now;
    }
}

std::vector<ServiceDemand> DemandCache::demandsOf(const std::string& route, TimePoint now) const
{
    std::vector<ServiceDemand> result;
    const auto it = m_routes.find(route);
    if (it == m_routes.end()) {
        return result;
    }
    for (const auto& [service, entry] : it->second) {
        const auto age = now - entry.updatedAt;
        if (age >= config::demandLifetime) {
            continue;
        }
        const auto late = std::max(std::chrono::duration<double>(age - config::demandFadeTime).count(), 0.0);
        const auto fading = std::exp2(-late / std::chrono::duration<double>(config::demandFadeTime).count());
        const auto work = std::chrono::duration_cast<std::chrono::microseconds>(std::chrono::duration<double>(entry.work));
        result.push_back({ service, entry.price * fading, work });
    }
    return result;
}

void DemandCache::prune(TimePoint now)
{
    for (auto& [route, services] : m_routes) {
        std::erase_if(services, [now](const auto& entry) { return now - entry.second.updatedAt >= config::demandLifetime; });
    }
    std::erase_if(m_routes, [](const auto& entry) { return entry.second.empty(); });
}

} // namespace pw
