#pragma once

#include "app/change_submitter.h"
#include "app/settings.h"
#include "core/call.h"
#include "core/quarantine_policy.h"
#include "ports/events.h"
#include "ports/fleet.h"
#include "ports/suspect_registry.h"
#include "ports/timers.h"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace pw {

/// Identifies requests that crash the backend servers that run them, and decides how suspects may run. Reports crashes and
/// completed runs to control, whose replicated records every daemon follows; what this daemon has seen itself counts at once.
class Quarantine {
public:
    /// Everything must outlive this object.
    Quarantine(const Settings& settings, SuspectRegistry& registry, const ServerDirectory& directory, ChangeSubmitter& changes, Timers& timers,
        EventLog& log);
    ~Quarantine();
    Quarantine(const Quarantine&) = delete;
    Quarantine& operator=(const Quarantine&) = delete;

    /// \returns how the request may run now.
    SuspectMode modeOf(RequestDigest digest) const;

    /// \returns whether \p call must run as a suspect, as known to this daemon or to the sender.
    bool isSuspect(const Call& call) const;

    /// \returns the crashes of the request, as known to this daemon.
    std::uint32_t crashesOf(RequestDigest digest) const;

    /// \returns whether \p service keeps a backend server if the one that runs the suspect crashes. A suspect that is one of many
    /// is worth the risk, and so is one of a service with a single backend server.
    bool canRisk(const std::string& service, RequestDigest digest) const;

    /// \returns the backend server of \p service that runs suspects, the same for all daemons that know the same servers: suspects
    /// that run at different ones could crash several at once. Those that have crashed come last.
    /// \param isUsable whether a backend server may be used.
    const ServerEntry* serverFor(const std::string& service, const std::function<bool(const ServerEntry&)>& isUsable) const;

    /// \returns how many suspects may run at the backend server beside this daemon at the same time.
    /// \param service of that backend server.
    std::size_t maxIsolated(const std::string& service) const;

    /// \returns from when a suspect may run at a backend server of \p service. Copies of it that were running at the last crash have
    /// shown by then whether they crash others.
    TimePoint settledAt(const std::string& service) const;

    /// Claims the one trial of a suspect that the whole fleet allows now. \p done is called once, with whether it was granted.
    void claimTrial(RequestDigest digest, std::function<void(bool granted)> done);

    /// Records that the backend server beside this daemon crashed.
    void serverCrashed(ReportCrash report);

    /// Records that a suspect request completed at a backend server.
    void completed(RequestDigest digest);

    /// Records what another daemon said of a crash; its report may still be on its way.
    void crashHeardOf(RequestDigest digest, std::uint32_t crashes);

    /// \returns the requests that are suspect, and those that are held, as known to this daemon.
    std::size_t suspectCount() const { return m_registry.suspects().size(); }
    std::size_t heldCount() const;

private:
    /// A crash that this daemon knows of before the replicated state shows it.
    struct LocalCrash {
        std::uint32_t crashes = 0;
        std::uint64_t server = 0; ///< Zero if unknown.
        std::uint32_t concurrency = 0;
        TimePoint learnedAt {};
        bool confirmed = false; ///< By control.
    };

    /// When this daemon learned of the state of a record.
    struct Learned {
        std::uint64_t revision = 0;
        TimePoint at {};
        std::uint32_t trials = 0;
        TimePoint trialAt {}; ///< Of the last trial.
        std::uint64_t clearedRevision = 0; ///< Completed at a backend server beside this daemon since.
    };

    const SuspectRecord* find(RequestDigest digest) const;
    bool isUp(const ServerEntry& server) const;
    static Duration lifetimeOf(const LocalCrash& crash);
    const LocalCrash* findLocal(RequestDigest digest) const;
    void onSuspectsChanged();
    void onCrashConfirmed(std::uint64_t server);
    void forgetOldCrashes();
    void clear(const SuspectRecord& record);
    void flush();

    const Settings& m_settings;
    SuspectRegistry& m_registry;
    const ServerDirectory& m_directory;
    ChangeSubmitter& m_changes;
    Timers& m_timers;
    EventLog& m_log;
    std::unordered_map<RequestDigest, Learned> m_learned;
    std::unordered_map<RequestDigest, LocalCrash> m_local;
    std::unordered_map<RequestDigest, TimePoint> m_completed; ///< Completed suspects whose record may still be on its way.
    std::set<std::uint64_t> m_crashedServers; ///< Of the records.
    std::unordered_map<std::string, TimePoint> m_lastCrash; ///< By service: when this daemon last learned of a crash.
    std::vector<SuspectRevision> m_toClear;
    TimerId m_flushTimer = 0;
};

} // namespace pw
