#pragma once

#include "core/call_graph.h"
#include "core/demand_board.h"
#include "core/pressure_meter.h"
#include "core/service_time.h"
#include "ports/peer_network.h"

#include <map>
#include <string>
#include <unordered_map>
#include <utility>

namespace pw {

/// What requests of each route cost at the backend server beside this daemon and below it, as told to the daemons that
/// send them.
class ServerDemand {
public:
    /// \param board what this daemon was told of the routes that its backend server calls; must outlive this object.
    explicit ServerDemand(const DemandBoard& board);

    /// Takes note of a nested call that arrives, whether it is run or not. Roots are refused here at no cost.
    void nestedArrived(const std::string& route, TimePoint now);
    void started(const std::string& route);
    void ended(const std::string& route, Duration length, TimePoint now);
    /// Takes note of a nested call of the backend server.
    void called(const std::string& route) { m_graph.called(route); }

    /// Takes note of the backend server's state; see PressureMeter.
    void update(double slots, Duration wait, TimePoint now);

    /// \returns what to tell \p daemon with an answer to a request of \p route; often nothing, as it was told lately.
    std::vector<ServiceDemand> tell(const PeerAddress& daemon, const std::string& route, const std::string& service, TimePoint now);

    double price() const { return m_meter.price(); }
    /// \returns slots that the arriving nested calls would fill.
    double offered(TimePoint now) const { return m_meter.offered(now); }

private:
    std::vector<ServiceDemand> demandsOf(const std::string& route, const std::string& service, TimePoint now) const;
    Duration lengthOf(const std::string& route, TimePoint now) const;

    const DemandBoard& m_board;
    PressureMeter m_meter;
    CallGraph m_graph;
    std::unordered_map<std::string, ServiceTime> m_lengths; ///< Of runs, by route.
    std::map<std::pair<PeerAddress, std::string>, TimePoint> m_told;
    TimePoint m_decayDue {};
};

} // namespace pw
