#include "app/server_role.h"

#include "adapters/http_status.h"
#include "adapters/request_digest.h"
#include "config.h"

#include <utility>

namespace pw {

void ServerRole::setQuarantine(Quarantine& quarantine)
{
    m_quarantine = &quarantine;
    m_client.setDetectCrashes(true);
}

bool ServerRole::isSuspect(const Call& call) const
{
    return m_quarantine && m_quarantine->isSuspect(call);
}

/// Refuses a suspect that must not run now; the sender may not have known.
std::optional<Refusal> ServerRole::quarantineRefusal(const Call& call) const
{
    if (!isSuspect(call)) {
        return std::nullopt;
    }
    const auto isForbidden = !call.trial && m_quarantine->modeOf(call.digest) >= SuspectMode::Trial;
    const auto mayRun = !isForbidden && m_quarantine->canRisk(call.service, call.digest);
    return mayRun ? std::nullopt : std::optional(Refusal { Verdict::NotRun, Reason::Quarantined, {} });
}

/// \returns whether \p id is a suspect that has to wait until others have ended: if the backend server crashes meanwhile, the
/// one that ran is more likely to be the cause.
bool ServerRole::waitForIsolation(std::uint64_t id)
{
    const auto& call = m_calls.at(id).call;
    if (!isSuspect(call)) {
        return false;
    }
    const auto settling = m_quarantine->settledAt(m_entry.service) - m_timers.now();
    const auto waits = settling > Duration::zero() || m_isolated.size() >= m_quarantine->maxIsolated(m_entry.service);
    PW_EVENT(m_log, Event::SuspectIsolated, { "request", call.requestId }, { "route", call.route }, { "digest", requestDigestText(call.digest) },
        { "crashes", m_quarantine->crashesOf(call.digest) }, { "trial", call.trial }, { "waits", waits }, { "suspects", m_isolated.size() });
    if (settling > Duration::zero()) {
        scheduleIsolated(settling);
    }
    if (waits) {
        m_waitingSuspects.push_back(id);
        m_calls.at(id).waitTimer = m_timers.after(m_calls.at(id).deadline - m_timers.now(), [this, id] {
            std::erase(m_waitingSuspects, id);
            refuse(id, { Verdict::NotRun, Reason::DeadlineExceeded, {} });
        });
    } else {
        m_isolated.insert(id);
    }
    return waits;
}

/// Called when the call \p id ends, whether or not it is a suspect.
void ServerRole::endIsolation(std::uint64_t id)
{
    m_timers.cancel(std::exchange(m_calls.at(id).waitTimer, 0));
    if (m_isolated.erase(id) > 0 && !m_waitingSuspects.empty()) {
        scheduleIsolated(Duration::zero());
    }
}

void ServerRole::scheduleIsolated(Duration delay)
{
    if (!m_isolationTimer) {
        m_isolationTimer = m_timers.after(delay, [this] {
            m_isolationTimer = 0;
            startIsolated();
        });
    }
}

void ServerRole::startIsolated()
{
    if (const auto settling = m_quarantine->settledAt(m_entry.service) - m_timers.now(); settling > Duration::zero()) {
        scheduleIsolated(settling);
        return;
    }
    while (!m_waitingSuspects.empty() && m_isolated.size() < m_quarantine->maxIsolated(m_entry.service)) {
        const auto id = m_waitingSuspects.front();
        m_waitingSuspects.pop_front();
        const auto it = m_calls.find(id);
        if (it == m_calls.end()) {
            continue;
        }
        if (const auto refusal = immediateRefusal(it->second.call)) {
            refuse(id, *refusal);
            continue;
        }
        m_timers.cancel(std::exchange(it->second.waitTimer, 0));
        m_isolated.insert(id);
        admit(id);
    }
    processQueue();
}

void ServerRole::recordSuspectRun(std::uint64_t id, const Answer& answer)
{
    if (!m_quarantine) {
        return;
    }
    const auto& work = m_calls.at(id);
    if (answer.refusal.reason == Reason::BackendCrashed && !m_serverLeft && work.backendId != 0) {
        // The other requests that were running are reported in the same iteration of the event loop.
        if (!m_crashTimer) {
            m_crash = { m_entry.service, work.backendId, 0, {}, {} };
            m_crashTimer = m_timers.after(Duration::zero(), [this] { reportCrash(); });
        }
        ++m_crash.concurrency;
        if (work.call.digest != 0) {
            m_crash.running.push_back(work.call.digest);
        }
        if (m_isolated.contains(id)) {
            m_crash.isolated.push_back(work.call.digest);
        }
    } else if (answer.isComplete() && answer.status < http_status::internalError && isSuspect(work.call)) {
        // A server in trouble may fail a request before it reaches what crashes it.
        m_quarantine->completed(work.call.digest);
    }
}

void ServerRole::reportCrash()
{
    m_crashTimer = 0;
    m_quarantine->serverCrashed(std::exchange(m_crash, {}));
}

} // namespace pw
