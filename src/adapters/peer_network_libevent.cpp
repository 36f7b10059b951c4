#include "adapters/peer_network_libevent.h"

#include "config.h"

#include <algorithm>
#include <cstring>
#include <utility>

namespace pw {
namespace {

    constexpr std::chrono::milliseconds linkCheckInterval { 250 };
    /// Minimum gap between two checks that is treated as a suspension of this process.
    constexpr std::chrono::milliseconds suspendedAfter { 1000 };
    constexpr int listenBacklog = 1024;
    constexpr std::size_t maxWaitingMessages = 4096; ///< Per peer, while its link is being opened.

} // namespace

PeerNetworkLibevent::PeerNetworkLibevent(LinkContext context, Timers& timers)
    : m_context(std::move(context))
    , m_timers(timers)
{
    m_context.traffic = &m_traffic;
    m_context.deltaCodec = &m_deltaCodec;
}

PeerNetworkLibevent::~PeerNetworkLibevent()
{
    shutdown();
}

bool PeerNetworkLibevent::init(std::string& reason)
{
    detail::SocketAddress address;
    const auto& listen = m_context.listen.empty() ? m_context.self : m_context.listen;
    if (!detail::parseAddress(listen, address)) {
        reason = "not an ip:port address: " + listen;
        return false;
    }
    m_listener.reset(evconnlistener_new_bind(m_context.loop->base(), onAccepted, this, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE,
        listenBacklog, address.get(), static_cast<int>(address.length)));
    if (!m_listener) {
        reason = "cannot listen on " + listen + ": " + std::strerror(errno);
        return false;
    }
    checkLinks();
    return true;
}

void PeerNetworkLibevent::shutdown()
{
    m_stopped = true;
    m_timers.cancel(m_checkTimer);
    m_timers.cancel(m_destroyTimer);
    m_timers.cancel(m_selfTimer);
    m_listener.reset();
    m_peers.clear();
    m_links.clear();
    m_closedLinks.clear();
}

bool PeerNetworkLibevent::send(const PeerAddress& to, MessageKind kind, const Bytes& message)
{
    if (m_stopped) {
        return false;
    }
    if (to == m_context.self) {
        sendToSelf(kind, message);
        return true;
    }
    auto& peer = m_peers[to];
    if (!peer.open.empty()) {
        return peer.open.back()->send(kind, message);
    }
    if (peer.waiting.size() >= maxWaitingMessages || (!peer.dialling && !dial(to, peer))) {
        return false;
    }
    peer.waiting.push_back({ kind, message });
    return true;
}

void PeerNetworkLibevent::sendToSelf(MessageKind kind, const Bytes& message)
{
    m_queuedToSelf.push_back({ kind, message });
    if (!m_selfTimer) {
        m_selfTimer = m_timers.after(Duration::zero(), [this] { deliverToSelf(); });
    }
}

void PeerNetworkLibevent::deliverToSelf()
{
    m_selfTimer = 0;
    auto messages = std::exchange(m_queuedToSelf, {});
    std::ranges::for_each(messages, [this](const Waiting& it) {
        if (auto& handler = m_handlers.at(static_cast<std::size_t>(it.kind))) {
            handler(m_context.self, it.message);
        }
    });
}

bool PeerNetworkLibevent::dial(const PeerAddress& to, Peer& peer)
{
    auto link = PeerLink::dial(m_context, to);
    if (!link) {
        return false;
    }
    peer.dialling = link.get();
    add(std::move(link));
    return true;
}

void PeerNetworkLibevent::onMessage(MessageKind kind, Handler handler)
{
    m_handlers.at(static_cast<std::size_t>(kind)) = std::move(handler);
}

void PeerNetworkLibevent::onLost(LostHandler handler)
{
    m_lost.connect(handler);
}

void PeerNetworkLibevent::onPeerUnresponsive(const LostHandler& handler)
{
    m_silent.connect(handler);
}

void PeerNetworkLibevent::onUnsent(MessageKind kind, const UnsentHandler& handler)
{
    m_unsentHandlers.at(static_cast<std::size_t>(kind)) = handler;
}

void PeerNetworkLibevent::onAccepted(evconnlistener*, evutil_socket_t fd, sockaddr*, int, void* argument)
{
    auto* network = static_cast<PeerNetworkLibevent*>(argument);
    network->add(PeerLink::accept(network->m_context, fd));
}

void PeerNetworkLibevent::add(std::unique_ptr<PeerLink> link)
{
    auto* raw = link.get();
    raw->opened().connect([this, raw] { opened(raw); });
    raw->closed().connect([this, raw] { closed(raw); });
    raw->unresponsiveChanged().connect([this, raw] { unresponsiveChanged(raw); });
    raw->received().connect([this, raw](MessageKind kind, std::span<const std::byte> message) { received(raw, kind, message); });
    m_links.emplace(raw, std::move(link));
}

void PeerNetworkLibevent::opened(PeerLink* link)
{
    auto& peer = m_peers[link->peer()];
    if (peer.dialling == link) {
        peer.dialling = nullptr;
    }
    peer.open.push_back(link);
    sendWaiting(*link, peer);
}

/// Sends what has waited for a link, so that messages wait only while none is open.
void PeerNetworkLibevent::sendWaiting(PeerLink& link, Peer& peer)
{
    const auto waiting = std::exchange(peer.waiting, {});
    const auto firstUnsent = std::ranges::find_if_not(waiting, [&link](const Waiting& it) { return link.send(it.kind, it.message); });
    reportUnsent(link.peer(), { firstUnsent, waiting.end() });
}

void PeerNetworkLibevent::reportUnsent(const PeerAddress& peer, const std::vector<Waiting>& messages)
{
    std::ranges::for_each(messages, [&](const Waiting& it) {
        if (auto& handler = m_unsentHandlers.at(static_cast<std::size_t>(it.kind))) {
            handler(peer, it.message);
        }
    });
}

void PeerNetworkLibevent::closed(PeerLink* link)
{
    auto node = m_links.extract(link);
    m_closedLinks.push_back(std::move(node.mapped()));
    if (!m_destroyTimer) {
        m_destroyTimer = m_timers.after(Duration::zero(), [this] { destroyClosedLinks(); });
    }
    auto it = m_peers.find(link->peer());
    if (link->peer().empty() || it == m_peers.end()) {
        return;
    }
    if (it->second.dialling == link) {
        it->second.dialling = nullptr;
        dialFailed(link->peer());
    } else if (std::erase(it->second.open, link) + std::erase(it->second.unresponsive, link) && it->second.open.empty() && it->second.unresponsive.empty()) {
        reportLost(link->peer());
    }
}

/// Moves a link between the open and the unresponsive ones.
void PeerNetworkLibevent::unresponsiveChanged(PeerLink* link)
{
    const auto it = m_peers.find(link->peer());
    if (it == m_peers.end()) {
        return;
    }
    auto& [open, unresponsive, waiting, dialling] = it->second;
    auto& from = link->isUnresponsive() ? open : unresponsive;
    auto& to = link->isUnresponsive() ? unresponsive : open;
    if (!std::erase(from, link)) {
        return;
    }
    // A link that was opened in the meantime remains the preferred one for sending.
    to.insert(to.begin(), link);
    if (open.empty()) {
        // Handlers may change the peer table.
        m_silent.emit(PeerAddress(link->peer()));
    } else {
        sendWaiting(*open.back(), it->second);
    }
}

void PeerNetworkLibevent::dialFailed(const PeerAddress& peer)
{
    auto& state = m_peers[peer];
    if (!state.open.empty()) {
        return;
    }
    auto waiting = std::exchange(state.waiting, {});
    const auto hasUnresponsive = !state.unresponsive.empty();
    if (!hasUnresponsive) {
        m_peers.erase(peer);
    }
    reportUnsent(peer, waiting);
    if (!hasUnresponsive) {
        reportLost(peer);
    }
}

void PeerNetworkLibevent::reportLost(const PeerAddress& peer)
{
    // Copy, because the link owns the argument and handlers may change the peer table.
    auto lost = peer; // NOLINT(performance-unnecessary-copy-initialization)
    if (auto it = m_peers.find(lost); it != m_peers.end() && it->second.open.empty() && it->second.unresponsive.empty() && !it->second.dialling) {
        m_peers.erase(it);
    }
    m_lost.emit(lost);
}

void PeerNetworkLibevent::received(PeerLink* link, MessageKind kind, std::span<const std::byte> message)
{
    if (auto& handler = m_handlers.at(static_cast<std::size_t>(kind))) {
        handler(link->peer(), message);
    }
}

void PeerNetworkLibevent::probe(const PeerAddress& peer)
{
    if (m_stopped || peer == m_context.self) {
        return;
    }
    auto& state = m_peers[peer];
    if (!state.open.empty()) {
        state.open.back()->probe(m_timers.now());
    } else if (!state.dialling && !dial(peer, state) && state.unresponsive.empty()) {
        m_peers.erase(peer);
    }
}

PeerLiveness PeerNetworkLibevent::livenessOf(const PeerAddress& peer) const
{
    const auto it = m_peers.find(peer);
    if (it == m_peers.end()) {
        return {};
    }
    const auto& [open, unresponsive, waiting, dialling] = it->second;
    const auto* link = open.empty() ? dialling : open.back();
    return { !open.empty(), link ? link->unansweredFor(m_timers.now()) : Duration::zero() };
}

void PeerNetworkLibevent::checkLinks()
{
    auto now = m_timers.now();
    if (m_lastCheck != TimePoint {} && now - m_lastCheck >= suspendedAfter) {
        std::ranges::for_each(m_links, [now](const auto& it) { it.first->resume(now); });
    }
    m_lastCheck = now;
    std::vector<PeerLink*> links;
    links.reserve(m_links.size());
    std::ranges::transform(m_links, std::back_inserter(links), [](const auto& it) { return it.first; });
    std::ranges::for_each(links, [&](PeerLink* link) {
        if (m_links.contains(link)) {
            link->check(now);
        }
    });
    m_checkTimer = m_timers.after(linkCheckInterval, [this] { checkLinks(); });
}

void PeerNetworkLibevent::destroyClosedLinks()
{
    m_destroyTimer = 0;
    m_closedLinks.clear();
}

} // namespace pw
