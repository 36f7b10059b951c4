#include "cases.h"

#include "callers.h"

#include <algorithm>
#include <numeric>

namespace pw::measure {
namespace {

    using std::chrono::milliseconds;
    using std::chrono::seconds;

    constexpr std::uint64_t seed = 20260401;
    constexpr double calibrationTotal = 300;
    constexpr double slowDemand = 0.8;
    constexpr double surgeDemand = 1.6;
    constexpr double slowdown = 5;
    constexpr double misledDemand = 2;
    constexpr seconds slowFrom { 6 };
    constexpr seconds slowUntil { 16 };
    constexpr seconds slowEnd { 26 };
    constexpr double recoveredShare = 0.95;
    constexpr std::size_t recoveryBins = 5;

    double ratio(double part, double whole)
    {
        return whole > 0 ? part / whole : 0;
    }

    Flows scaled(Flows flows, double factor)
    {
        for (auto& row : flows) {
            std::ranges::transform(row, row.begin(), [factor](double value) { return value * factor; });
        }
        return flows;
    }

    void fillTotals(Figures& figures, const World& world)
    {
        std::chrono::duration<double> useful = world.totals.useful;
        std::chrono::duration<double> wasted = world.totals.wasted;
        figures.wastedWork = ratio(wasted.count(), (useful + wasted).count());
        figures.amplification = ratio(static_cast<double>(world.totals.attempts), static_cast<double>(world.totals.calls));
    }

    void fillCritical(Figures& figures, const DeploymentModel& deployment, const CallerCounts& counts, const Flows& demand, const Flows& ideal)
    {
        double sent = 0;
        double whole = 0;
        figures.criticalWithinCapacity = true;
        for (std::size_t r = 0; r < deployment.routes.size(); ++r) {
            if (deployment.routes[r].importance != Importance::Critical || deployment.routes[r].mix == 0) {
                continue;
            }
            sent += std::accumulate(counts.sent[r].begin(), counts.sent[r].end(), 0.0);
            whole += std::accumulate(counts.whole[r].begin(), counts.whole[r].end(), 0.0);
            auto wanted = std::accumulate(demand[r].begin(), demand[r].end(), 0.0);
            auto possible = std::accumulate(ideal[r].begin(), ideal[r].end(), 0.0);
            figures.criticalWithinCapacity = figures.criticalWithinCapacity && possible > 0.999 * wanted;
        }
        figures.criticalSuccess = ratio(whole, sent);
    }

    /// \returns the smaller of \p due and what came, so that chance in the arrivals does not count as a refusal.
    Flows dueOf(const Flows& ideal, const Flows& demand, const Flows& sent)
    {
        auto due = ideal;
        for (std::size_t r = 0; r < due.size(); ++r) {
            for (std::size_t w = 0; w < due[r].size(); ++w) {
                due[r][w] = ideal[r][w] < 0.999 * demand[r][w] ? ideal[r][w] : sent[r][w];
            }
        }
        return due;
    }

    void fillShares(Figures& figures, const DeploymentModel& deployment, const CallerCounts& counts, const Flows& due)
    {
        figures.goodput = ratio(sumOf(counts.whole), sumOf(due));
        figures.worstWorkspace = 1;
        double missing = 0;
        for (std::size_t w = 0; w < deployment.workspaceRates.size(); ++w) {
            auto fair = sumOfWorkspace(due, w);
            auto got = sumOfWorkspace(counts.whole, w);
            figures.worstWorkspace = std::min(figures.worstWorkspace, ratio(got, fair));
            missing += std::max(0.0, fair - got);
        }
        figures.wrongfulRefusals = ratio(missing, sumOf(due));
    }

    double share(const CallerCounts& counts, std::size_t from, std::size_t bins)
    {
        auto sum = [&](const std::vector<double>& values) {
            auto begin = values.begin() + static_cast<std::ptrdiff_t>(from);
            return std::accumulate(begin, begin + static_cast<std::ptrdiff_t>(bins), 0.0);
        };
        return ratio(sum(counts.binWhole), sum(counts.binSent));
    }

    std::optional<milliseconds> recoveryOf(const CallerCounts& counts)
    {
        auto binAt = [](seconds time) { return static_cast<std::size_t>(time / binWidth); };
        auto before = share(counts, binAt(slowFrom) - 30, 30);
        for (auto bin = binAt(slowUntil); bin + recoveryBins < binAt(slowEnd); ++bin) {
            if (share(counts, bin, recoveryBins) >= recoveredShare * before) {
                return (bin - binAt(slowUntil)) * binWidth;
            }
        }
        return std::nullopt;
    }

    Figures runWorld(World& world, const Flows& demand, const Flows& ideal, CaseTimes times)
    {
        TimePoint from(times.warmUp);
        TimePoint until(times.warmUp + times.measured);
        Callers callers(world, from, until);
        callers.setDemand(demand);
        world.events.runUntil(from);
        world.totals = {};
        world.events.runUntil(until + world.deployment.deadline + callerTries * callerRetryPause);

        auto length = std::chrono::duration<double>(times.measured).count();
        const auto& counts = callers.counts();
        Figures figures;
        fillTotals(figures, world);
        fillCritical(figures, world.deployment, counts, demand, ideal);
        fillShares(figures, world.deployment, counts, dueOf(scaled(ideal, length), scaled(demand, length), counts.sent));
        return figures;
    }

} // namespace

Costs calibrate(const DeploymentModel& deployment, CaseTimes times)
{
    const auto& strategy = strategies().back();
    World world(deployment, strategy, seed);
    TimePoint from(times.warmUp);
    TimePoint until(times.warmUp + times.measured);
    Callers callers(world, from, until);
    callers.setDemand(demandOf(deployment, calibrationTotal));
    world.events.runUntil(until + deployment.deadline);
    auto costs = callers.counts().slotSeconds;
    for (std::size_t r = 0; r < costs.size(); ++r) {
        auto whole = std::accumulate(callers.counts().whole[r].begin(), callers.counts().whole[r].end(), 0.0);
        std::ranges::transform(costs[r], costs[r].begin(), [whole](double value) { return ratio(value, whole); });
    }
    return costs;
}

Figures runSteady(const DeploymentModel& deployment, const StrategyModel& strategy, const Costs& costs, double factor, CaseTimes times)
{
    World world(deployment, strategy, seed);
    auto demand = demandOf(deployment, factor * capacityOf(deployment, costs));
    return runWorld(world, demand, idealOf(deployment, costs, demand), times);
}

Figures runMisled(const DeploymentModel& deployment, const StrategyModel& strategy, const Costs& costs, CaseTimes times)
{
    World world(deployment, strategy, seed);
    world.misled = true;
    auto trueCosts = costs;
    for (auto& row : trueCosts) {
        row[deployment.misledService] *= 2;
    }
    auto demand = demandOf(deployment, misledDemand * capacityOf(deployment, costs));
    return runWorld(world, demand, idealOf(deployment, trueCosts, demand), times);
}

Figures runSlow(const DeploymentModel& deployment, const StrategyModel& strategy, const Costs& costs)
{
    World world(deployment, strategy, seed);
    Callers callers(world, TimePoint(slowFrom), TimePoint(slowUntil));
    auto capacity = capacityOf(deployment, costs);
    callers.setDemand(demandOf(deployment, slowDemand * capacity));
    world.events.runUntil(TimePoint(slowFrom));
    world.totals = {};
    world.slowFactor = slowdown;
    auto surge = demandOf(deployment, surgeDemand * capacity);
    callers.setDemand(surge);
    world.events.runUntil(TimePoint(slowUntil));
    world.slowFactor = 1;
    callers.setDemand(demandOf(deployment, slowDemand * capacity));
    world.events.runUntil(TimePoint(slowEnd) + deployment.deadline);

    // The best possible during the trigger: every second of the slow service's slots buys a fifth.
    auto slowCosts = costs;
    for (std::size_t r = 0; r < costs.size(); ++r) {
        slowCosts[r][deployment.slowService] *= slowdown;
    }
    auto ideal = idealOf(deployment, slowCosts, surge);
    auto length = std::chrono::duration<double>(slowUntil - slowFrom).count();
    Figures figures;
    fillTotals(figures, world);
    fillCritical(figures, deployment, callers.counts(), surge, ideal);
    fillShares(figures, deployment, callers.counts(), dueOf(scaled(ideal, length), scaled(surge, length), callers.counts().sent));
    figures.recovery = recoveryOf(callers.counts());
    return figures;
}

} // namespace pw::measure
