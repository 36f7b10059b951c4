#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <span>
#include <string>
#include <vector>

namespace pw {

/// Kind of a message between two daemons; each group has its own Cap'n Proto schema.
enum class MessageKind : std::uint16_t {
    Call, ///< Entry role to server role: request to run.
    Answer, ///< Server role to entry role: complete answer or refusal.
    Cancel, ///< Entry role to server role: the caller has disconnected.
    Raft, ///< Between control members: messages of the replicated log.
    SessionRequest, ///< Daemon to control member: renews the validity lease and reports the applied index.
    SessionReply, ///< Control member to daemon: validity lease and state changes.
    GrantAsk, ///< Daemon to ledger owner: tokens requested, spent and returned.
    GrantReply, ///< Ledger owner to daemon: tokens granted.
    ClaimMemberRequest, ///< Entry role to control member: claims a request id.
    ClaimReply, ///< Control member to entry role: its vote on the claim.
    ClaimFetch, ///< Entry role to the claiming daemon: asks for the outcome of a request id.
    ClaimFetched, ///< Claiming daemon to entry role: the outcome.
    ServerReport, ///< To a control member, messages of the membership view: report of a daemon, or records of another member.
    ViewDelta, ///< Control member to daemon: changes of the membership view.
    OperatorForwardRequest, ///< Control member to leader: forwarded request of an operator.
    OperatorForwardReply, ///< Leader to control member: result of the request.
    DaemonChange, ///< Daemon to control member: a change of the suspect requests, or a departure of a backend server.
    DaemonChangeReply, ///< Control member to daemon: result of the change.
    Count
};

/// Address of a daemon on the peer network, "ip:port"; also identifies the daemon.
using PeerAddress = std::string;
/// A serialized Cap'n Proto message, padded to whole words.
using Bytes = std::vector<std::byte>;

/// Liveness of a peer.
struct PeerLiveness {
    bool connected = false; ///< A link to the peer is open.
    std::chrono::nanoseconds unanswered { 0 }; ///< How long a sent message or a connection attempt has been waiting for a response.
};

/// Port: authenticated messages between daemons. Delivery is best effort: in order on one link, but messages may be
/// lost with the link. Protocols built on it must tolerate loss, delay and duplication.
class PeerNetwork {
public:
    using Handler = std::function<void(const PeerAddress& from, std::span<const std::byte> message)>;
    using LostHandler = std::function<void(const PeerAddress& peer)>;
    using UnsentHandler = std::function<void(const PeerAddress& to, std::span<const std::byte> message)>;

    virtual ~PeerNetwork() = default;

    /// Sends \p message to the daemon at \p to; opens a link if there is none.
    /// \returns false if the message was definitely not sent (link backlog full, network shut down).
    virtual bool send(const PeerAddress& to, MessageKind kind, const Bytes& message) = 0;

    /// Sets the handler for messages of \p kind; there is one for each kind.
    virtual void onMessage(MessageKind kind, Handler handler) = 0;

    /// Adds a handler that is called when the last link to a peer has closed or could not be opened.
    virtual void onLost(LostHandler handler) = 0;

    /// Adds a handler that is called when the links to a peer are unresponsive. Later messages are sent over a new link;
    /// messages received on the old ones are still accepted.
    virtual void onPeerUnresponsive(const LostHandler& /*handler*/) { }

    /// Sets the handler for messages of \p kind that send() accepted but that never left this process, because no link
    /// could be opened or the one that was could not take all that had waited for it.
    virtual void onUnsent(MessageKind, const UnsentHandler&) { }

    /// Sends a probe to \p peer if there was no recent contact; opens a link if there is none.
    virtual void probe(const PeerAddress& /*peer*/) { }

    /// \returns the liveness of \p peer.
    virtual PeerLiveness livenessOf(const PeerAddress& /*peer*/) const { return {}; }

    /// \returns the address by which other daemons know this one.
    virtual const PeerAddress& self() const = 0;
};

} // namespace pw
