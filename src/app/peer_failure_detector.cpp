#include "app/peer_failure_detector.h"

#include "config.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace pw {

PeerFailureDetector::PeerFailureDetector(PeerNetwork& network, Timers& timers, EventLog& events)
    : m_network(network)
    , m_timers(timers)
    , m_events(events)
    , m_lastTick(timers.now())
{
    tick();
}

PeerFailureDetector::~PeerFailureDetector()
{
    m_timers.cancel(m_timer);
}

void PeerFailureDetector::callStarted(const PeerAddress& peer)
{
    ++m_peers[peer].calls;
}

void PeerFailureDetector::callEnded(const PeerAddress& peer)
{
    if (const auto it = m_peers.find(peer); it != m_peers.end()) {
        it->second.calls -= std::min(it->second.calls, 1U);
    }
}

void PeerFailureDetector::tick()
{
    const auto now = m_timers.now();
    // After a long pause of this process, missing replies say nothing about the peers.
    const auto paused = now - std::exchange(m_lastTick, now) >= config::peerUnresponsiveAfter;
    std::vector<std::pair<PeerAddress, bool>> changes;
    if (!paused) {
        std::ranges::for_each(m_peers, [&](auto& it) { checkPeer(it.first, it.second, changes); });
    }
    std::erase_if(m_peers, [now, &changes](const auto& it) {
        const auto& state = it.second;
        const auto expired = state.calls == 0 && (!state.unresponsive || now - state.unresponsiveSince >= config::peerProbeExpiry);
        // A peer that is no longer probed has to count as recovered: only a new call can show whether it is back.
        if (expired && state.unresponsive) {
            changes.emplace_back(it.first, false);
        }
        return expired;
    });
    std::ranges::for_each(changes, [this](const auto& it) { m_responsivenessChanged.emit(it.first, it.second); });
    m_timer = m_timers.after(config::peerProbeInterval, [this] { tick(); });
}

void PeerFailureDetector::checkPeer(const PeerAddress& peer, PeerState& state, std::vector<std::pair<PeerAddress, bool>>& changes)
{
    const auto contact = m_network.livenessOf(peer);
    const auto unanswered = std::chrono::duration_cast<std::chrono::milliseconds>(contact.unanswered);
    if (!state.unresponsive && unanswered >= config::peerUnresponsiveAfter) {
        state.unresponsive = true;
        state.unresponsiveSince = m_timers.now();
        PW_EVENT(m_events, Event::PeerSilent, { "peer", peer }, { "linked", contact.connected }, { "unanswered_ms", unanswered.count() },
            { "calls", state.calls });
        changes.emplace_back(peer, true);
    } else if (state.unresponsive && contact.connected && contact.unanswered == Duration::zero()) {
        state.unresponsive = false;
        const auto silence = std::chrono::duration_cast<std::chrono::milliseconds>(m_timers.now() - state.unresponsiveSince);
        PW_EVENT(m_events, Event::PeerHeard, { "peer", peer }, { "silent_ms", silence.count() }, { "calls", state.calls });
        changes.emplace_back(peer, false);
    }
    if (state.unresponsive || state.calls > 0) {
        m_network.probe(peer);
    }
}

} // namespace pw
