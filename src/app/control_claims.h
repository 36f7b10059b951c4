#pragma once

#include "app/settings.h"
#include "ports/events.h"
#include "ports/peer_network.h"
#include "ports/start_marker.h"
#include "ports/timers.h"

#include <cstddef>
#include <cstdint>
#include <memory>

namespace pw {

/// Control role: this member's replica of the claimed request ids. Registers the handler for its
/// messages.
class ControlClaims {
public:
    /// Stores the marker of its first start in the data folder of \p settings.
    ControlClaims(const Settings& settings, PeerNetwork& network, Timers& timers, EventLog& events);

    /// \param marker set before this member grants its first claim.
    /// \param seed differs at every start of the process.
    ControlClaims(const Settings& settings, PeerNetwork& network, Timers& timers, EventLog& events, StartMarker& marker, std::uint64_t seed);
    ~ControlClaims();

    /// \returns whether this member grants claims, its replica having become complete since its start.
    bool ready() const;

    /// \returns the number of claims held.
    std::size_t claims() const;

private:
    class Impl;
    std::unique_ptr<StartMarker> m_ownMarker;
    std::unique_ptr<Impl> m_impl;
};

} // namespace pw
