#pragma once

#include "app/call_transport.h"
#include "app/quarantine.h"
#include "app/settings.h"
#include "core/picker.h"
#include "core/retry.h"
#include "core/retry_budget.h"
#include "ports/events.h"
#include "ports/fleet.h"
#include "ports/random.h"
#include "ports/timers.h"

#include <functional>
#include <memory>
#include <unordered_map>
#include <unordered_set>

namespace pw {

/// A request for any backend server of one service.
struct DispatchRequest {
    Call call; ///< id, attempts and timeLeft are filled in for each attempt.
    TimePoint deadline {};
    std::uint32_t attempts = 0; ///< Attempt budget, shared with the nested calls.
    std::uint32_t maxServers = 3; ///< Maximum number of backend servers to try.
};

/// Sends requests to backend servers: picks a server, sends the call, and retries when the verdict, the budgets and the
/// deadline allow it. No other class retries.
class Dispatcher {
public:
    /// \param answer attemptsUnused holds what is left of DispatchRequest::attempts.
    using Done = std::function<void(Answer answer)>;

    Dispatcher(const Settings& settings, CallTransport& transport, Timers& timers, EventLog& log, ServerDirectory& directory,
        const FleetView& fleet, std::uint64_t seed);
    ~Dispatcher();
    Dispatcher(const Dispatcher&) = delete;
    Dispatcher& operator=(const Dispatcher&) = delete;

    /// Starts a request. \p done is called exactly once, never from within start() or cancel(), unless the request is
    /// cancelled.
    /// \returns a handle for cancel().
    std::uint64_t start(DispatchRequest request, Done done);

    /// Cancels a request whose caller has disconnected.
    void cancel(std::uint64_t id);

    /// Sets by what a request that was running when a backend server crashed is sent again; must outlive this object.
    void setQuarantine(Quarantine& quarantine) { m_quarantine = &quarantine; }

    /// \returns whether a backend server may have run the request, or may be running it.
    bool mayHaveRun(std::uint64_t id) const;

    /// \returns the number of unfinished requests.
    std::size_t pending() const { return m_jobs.size(); }

private:
    /// An unfinished request.
    struct Job {
        DispatchRequest request;
        Done done;
        std::uint32_t attemptsMade = 0;
        std::uint32_t serversReached = 0; ///< Backend servers that may have received the request.
        std::uint32_t crashes = 0; ///< Backend servers that crashed while they ran it.
        std::uint32_t delegatedAttempts = 0; ///< Part of the attempt budget that the call in flight may spend on nested calls.
        std::vector<std::string> triedServers; ///< Names of the servers already tried.
        Refusal lastRefusal { Verdict::NotRun, Reason::NoBackendServer, {} };
        bool mayHaveRun = false; ///< An earlier attempt may have run.
        std::uint64_t callId = 0; ///< Handle of the current call in the transport.
        TimerId retryTimer = 0; ///< Nonzero while the next attempt, or the end without one, is scheduled.
        std::string serverName; ///< Server of the current or last attempt.
        PeerAddress daemon; ///< Daemon beside that server.
        std::string failureDomain; ///< Failure domain of that server.
        std::vector<std::string> evacuatedDomains; ///< One for each offer that was refused because of an evacuation.
        TimePoint sentAt {}; ///< Time of the current or last attempt.
    };

    void attempt(std::uint64_t id);
    bool isEvacuated(const Job& job, const std::string& failureDomain) const;
    PickContext pickContext(const Job& job) const;
    const ServerEntry* pick(const Job& job);
    const ServerEntry* pickForSuspect(const Job& job) const;
    Refusal noServerRefusal(const Job& job) const;
    Call makeAttemptCall(const Job& job) const;
    void onAnswer(std::uint64_t id, Answer answer);
    void retryOrFinish(std::uint64_t id, Answer answer);
    void onEvacuated(Job& job, Answer& answer);
    static std::uint32_t countedAttempts(const Job& job);
    bool hasAnotherServer(const Job& job) const;
    std::optional<Duration> retryDelay(Job& job, const Answer& answer);
    bool canFailOver(const Job& job, const Refusal& refusal);
    void updateRetryBudget();
    void onResponsivenessChanged(const PeerAddress& daemon, bool unresponsive);
    void rerouteFromUnresponsive();
    static bool isInFlight(const Job& job);
    bool canReroute(const Job& job) const;
    void finish(std::uint64_t id, Answer answer);
    void finishWith(std::uint64_t id, Refusal refusal);
    void finishLater(std::uint64_t id, Refusal refusal);

    const Settings& m_settings;
    CallTransport& m_transport;
    Timers& m_timers;
    EventLog& m_log;
    ServerDirectory& m_directory;
    const FleetView& m_fleet;
    Random m_random;
    Picker m_picker;
    RetryPolicy m_retryPolicy;
    RetryBudget m_retryBudget;
    std::uint64_t m_lastId = 0;
    std::unordered_map<std::uint64_t, Job> m_jobs;
    Quarantine* m_quarantine = nullptr; ///< Null unless requests are identified.
    std::unordered_set<PeerAddress> m_unresponsive;
    TimerId m_rerouteTimer = 0; ///< Active while idempotent calls wait for unresponsive daemons.
};

} // namespace pw
