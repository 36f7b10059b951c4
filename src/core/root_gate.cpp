#include "core/root_gate.h"

#include "config.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <set>

namespace pw {

void RootGate::configure(const Deployment& deployment)
{
    std::set<Rank> ranks;
    for (const auto& route : deployment.routes) {
        if (route.open) {
            ranks.insert(rankOf(route, 0));
            continue;
        }
        for (const auto& workspace : deployment.workspaces) {
            ranks.insert(rankOf(route, workspace.priority));
        }
    }
    m_ranks.assign(ranks.begin(), ranks.end());
}

double RootGate::worthOf(const Rank& rank) const
{
    const auto lower = m_ranks.end() - std::ranges::upper_bound(m_ranks, rank);
    return std::pow(config::rankWorth, static_cast<double>(lower));
}

double RootGate::shareOf(const Rank& rank, const std::vector<ServiceDemand>& demands) const
{
    const auto burden = std::accumulate(demands.begin(), demands.end(), 0.0, [](double sum, const ServiceDemand& it) {
        const auto work = std::chrono::duration<double>(it.work) / std::chrono::duration<double>(config::referenceWork);
        return sum + it.price * std::sqrt(work);
    });
    if (burden <= 0) {
        return 1;
    }
    return std::clamp(worthOf(rank) / burden, config::gateLeastShare, 1.0);
}

bool RootGate::lets(
    const std::string& route, const std::string& workspace, const Rank& rank, const std::vector<ServiceDemand>& demands)
{
    const auto share = shareOf(rank, demands);
    if (share >= 1) {
        return true;
    }
    auto& credit = m_credits[{ route, workspace }];
    credit = std::min(credit + share, 1 + share);
    if (credit < 1) {
        return false;
    }
    credit -= 1;
    return true;
}

} // namespace pw
