#pragma once

#include "app/peer_failure_detector.h"
#include "core/call.h"
#include "ports/peer_network.h"
#include "ports/timers.h"

#include <functional>
#include <optional>
#include <unordered_map>

namespace pw {

class ServerRole;
class SlotPriceTable;

/// Sends calls to the daemons beside backend servers and receives their answers. Every call ends exactly once: with an
/// answer, or with a refusal whose verdict tells whether the request may have run.
class CallTransport {
public:
    using Done = std::function<void(Answer)>;

    /// \param localServer the server role of this daemon, or nullptr.
    /// \param prices receives the prices in answers; nullptr: they are ignored.
    /// \param firstId random, so that answers meant for an earlier process at this address match no call.
    CallTransport(PeerNetwork& network, Timers& timers, EventLog& events, ServerRole* localServer, std::uint64_t firstId,
        SlotPriceTable* prices = nullptr);
    ~CallTransport();
    CallTransport(const CallTransport&) = delete;
    CallTransport& operator=(const CallTransport&) = delete;

    /// Sends \p call to \p daemon. \p done is called exactly once, never from within start() or cancel(), unless the call is
    /// cancelled.
    /// \returns a handle for cancel().
    std::uint64_t start(const PeerAddress& daemon, Call call, Done done);

    /// Cancels a call. Has no effect when it has ended.
    void cancel(std::uint64_t id);

    /// \returns a signal emitted when a daemon becomes unresponsive (true) or has recovered (false).
    sigc::signal<void(const PeerAddress&, bool)>& responsivenessChanged() { return m_failureDetector.responsivenessChanged(); }

private:
    struct Pending {
        PeerAddress daemon;
        Done done;
        bool idempotent = true;
        TimerId timer = 0;
    };

    /// Removes a pending call and stops its timer. \returns nothing when the call has ended.
    std::optional<Pending> extract(std::uint64_t id);
    void finish(std::uint64_t id, Answer answer);
    void finishWith(std::uint64_t id, Refusal refusal);
    void onAnswer(const PeerAddress& from, std::span<const std::byte> message);
    void onUnsent(std::span<const std::byte> message);
    void onLost(const PeerAddress& peer);
    void onUnresponsive(const PeerAddress& peer);
    void failCalls(const PeerAddress& peer, bool idempotentOnly);
    void recordPrices(const std::vector<SlotPrice>& prices);
    void sendCancel(std::uint64_t id, const PeerAddress& daemon);

    PeerNetwork& m_network;
    Timers& m_timers;
    EventLog& m_events;
    ServerRole* m_localServer;
    SlotPriceTable* m_prices;
    bool m_knowsPrices = false; ///< As last logged.
    TimePoint m_pricesReported {};
    std::uint64_t m_lastId;
    std::unordered_map<std::uint64_t, Pending> m_pending;
    PeerFailureDetector m_failureDetector;
};

} // namespace pw
