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

/// Frames of one kind that a daemon sent and received on all its links, headers included.
struct LinkTraffic {
    std::uint64_t sentFrames = 0;
    std::uint64_t sentBytes = 0;
    std::uint64_t receivedFrames = 0;
    std::uint64_t receivedBytes = 0;
};
using LinkTrafficTable = std::array<LinkTraffic, static_cast<std::size_t>(MessageKind::Count)>;

/// What all links of a daemon share.
struct LinkContext {
    StreamLoop* loop = nullptr;
    EventLog* log = nullptr;
    PeerAddress self;
    std::vector<std::string> fleetSecrets; ///< The first proves this daemon, every one is accepted. Empty: no proof is asked for.
    PeerAddress listen {}; ///< Where to listen and whose IP to dial from, when it is not the daemon's own address.
    LinkTrafficTable* traffic = nullptr; ///< Counted here when set.
    FrameDifference* differences = nullptr;
};

/// One TCP connection between two daemons: framing, mutual proof of the fleet's secret, liveness.
///
/// A frame is an 8-byte header (length and kind, little endian) and a Cap'n Proto message. Each side sends Hello
/// with a nonce, then Proof over both nonces; no other frame is taken before the peer's proof.
class PeerLink final : public StreamUser, public sigc::trackable {
public:
    /// Dials \p peer.
    static std::unique_ptr<PeerLink> dial(const LinkContext& context, const PeerAddress& peer);
    /// Takes over an accepted connection.
    static std::unique_ptr<PeerLink> accept(const LinkContext& context, evutil_socket_t fd);

    PeerLink(const PeerLink&) = delete;
    PeerLink& operator=(const PeerLink&) = delete;

    /// \returns false when the backlog is full; nothing was sent then.
    bool send(MessageKind kind, const Bytes& message);

    /// Checks idle time and liveness; called about twice a second. May set the link aside or close it.
    void check(TimePoint now);

    /// Asks the peer for a frame when none came lately and none is due.
    void probe(TimePoint now);

    /// \returns for how long something sent, or the dialling, has had no answer; zero when nothing is due.
    Duration unansweredFor(TimePoint now) const;

    /// Counts the peer's silence from \p now: this process was suspended meanwhile.
    void resume(TimePoint now);

    /// \returns the peer's address; empty on an accepted link before its proof.
    const PeerAddress& peer() const { return m_peer; }
    /// \returns whether the peer has proved the fleet's secret.
    bool open() const { return m_open; }
    /// \returns whether this side dialled.
    bool dialled() const { return m_dialled; }

    /// Emitted when the peer's proof was accepted.
    sigc::signal<void()>& opened() { return m_opened; }
    /// \returns whether the peer is silent: nothing should be sent here, what it still says is taken.
    bool isAside() const { return m_aside; }

    /// Emitted when the link is set aside, and when its peer is heard again.
    sigc::signal<void()>& asideChanged() { return m_asideChanged; }
    /// Emitted once when the link is of no more use; its owner must not destroy it inside the handler.
    sigc::signal<void()>& closed() { return m_closed; }
    /// Emitted for each message of an open link.
    sigc::signal<void(MessageKind, std::span<const std::byte>)>& received() { return m_message; }

    void streamConnected() override;
    void streamReadable() override;
    void streamEnded(StreamEnd end) override;

private:
    /// Calls and answers: the only messages that come often enough to be alike.
    using FrameHistories = std::array<FrameHistory, 2>;
    static_assert(static_cast<int>(MessageKind::Call) == 0 && static_cast<int>(MessageKind::Answer) == 1);

    PeerLink(const LinkContext& context, bool dialled);

    bool connectTo(const PeerAddress& peer);
    void greet();
    bool readFrame();
    void takeFrame(std::uint16_t kind, std::uint16_t flags, std::span<const std::byte> message);
    void takeMessage(std::uint16_t kind, std::uint16_t flags, std::span<const std::byte> message);
    bool takeHello(std::span<const std::byte> message);
    bool takeProof(std::span<const std::byte> message);
    bool provesSecret(std::span<const std::byte> mac) const;
    void writeFrame(std::uint16_t kind, std::span<const std::byte> message, std::uint16_t flags = 0);
    /// \returns \p message as it is told on this link: as its difference where the kind has a history and that is shorter.
    std::optional<Bytes> differenceOf(std::uint16_t kind, std::span<const std::byte> message);
    std::optional<Bytes> expanded(std::uint16_t kind, std::span<const std::byte> message);
    std::string proofText(bool ofDialler) const;
    LinkTraffic& traffic(std::uint16_t kind) const;
    void setAside(bool aside);
    void refuse(std::string_view why);
    void close(std::string_view why);

    const LinkContext& m_context;
    bool m_dialled;
    bool m_open = false;
    bool m_dead = false;
    bool m_probed = false;
    bool m_aside = false;
    PeerAddress m_peer;
    PeerAddress m_claimedPeer; ///< What Hello said, trusted only after the proof.
    std::string m_nonce;
    std::string m_peerNonce;
    TimePoint m_started;
    TimePoint m_lastReceived;
    std::optional<TimePoint> m_unanswered; ///< First send since the last frame from the peer.
    FrameHistories m_sent;
    FrameHistories m_received;
    TcpStream m_stream;
    sigc::signal<void()> m_opened;
    sigc::signal<void()> m_closed;
    sigc::signal<void()> m_asideChanged;
    sigc::signal<void(MessageKind, std::span<const std::byte>)> m_message;
};

} // namespace pw
