#include "core/admission_queue.h"

#include "config.h"

#include <algorithm>
#include <cassert>
#include <numeric>

namespace pw {

AdmissionQueue::Rank AdmissionQueue::rankOf(const AdmissionItem& item)
{
    return static_cast<Rank>(2 * static_cast<Rank>(item.importance) + (item.nested ? 1 : 0));
}

void AdmissionQueue::push(const AdmissionItem& item, TimePoint now)
{
    assert(!m_places.contains(item.id));
    auto rank = rankOf(item);
    auto& waiting = m_classes[rank][item.workspace];
    auto it = waiting.insert(waiting.end(), { item, now });
    m_places.emplace(item.id, Place { rank, it });
    m_deadlines.emplace(item.deadline, item.id);
}

std::optional<WaitingItem> AdmissionQueue::pop()
{
    if (m_classes.empty()) {
        return std::nullopt;
    }
    auto best = m_classes.begin();
    auto rank = best->first;
    auto result = take(firstServed(best)->second.front().item.id);
    auto from = startTag(rank, result.item.workspace);
    m_clocks.at(rank).time = from;
    pay(rank, result.item.workspace, from);
    return result;
}

void AdmissionQueue::charge(const AdmissionItem& item)
{
    auto rank = rankOf(item);
    pay(rank, item.workspace, startTag(rank, item.workspace));
}

void AdmissionQueue::pay(Rank rank, const std::string& workspace, double from)
{
    auto& clock = m_clocks.at(rank);
    clock.paidUntil[workspace] = from + 1 / weight(workspace);
    if (clock.paidUntil.size() > config::maxRememberedWorkspaces) {
        std::erase_if(clock.paidUntil, [&clock](const auto& entry) { return entry.second <= clock.time; });
    }
}

std::optional<WaitingItem> AdmissionQueue::displace(const AdmissionItem& newcomer)
{
    if (m_classes.empty()) {
        return std::nullopt;
    }
    auto lowest = std::prev(m_classes.end());
    if (lowest->first > rankOf(newcomer)) {
        return std::nullopt;
    }
    if (lowest->first < rankOf(newcomer)) {
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
    auto it = m_classes.find(rankOf(item));
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
    auto own = rankOf(item);
    std::size_t count = 0;
    for (const auto& [rank, waiting] : m_classes) {
        if (rank < own) {
            break;
        }
        auto mine = waiting.find(item.workspace);
        if (rank == own && mine != waiting.end()) {
            // Fair order: each workspace goes about as often as this one until this request's turn.
            auto turns = static_cast<double>(mine->second.size() + 1) / weight(item.workspace);
            for (const auto& [name, items] : waiting) {
                count += static_cast<std::size_t>(std::min(static_cast<double>(items.size()), turns * weight(name)));
            }
        } else if (rank == own) {
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

double AdmissionQueue::startTag(Rank rank, const std::string& workspace) const
{
    const auto& clock = m_clocks.at(rank);
    auto it = clock.paidUntil.find(workspace);
    if (it == clock.paidUntil.end()) {
        return clock.time;
    }
    // What was used while nothing had to wait is held against a workspace up to a bound only.
    return std::clamp(it->second, clock.time, clock.time + config::maxFairDebt / weight(workspace));
}

AdmissionQueue::Class::iterator AdmissionQueue::firstServed(Classes::iterator waiting) const
{
    auto tag = [this, rank = waiting->first](const auto& entry) { return startTag(rank, entry.first); };
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

double AdmissionQueue::lastTurn(Rank rank, const Class::value_type& entry) const
{
    return startTag(rank, entry.first) + static_cast<double>(entry.second.size() - 1) / weight(entry.first);
}

WaitingItem AdmissionQueue::take(std::uint64_t id)
{
    auto place = m_places.find(id);
    assert(place != m_places.end());
    auto classIt = m_classes.find(place->second.rank);
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
    return result;
}

} // namespace pw
