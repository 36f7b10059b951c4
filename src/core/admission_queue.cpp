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
    assert(!m_places.contains(item.id));
    auto level = levelOf(item);
    auto& waiting = m_classes[level][item.workspace];
    auto it = waiting.insert(waiting.end(), { item, now });
    m_places.emplace(item.id, Place { level, it });
    m_roots += item.nested ? 0 : 1;
    m_deadlines.emplace(item.deadline, item.id);
}

std::optional<WaitingItem> AdmissionQueue::pop()
{
    if (m_classes.empty()) {
        return std::nullopt;
    }
    auto best = m_classes.begin();
    auto level = best->first;
    auto result = take(firstServed(best)->second.front().item.id);
    auto from = startTag(level, result.item.workspace);
    m_clocks[level].time = from;
    pay(level, result.item.workspace, from);
    return result;
}

void AdmissionQueue::charge(const AdmissionItem& item)
{
    auto level = levelOf(item);
    pay(level, item.workspace, startTag(level, item.workspace));
}

void AdmissionQueue::pay(const Level& level, const std::string& workspace, double from)
{
    auto& clock = m_clocks[level];
    clock.paidUntil[workspace] = from + 1 / weight(workspace);
    if (clock.paidUntil.size() > config::maxRememberedWorkspaces) {
        std::erase_if(clock.paidUntil, [&clock](const auto& entry) { return entry.second <= clock.time; });
    }
}

std::optional<WaitingItem> AdmissionQueue::displace(const AdmissionItem& newcomer)
{
    auto roots = m_classes | std::views::reverse | std::views::filter([](const auto& entry) { return entry.first.second; });
    if (roots.empty()) {
        return std::nullopt;
    }
    auto lowest = m_classes.find(roots.front().first);
    if (lowest->first < levelOf(newcomer)) {
        return std::nullopt;
    }
    if (lowest->first > levelOf(newcomer)) {
        return take(lastServed(lowest, 1)->second.back().item.id);
    }
    // Of equal rank: the one whose turn would come last makes room, but a workspace keeps one that waits for its turn.
    auto victims = lastServed(lowest, 2);
    if (victims == lowest->second.end()) {
        return std::nullopt;
    }
    auto own = lowest->second.find(newcomer.workspace);
    auto ownQueued = own == lowest->second.end() ? 0 : own->second.size();
    auto ownTurn = startTag(lowest->first, newcomer.workspace) + static_cast<double>(ownQueued) / weight(newcomer.workspace);
    if (lastTurn(lowest->first, *victims) <= ownTurn) {
        return std::nullopt;
    }
    return take(victims->second.back().item.id);
}

bool AdmissionQueue::waits(const AdmissionItem& item) const
{
    auto it = m_classes.find(levelOf(item));
    return it != m_classes.end() && it->second.contains(item.workspace);
}

bool AdmissionQueue::erase(std::uint64_t id)
{
    if (!m_places.contains(id)) {
        return false;
    }
    take(id);
    return true;
}

std::vector<WaitingItem> AdmissionQueue::expire(TimePoint limit)
{
    std::vector<WaitingItem> expired;
    while (!m_deadlines.empty() && m_deadlines.begin()->first < limit) {
        expired.push_back(take(m_deadlines.begin()->second));
    }
    return expired;
}

std::optional<TimePoint> AdmissionQueue::earliestDeadline() const
{
    return m_deadlines.empty() ? std::nullopt : std::optional(m_deadlines.begin()->first);
}

std::size_t AdmissionQueue::ahead(const AdmissionItem& item) const
{
    auto own = levelOf(item);
    std::size_t count = 0;
    for (const auto& [level, waiting] : m_classes) {
        if (level > own) {
            break;
        }
        auto mine = waiting.find(item.workspace);
        if (level == own && mine != waiting.end()) {
            // Fair order: each workspace goes about as often as this one until this request's turn.
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
    auto it = clock.paidUntil.find(workspace);
    if (it == clock.paidUntil.end()) {
        return clock.time;
    }
    // What was used while nothing had to wait is held against a workspace up to a bound only.
    return std::clamp(it->second, clock.time, clock.time + config::maxFairDebt / weight(workspace));
}

AdmissionQueue::Class::iterator AdmissionQueue::firstServed(Classes::iterator waiting) const
{
    auto tag = [this, level = waiting->first](const auto& entry) { return startTag(level, entry.first); };
    return std::ranges::min_element(waiting->second, {}, tag);
}

AdmissionQueue::Class::iterator AdmissionQueue::lastServed(Classes::iterator waiting, std::size_t least) const
{
    auto result = waiting->second.end();
    for (auto it = waiting->second.begin(); it != waiting->second.end(); ++it) {
        auto later = result == waiting->second.end() || lastTurn(waiting->first, *it) > lastTurn(waiting->first, *result);
        if (it->second.size() >= least && later) {
            result = it;
        }
    }
    return result;
}

double AdmissionQueue::lastTurn(const Level& level, const Class::value_type& entry) const
{
    return startTag(level, entry.first) + static_cast<double>(entry.second.size() - 1) / weight(entry.first);
}

WaitingItem AdmissionQueue::take(std::uint64_t id)
{
    auto place = m_places.find(id);
    assert(place != m_places.end());
    auto classIt = m_classes.find(place->second.level);
    auto result = *place->second.it;
    auto workspace = classIt->second.find(result.item.workspace);
    workspace->second.erase(place->second.it);
    if (workspace->second.empty()) {
        classIt->second.erase(workspace);
    }
    if (classIt->second.empty()) {
        m_classes.erase(classIt);
    }
    m_deadlines.erase({ result.item.deadline, id });
    m_places.erase(place);
    m_roots -= result.item.nested ? 0 : 1;
    return result;
}

} // namespace pw
