#include "callers.h"

#include "config.h"

namespace pw::measure {

CallerCounts::CallerCounts(const DeploymentModel& deployment)
    : sent(deployment.routes.size(), std::vector<double>(deployment.workspaceRates.size(), 0))
    , whole(sent)
    , slotSeconds(deployment.routes.size(), std::vector<double>(deployment.services.size(), 0))
{
}

/// A caller's request with its re-sends.
struct Callers::Pending {
    std::size_t route;
    std::size_t workspace;
    std::size_t bin;
    bool measured;
    std::uint32_t tries = 0;
};

Callers::Callers(World& world, TimePoint measureFrom, TimePoint measureUntil)
    : m_world(world)
    , m_from(measureFrom)
    , m_until(measureUntil)
    , m_counts(world.deployment)
{
}

void Callers::setDemand(const Flows& demand)
{
    m_demand = demand;
    ++m_version;
    for (std::size_t r = 0; r < demand.size(); ++r) {
        for (std::size_t w = 0; w < demand[r].size(); ++w) {
            if (demand[r][w] > 0) {
                std::chrono::duration<double> gap(std::exponential_distribution<double>(demand[r][w])(m_world.random));
                m_world.events.after(std::chrono::duration_cast<Duration>(gap), [this, r, w, version = m_version] { arrive(r, w, version); });
            }
        }
    }
}

void Callers::arrive(std::size_t route, std::size_t workspace, std::uint64_t version)
{
    if (version != m_version) {
        return;
    }
    std::chrono::duration<double> gap(std::exponential_distribution<double>(m_demand[route][workspace])(m_world.random));
    m_world.events.after(
        std::chrono::duration_cast<Duration>(gap), [this, route, workspace, version] { arrive(route, workspace, version); });
    auto now = m_world.events.now();
    auto pending = std::make_shared<Pending>(Pending { route, workspace, binOf(now), now >= m_from && now < m_until });
    m_counts.binSent[pending->bin] += 1;
    if (pending->measured) {
        m_counts.sent[route][workspace] += 1;
    }
    send(pending);
}

void Callers::send(const std::shared_ptr<Pending>& pending)
{
    ++pending->tries;
    const auto& route = m_world.deployment.routes[pending->route];
    auto root = std::make_shared<Root>();
    root->route = pending->route;
    root->slotSeconds.assign(m_world.deployment.services.size(), 0);
    auto& node = *m_world.nodes[m_world.random() % m_world.nodes.size()];
    Request request { pending->route, "w" + std::to_string(pending->workspace), route.importance,
        m_world.events.now() + m_world.deployment.deadline, false, 0, config::defaultAttemptBudget, root };
    m_world.events.after(callerDelay, [this, &node, request, pending, root] {
        node.send(request, [this, pending, root](const Answer& answer) {
            m_world.endRoot(*root, answer.isComplete());
            m_world.events.after(callerDelay, [this, pending, root, answer] { answered(pending, root, answer); });
        });
    });
}

void Callers::answered(const std::shared_ptr<Pending>& pending, const RootPtr& root, const Answer& answer)
{
    if (!answer.isComplete()) {
        auto again = answer.refusal.verdict == Verdict::NotRun || m_world.deployment.routes[pending->route].idempotent;
        if (again && pending->tries < callerTries) {
            m_world.events.after(callerRetryPause, [this, pending] { send(pending); });
        }
        return;
    }
    m_counts.binWhole[pending->bin] += 1;
    if (!pending->measured) {
        return;
    }
    m_counts.whole[pending->route][pending->workspace] += 1;
    for (std::size_t s = 0; s < root->slotSeconds.size(); ++s) {
        m_counts.slotSeconds[pending->route][s] += root->slotSeconds[s];
    }
}

std::size_t Callers::binOf(TimePoint time)
{
    auto bin = static_cast<std::size_t>((time - TimePoint {}) / binWidth);
    if (m_counts.binSent.size() <= bin) {
        m_counts.binSent.resize(bin + 1, 0);
        m_counts.binWhole.resize(bin + 1, 0);
    }
    return bin;
}

} // namespace pw::measure
