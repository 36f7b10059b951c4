#include "core/admission_queue.h"

#include "config.h"

#include <algorithm>
#include <cassert>
#include <numeric>
#include <ranges>

namespace pw {

AdmissionQueue::Level AdmissionQueue::levelOf(const AdmissionItem& item)
{
    return { item.rank, !item.nested };
}

void AdmissionQueue::push(const AdmissionItem& item, TimePoint now)
{
    assert(!m_locations.contains(item.id));
    auto level = levelOf(item);
    auto& waiting = m_levels[level][item.workspace];
    auto it = waiting.insert(waiting.end(), { item, now });
    m_locations.emplace(item.id, Location { level, it });
    m_roots += item.nested ? 0 : 1;
    m_deadlines.emplace(item.deadline, item.id);
}

std::optional<QueuedItem> AdmissionQueue::pop()
{
    if (m_levels.empty()) {
        return std::nullopt;
    }
    auto best = m_levels.begin();
    auto level = best->first;
    auto result = remove(firstWorkspace(best)->second.front().item.id);
    auto from = startTag(level, result.item.workspace);
    m_clocks[level].time = from;
    advanceFinishTag(level, result.item.workspace, from);
    return result;
}

void AdmissionQueue::charge(const AdmissionItem& item)
{
    auto level = levelOf(item);
    advanceFinishTag(level, item.workspace, startTag(level, item.workspace));
}

void AdmissionQueue::advanceFinishTag(const Level& level, const std::string& workspace, double from)
{
    auto& clock = m_clocks[level];
    clock.finishTags[workspace] = from + 1 / weight(workspace);
    if (clock.finishTags.size() > config::maxRememberedWorkspaces) {
        std::erase_if(clock.finishTags, [&clock](const auto& entry) { return entry.second <= clock.time; });
    }
}

std::optional<QueuedItem> AdmissionQueue::evictFor(const AdmissionItem& newcomer)
{
    auto roots = m_levels | std::views::reverse | std::views::filter([](const auto& entry) { return entry.first.second; });
    if (roots.empty()) {
        return std::nullopt;
    }
    auto lowest = m_levels.find(roots.front().first);
    if (lowest->first < levelOf(newcomer)) {
        return std::nullopt;
    }
    if (lowest->first > levelOf(newcomer)) {
        return remove(lastWorkspace(lowest, 1)->second.back().item.id);
    }
    // At equal rank, the request that would be served last is evicted, but each workspace keeps at least one queued request.
    auto victims = lastWorkspace(lowest, 2);
    if (victims == lowest->second.end()) {
        return std::nullopt;
    }
    auto own = lowest->second.find(newcomer.workspace);
    auto ownQueued = own == lowest->second.end() ? 0 : own->second.size();
    auto ownTurn = startTag(lowest->first, newcomer.workspace) + static_cast<double>(ownQueued) / weight(newcomer.workspace);
    if (lastStartTag(lowest->first, *victims) <= ownTurn) {
        return std::nullopt;
    }
    return remove(victims->second.back().item.id);
}

bool AdmissionQueue::isWaiting(const AdmissionItem& item) const
{
    auto it = m_levels.find(levelOf(item));
    return it != m_levels.end() && it->second.contains(item.workspace);
}

bool AdmissionQueue::erase(std::uint64_t id)
{
    if (!m_locations.contains(id)) {
        return false;
    }
    remove(id);
    return true;
}

std::vector<QueuedItem> AdmissionQueue::expire(TimePoint limit)
{
    std::vector<QueuedItem> expired;
    while (!m_deadlines.empty() && m_deadlines.begin()->first < limit) {
        expired.push_back(remove(m_deadlines.begin()->second));
    }
    return expired;
}

std::optional<TimePoint> AdmissionQueue::earliestDeadline() const
{
    return m_deadlines.empty() ? std::nullopt : std::optional(m_deadlines.begin()->first);
}

std::size_t AdmissionQueue::countAhead(const AdmissionItem& item) const
{
    auto own = levelOf(item);
    std::size_t count = 0;
    for (const auto& [level, waiting] : m_levels) {
        if (level > own) {
            break;
        }
        auto mine = waiting.find(item.workspace);
        if (level == own && mine != waiting.end()) {
            // Under fair queueing, every workspace is served in proportion to its weight until the turn of this request.
            auto turns = static_cast<double>(mine->second.size() + 1) / weight(item.workspace);
            for (const auto& [name, items] : waiting) {
                count += static_cast<std::size_t>(std::min(static_cast<double>(items.size()), turns * weight(name)));
            }
        } else if (level == own) {
            count += std::min(waiting.size(), static_cast<std::size_t>(1));
        } else {
            count = std::accumulate(waiting.begin(), waiting.end(), count,
                [](std::size_t sum, const auto& entry) { return sum + entry.second.size(); });
        }
    }
    return count;
}

void AdmissionQueue::setWeights(std::map<std::string, double> weights)
{
    std::erase_if(weights, [](const auto& entry) { return !(entry.second > 0); });
    m_weights = std::move(weights);
    auto sum = std::accumulate(m_weights.begin(), m_weights.end(), 0.0,
        [](double total, const auto& entry) { return total + entry.second; });
    m_averageWeight = m_weights.empty() ? 1 : sum / static_cast<double>(m_weights.size());
    m_clocks = {};
}

double AdmissionQueue::weight(const std::string& workspace) const
{
    auto it = m_weights.find(workspace);
    return it == m_weights.end() ? m_averageWeight : it->second;
}

double AdmissionQueue::startTag(const Level& level, const std::string& workspace) const
{
    const auto found = m_clocks.find(level);
    if (found == m_clocks.end()) {
        return 0;
    }
    const auto& clock = found->second;
    auto it = clock.finishTags.find(workspace);
    if (it == clock.finishTags.end()) {
        return clock.time;
    }
    // The debt that a workspace incurred while slots were idle is bounded.
    return std::clamp(it->second, clock.time, clock.time + config::maxFairQueueLag / weight(workspace));
}

AdmissionQueue::WorkspaceQueues::iterator AdmissionQueue::firstWorkspace(Levels::iterator waiting) const
{
    auto tag = [this, level = waiting->first](const auto& entry) { return startTag(level, entry.first); };
    return std::ranges::min_element(waiting->second, {}, tag);
}

AdmissionQueue::WorkspaceQueues::iterator AdmissionQueue::lastWorkspace(Levels::iterator waiting, std::size_t minWaiting) const
{
    auto result = waiting->second.end();
    for (auto it = waiting->second.begin(); it != waiting->second.end(); ++it) {
        auto later = result == waiting->second.end() || lastStartTag(waiting->first, *it) > lastStartTag(waiting->first, *result);
        if (it->second.size() >= minWaiting && later) {
            result = it;
        }
    }
    return result;
}

double AdmissionQueue::lastStartTag(const Level& level, const WorkspaceQueues::value_type& entry) const
{
    return startTag(level, entry.first) + static_cast<double>(entry.second.size() - 1) / weight(entry.first);
}

QueuedItem AdmissionQueue::remove(std::uint64_t id)
{
    auto location = m_locations.find(id);
    assert(location != m_locations.end());
    auto levelIt = m_levels.find(location->second.level);
    auto result = *location->second.it;
    auto workspace = levelIt->second.find(result.item.workspace);
    workspace->second.erase(location->second.it);
    if (workspace->second.empty()) {
        levelIt->second.erase(workspace);
    }
    if (levelIt->second.empty()) {
        m_levels.erase(levelIt);
    }
    m_deadlines.erase({ result.item.deadline, id });
    m_locations.erase(location);
    m_roots -= result.item.nested ? 0 : 1;
    return result;
}

} // namespace pw
