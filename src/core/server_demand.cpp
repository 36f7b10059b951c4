#include "core/server_demand.h"

#include "config.h"

#include <algorithm>

namespace pw {
namespace {

    using std::chrono::duration_cast;
    using std::chrono::microseconds;

    void add(std::vector<ServiceDemand>& demands, const ServiceDemand& more, double count)
    {
        const auto work = duration_cast<microseconds>(more.work * count);
        const auto it = std::ranges::find(demands, more.service, &ServiceDemand::service);
        if (it == demands.end()) {
            demands.push_back({ more.service, more.price, work });
            return;
        }
        it->work += work;
        it->price = std::max(it->price, more.price);
    }

} // namespace

ServerDemand::ServerDemand(const DemandBoard& board)
    : m_board(board)
{
}

void ServerDemand::nestedArrived(const std::string& route, TimePoint now)
{
    m_meter.arrived(lengthOf(route, now), now);
}

Duration ServerDemand::lengthOf(const std::string& route, TimePoint now) const
{
    const auto it = m_lengths.find(route);
    return it == m_lengths.end() ? Duration(config::referenceWork) : it->second.estimate(now);
}

void ServerDemand::started(const std::string& route)
{
    m_graph.runStarted(route);
}

void ServerDemand::ended(const std::string& route, Duration length, TimePoint now)
{
    m_graph.runEnded(route, length);
    m_lengths[route].add(length, now);
    if (now >= m_decayDue) {
        m_decayDue = now + config::callGraphInterval;
        m_graph.decay();
        std::erase_if(m_told, [now](const auto& entry) { return now - entry.second >= config::demandMemory; });
    }
}

void ServerDemand::update(double slots, Duration wait, TimePoint now)
{
    m_meter.update(slots, wait, now);
}

std::vector<ServiceDemand> ServerDemand::tell(const PeerAddress& daemon, const std::string& route, const std::string& service, TimePoint now)
{
    auto& told = m_told[{ daemon, route }];
    if (told != TimePoint {} && now - told < config::demandInterval) {
        return {};
    }
    told = now;
    return demandsOf(route, service, now);
}

std::vector<ServiceDemand> ServerDemand::demandsOf(const std::string& route, const std::string& service, TimePoint now) const
{
    std::vector<ServiceDemand> demands { { service, m_meter.price(), duration_cast<microseconds>(lengthOf(route, now)) } };
    for (const auto& calls : m_graph.callsOf(route)) {
        for (const auto& below : m_board.of(calls.route, now)) {
            add(demands, below, calls.count);
        }
    }
    return demands;
}

} // namespace pw
