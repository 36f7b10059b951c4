#include "adapters/peer_link.h"

#include "adapters/codec.h"
#include "adapters/crypto.h"
#include "config.h"
#include "link.capnp.h"

#include <endian.h>

#include <algorithm>

namespace pw {
namespace {

    constexpr std::uint16_t protocolVersion = 1;
    constexpr std::size_t nonceBytes = 16;
    constexpr std::size_t maxHandshakeFrameBytes = 1024;

    /// Frames of the link itself, beside those of MessageKind.
    enum LinkFrame : std::uint16_t {
        Hello = 0xff00,
        Proof,
        Probe,
        ProbeReply
    };

    struct FrameHeader {
        std::uint32_t length;
        std::uint16_t kind;
        std::uint16_t reserved;
    };
    static_assert(sizeof(FrameHeader) == 8);

    Bytes encodeHello(const PeerAddress& address, const std::string& nonce)
    {
        capnp::MallocMessageBuilder builder;
        auto message = builder.initRoot<proto::Hello>();
        message.setVersion(protocolVersion);
        message.setAddress(detail::toText(address));
        message.setNonce(detail::toData(nonce));
        return detail::toBytes(builder);
    }

    Bytes encodeProof(const crypto::Mac& mac)
    {
        capnp::MallocMessageBuilder builder;
        auto message = builder.initRoot<proto::Proof>();
        message.setMac({ reinterpret_cast<const kj::byte*>(mac.data()), mac.size() });
        return detail::toBytes(builder);
    }

} // namespace

std::unique_ptr<PeerLink> PeerLink::dial(const LinkContext& context, const PeerAddress& peer)
{
    std::unique_ptr<PeerLink> link(new PeerLink(context, true));
    link->m_peer = peer;
    link->attach(bufferevent_socket_new(context.base, -1, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS));
    detail::SocketAddress address;
    auto parsed = detail::parseAddress(peer, address) && link->bindSource();
    if (!parsed || bufferevent_socket_connect(link->m_buffer.get(), address.get(), static_cast<int>(address.length)) != 0) {
        return nullptr;
    }
    return link;
}

std::unique_ptr<PeerLink> PeerLink::accept(const LinkContext& context, evutil_socket_t fd)
{
    std::unique_ptr<PeerLink> link(new PeerLink(context, false));
    link->attach(bufferevent_socket_new(context.base, fd, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS));
    detail::tuneSocket(fd);
    link->greet();
    return link;
}

PeerLink::PeerLink(const LinkContext& context, bool dialled)
    : m_context(context)
    , m_dialled(dialled)
    , m_nonce(crypto::randomBytes(nonceBytes))
    , m_started(MonotonicClock::now())
    , m_lastReceived(m_started)
{
}

void PeerLink::attach(bufferevent* buffer)
{
    m_buffer.reset(buffer);
    bufferevent_setcb(buffer, onReadable, nullptr, onEvent, this);
    bufferevent_enable(buffer, EV_READ | EV_WRITE);
}

bool PeerLink::bindSource()
{
    detail::SocketAddress source;
    if (m_context.listen.empty()) {
        return true;
    }
    if (!detail::parseAddress(m_context.listen, source)) {
        return false;
    }
    source.setPort(0);
    const auto fd = socket(source.get()->sa_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    bufferevent_setfd(m_buffer.get(), fd);
    return fd >= 0 && bind(fd, source.get(), source.length) == 0;
}

void PeerLink::greet()
{
    writeFrame(LinkFrame::Hello, encodeHello(m_context.self, m_nonce));
}

bool PeerLink::send(MessageKind kind, const Bytes& message)
{
    if (m_dead || evbuffer_get_length(bufferevent_get_output(m_buffer.get())) > config::maxLinkBacklogBytes) {
        return false;
    }
    writeFrame(static_cast<std::uint16_t>(kind), message);
    auto& counted = traffic(static_cast<std::uint16_t>(kind));
    ++counted.sentFrames;
    counted.sentBytes += sizeof(FrameHeader) + message.size();
    return true;
}

void PeerLink::check(TimePoint now)
{
    if (m_dead) {
        return;
    }
    if (!m_open) {
        if (now - m_started > config::linkHandshakeTimeout) {
            close("handshake-timeout");
        }
        return;
    }
    if (m_unanswered && now - *m_unanswered > config::linkDeadAfter) {
        close("silent");
    } else if (m_unanswered && !m_probed && now - *m_unanswered > config::linkProbeAfter) {
        m_probed = true;
        writeFrame(LinkFrame::Probe, {});
    } else if (m_dialled && now - m_lastReceived > config::linkIdleTimeout) {
        close("idle");
    }
}

void PeerLink::onReadable(bufferevent*, void* argument)
{
    static_cast<PeerLink*>(argument)->readFrames();
}

void PeerLink::onEvent(bufferevent* buffer, short what, void* argument)
{
    auto* link = static_cast<PeerLink*>(argument);
    if (what & BEV_EVENT_CONNECTED) {
        detail::tuneSocket(bufferevent_getfd(buffer));
        link->greet();
        return;
    }
    if (what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) {
        link->readFrames();
        link->close(what & BEV_EVENT_EOF ? "end-of-stream" : "socket-error");
    }
}

void PeerLink::readFrames()
{
    while (!m_dead && readFrame()) { }
}

bool PeerLink::readFrame()
{
    auto* input = bufferevent_get_input(m_buffer.get());
    FrameHeader frame {};
    if (evbuffer_copyout(input, &frame, sizeof(frame)) != sizeof(frame)) {
        return false;
    }
    auto length = static_cast<std::size_t>(le32toh(frame.length));
    if (length > (m_open ? config::maxFrameBytes : maxHandshakeFrameBytes)) {
        refuse("frame too long");
        return false;
    }
    if (evbuffer_get_length(input) < sizeof(frame) + length) {
        return false;
    }
    evbuffer_drain(input, sizeof(frame));
    auto* data = length ? evbuffer_pullup(input, static_cast<ev_ssize_t>(length)) : nullptr;
    m_lastReceived = MonotonicClock::now();
    m_unanswered.reset();
    m_probed = false;
    takeFrame(le16toh(frame.kind), { reinterpret_cast<const std::byte*>(data), length });
    evbuffer_drain(input, length);
    return true;
}

void PeerLink::takeFrame(std::uint16_t kind, std::span<const std::byte> message)
{
    if (!m_open) {
        auto good = kind == LinkFrame::Hello ? takeHello(message) : kind == LinkFrame::Proof && takeProof(message);
        if (!good) {
            refuse("no valid proof of the fleet's secret");
        }
        return;
    }
    if (kind == LinkFrame::Probe) {
        writeFrame(LinkFrame::ProbeReply, {});
    } else if (kind < static_cast<std::uint16_t>(MessageKind::Count)) {
        auto& counted = traffic(kind);
        ++counted.receivedFrames;
        counted.receivedBytes += sizeof(FrameHeader) + message.size();
        m_received.emit(static_cast<MessageKind>(kind), message);
    } else if (kind != LinkFrame::ProbeReply) {
        refuse("unknown frame kind");
    }
}

bool PeerLink::takeHello(std::span<const std::byte> message)
{
    if (!m_peerNonce.empty()) {
        return false;
    }
    auto valid = detail::fromBytes<proto::Hello>(message, [&](proto::Hello::Reader hello) {
        m_claimedPeer = detail::fromText(hello.getAddress());
        m_peerNonce = detail::fromData(hello.getNonce());
        return hello.getVersion() == protocolVersion;
    });
    if (!valid.value_or(false) || m_peerNonce.size() != nonceBytes) {
        return false;
    }
    writeFrame(LinkFrame::Proof, encodeProof(crypto::mac(m_context.fleetSecrets.front(), proofText(m_dialled))));
    return true;
}

bool PeerLink::takeProof(std::span<const std::byte> message)
{
    auto good = !m_peerNonce.empty() && detail::fromBytes<proto::Proof>(message, [this](proto::Proof::Reader proof) {
        auto bytes = proof.getMac();
        return provesSecret({ reinterpret_cast<const std::byte*>(bytes.begin()), bytes.size() });
    }).value_or(false);
    // A dialled daemon must be the one at the address that was dialled.
    if (!good || (m_dialled && m_claimedPeer != m_peer)) {
        return false;
    }
    m_peer = m_claimedPeer;
    m_open = true;
    PW_EVENT(*m_context.log, Event::LinkOpened, { "peer", m_peer }, { "dialled", m_dialled });
    m_opened.emit();
    return true;
}

bool PeerLink::provesSecret(std::span<const std::byte> mac) const
{
    auto text = proofText(!m_dialled);
    return std::ranges::any_of(m_context.fleetSecrets, [&](const std::string& secret) {
        return crypto::sameMac(mac, crypto::mac(secret, text));
    });
}

void PeerLink::writeFrame(std::uint16_t kind, std::span<const std::byte> message)
{
    FrameHeader frame { htole32(static_cast<std::uint32_t>(message.size())), htole16(kind), 0 };
    auto* output = bufferevent_get_output(m_buffer.get());
    evbuffer_add(output, &frame, sizeof(frame));
    evbuffer_add(output, message.data(), message.size());
    if (!m_unanswered) {
        m_unanswered = MonotonicClock::now();
    }
}

std::string PeerLink::proofText(bool ofDialler) const
{
    auto mine = ofDialler == m_dialled;
    const auto& signer = mine ? m_context.self : m_claimedPeer;
    const auto& nonces = m_dialled ? m_nonce + m_peerNonce : m_peerNonce + m_nonce;
    return "pistachiowheel link " + std::string(ofDialler ? "dialler" : "acceptor") + nonces + signer;
}

LinkTraffic& PeerLink::traffic(std::uint16_t kind) const
{
    static LinkTraffic uncounted;
    return m_context.traffic ? m_context.traffic->at(kind) : uncounted;
}

void PeerLink::refuse(std::string_view why)
{
    auto event = m_open ? Event::FrameRefused : Event::LinkRefused;
    PW_EVENT(*m_context.log, event, { "peer", m_open ? m_peer : m_claimedPeer }, { "why", why });
    close(why);
}

void PeerLink::close(std::string_view why)
{
    if (m_dead) {
        return;
    }
    m_dead = true;
    bufferevent_disable(m_buffer.get(), EV_READ | EV_WRITE);
    PW_EVENT(*m_context.log, Event::LinkClosed, { "peer", m_peer }, { "why", why });
    m_closed.emit();
}

} // namespace pw
