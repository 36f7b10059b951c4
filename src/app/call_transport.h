#pragma once

#include "app/peer_watch.h"
#include "core/call.h"
#include "ports/peer_network.h"
#include "ports/timers.h"

#include <functional>
#include <optional>
#include <unordered_map>

namespace pw {

class ServerRole;

/// Carries calls to the daemon beside a backend server, and their answers back. Every call ends once: with an answer,
/// or with a refusal that says truthfully whether it may have run.
class CallTransport {
public:
    using Done = std::function<void(Answer)>;

    /// \param local the server role of this daemon, or nullptr.
    /// \param firstId random, so that an answer to an earlier process at this address matches nothing.
    CallTransport(PeerNetwork& network, Timers& timers, EventLog& events, ServerRole* local, std::uint64_t firstId);
    ~CallTransport();
    CallTransport(const CallTransport&) = delete;
    CallTransport& operator=(const CallTransport&) = delete;

    /// Starts \p call at \p daemon. \p done is called once, perhaps at once, unless cancel() comes first.
    /// \returns a handle for cancel().
    std::uint64_t start(const PeerAddress& daemon, Call call, Done done);

    /// Cancels a call that has not ended.
    void cancel(std::uint64_t id);

    /// \returns a signal with a daemon that fell silent (true) or was heard again (false).
    sigc::signal<void(const PeerAddress&, bool)>& silenceChanged() { return m_watch.changed(); }

private:
    struct Pending {
        PeerAddress daemon;
        Done done;
        bool idempotent = true;
        TimerId timer = 0;
    };

    /// Takes a call out of the pending ones; empty when it has ended.
    std::optional<Pending> take(std::uint64_t id);
    void end(std::uint64_t id, Answer answer);
    void endWith(std::uint64_t id, Refusal refusal);
    void onAnswer(const PeerAddress& from, std::span<const std::byte> message);
    void onUnsent(std::span<const std::byte> message);
    void onLost(const PeerAddress& peer);
    void onSilent(const PeerAddress& peer);
    void giveUp(const PeerAddress& peer, bool idempotentOnly);
    void sendCancel(std::uint64_t id, const PeerAddress& daemon);

    PeerNetwork& m_network;
    Timers& m_timers;
    ServerRole* m_local;
    std::uint64_t m_lastId;
    std::unordered_map<std::uint64_t, Pending> m_pending;
    PeerWatch m_watch;
};

} // namespace pw
