#include "app/departure_log.h"

#include "config.h"

#include <algorithm>
#include <utility>

namespace pw {

DepartureLog::DepartureLog(DepartureRegistry& registry, ChangeSubmitter& changes, Timers& timers, EventLog& log)
    : m_registry(registry)
    , m_changes(changes)
    , m_timers(timers)
    , m_log(log)
    , m_startedAt(timers.now())
{
}

DepartureLog::~DepartureLog()
{
    for (const auto& [start, pending] : m_pending) {
        std::ranges::for_each(pending.waiters, [this](const auto& it) { m_timers.cancel(it.second.timer); });
    }
}

bool DepartureLog::canTrustAnnouncements() const
{
    // Without control, the age of this process tells as well that an announcement is no older than it.
    return m_registry.holdsEarlierDepartures() || m_timers.now() - m_startedAt >= config::maxAnnouncementDelay;
}

bool DepartureLog::hasDeparted(std::uint64_t start) const
{
    return m_recorded.contains(start) || m_registry.hasDeparted(start);
}

void DepartureLog::record(std::uint64_t start, Done done)
{
    if (hasDeparted(start)) {
        if (done) {
            done(true);
        }
        return;
    }
    const auto [it, isNew] = m_pending.try_emplace(start, Pending { m_timers.now(), {} });
    if (done) {
        wait(start, std::move(done));
    }
    if (isNew) {
        m_changes.submit(RecordDeparture { start }, config::departureTimeout, [this, start](bool accepted) { finish(start, accepted); });
    }
}

void DepartureLog::wait(std::uint64_t start, Done done)
{
    const auto id = ++m_lastWaiter;
    auto& waiter = m_pending.at(start).waiters[id];
    waiter.done = std::move(done);
    waiter.timer = m_timers.after(config::leaveConfirmTimeout, [this, start, id] {
        auto node = m_pending.at(start).waiters.extract(id);
        PW_EVENT(m_log, Event::DepartureUnconfirmed, { "start", start });
        node.mapped().done(false);
    });
}

void DepartureLog::finish(std::uint64_t start, bool recorded)
{
    auto node = m_pending.extract(start);
    const auto took = std::chrono::duration_cast<std::chrono::milliseconds>(m_timers.now() - node.mapped().since);
    PW_EVENT(m_log, Event::DepartureRecorded, { "start", start }, { "recorded", recorded }, { "ms", took.count() });
    if (recorded) {
        m_recorded.insert(start);
    }
    for (auto& [id, waiter] : node.mapped().waiters) {
        m_timers.cancel(waiter.timer);
        waiter.done(recorded);
    }
}

} // namespace pw
