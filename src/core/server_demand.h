#pragma once

#include "core/call_graph.h"
#include "core/demand_cache.h"
#include "core/service_time.h"
#include "core/slot_price_controller.h"
#include "ports/peer_network.h"

#include <map>
#include <string>
#include <unordered_map>
#include <utility>

namespace pw {

/// Computes the service demands of requests of each route, at the backend server beside this daemon and at the services it
/// calls, and reports them to the daemons that send these requests.
class ServerDemand {
public:
    /// \param board reported demands of the routes that the backend server calls; must outlive this object.
    explicit ServerDemand(const DemandCache& board, const PriceControl& control = {});

    /// Records the arrival of a nested call, whether or not it is run. Roots are not recorded, because they can be refused
    /// here without any wasted work.
    void nestedCallArrived(const std::string& route, TimePoint now);
    void started(const std::string& route);
    void ended(const std::string& route, Duration length, TimePoint now);
    /// Records a nested call that the backend server makes.
    void nestedCallSent(const std::string& route) { m_graph.recordCall(route); }

    /// Updates the price from the backend server's state; see SlotPriceController.
    void update(double slots, Duration wait, TimePoint now);

    /// \returns the demands to report to \p daemon with an answer to a request of \p route; empty if they were reported less
    /// than config::demandReportInterval ago.
    std::vector<ServiceDemand> demandsToReport(const PeerAddress& daemon, const std::string& route, const std::string& service, TimePoint now);

    double price() const { return m_priceController.price(); }
    /// \returns the offered load of nested calls, in slots.
    double offered(TimePoint now) const { return m_priceController.offered(now); }

private:
    std::vector<ServiceDemand> demandsOf(const std::string& route, const std::string& service, TimePoint now) const;
    Duration runTimeOf(const std::string& route, TimePoint now) const;

    const DemandCache& m_board;
    SlotPriceController m_priceController;
    CallGraph m_graph;
    std::unordered_map<std::string, ServiceTime> m_runTimes; ///< Average run time, by route.
    std::map<std::pair<PeerAddress, std::string>, TimePoint> m_lastReported;
    TimePoint m_nextDecay {};
};

} // namespace pw
