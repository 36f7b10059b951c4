#pragma once

#include "app/change_submitter.h"
#include "ports/departure_registry.h"
#include "ports/events.h"
#include "ports/timers.h"

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <vector>

namespace pw {

/// Records in the replicated state which starts of backend servers have left, so that none is taken into service again after
/// restarts, whichever processes were restarted.
class DepartureLog {
public:
    using Done = std::function<void(bool recorded)>;

    /// Everything must outlive this object.
    DepartureLog(DepartureRegistry& registry, ChangeSubmitter& changes, Timers& timers, EventLog& log);
    ~DepartureLog();
    DepartureLog(const DepartureLog&) = delete;
    DepartureLog& operator=(const DepartureLog&) = delete;

    /// \returns whether an announcement tells that its sender is in service. Right after the start of this process it may be
    /// older than a departure that is not known here yet.
    bool canTrustAnnouncements() const;

    /// \returns whether \p start has left, as known here.
    bool hasDeparted(std::uint64_t start) const;

    /// Records that \p start has left. \p done is called once, possibly at once, with whether it is recorded: at the latest
    /// after config::leaveConfirmTimeout, and then recording goes on.
    void record(std::uint64_t start, Done done);

    /// Adds a handler that is called after the results of the functions above may have changed.
    void onChanged(std::function<void()> handler) { m_registry.onDeparturesChanged(std::move(handler)); }

private:
    struct Waiter {
        Done done;
        TimerId timer = 0;
    };
    /// A departure that control has not confirmed.
    struct Pending {
        TimePoint since;
        std::map<std::uint64_t, Waiter> waiters;
    };

    void wait(std::uint64_t start, Done done);
    void finish(std::uint64_t start, bool recorded);

    DepartureRegistry& m_registry;
    ChangeSubmitter& m_changes;
    Timers& m_timers;
    EventLog& m_log;
    TimePoint m_startedAt;
    std::uint64_t m_lastWaiter = 0;
    std::map<std::uint64_t, Pending> m_pending; ///< By start.
    std::set<std::uint64_t> m_recorded; ///< Confirmed, perhaps before the state here shows it.
};

} // namespace pw
