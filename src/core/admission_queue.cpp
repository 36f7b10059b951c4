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
    auto& best = m_classes.begin()->second;
    auto id = leastServed(best)->second.front().item.id;
    auto result = take(id);
    charge(result.item.workspace);
    return result;
}

void AdmissionQueue::charge(const std::string& workspace)
{
    m_virtualTime = startTag(workspace);
    m_finishTags[workspace] = m_virtualTime + 1 / weight(workspace);
    if (m_finishTags.size() > config::maxRememberedWorkspaces) {
        std::erase_if(m_finishTags, [this](const auto& tag) { return tag.second <= m_virtualTime; });
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
    auto victims = lastServed(lowest->second);
    if (lowest->first < rankOf(newcomer)) {
        return take(victims->second.back().item.id);
    }
    // Of equal rank: the one whose turn would come last makes room.
    auto own = lowest->second.find(newcomer.workspace);
    auto ownQueued = own == lowest->second.end() ? 0 : own->second.size();
    auto ownTurn = startTag(newcomer.workspace) + static_cast<double>(ownQueued) / weight(newcomer.workspace);
    if (lastTurn(*victims) <= ownTurn) {
        return std::nullopt;
    }
    return take(victims->second.back().item.id);
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
    m_finishTags.clear();
    m_virtualTime = 0;
}

double AdmissionQueue::weight(const std::string& workspace) const
{
    auto it = m_weights.find(workspace);
    return it == m_weights.end() ? m_averageWeight : it->second;
}

double AdmissionQueue::startTag(const std::string& workspace) const
{
    auto it = m_finishTags.find(workspace);
    return it == m_finishTags.end() ? m_virtualTime : std::max(m_virtualTime, it->second);
}

AdmissionQueue::Class::iterator AdmissionQueue::leastServed(Class& waiting) const
{
    return std::ranges::min_element(waiting, {}, [this](const auto& entry) { return startTag(entry.first); });
}

AdmissionQueue::Class::iterator AdmissionQueue::lastServed(Class& waiting) const
{
    return std::ranges::max_element(waiting, {}, [this](const auto& entry) { return lastTurn(entry); });
}

double AdmissionQueue::lastTurn(const Class::value_type& entry) const
{
    return startTag(entry.first) + static_cast<double>(entry.second.size() - 1) / weight(entry.first);
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
