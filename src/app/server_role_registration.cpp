#include "app/server_role.h"

#include "config.h"
#include "core/member_selector.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <utility>

namespace pw {
namespace {

    /// \returns a hash that identifies one start of a backend server, or zero when it gives no instance and start time.
    std::uint64_t backendIdOf(const std::string& instance, std::uint64_t started)
    {
        const auto isIdentified = !instance.empty() || started != 0;
        return isIdentified ? rendezvousWeight(instance, std::to_string(started)) : 0;
    }

    AnnouncedStart startOf(const Announcement& announcement)
    {
        return { announcement.instance, announcement.started, announcement.sequence };
    }

    std::uint64_t backendIdOf(const Announcement& announcement)
    {
        return backendIdOf(announcement.instance, announcement.started);
    }

} // namespace

bool ServerRole::announce(const Announcement& announcement, std::string& reason)
{
    if (announcement.service.empty() || announcement.slots == 0 || announcement.connections == 0) {
        reason = "service, slots and connections are required";
        return false;
    }
    if (announcement.slots > config::maxAnnouncedSlots) {
        reason = "more than " + std::to_string(config::maxAnnouncedSlots) + " slots";
        return false;
    }
    if (hasLeft(announcement)) {
        return true;
    }
    if (mustWait(announcement)) {
        m_heldAnnouncement = announcement;
        return true;
    }
    const auto verdict = m_starts.judge(startOf(announcement), m_timers.now());
    if (verdict == StartVerdict::Unproven) {
        onUnprovenStart(announcement);
    }
    if (verdict == StartVerdict::Outdated || verdict == StartVerdict::Unproven) {
        return true;
    }
    if (!m_client.setAddress(announcement.address)) {
        reason = "not an ip:port address: " + announcement.address;
        return false;
    }
    const auto isFirst = m_entry.service.empty();
    const auto isOtherService = !isFirst && m_entry.service != announcement.service;
    auto changed = !m_announced || m_entry.service != announcement.service || m_entry.slots != announcement.slots
        || m_entry.connections != announcement.connections;
    const auto isNewStart = isOtherService || announcement.started != m_lastAnnouncement.started || announcement.instance != m_lastAnnouncement.instance;
    const auto isReturn = !isNewStart && announcesReturn(announcement);
    if (isNewStart || isReturn) {
        onServerStarted(announcement);
        changed = true;
    }
    m_lastAnnouncement = announcement;
    m_starts.accept(startOf(announcement));
    m_entry.service = announcement.service;
    m_entry.slots = announcement.slots;
    m_entry.connections = announcement.connections;
    m_backendId = backendIdOf(announcement);
    m_announced = true;
    renewLease();
    if (announcement.leaving) {
        onServerLeaving();
    }
    const auto started = isNewStart || isReturn ? std::optional(UnknownCause::BackendStarted) : std::nullopt;
    m_warmUp.onAnnounced({ announcement.service, announcement.instance, announcement.connections, announcement.warmUpTime },
        isFirst ? std::optional(UnknownCause::DaemonStarted) : started);
    if (m_entry.leaving) {
        m_warmUp.pause();
    }
    if (changed) {
        m_admission.setCapacity(usableSlots(announcement.slots), announcement.connections);
        if (isFirst || isNewStart) {
            m_admission.beginColdStart(announcement.warmUpTime ? RampCause::StartedWarmingUp : RampCause::Started, m_timers.now());
        }
        reportRamp(m_timers.now());
        PW_EVENT(m_log, Event::BackendAnnounced, { "service", m_entry.service }, { "address", announcement.address }, { "slots", m_entry.slots });
        publish();
        if (isOtherService) {
            refuseQueued(Reason::NoBackendServer);
        }
        processQueue();
    }
    return true;
}

/// \returns whether a server that has left and has no identity is back: it announces itself after its leave notice, or after
/// its announcements had lapsed. Until the fleet knows of the leave, an announcement may just be late.
bool ServerRole::announcesReturn(const Announcement& announcement) const
{
    const auto hasLeft = m_serverLeft && m_admissionStopped && backendIdOf(announcement) == 0;
    return hasLeft && !announcement.leaving && (!m_statedLeaving || !m_announced);
}

/// Leaves headroom because a nearly full server may be slower. With few slots, even one would be too large a share.
std::uint32_t ServerRole::usableSlots(std::uint32_t slots) const
{
    const auto headroom = std::ceil(slots * m_settings.limitHeadroom);
    return slots < config::minSlotsForHeadroom ? slots : slots - static_cast<std::uint32_t>(headroom);
}

void ServerRole::onUnprovenStart(const Announcement& announcement)
{
    PW_EVENT(m_log, Event::BackendStartUnproven, { "service", announcement.service }, { "instance", announcement.instance },
        { "started", announcement.started }, { "current", m_lastAnnouncement.instance }, { "current_started", m_lastAnnouncement.started },
        { "leaving", announcement.leaving });
    if (announcement.leaving) {
        onServerLeaving(announcement.instance, announcement.started);
    }
}

/// Resets the state kept for the previous start of the backend server.
void ServerRole::onServerStarted(const Announcement& announcement)
{
    m_client.onServerStarted();
    m_admission.rate().reset();
    m_pace.reset();
    m_serverLeft = false;
    m_statedLeaving = false;
    if (m_isLeaveFinal) {
        return;
    }
    m_timers.cancel(std::exchange(m_leaveTimer, 0));
    m_entry.leaving = false;
    m_admissionStopped = false;
    m_admission.setLeaving(false);
    PW_EVENT(m_log, Event::BackendStarted, { "service", announcement.service }, { "instance", announcement.instance },
        { "previous", m_lastAnnouncement.instance }, { "started", announcement.started });
}

void ServerRole::renewLease()
{
    m_timers.cancel(m_leaseTimer);
    m_leaseTimer = m_timers.after(m_settings.announcementLease, [this] { onLeaseExpired(); });
}

void ServerRole::onLeaseExpired()
{
    if (!m_announced) {
        return;
    }
    m_announced = false;
    m_warmUp.pause();
    if (m_entry.leaving) {
        return;
    }
    PW_EVENT(m_log, Event::BackendLapsed, { "service", m_entry.service });
    m_entry.leaving = true;
    publish();
    m_entry.leaving = false;
    refuseQueued(Reason::NoBackendServer);
    processQueue();
}

void ServerRole::setDepartureLog(DepartureLog& log)
{
    m_departureLog = &log;
    log.onChanged([this] { onDeparturesChanged(); });
}

/// \returns whether \p announcement may be older than a leave that an earlier process of this daemon has confirmed.
bool ServerRole::mustWait(const Announcement& announcement) const
{
    return m_departureLog && !announcement.leaving && backendIdOf(announcement) != 0 && !m_departureLog->canTrustAnnouncements();
}

void ServerRole::onDeparturesChanged()
{
    if (m_heldAnnouncement && m_departureLog->canTrustAnnouncements()) {
        std::string reason;
        announce(*std::exchange(m_heldAnnouncement, std::nullopt), reason);
    }
    // A leave that an earlier process did not confirm may have been recorded all the same.
    if (m_announced && !m_serverLeft && m_backendId != 0 && m_departureLog->hasDeparted(m_backendId)) {
        onServerLeaving();
    }
}

void ServerRole::confirmLeave(const std::string& instance, std::uint64_t started, DepartureLog::Done done)
{
    const auto isCurrent = instance == m_lastAnnouncement.instance && (started == 0 || started == m_lastAnnouncement.started);
    const auto start = isCurrent ? m_backendId : backendIdOf(instance, started);
    if (m_departureLog && start != 0) {
        m_departureLog->record(start, std::move(done));
    } else {
        done(true);
    }
}

void ServerRole::onServerLeaving()
{
    const auto isFirstNotice = !std::exchange(m_serverLeft, true);
    if (isFirstNotice && m_departureLog && m_backendId != 0) {
        m_departureLog->record(m_backendId, {});
    }
    if (m_entry.leaving && isFirstNotice) {
        publish();
    }
    startLeaving();
}

void ServerRole::onServerLeaving(const std::string& instance, std::uint64_t started)
{
    if (instance == m_lastAnnouncement.instance && (started == 0 || started == m_lastAnnouncement.started)) {
        onServerLeaving();
        return;
    }
    recordDeparture(instance, started);
    const AnnouncedStart left { instance, started, 0 };
    if (started != 0 && instance == m_lastAnnouncement.instance && !m_starts.isEarlier(left)) {
        // The start that is known under this name may be over. If it is not, it takes over again by its announcements.
        m_starts.accept(left);
        onLeaseExpired();
    }
}

/// \returns whether the announced start, or a later one, left before it was announced here.
bool ServerRole::hasLeft(const Announcement& announcement) const
{
    const auto start = backendIdOf(announcement);
    if (m_departureLog && start != 0 && start != m_backendId && m_departureLog->hasDeparted(start)) {
        return true;
    }
    return std::ranges::any_of(m_departures, [&](const Departure& it) {
        const auto coversStart = it.started == 0 || announcement.started <= it.started;
        return it.instance == announcement.instance && coversStart && m_timers.now() < it.expiresAt;
    });
}

void ServerRole::recordDeparture(const std::string& instance, std::uint64_t started)
{
    // Without its start time, a late announcement cannot be told from a later start of the server for long.
    const auto retention = started == 0 ? m_settings.announcementLease : config::viewTombstoneRetention;
    m_departures.push_back({ instance, started, m_timers.now() + retention });
    if (m_departures.size() > config::maxDepartures) {
        m_departures.pop_front();
    }
    PW_EVENT(m_log, Event::BackendLeft, { "service", "" }, { "instance", instance }, { "pending", 0 });
    if (m_entry.service.empty()) {
        // The view remembers it for a later process of this daemon.
        ++m_entry.sequence;
        auto departed = m_entry;
        departed.leaving = true;
        departed.backendIncarnation = backendIdOf(instance, started);
        m_directory.publish(departed);
    }
}

void ServerRole::leave()
{
    m_isLeaveFinal = true;
    startLeaving();
}

void ServerRole::stop(const StopSchedule& schedule)
{
    m_stop = schedule;
    leave();
}

std::optional<TimePoint> ServerRole::admitNested(TimePoint deadline) const
{
    return m_stop ? m_stop->admit(m_timers.now(), deadline, true) : std::optional(deadline);
}

void ServerRole::giveUp()
{
    std::vector<std::uint64_t> given;
    for (const auto& [id, work] : m_calls) {
        if (work.call.idempotent || !work.running) {
            given.push_back(id);
        }
    }
    std::ranges::for_each(given, [this](std::uint64_t id) { giveUp(id); });
}

void ServerRole::giveUp(std::uint64_t id)
{
    const auto& work = m_calls.at(id);
    PW_EVENT(m_log, Event::CallGivenUp, { "request", work.call.requestId }, { "route", work.call.route }, { "from", work.key.first },
        { "running", work.running });
    m_admission.cancel(id, m_timers.now());
    if (!work.running) {
        refuse(id, { Verdict::NotRun, Reason::Leaving, {} });
        return;
    }
    m_demand.ended(work.call.route, m_timers.now() - work.startedAt, m_timers.now());
    m_client.cancel(work.exchange);
    Answer reply;
    reply.refusal = { Verdict::MayHaveRun, Reason::Leaving, {} };
    reply.arrived = true;
    reply.attemptsUnused = closeContext(work).attemptsUnused;
    answerLater(id, std::move(reply));
}

void ServerRole::startLeaving()
{
    if (m_entry.leaving) {
        return;
    }
    m_entry.leaving = true;
    m_warmUp.pause();
    PW_EVENT(m_log, Event::BackendLeft, { "service", m_entry.service }, { "instance", m_lastAnnouncement.instance }, { "pending", m_calls.size() });
    publish();
    m_stopAdmittingAt = m_timers.now() + leaveGrace();
    m_leaveTimer = m_timers.after(leaveGrace(), [this] { stopAdmitting(); });
}

/// After a suspension of the VM, calls and answers are read before the timers run.
void ServerRole::stopAdmittingIfDue()
{
    if (m_entry.leaving && !m_admissionStopped && m_timers.now() >= m_stopAdmittingAt) {
        stopAdmitting();
    }
}

void ServerRole::stopAdmitting()
{
    m_admissionStopped = true;
    m_admission.setLeaving(true);
    refuseQueued(Reason::Leaving);
    processQueue();
}

/// Refuses the queued calls with the verdict not-run, so that other backend servers can run them.
void ServerRole::refuseQueued(Reason reason)
{
    auto queued = m_admission.removeAllQueued();
    std::ranges::copy_if(std::exchange(m_waitingSuspects, {}), std::back_inserter(queued), [this](std::uint64_t id) { return m_calls.contains(id); });
    for (const auto id : queued) {
        refuse(id, { Verdict::NotRun, reason, {} });
    }
}

void ServerRole::publish()
{
    if (m_entry.service.empty()) {
        return;
    }
    ++m_entry.sequence;
    m_entry.warmUpRate = m_warmUp.rate();
    // Identify the start as gone only when it announced that it leaves. A server that missed its announcements, or whose
    // daemon stops, may come back.
    m_entry.backendIncarnation = !m_entry.leaving || m_serverLeft ? m_backendId : 0;
    m_directory.publish(m_entry);
}

} // namespace pw
