#pragma once

#include "adapters/backend_client.h"
#include "app/deferred_calls.h"
#include "app/departure_log.h"
#include "app/quarantine.h"
#include "app/request_record.h"
#include "app/settings.h"
#include "app/warm_up_monitor.h"
#include "core/admission.h"
#include "core/call.h"
#include "core/context_table.h"
#include "core/server_demand.h"
#include "core/server_pace.h"
#include "core/slot_price_table.h"
#include "core/start_order.h"
#include "core/stop_schedule.h"
#include "ports/events.h"
#include "ports/fleet.h"
#include "ports/peer_network.h"
#include "ports/timers.h"

#include <sigc++/sigc++.h>

#include <deque>
#include <functional>
#include <map>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

namespace pw {

/// Announcement by which a backend server registers with its daemon.
struct Announcement {
    std::string service;
    std::string address; ///< "ip:port" on which it accepts requests.
    std::uint32_t slots = 1;
    std::uint32_t connections = 1;
    std::string instance; ///< Identifies this start of the backend server; may be empty.
    std::uint64_t started = 0; ///< Start time in ms since the epoch; zero if unknown.
    std::uint64_t sequence = 0; ///< Increases with each announcement of one start; zero if unknown.
    bool leaving = false;
    std::optional<std::chrono::milliseconds> warmUpTime; ///< Remaining warm-up time, if announced.
};

/// Server role of a daemon: admits, queues, runs and cancels the calls of the backend server beside it. Nothing else
/// connects to that server.
class ServerRole {
public:
    using Done = std::function<void(Answer)>;

    /// \param prices is sent along with answers; nullptr: none are sent.
    ServerRole(StreamLoop& loop, const Settings& settings, PeerNetwork& network, Timers& timers, EventLog& log,
        ServerDirectory& directory, FleetView& fleet, const BackendProtocol& protocol, const DemandCache& board,
        SlotPriceTable* prices = nullptr);
    ~ServerRole();
    ServerRole(const ServerRole&) = delete;
    ServerRole& operator=(const ServerRole&) = delete;

    /// Registers the backend server or renews its lease. An announcement older than the last one is ignored.
    /// \param reason receives the error message when false is returned.
    bool announce(const Announcement& announcement, std::string& reason);

    /// Handles a backend server that is leaving: announces this to the fleet at once, accepts new calls only until the
    /// fleet has had time to learn of it, and finishes running calls. A later start of the backend server is accepted.
    void onServerLeaving();

    /// Same, for the start of the backend server identified by \p instance. If it is not the current start, it is remembered, so
    /// that a late announcement does not take it into service.
    /// \param started start time in ms since the epoch; zero if unknown.
    void onServerLeaving(const std::string& instance, std::uint64_t started);

    /// Confirms a leave that was announced or passed to onServerLeaving(). \p done is called once, possibly at once: with true
    /// when no restart can bring that start of the backend server back into use, with false if that cannot be said in time.
    void confirmLeave(const std::string& instance, std::uint64_t started, DepartureLog::Done done);

    /// Takes the backend server out of service. Unlike a leaving backend server, this is final.
    void leave();

    /// Handles the planned stop of this daemon: leaves, and lets running calls work until the schedule's end at most.
    void stop(const StopSchedule& schedule);

    /// Cancels the idempotent calls that are still running and answers them, as the daemon ends before they can complete. Other
    /// calls run on; their senders notice that this daemon has ended.
    void giveUp();

    /// Runs \p call. \p done is called exactly once, never from within a call of this class, unless the call is
    /// cancelled before it has ended.
    /// \param from the calling daemon; together with the call's id it identifies the call.
    void run(const PeerAddress& from, Call call, Done done);

    /// Cancels a call whose caller has disconnected: a queued call is dropped, the HTTP exchange of a running call is closed.
    void cancel(const PeerAddress& from, std::uint64_t callId);

    /// Sets the weights by which workspaces share this server.
    void setWorkspaceWeights(std::map<std::string, double> rates);

    /// Applies the services of the configuration in force.
    void setServices(std::vector<Service> services) { m_warmUp.setServices(std::move(services)); }

    /// Sets where leaves are recorded; must outlive this object. Without it, they are known to this process and its control member only.
    void setDepartureLog(DepartureLog& log);

    /// Sets by what suspect requests are isolated; must outlive this object. Without it, requests are not identified.
    void setQuarantine(Quarantine& quarantine);

    /// \returns the deadline to apply to a nested call of the backend server; empty if this daemon ends too soon.
    std::optional<TimePoint> admitNested(TimePoint deadline) const;

    ContextTable& contexts() { return m_contexts; }
    /// Records a nested call made by the backend server.
    void recordNestedCall(const std::string& route) { m_demand.nestedCallSent(route); }
    /// Emitted with the context token of a request that has ended, never from within a call of this class. Its remaining nested
    /// calls are orphaned.
    sigc::signal<void(const std::string& token)>& contextClosed() { return m_contextClosed; }
    sigc::signal<void(const RunRecord&)>& runFinished() { return m_runFinished; }
    /// Emitted for each request that is held back by the warm-up rate of the backend server.
    sigc::signal<void(WarmUpOutcome)>& heldBack() { return m_heldBack; }
    /// Emitted with the route of a call that was refused because the own failure domain is evacuated.
    sigc::signal<void(const std::string& route)>& evacuationRefused() { return m_evacuationRefused; }
    /// \returns whether the own failure domain is evacuated, as known to this daemon. Nothing may be sent to the backend
    /// server meanwhile; requests already running there complete.
    bool isEvacuated() const { return m_evacuated; }
    /// \returns the number of calls that are queued, running or about to be answered.
    std::size_t pending() const { return m_calls.size() + m_results.size(); }
    /// \returns the backend server's entry in the membership view, as last published.
    const ServerEntry& entry() const { return m_entry; }
    LoadHint load() const;
    /// \returns the requests per second that the backend server states as its limit; empty if it states none.
    std::optional<double> rateLimit() const { return m_admission.rate().limit(); }
    /// \returns the requests per second that the backend server gets at most because it is cold or may be; empty while warm.
    std::optional<double> warmUpRate() const { return m_admission.warmUp().rate(m_timers.now()); }

    /// \returns the ramp that bounds the concurrency limit after a start of the backend server.
    const StartRamp& startRamp() const { return m_admission.ramp(); }

private:
    using CallKey = std::pair<PeerAddress, std::uint64_t>;

    /// A call that is queued or running.
    struct PendingCall {
        CallKey key;
        Call call;
        Done done;
        TimePoint deadline {};
        bool running = false; ///< False while queued.
        TimePoint arrived {};
        TimePoint startedAt {}; ///< Time when it left the queue.
        std::string token; ///< Context token while running, if the protocol uses tokens.
        std::uint64_t backendId = 0; ///< Start of the backend server that it runs at.
        TimerId waitTimer = 0; ///< Refuses a suspect that waits until its deadline.
        std::uint64_t exchange = 0; ///< Handle of its HTTP exchange in the client.
    };

    void onCall(const PeerAddress& from, std::span<const std::byte> message);
    void onCancel(const PeerAddress& from, std::span<const std::byte> message);
    void onPeerLost(const PeerAddress& peer);

    void giveUp(std::uint64_t id);
    std::optional<Refusal> immediateRefusal(const Call& call) const;
    std::optional<Refusal> quarantineRefusal(const Call& call) const;
    bool isSuspect(const Call& call) const;
    bool waitForIsolation(std::uint64_t id);
    void endIsolation(std::uint64_t id);
    void scheduleIsolated(Duration delay);
    void startIsolated();
    void recordSuspectRun(std::uint64_t id, const Answer& answer);
    void reportCrash();
    std::uint32_t usableSlots(std::uint32_t slots) const;
    bool announcesReturn(const Announcement& announcement) const;
    bool hasLeft(const Announcement& announcement) const;
    bool mustWait(const Announcement& announcement) const;
    void onDeparturesChanged();
    void recordDeparture(const std::string& instance, std::uint64_t started);
    void onUnprovenStart(const Announcement& announcement);
    void onServerStarted(const Announcement& announcement);
    void startLeaving();
    void refuseQueued(Reason reason);
    void updateEvacuation();
    void onEvacuationBegan();
    void onEvacuationEnded();
    void admit(std::uint64_t id);
    bool startRun(std::uint64_t id);
    bool pollQueue();
    HttpRequest requestFor(std::uint64_t id, const PendingCall& work) const;
    Duration timeLeft(const PendingCall& work) const;
    std::string exchangeId(std::uint64_t id) const;
    void onRunFinished(std::uint64_t id, BackendResult result);
    void onStatement(const PendingCall& work, const BackendStatement& statement);
    void reportRate(TimePoint now);
    void reportRamp(TimePoint now);
    std::optional<Duration> recordPace(const PendingCall& work, const BackendResult& result, Duration nestedTime);
    ClosedContext closeContext(const PendingCall& work);
    void refuse(std::uint64_t id, Refusal refusal);
    [[nodiscard]] std::function<void()> end(std::uint64_t id, Answer answer);
    void answerLater(std::uint64_t id, Answer answer);
    void processQueue();
    void onWarmUpRateChanged();
    void recordHeldBack(WarmUpOutcome outcome);
    void renewLease();
    void onLeaseExpired();
    void publish();
    void updateDemand();
    void addPrices(const PeerAddress& receiver, Answer& answer);
    void reportPrice(TimePoint now);
    void stopAdmitting();
    void stopAdmittingIfDue();
    /// \returns how long a leaving server still accepts new calls.
    Duration leaveGrace() const { return m_settings.drainTimeout / 2; }

    PeerNetwork& m_network;
    Timers& m_timers;
    EventLog& m_log;
    ServerDirectory& m_directory;
    FleetView& m_fleet;
    const BackendProtocol& m_protocol;
    const Settings& m_settings;
    BackendClient m_client;
    Admission m_admission;
    WarmUpMonitor m_warmUp;
    ServerDemand m_demand;
    SlotPriceTable* m_prices; ///< Null with `admission.prices: chain`.
    ServerPace m_pace; ///< Used with PickBy::Completion.
    int m_priceStep = 0; ///< Logarithmic step of the last reported price; zero while slots are not scarce.
    TimePoint m_priceReported {};
    std::optional<double> m_reportedRate; ///< Rate limit as last logged.
    TimePoint m_rateReported {};
    RampState m_reportedRamp; ///< As last logged.
    bool m_rampEndReported = true;
    TimePoint m_stepBackReported {};
    ContextTable m_contexts;
    ServerEntry m_entry;
    Announcement m_lastAnnouncement;
    StartOrder m_starts;
    /// A start of a backend server that has left without being the current one.
    struct Departure {
        std::string instance;
        std::uint64_t started = 0; ///< Zero if unknown.
        TimePoint expiresAt {};
    };

    std::deque<Departure> m_departures; ///< Oldest first.
    DepartureLog* m_departureLog = nullptr; ///< Null unless leaves are recorded in the replicated state.
    std::optional<Announcement> m_heldAnnouncement; ///< The last one that came before it was known whether its sender has left.
    bool m_announced = false;
    std::uint64_t m_backendId = 0; ///< Identifies the current start of the backend server; zero if unknown.
    bool m_serverLeft = false; ///< The current start has announced that it is leaving.
    bool m_statedLeaving = false; ///< It said so in an answer, while its announcements may go on.
    bool m_isLeaveFinal = false; ///< Later starts of the backend server are not taken into service.
    std::optional<StopSchedule> m_stop; ///< Set while this daemon is stopping.
    bool m_admissionStopped = false; ///< Leaving, and the time for the fleet to learn of it has passed.
    TimePoint m_stopAdmittingAt {}; ///< While leaving.
    bool m_evacuated = false; ///< The own failure domain is evacuated.
    TimerId m_leaseTimer = 0;
    TimerId m_leaveTimer = 0;
    TimerId m_wakeTimer = 0;
    std::uint64_t m_lastId = 0;
    Quarantine* m_quarantine = nullptr; ///< Null unless requests are identified.
    std::set<std::uint64_t> m_isolated; ///< Suspects that are admitted.
    std::deque<std::uint64_t> m_waitingSuspects; ///< Oldest first; some may have ended.
    TimerId m_isolationTimer = 0; ///< Pending while startIsolated() is due.
    ReportCrash m_crash; ///< Crash being collected while m_crashTimer is pending.
    TimerId m_crashTimer = 0;
    std::unordered_map<std::uint64_t, PendingCall> m_calls;
    std::map<CallKey, std::uint64_t> m_idsByKey;
    DeferredCalls m_results; ///< Answers and closed contexts that are not reported yet.
    sigc::signal<void(const std::string& token)> m_contextClosed;
    sigc::signal<void(const RunRecord&)> m_runFinished;
    sigc::signal<void(WarmUpOutcome)> m_heldBack;
    sigc::signal<void(const std::string& route)> m_evacuationRefused;
};

} // namespace pw
