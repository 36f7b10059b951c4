#include "ideal.h"

#include <algorithm>
#include <limits>
#include <numeric>

namespace pw::measure {
namespace {

    struct Flow {
        std::size_t route;
        std::size_t workspace;
        double speed; ///< Growth in one unit of filling.
    };

    std::vector<double> slotsOf(const DeploymentModel& deployment)
    {
        std::vector<double> slots(deployment.services.size());
        std::ranges::transform(deployment.services, slots.begin(),
            [](const auto& service) { return static_cast<double>(service.servers) * service.slots; });
        return slots;
    }

    std::vector<Flow> flowsOf(const DeploymentModel& deployment, Importance importance)
    {
        std::vector<Flow> flows;
        for (std::size_t r = 0; r < deployment.routes.size(); ++r) {
            const auto& route = deployment.routes[r];
            if (route.importance != importance || route.mix == 0) {
                continue;
            }
            for (std::size_t w = 0; w < deployment.workspaceRates.size(); ++w) {
                flows.push_back({ r, w, route.mix * deployment.workspaceRates[w] });
            }
        }
        return flows;
    }

    /// \returns the largest step by which every flow can grow before one is satisfied or a service is full.
    double largestStep(const std::vector<Flow>& flows, const Costs& costs, const Flows& demand, const Flows& given,
        const std::vector<double>& left)
    {
        auto step = std::numeric_limits<double>::max();
        std::vector<double> load(left.size(), 0);
        for (const auto& flow : flows) {
            step = std::min(step, (demand[flow.route][flow.workspace] - given[flow.route][flow.workspace]) / flow.speed);
            for (std::size_t s = 0; s < left.size(); ++s) {
                load[s] += flow.speed * costs[flow.route][s];
            }
        }
        for (std::size_t s = 0; s < left.size(); ++s) {
            if (load[s] > 0) {
                step = std::min(step, left[s] / load[s]);
            }
        }
        return std::max(0.0, step);
    }

    void fill(std::vector<Flow> flows, const Costs& costs, const Flows& demand, Flows& given, std::vector<double>& left)
    {
        constexpr auto negligible = 1e-6;
        while (!flows.empty()) {
            auto step = largestStep(flows, costs, demand, given, left);
            for (const auto& flow : flows) {
                given[flow.route][flow.workspace] += step * flow.speed;
                for (std::size_t s = 0; s < left.size(); ++s) {
                    left[s] -= step * flow.speed * costs[flow.route][s];
                }
            }
            std::erase_if(flows, [&](const Flow& flow) {
                auto satisfied = demand[flow.route][flow.workspace] - given[flow.route][flow.workspace] < negligible;
                auto blocked = false;
                for (std::size_t s = 0; s < left.size(); ++s) {
                    blocked = blocked || (costs[flow.route][s] > 0 && left[s] < negligible);
                }
                return satisfied || blocked;
            });
        }
    }

} // namespace

Flows demandOf(const DeploymentModel& deployment, double total)
{
    auto weights = deployment.workspaceRates;
    weights[deployment.greedyWorkspace] *= greedyFactor;
    auto sum = std::accumulate(weights.begin(), weights.end(), 0.0);
    Flows flows(deployment.routes.size(), weights);
    for (std::size_t r = 0; r < flows.size(); ++r) {
        auto factor = total * deployment.routes[r].mix / sum;
        std::ranges::transform(flows[r], flows[r].begin(), [factor](double weight) { return factor * weight; });
    }
    return flows;
}

double capacityOf(const DeploymentModel& deployment, const Costs& costs)
{
    auto slots = slotsOf(deployment);
    auto capacity = std::numeric_limits<double>::max();
    for (std::size_t s = 0; s < slots.size(); ++s) {
        double perRequest = 0;
        for (std::size_t r = 0; r < deployment.routes.size(); ++r) {
            perRequest += deployment.routes[r].mix * costs[r][s];
        }
        if (perRequest > 0) {
            capacity = std::min(capacity, slots[s] / perRequest);
        }
    }
    return capacity;
}

Flows idealOf(const DeploymentModel& deployment, const Costs& costs, const Flows& demand)
{
    Flows given(demand.size(), std::vector<double>(deployment.workspaceRates.size(), 0));
    auto left = slotsOf(deployment);
    for (auto n = static_cast<int>(Importance::Count) - 1; n >= 0; --n) {
        fill(flowsOf(deployment, static_cast<Importance>(n)), costs, demand, given, left);
    }
    return given;
}

double sumOf(const Flows& flows)
{
    return std::accumulate(flows.begin(), flows.end(), 0.0,
        [](double sum, const auto& row) { return std::accumulate(row.begin(), row.end(), sum); });
}

double sumOfWorkspace(const Flows& flows, std::size_t workspace)
{
    return std::accumulate(flows.begin(), flows.end(), 0.0,
        [workspace](double sum, const auto& row) { return sum + row[workspace]; });
}

} // namespace pw::measure
