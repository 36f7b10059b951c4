#pragma once

#include "adapters/frame_difference.h"
#include "adapters/tcp_stream.h"
#include "core/types.h"
#include "ports/events.h"
#include "ports/peer_network.h"

#include <sigc++/sigc++.h>

#include <array>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace pw {

/// Traffic counters of one message kind over all links of a daemon; sizes include frame headers.
struct LinkTraffic {
    std::uint64_t sentFrames = 0;
    std::uint64_t sentBytes = 0;
    std::uint64_t receivedFrames = 0;
    std::uint64_t receivedBytes = 0;
};
using LinkTrafficTable = std::array<LinkTraffic, static_cast<std::size_t>(MessageKind::Count)>;

/// State shared by all links of a daemon.
struct LinkContext {
    StreamLoop* loop = nullptr;
    EventLog* log = nullptr;
    PeerAddress self;
    std::vector<std::string> fleetSecrets; ///< The first authenticates this daemon, all are accepted. Empty: no authentication.
    PeerAddress listen {}; ///< Listening address and source IP of outgoing connections, if other than \c self.
    LinkTrafficTable* traffic = nullptr; ///< Counters to update; may be null.
    FrameDeltaCodec* deltaCodec = nullptr;
};

/// A TCP connection between two daemons: framing, mutual authentication by the fleet's secret, liveness detection.
///
/// A frame is an 8-byte header (length and kind, little endian) and a Cap'n Proto message. Each side sends Hello
/// with a nonce, then Proof, a MAC over both nonces. No other frame is accepted before the peer's proof.
class PeerLink final : public StreamUser, public sigc::trackable {
public:
    /// Dials \p peer.
    static std::unique_ptr<PeerLink> dial(const LinkContext& context, const PeerAddress& peer);
    /// Takes over an accepted connection.
    static std::unique_ptr<PeerLink> accept(const LinkContext& context, evutil_socket_t fd);

    PeerLink(const PeerLink&) = delete;
    PeerLink& operator=(const PeerLink&) = delete;

    /// \returns false if the send buffer is full; the message is not sent then.
    bool send(MessageKind kind, const Bytes& message);

    /// Checks idle time and liveness; called about twice a second. May mark the link unresponsive or close it.
    void check(TimePoint now);

    /// Sends a keep-alive probe if nothing was received recently and no reply is outstanding.
    void probe(TimePoint now);

    /// \returns how long the oldest unanswered frame or the connection attempt has been pending; zero if nothing is.
    Duration unansweredFor(TimePoint now) const;

    /// Restarts the liveness timeouts at \p now, after this process was suspended.
    void resume(TimePoint now);

    /// \returns the peer's address; empty on an accepted link until the peer is authenticated.
    const PeerAddress& peer() const { return m_peer; }
    /// \returns whether the peer has proved knowledge of the fleet's secret.
    bool open() const { return m_open; }
    /// \returns whether this side initiated the connection.
    bool dialled() const { return m_dialled; }

    /// Emitted when the peer has been authenticated.
    sigc::signal<void()>& opened() { return m_opened; }
    /// \returns whether the peer is unresponsive. Nothing should be sent on the link then; received frames are still handled.
    bool isUnresponsive() const { return m_unresponsive; }

    /// Emitted when the peer becomes unresponsive and when it has recovered.
    sigc::signal<void()>& unresponsiveChanged() { return m_unresponsiveChanged; }
    /// Emitted once when the link is closed. The owner must not destroy it inside the handler.
    sigc::signal<void()>& closed() { return m_closed; }
    /// Emitted for each message received on an open link.
    sigc::signal<void(MessageKind, std::span<const std::byte>)>& received() { return m_message; }

    void streamConnected() override;
    void streamReadable() override;
    void streamEnded(StreamEnd end) override;

private:
    /// Only calls and answers are frequent enough for delta encoding to pay off.
    using FrameHistories = std::array<FrameHistory, 2>;
    static_assert(static_cast<int>(MessageKind::Call) == 0 && static_cast<int>(MessageKind::Answer) == 1);

    PeerLink(const LinkContext& context, bool dialled);

    bool connectTo(const PeerAddress& peer);
    void sendHello();
    bool readFrame();
    void takeFrame(std::uint16_t kind, std::uint16_t flags, std::span<const std::byte> message);
    void takeMessage(std::uint16_t kind, std::uint16_t flags, std::span<const std::byte> message);
    bool takeHello(std::span<const std::byte> message);
    bool takeProof(std::span<const std::byte> message);
    bool provesSecret(std::span<const std::byte> mac) const;
    void writeFrame(std::uint16_t kind, std::span<const std::byte> message, std::uint16_t flags = 0);
    /// \returns the delta of \p message, or nothing if the kind has no history or the delta is not smaller.
    std::optional<Bytes> encodeDelta(std::uint16_t kind, std::span<const std::byte> message);
    std::optional<Bytes> decodeDelta(std::uint16_t kind, std::span<const std::byte> message);
    std::string proofText(bool ofDialler) const;
    LinkTraffic& traffic(std::uint16_t kind) const;
    void setUnresponsive(bool unresponsive);
    void refuse(std::string_view why);
    void close(std::string_view why);

    const LinkContext& m_context;
    bool m_dialled;
    bool m_open = false;
    bool m_isClosed = false;
    bool m_probed = false;
    bool m_unresponsive = false;
    PeerAddress m_peer;
    PeerAddress m_claimedPeer; ///< Address from Hello; trusted only after the proof.
    std::string m_nonce;
    std::string m_peerNonce;
    TimePoint m_started;
    TimePoint m_lastReceived;
    std::optional<TimePoint> m_unanswered; ///< Time of the first send since the last received frame.
    FrameHistories m_sent;
    FrameHistories m_received;
    TcpStream m_stream;
    sigc::signal<void()> m_opened;
    sigc::signal<void()> m_closed;
    sigc::signal<void()> m_unresponsiveChanged;
    sigc::signal<void(MessageKind, std::span<const std::byte>)> m_message;
};

} // namespace pw
