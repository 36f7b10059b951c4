#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <span>
#include <string>
#include <vector>

namespace pw {

/// What a frame between two daemons holds; one Cap'n Proto schema for each group.
enum class MessageKind : std::uint16_t {
    Call, ///< Entry role to server role: run this request.
    Answer, ///< Server role to entry role: whole answer or refusal.
    Cancel, ///< Entry role to server role: the caller is gone.
    Raft, ///< Between control members: replicated log.
    SessionAsk, ///< Daemon to control member: renew the validity lease, report applied index.
    SessionReply, ///< Control member to daemon: lease and state changes.
    GrantAsk, ///< Daemon to ledger owner: tokens wanted, spent and returned.
    GrantReply, ///< Ledger owner to daemon.
    ClaimAsk, ///< Entry role to control member: claim a request id.
    ClaimReply,
    ClaimFetch, ///< Entry role to the claiming daemon: what became of this request id?
    ClaimFetched,
    ServerReport, ///< Daemon to control member: the backend server beside me.
    ViewDelta, ///< Control member to daemons and members: changes of the membership view.
    OperatorAsk, ///< Control member to leader: forwarded change of an operator.
    OperatorReply,
    Count
};

/// Address of a daemon for other daemons, "ip:port"; also its identity on the network.
using PeerAddress = std::string;
/// A Cap'n Proto message as flat bytes, padded to whole words.
using Bytes = std::vector<std::byte>;

/// What is known of a peer's life.
struct PeerSign {
    bool linked = false; ///< A link to it is open.
    std::chrono::nanoseconds unanswered { 0 }; ///< For how long something sent, or the dialling, has had no answer.
};

/// Port: authenticated messages between daemons. Delivery is best effort, in order on one link,
/// and may be lost with the link; every protocol on top copes with loss, delay and repetition.
class PeerNetwork {
public:
    using Handler = std::function<void(const PeerAddress& from, std::span<const std::byte> message)>;
    using LostHandler = std::function<void(const PeerAddress& peer)>;
    using UnsentHandler = std::function<void(const PeerAddress& to, std::span<const std::byte> message)>;

    virtual ~PeerNetwork() = default;

    /// Sends \p message to the daemon at \p to and opens a link when there is none.
    /// \returns false when the message was certainly not sent (link backlog full, network shut down).
    virtual bool send(const PeerAddress& to, MessageKind kind, const Bytes& message) = 0;

    /// Sets the one handler of messages of \p kind.
    virtual void onMessage(MessageKind kind, Handler handler) = 0;

    /// Adds a handler called when the last link to a peer closed or could not be opened.
    virtual void onLost(LostHandler handler) = 0;

    /// Adds a handler called when the links to a peer are silent: what is sent from then on goes over a new one, and what
    /// the peer says on the old ones is still taken.
    virtual void onSilent(const LostHandler& /*handler*/) { }

    /// Sets the one handler of messages of \p kind that send() took but that certainly never left this process,
    /// because no link could be opened.
    virtual void onUnsent(MessageKind, const UnsentHandler&) { }

    /// Asks \p peer for a sign of life when it has not been heard lately; opens a link when there is none.
    virtual void probe(const PeerAddress& /*peer*/) { }

    /// \returns what is known of the life of \p peer.
    virtual PeerSign signOf(const PeerAddress& /*peer*/) const { return {}; }

    /// \returns the address under which this daemon is known to others.
    virtual const PeerAddress& self() const = 0;
};

} // namespace pw
