#pragma once

#include "app/settings.h"
#include "ports/events.h"
#include "ports/peer_network.h"
#include "ports/timers.h"

#include <memory>

namespace pw {

/// Control role: this member's replica of the claimed request ids. Registers ClaimAsk.
class ControlClaims {
public:
    ControlClaims(const Settings& settings, PeerNetwork& network, Timers& timers, EventLog& events);
    ~ControlClaims();

    /// \returns whether this member grants claims: its replica is complete since its start.
    bool ready() const;

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace pw
