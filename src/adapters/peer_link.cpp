#include "adapters/peer_link.h"

#include "adapters/codec.h"
#include "adapters/crypto.h"
#include "config.h"
#include "link.capnp.h"

#include <endian.h>

#include <algorithm>
#include <cstring>
#include <utility>

namespace pw {
namespace {

    constexpr std::uint16_t protocolVersion = 2;
    /// Flag: the message is delta encoded against the last one of its kind in this direction.
    constexpr std::uint16_t isDelta = 1;
    constexpr std::size_t nonceBytes = 16;
    constexpr std::size_t maxHandshakeFrameBytes = 1024;

    /// Kinds of frames used by the link itself, in addition to MessageKind.
    enum LinkFrame : std::uint16_t {
        Hello = 0xff00,
        Proof,
        Probe,
        ProbeReply
    };

    struct FrameHeader {
        std::uint32_t length;
        std::uint16_t kind;
        std::uint16_t flags;
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
    if (!link->connectTo(peer)) {
        return nullptr;
    }
    link->m_stream.setUnacknowledgedTimeout(config::linkCloseAfter);
    return link;
}

std::unique_ptr<PeerLink> PeerLink::accept(const LinkContext& context, evutil_socket_t fd)
{
    std::unique_ptr<PeerLink> link(new PeerLink(context, false));
    link->m_stream.adopt(fd);
    link->m_stream.setUnacknowledgedTimeout(config::linkCloseAfter);
    link->sendHello();
    return link;
}

PeerLink::PeerLink(const LinkContext& context, bool dialled)
    : m_context(context)
    , m_dialled(dialled)
    , m_nonce(crypto::randomBytes(nonceBytes))
    , m_started(MonotonicClock::now())
    , m_lastReceived(m_started)
    , m_stream(*context.loop, *this)
{
}

bool PeerLink::connectTo(const PeerAddress& peer)
{
    detail::SocketAddress address;
    if (!detail::parseAddress(peer, address)) {
        return false;
    }
    if (m_context.listen.empty()) {
        return m_stream.dial(address);
    }
    detail::SocketAddress source;
    if (!detail::parseAddress(m_context.listen, source)) {
        return false;
    }
    source.setPort(0);
    return m_stream.dial(address, &source);
}

void PeerLink::sendHello()
{
    writeFrame(LinkFrame::Hello, encodeHello(m_context.self, m_nonce));
}

bool PeerLink::send(MessageKind kind, const Bytes& message)
{
    if (m_isClosed || m_stream.backlog() > config::maxLinkBacklogBytes) {
        return false;
    }
    const auto number = static_cast<std::uint16_t>(kind);
    const auto delta = encodeDelta(number, message);
    const auto& payload = delta ? *delta : message;
    writeFrame(number, payload, delta ? isDelta : 0);
    auto& counted = traffic(number);
    ++counted.sentFrames;
    counted.sentBytes += sizeof(FrameHeader) + payload.size();
    return true;
}

void PeerLink::check(TimePoint now)
{
    if (m_isClosed) {
        return;
    }
    if (!m_open) {
        if (now - m_started > config::linkHandshakeTimeout) {
            close("handshake-timeout");
        }
        return;
    }
    if (m_unanswered && now - *m_unanswered > config::linkCloseAfter) {
        close("silent");
    } else if (m_unanswered && now - *m_unanswered > config::linkSuspendAfter) {
        setUnresponsive(true);
    } else if (m_unanswered && !m_probed && now - *m_unanswered > config::linkProbeAfter) {
        m_probed = true;
        writeFrame(LinkFrame::Probe, {});
    } else if (m_dialled && now - m_lastReceived > config::linkIdleTimeout) {
        close("idle");
    }
}

void PeerLink::setUnresponsive(bool unresponsive)
{
    if (std::exchange(m_unresponsive, unresponsive) != unresponsive) {
        PW_EVENT(*m_context.log, unresponsive ? Event::LinkSetAside : Event::LinkHeardAgain, { "peer", m_peer });
        m_unresponsiveChanged.emit();
    }
}

void PeerLink::probe(TimePoint now)
{
    if (m_open && !m_isClosed && !m_unanswered && now - m_lastReceived >= config::linkProbeAfter) {
        m_probed = true;
        writeFrame(LinkFrame::Probe, {});
    }
}

Duration PeerLink::unansweredFor(TimePoint now) const
{
    const auto since = m_open ? m_unanswered.value_or(now) : m_started;
    return now - since;
}

void PeerLink::resume(TimePoint now)
{
    m_unanswered = m_unanswered ? std::optional(now) : std::nullopt;
    m_lastReceived = now;
    m_started = m_open ? m_started : now;
}

void PeerLink::streamConnected()
{
    sendHello();
}

void PeerLink::streamReadable()
{
    while (!m_isClosed && readFrame()) { }
}

void PeerLink::streamEnded(StreamEnd end)
{
    close(streamEndName(end));
}

bool PeerLink::readFrame()
{
    const auto input = m_stream.input();
    FrameHeader frame {};
    if (input.size() < sizeof(frame)) {
        return false;
    }
    std::memcpy(&frame, input.data(), sizeof(frame));
    const auto length = static_cast<std::size_t>(le32toh(frame.length));
    if (length > (m_open ? config::maxFrameBytes : maxHandshakeFrameBytes)) {
        refuse("frame too long");
        return false;
    }
    if (input.size() < sizeof(frame) + length) {
        return false;
    }
    m_lastReceived = MonotonicClock::now();
    m_unanswered.reset();
    m_probed = false;
    setUnresponsive(false);
    takeFrame(le16toh(frame.kind), le16toh(frame.flags), std::as_bytes(std::span(input.substr(sizeof(frame), length))));
    m_stream.consume(sizeof(frame) + length);
    return true;
}

void PeerLink::takeFrame(std::uint16_t kind, std::uint16_t flags, std::span<const std::byte> message)
{
    if (!m_open) {
        auto valid = kind == LinkFrame::Hello ? takeHello(message) : kind == LinkFrame::Proof && takeProof(message);
        if (!valid) {
            refuse("invalid proof of the fleet's secret");
        }
        return;
    }
    if (kind == LinkFrame::Probe) {
        writeFrame(LinkFrame::ProbeReply, {});
    } else if (kind < static_cast<std::uint16_t>(MessageKind::Count)) {
        auto& counted = traffic(kind);
        ++counted.receivedFrames;
        counted.receivedBytes += sizeof(FrameHeader) + message.size();
        takeMessage(kind, flags, message);
    } else if (kind != LinkFrame::ProbeReply) {
        refuse("unknown frame kind");
    }
}

void PeerLink::takeMessage(std::uint16_t kind, std::uint16_t flags, std::span<const std::byte> message)
{
    const auto delta = flags & isDelta ? decodeDelta(kind, message) : std::nullopt;
    if (flags && !delta) {
        refuse("delta cannot be decoded");
        return;
    }
    const auto decoded = delta ? std::span<const std::byte>(*delta) : message;
    if (kind < m_received.size()) {
        m_received.at(kind).note(decoded);
    }
    m_message.emit(static_cast<MessageKind>(kind), decoded);
}

std::optional<Bytes> PeerLink::encodeDelta(std::uint16_t kind, std::span<const std::byte> message)
{
    if (kind >= m_sent.size() || !m_context.deltaCodec) {
        return std::nullopt;
    }
    auto& history = m_sent.at(kind);
    const auto encodable = !history.last().empty() && FrameHistory::accepts(message.size());
    auto delta = encodable ? m_context.deltaCodec->encode(message, history.last()) : std::nullopt;
    history.note(message);
    return delta;
}

std::optional<Bytes> PeerLink::decodeDelta(std::uint16_t kind, std::span<const std::byte> message)
{
    const auto known = kind < m_received.size() && m_context.deltaCodec;
    return known ? m_context.deltaCodec->decode(message, m_received.at(kind).last()) : std::nullopt;
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
    const auto proof = m_context.fleetSecrets.empty() ? crypto::Mac {} : crypto::mac(m_context.fleetSecrets.front(), proofText(m_dialled));
    writeFrame(LinkFrame::Proof, encodeProof(proof));
    return true;
}

bool PeerLink::takeProof(std::span<const std::byte> message)
{
    auto valid = !m_peerNonce.empty() && detail::fromBytes<proto::Proof>(message, [this](proto::Proof::Reader proof) {
        auto bytes = proof.getMac();
        return provesSecret({ reinterpret_cast<const std::byte*>(bytes.begin()), bytes.size() });
    }).value_or(false);
    // The authenticated address must match the dialled address.
    if (!valid || (m_dialled && m_claimedPeer != m_peer)) {
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
    if (m_context.fleetSecrets.empty()) {
        return true;
    }
    auto text = proofText(!m_dialled);
    return std::ranges::any_of(m_context.fleetSecrets, [&](const std::string& secret) {
        return crypto::sameMac(mac, crypto::mac(secret, text));
    });
}

void PeerLink::writeFrame(std::uint16_t kind, std::span<const std::byte> message, std::uint16_t flags)
{
    FrameHeader frame { htole32(static_cast<std::uint32_t>(message.size())), htole16(kind), htole16(flags) };
    m_stream.write({ reinterpret_cast<const char*>(&frame), sizeof(frame) });
    m_stream.write({ reinterpret_cast<const char*>(message.data()), message.size() });
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
    if (m_isClosed) {
        return;
    }
    m_isClosed = true;
    m_stream.pauseReading(true);
    PW_EVENT(*m_context.log, Event::LinkClosed, { "peer", m_peer }, { "why", why });
    m_closed.emit();
}

} // namespace pw
