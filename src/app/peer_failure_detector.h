#pragma once

#include "ports/events.h"
#include "ports/peer_network.h"
#include "ports/timers.h"

#include <sigc++/sigc++.h>

#include <cstdint>
#include <unordered_map>
#include <utility>
#include <vector>

namespace pw {

/// Failure detector for daemons with pending calls. Probes them and reports a daemon that does not reply as unresponsive,
/// long before its link is closed or its lease lapses. Probing continues until the daemon has recovered.
/// Covers VMs that freeze, lose power or lose their network while calls are in flight.
class PeerFailureDetector {
public:
    PeerFailureDetector(PeerNetwork& network, Timers& timers, EventLog& events);
    ~PeerFailureDetector();
    PeerFailureDetector(const PeerFailureDetector&) = delete;
    PeerFailureDetector& operator=(const PeerFailureDetector&) = delete;

    /// Records that a call was sent to \p peer.
    void callStarted(const PeerAddress& peer);

    /// Records that one call to \p peer has ended.
    void callEnded(const PeerAddress& peer);

    /// \returns a signal emitted when a daemon becomes unresponsive (true) or has recovered (false).
    sigc::signal<void(const PeerAddress&, bool)>& responsivenessChanged() { return m_responsivenessChanged; }

private:
    struct PeerState {
        std::uint32_t calls = 0; ///< Pending calls.
        bool unresponsive = false;
        TimePoint unresponsiveSince {}; ///< Valid while unresponsive is set.
    };

    void tick();
    void checkPeer(const PeerAddress& peer, PeerState& state, std::vector<std::pair<PeerAddress, bool>>& changes);

    PeerNetwork& m_network;
    Timers& m_timers;
    EventLog& m_events;
    std::unordered_map<PeerAddress, PeerState> m_peers;
    sigc::signal<void(const PeerAddress&, bool)> m_responsivenessChanged;
    TimePoint m_lastTick;
    TimerId m_timer = 0;
};

} // namespace pw
