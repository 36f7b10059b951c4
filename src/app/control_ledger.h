#pragma once

#include "app/settings.h"
#include "ports/events.h"
#include "ports/fleet.h"
#include "ports/peer_network.h"
#include "ports/timers.h"

#include <memory>

namespace pw {

/// Control role: owner of the rates while this member leads; grants tokens of every workspace to the daemons. Registers the
/// handler for grant requests.
class ControlLedger {
public:
    ControlLedger(const Settings& settings, PeerNetwork& network, Timers& timers, EventLog& events, FleetView& fleet, Leadership& leadership);
    ~ControlLedger();

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace pw
