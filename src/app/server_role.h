#pragma once

#include "adapters/backend_client.h"
#include "app/settings.h"
#include "core/admission.h"
#include "core/call.h"
#include "core/context_table.h"
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
};

/// The daemon's part beside a backend server: the only one that connects to it. Admits, queues, runs and cancels calls.
class ServerRole {
public:
    using Done = std::function<void(Answer)>;

    ServerRole(event_base* base, const Settings& settings, PeerNetwork& network, Timers& timers, EventLog& log,
        ServerDirectory& directory);
    ~ServerRole();
    ServerRole(const ServerRole&) = delete;
    ServerRole& operator=(const ServerRole&) = delete;

    /// Takes or renews the backend server's announcement.
    /// \param reason receives what is wrong with it when false is returned.
    bool announce(const Announcement& announcement, std::string& reason);

    /// The backend server, or this daemon, is leaving: tells the fleet at once, takes new work only for as long as the
    /// fleet needs to learn of it, and finishes what runs.
    void leave();

    /// Runs \p call. \p done is called once, perhaps at once, unless cancel() comes first.
    /// \param from the daemon that asks; with the call's id it names the call.
    void run(const PeerAddress& from, Call call, Done done);

    /// Cancels a call whose caller is gone: a queued one never runs, the exchange of a running one is closed.
    void cancel(const PeerAddress& from, std::uint64_t callId);

    /// Sets the rates by which workspaces share this server.
    void setWorkspaceWeights(std::map<std::string, double> rates);

    ContextTable& contexts() { return m_contexts; }
    /// Emitted with the context token of a request that has ended; nested calls made for it are orphans from then on.
    sigc::signal<void(const std::string& token)>& contextClosed() { return m_contextClosed; }
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
        std::string token; ///< Empty while queued.
        std::uint64_t exchange = 0;
    };

    void onCall(const PeerAddress& from, std::span<const std::byte> message);
    void onCancel(const PeerAddress& from, std::span<const std::byte> message);
    void onPeerLost(const PeerAddress& peer);

    std::optional<Refusal> refusedNow() const;
    void offer(std::uint64_t id);
    void begin(std::uint64_t id);
    BackendRequest requestFor(std::uint64_t id, const Work& work) const;
    std::string exchangeId(std::uint64_t id) const;
    void finished(std::uint64_t id, BackendResult result);
    ClosedContext closeContext(const Work& work);
    void refuse(std::uint64_t id, Refusal refusal);
    void answer(std::uint64_t id, Answer answer);
    void pump();
    void renewLease();
    void lapsed();
    void publish();
    void stopAdmitting();

    PeerNetwork& m_network;
    Timers& m_timers;
    EventLog& m_log;
    ServerDirectory& m_directory;
    BackendClient m_client;
    Admission m_admission;
    ContextTable m_contexts;
    ServerEntry m_entry;
    bool m_announced = false;
    bool m_refusing = false; ///< Leaving, and the fleet has had time to learn of it.
    TimerId m_leaseTimer = 0;
    TimerId m_leaveTimer = 0;
    TimerId m_wakeTimer = 0;
    std::uint64_t m_lastId = 0;
    std::unordered_map<std::uint64_t, Work> m_work;
    std::map<CallName, std::uint64_t> m_names;
    sigc::signal<void(const std::string& token)> m_contextClosed;
};

} // namespace pw
