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

ServerDemand::ServerDemand(const DemandCache& board, const PriceControl& control)
    : m_board(board)
    , m_priceController(control)
{
}

void ServerDemand::nestedCallArrived(const std::string& route, TimePoint now)
{
    m_priceController.callArrived(runTimeOf(route, now), now);
}

Duration ServerDemand::runTimeOf(const std::string& route, TimePoint now) const
{
    const auto it = m_runTimes.find(route);
    return it == m_runTimes.end() ? Duration(config::referenceWork) : it->second.estimate(now);
}

void ServerDemand::started(const std::string& route)
{
    m_graph.runStarted(route);
}

void ServerDemand::ended(const std::string& route, Duration length, TimePoint now)
{
    m_graph.runEnded(route, length);
    m_runTimes[route].add(length, now);
    if (now >= m_nextDecay) {
        m_nextDecay = now + config::callGraphDecayInterval;
        m_graph.decay();
        std::erase_if(m_lastReported, [now](const auto& entry) { return now - entry.second >= config::demandLifetime; });
    }
}

void ServerDemand::update(double slots, Duration wait, TimePoint now)
{
    m_priceController.update(slots, wait, now);
}

std::vector<ServiceDemand> ServerDemand::demandsToReport(const PeerAddress& daemon, const std::string& route, const std::string& service, TimePoint now)
{
    auto& lastReport = m_lastReported[{ daemon, route }];
    if (lastReport != TimePoint {} && now - lastReport < config::demandReportInterval) {
        return {};
    }
    lastReport = now;
    return demandsOf(route, service, now);
}

std::vector<ServiceDemand> ServerDemand::demandsOf(const std::string& route, const std::string& service, TimePoint now) const
{
    std::vector<ServiceDemand> demands { { service, m_priceController.price(), duration_cast<microseconds>(runTimeOf(route, now)) } };
    for (const auto& calls : m_graph.callsOf(route)) {
        for (const auto& below : m_board.demandsOf(calls.route, now)) {
            add(demands, below, calls.count);
        }
    }
    return demands;
}

} // namespace pw
