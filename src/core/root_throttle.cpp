#include "core/root_throttle.h"

#include "config.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <iterator>
#include <numeric>
#include <set>

namespace pw {

void RootThrottle::configure(const Deployment& deployment)
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
    m_weights.clear();
    std::ranges::transform(deployment.workspaces, std::inserter(m_weights, m_weights.end()),
        [](const Workspace& it) { return std::pair(it.name, it.rate); });
    removeStaleGroups(deployment);
}

void RootThrottle::removeStaleGroups(const Deployment& deployment)
{
    std::erase_if(m_groups, [&deployment](const auto& entry) {
        return std::ranges::find(deployment.routes, entry.first.first, &Route::name) == deployment.routes.end();
    });
    for (auto& [key, group] : m_groups) {
        std::erase_if(group.flows, [this](const auto& entry) { return !entry.first.empty() && !m_weights.contains(entry.first); });
    }
}

std::size_t RootThrottle::trackedFlowCount() const
{
    return std::transform_reduce(
        m_groups.begin(), m_groups.end(), std::size_t(0), std::plus<>(), [](const auto& entry) { return entry.second.flows.size(); });
}

double RootThrottle::weightOf(const std::string& workspace) const
{
    const auto it = m_weights.find(workspace);
    return it == m_weights.end() || it->second <= 0 ? 1 : it->second;
}

double RootThrottle::valueOf(const Rank& rank) const
{
    const auto lower = m_ranks.end() - std::ranges::upper_bound(m_ranks, rank);
    return std::pow(config::rankValueRatio, static_cast<double>(lower));
}

void RootThrottle::recordRank(const Rank& rank, const std::vector<ServiceDemand>& demands, TimePoint now)
{
    for (const auto& it : demands) {
        auto& lowest = m_lowest[it.service];
        if (lowest.lastSeen == TimePoint {} || lowest.rank <= rank || now - lowest.lastSeen >= config::lowestRankTimeout) {
            lowest = { rank, now };
        }
    }
}

double RootThrottle::priceScaleOf(const std::string& service) const
{
    const auto it = m_lowest.find(service);
    return it == m_lowest.end() ? 1 : valueOf(it->second.rank);
}

double RootThrottle::admittedShare(const Rank& rank, const std::vector<ServiceDemand>& demands) const
{
    const auto cost = std::accumulate(demands.begin(), demands.end(), 0.0, [this](double sum, const ServiceDemand& it) {
        const auto work = std::chrono::duration<double>(it.work) / std::chrono::duration<double>(config::referenceWork);
        return sum + it.price * priceScaleOf(it.service) * work;
    });
    if (cost <= 0) {
        return 1;
    }
    return std::clamp(valueOf(rank) / cost, config::minRootAdmitShare, 1.0);
}

bool RootThrottle::admit(const std::string& route, const std::string& workspace, const Rank& rank,
    const std::vector<ServiceDemand>& demands, TimePoint now)
{
    auto& group = m_groups[{ route, rank }];
    auto& flow = group.flows[workspace];
    flow.demand.add(now);
    recordRank(rank, demands, now);
    const auto share = admittedShare(rank, demands);
    if (share >= 1) {
        return true;
    }
    if (now >= group.nextUpdate) {
        updateRatePerWeight(group, share, now);
    }
    const auto own = std::min(group.ratePerWeight * weightOf(workspace) / flow.demand.rate(now), 1.0);
    flow.credit = std::min(flow.credit + own, 1 + own);
    if (flow.credit < 1) {
        return false;
    }
    flow.credit -= 1;
    return true;
}

/// Weighted max-min fairness by progressive filling: workspaces that send less than their share are admitted fully, the
/// others share the rest by weight.
void RootThrottle::updateRatePerWeight(Group& group, double share, TimePoint now) const
{
    group.nextUpdate = now + config::fairShareInterval;
    std::erase_if(group.flows, [now](const auto& entry) { return entry.second.demand.rate(now) < config::minTrackedRootRate; });
    struct Asked {
        double rate;
        double weight;
    };
    std::vector<Asked> asked;
    std::ranges::transform(group.flows, std::back_inserter(asked),
        [this, now](const auto& entry) { return Asked { entry.second.demand.rate(now), weightOf(entry.first) }; });
    std::ranges::sort(asked, {}, [](const Asked& it) { return it.rate / it.weight; });
    const auto sum = [&asked](auto member) {
        return std::transform_reduce(asked.begin(), asked.end(), 0.0, std::plus<>(), std::mem_fn(member));
    };
    auto left = share * sum(&Asked::rate);
    auto weight = sum(&Asked::weight);
    for (const auto& it : asked) {
        group.ratePerWeight = left / weight;
        if (it.rate > group.ratePerWeight * it.weight) {
            return;
        }
        left -= it.rate;
        weight -= it.weight;
    }
}

} // namespace pw
