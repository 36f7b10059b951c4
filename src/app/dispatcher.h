#pragma once

#include "app/call_transport.h"
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

/// A request to bring to some backend server of its service.
struct DispatchRequest {
    Call call; ///< id, attempts and timeLeft are filled in for each attempt.
    TimePoint deadline {};
    std::uint32_t attempts = 0; ///< Budget for every attempt here and below.
    std::uint32_t maxServers = 3; ///< Backend servers that it may reach.
};

/// Brings a request to a backend server: picks one, sends the call, and tries again where the verdict, the budget and
/// the deadline allow it. The only place that retries.
class Dispatcher {
public:
    /// \param answer its attemptsUnused is what is left of DispatchRequest::attempts.
    using Done = std::function<void(Answer answer)>;

    Dispatcher(const Settings& settings, CallTransport& transport, Timers& timers, EventLog& log, ServerDirectory& directory,
        std::uint64_t seed);
    ~Dispatcher();
    Dispatcher(const Dispatcher&) = delete;
    Dispatcher& operator=(const Dispatcher&) = delete;

    /// Starts a request. \p done is called once, perhaps at once, unless cancel() comes first.
    /// \returns a handle for cancel().
    std::uint64_t start(DispatchRequest request, Done done);

    /// Cancels a request whose caller is gone.
    void cancel(std::uint64_t id);

    /// \returns requests that have not ended.
    std::size_t pending() const { return m_jobs.size(); }

private:
    struct Job {
        DispatchRequest request;
        Done done;
        std::uint32_t tries = 0;
        std::uint32_t reached = 0; ///< Backend servers that it may have reached.
        std::uint32_t lent = 0; ///< Attempts that the call under way may spend below.
        std::vector<std::string> tried; ///< Servers asked already.
        Refusal last { Verdict::NotRun, Reason::NoBackendServer, {} };
        bool mayHaveRun = false; ///< An earlier attempt may have run.
        std::uint64_t call = 0;
        TimerId backoff = 0;
        std::string server;
        PeerAddress daemon; ///< Beside that server.
        TimePoint sent {};
    };

    void attempt(std::uint64_t id);
    const ServerEntry* pick(const Job& job);
    Call callFor(const Job& job) const;
    void answered(std::uint64_t id, Answer answer);
    void tryAgainOrEnd(std::uint64_t id, Answer answer);
    std::optional<Duration> backoff(Job& job, const Answer& answer);
    bool canHandOver(const Job& job, const Refusal& refusal);
    void followDirectory();
    void noteSilence(const PeerAddress& daemon, bool silent);
    void leaveSilent();
    static bool isUnderWay(const Job& job);
    bool canLeave(const Job& job) const;
    void end(std::uint64_t id, Answer answer);
    void endWith(std::uint64_t id, Refusal refusal);

    const Settings& m_settings;
    CallTransport& m_transport;
    Timers& m_timers;
    EventLog& m_log;
    ServerDirectory& m_directory;
    Random m_random;
    Picker m_picker;
    RetryPolicy m_retries;
    RetryBudget m_budget;
    std::uint64_t m_lastId = 0;
    std::unordered_map<std::uint64_t, Job> m_jobs;
    std::unordered_set<PeerAddress> m_silent;
    TimerId m_leaveTimer = 0; ///< Pending while calls wait for silent daemons.
};

} // namespace pw
