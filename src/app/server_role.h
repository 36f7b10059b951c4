#pragma once

#include "adapters/backend_client.h"
#include "app/request_record.h"
#include "app/settings.h"
#include "core/admission.h"
#include "core/call.h"
#include "core/context_table.h"
#include "core/server_demand.h"
#include "ports/events.h"
#include "ports/fleet.h"
#include "ports/peer_network.h"
#include "ports/timers.h"

#include <sigc++/sigc++.h>

#include <functional>
#include <map>
#include <unordered_map>
#include <utility>

namespace pw {

/// What a backend server says of itself.
struct Announcement {
    std::string service;
    std::string address; ///< "ip:port" where it takes requests.
    std::uint32_t slots = 1;
    std::uint32_t connections = 1;
    std::string instance; ///< Names this start of the backend server; empty when it has no name.
    std::uint64_t started = 0; ///< When it started, in ms since the epoch; zero when it does not say.
    std::uint64_t sequence = 0; ///< Grows with each announcement of one start; zero when it does not say.
    bool leaving = false;
    std::optional<std::chrono::milliseconds> coldTime; ///< For how long it will still be slow, when it says so.
};

/// The daemon's part beside a backend server: the only one that connects to it. Admits, queues, runs and cancels calls.
class ServerRole {
public:
    using Done = std::function<void(Answer)>;

    ServerRole(StreamLoop& loop, const Settings& settings, PeerNetwork& network, Timers& timers, EventLog& log,
        ServerDirectory& directory, const BackendProtocol& protocol, const DemandBoard& board);
    ~ServerRole();
    ServerRole(const ServerRole&) = delete;
    ServerRole& operator=(const ServerRole&) = delete;

    /// Takes or renews the backend server's announcement. One that is older than what is known changes nothing.
    /// \param reason receives what is wrong with it when false is returned.
    bool announce(const Announcement& announcement, std::string& reason);

    /// The backend server is leaving: tells the fleet at once, takes new work only for as long as the fleet needs to
    /// learn of it, and finishes what runs. A later start of the backend server is taken in again.
    void serverLeaves();

    /// The same, said by the start of the backend server called \p instance; an earlier start changes nothing.
    /// \param started in ms since the epoch; zero when it does not say.
    void serverLeaves(const std::string& instance, std::uint64_t started);

    /// This daemon is leaving, for good.
    void leave();

    /// Runs \p call. \p done is called once, perhaps at once, unless cancel() comes first.
    /// \param from the daemon that asks; with the call's id it names the call.
    void run(const PeerAddress& from, Call call, Done done);

    /// Cancels a call whose caller is gone: a queued one never runs, the exchange of a running one is closed.
    void cancel(const PeerAddress& from, std::uint64_t callId);

    /// Sets the rates by which workspaces share this server.
    void setWorkspaceWeights(std::map<std::string, double> rates);

    ContextTable& contexts() { return m_contexts; }
    /// Takes note of a nested call of the backend server.
    void noteNestedCall(const std::string& route) { m_demand.called(route); }
    /// Emitted with the context token of a request that has ended; nested calls made for it are orphans from then on.
    sigc::signal<void(const std::string& token)>& contextClosed() { return m_contextClosed; }
    sigc::signal<void(const RunRecord&)>& runFinished() { return m_runFinished; }
    /// \returns calls that are queued or running.
    std::size_t pending() const { return m_work.size(); }
    /// \returns the backend server's entry as last published.
    const ServerEntry& entry() const { return m_entry; }
    LoadHint load() const;

private:
    using CallName = std::pair<PeerAddress, std::uint64_t>;

    /// A call that is queued or running.
    struct Work {
        CallName name;
        Call call;
        Done done;
        TimePoint deadline {};
        bool running = false; ///< Otherwise it is queued.
        TimePoint arrived {};
        TimePoint began {}; ///< When it began to run.
        std::string token; ///< Of a running one, when the protocol has tokens.
        std::uint64_t exchange = 0;
    };

    void onCall(const PeerAddress& from, std::span<const std::byte> message);
    void onCancel(const PeerAddress& from, std::span<const std::byte> message);
    void onPeerLost(const PeerAddress& peer);

    std::optional<Refusal> refusedNow(const Call& call) const;
    std::uint32_t usableSlots(std::uint32_t slots) const;
    bool isOutdated(const Announcement& announcement) const;
    void takeIncarnation(const Announcement& announcement);
    void startLeaving();
    void handBackQueued();
    void offer(std::uint64_t id);
    void begin(std::uint64_t id);
    HttpRequest requestFor(std::uint64_t id, const Work& work) const;
    Duration timeLeft(const Work& work) const;
    std::string exchangeId(std::uint64_t id) const;
    void finished(std::uint64_t id, BackendResult result);
    ClosedContext closeContext(const Work& work);
    void refuse(std::uint64_t id, Refusal refusal);
    void answer(std::uint64_t id, Answer answer);
    void pump();
    void renewLease();
    void lapsed();
    void publish();
    void updateDemand();
    void reportPrice(TimePoint now);
    void stopAdmitting();
    /// \returns for how long a leaving server still takes new work.
    Duration leaveGrace() const { return m_settings.drainTime / 2; }

    PeerNetwork& m_network;
    Timers& m_timers;
    EventLog& m_log;
    ServerDirectory& m_directory;
    const BackendProtocol& m_protocol;
    const Settings& m_settings;
    BackendClient m_client;
    Admission m_admission;
    ServerDemand m_demand;
    int m_priceStep = 0; ///< As last reported; zero while slots are not scarce.
    TimePoint m_priceReported {};
    ContextTable m_contexts;
    ServerEntry m_entry;
    Announcement m_latest;
    bool m_announced = false;
    std::uint64_t m_backend = 0; ///< Start of the backend server, zero without a name.
    bool m_serverLeft = false; ///< That start has said that it leaves.
    bool m_stopping = false; ///< This daemon leaves.
    bool m_refusing = false; ///< Leaving, and the fleet has had time to learn of it.
    TimerId m_leaseTimer = 0;
    TimerId m_leaveTimer = 0;
    TimerId m_wakeTimer = 0;
    std::uint64_t m_lastId = 0;
    std::unordered_map<std::uint64_t, Work> m_work;
    std::map<CallName, std::uint64_t> m_names;
    sigc::signal<void(const std::string& token)> m_contextClosed;
    sigc::signal<void(const RunRecord&)> m_runFinished;
};

} // namespace pw
