#pragma once

#include "adapters/peer_link.h"
#include "ports/timers.h"

#include <array>
#include <map>
#include <vector>

namespace pw {

/// PeerNetwork over TCP with one multiplexed link per peer, opened on demand. Messages to the daemon's own address are
/// delivered through the event loop.
class PeerNetworkLibevent : public PeerNetwork {
public:
    PeerNetworkLibevent(LinkContext context, Timers& timers);
    ~PeerNetworkLibevent() override;
    PeerNetworkLibevent(const PeerNetworkLibevent&) = delete;
    PeerNetworkLibevent& operator=(const PeerNetworkLibevent&) = delete;

    /// Listens on the daemon's own address.
    /// \param reason receives the cause if false is returned.
    bool init(std::string& reason);
    /// Closes every link and stops listening; afterwards send() returns false.
    void shutdown();

    bool send(const PeerAddress& to, MessageKind kind, const Bytes& message) override;
    void onMessage(MessageKind kind, Handler handler) override;
    void onLost(LostHandler handler) override;
    void onPeerUnresponsive(const LostHandler& handler) override;
    void onUnsent(MessageKind kind, const UnsentHandler& handler) override;
    void probe(const PeerAddress& peer) override;
    PeerLiveness livenessOf(const PeerAddress& peer) const override;
    const PeerAddress& self() const override { return m_context.self; }

    /// \returns traffic counters by message kind, over all links.
    const LinkTrafficTable& traffic() const { return m_traffic; }

    /// \returns the number of links that are open or connecting.
    std::size_t linkCount() const { return m_links.size(); }

private:
    struct Waiting {
        MessageKind kind;
        Bytes message;
    };
    /// The links to one peer; there are two if both sides dialled at the same time.
    struct Peer {
        std::vector<PeerLink*> open;
        std::vector<PeerLink*> unresponsive; ///< Unresponsive links: nothing is sent on them, but received frames are handled.
        std::vector<Waiting> waiting; ///< Messages queued until a link is open; empty while one is.
        PeerLink* dialling = nullptr;
    };

    static void onAccepted(evconnlistener*, evutil_socket_t fd, sockaddr*, int, void* argument);

    void add(std::unique_ptr<PeerLink> link);
    void opened(PeerLink* link);
    void closed(PeerLink* link);
    void unresponsiveChanged(PeerLink* link);
    void received(PeerLink* link, MessageKind kind, std::span<const std::byte> message);
    void sendWaiting(PeerLink& link, Peer& peer);
    void reportUnsent(const PeerAddress& peer, const std::vector<Waiting>& messages);
    void dialFailed(const PeerAddress& peer);
    void sendToSelf(MessageKind kind, const Bytes& message);
    void deliverToSelf();
    bool dial(const PeerAddress& to, Peer& peer);
    void checkLinks();
    void destroyClosedLinks();
    void reportLost(const PeerAddress& peer);

    LinkTrafficTable m_traffic {};
    FrameDeltaCodec m_deltaCodec;
    LinkContext m_context;
    Timers& m_timers;
    bool m_stopped = false;
    TimerId m_checkTimer = 0;
    TimePoint m_lastCheck {};
    TimerId m_destroyTimer = 0;
    TimerId m_selfTimer = 0;
    std::vector<Waiting> m_queuedToSelf;
    detail::ListenerPtr m_listener;
    std::map<PeerLink*, std::unique_ptr<PeerLink>> m_links;
    std::vector<std::unique_ptr<PeerLink>> m_closedLinks; ///< Destroyed later, outside of their own signals.
    std::map<PeerAddress, Peer> m_peers;
    std::array<Handler, static_cast<std::size_t>(MessageKind::Count)> m_handlers;
    std::array<UnsentHandler, static_cast<std::size_t>(MessageKind::Count)> m_unsentHandlers;
    sigc::signal<void(const PeerAddress&)> m_lost;
    sigc::signal<void(const PeerAddress&)> m_silent;
};

} // namespace pw
