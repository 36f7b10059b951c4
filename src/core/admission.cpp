#include "core/admission.h"

#include "config.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace pw {
namespace {

    Duration scaled(Duration value, double factor)
    {
        return Duration(static_cast<Duration::rep>(static_cast<double>(value.count()) * factor));
    }

    /// \returns the importance of a rank's route; ranks below the lowest level map to that level.
    Importance importanceOf(const Rank& rank)
    {
        constexpr auto top = static_cast<unsigned>(Importance::Critical);
        return static_cast<Importance>(top - std::min<unsigned>(rank.route, top));
    }

} // namespace

Admission::Admission(std::unique_ptr<Limit> limit)
    : m_limit(std::move(limit))
{
    assert(m_limit);
}

OfferResult Admission::offer(const AdmissionItem& item, TimePoint now)
{
    watchWarmUp(now);
    updateAdmissionFloor(now);
    m_offered.add(now);
    if (m_leaving) {
        return { AdmissionOutcome::Refused, { Verdict::NotRun, Reason::Leaving, config::minRetryAfter } };
    }
    if (item.deadline <= now) {
        return { AdmissionOutcome::Refused, { Verdict::NotRun, Reason::DeadlineExceeded, {} } };
    }
    if (canStart(now) && m_queue.size() == 0) {
        // The service time estimate may be wrong, so a request is never refused because of it while a slot is idle.
        m_queue.charge(item);
        start(item, now, now);
        return {};
    }
    if (!canMeetDeadline(item, expectedWait(item, now), now)) {
        recordShed(item.rank, now);
        return { AdmissionOutcome::Refused, refusal(Reason::Overloaded, now) };
    }
    if (!item.nested && m_queue.roots() >= queueCapacity(m_hasStandingQueue, now) && !evictForNewcomer(item, now)) {
        recordShed(item.rank, now);
        return { AdmissionOutcome::Refused, refusal(Reason::Overloaded, now) };
    }
    m_queue.push(item, now);
    return { AdmissionOutcome::Queued, {} };
}

void Admission::finish(std::uint64_t id, const RunResult& result, TimePoint now)
{
    auto it = m_running.find(id);
    if (it == m_running.end()) {
        return;
    }
    auto run = it->second;
    auto held = now - run.started;
    watchWarmUp(now);
    LimitSample sample { std::max(Duration(0), held - result.nestedTime), run.queueDelay, running(), result.outcome, held, m_warmUp.isLimiting(now) };
    m_running.erase(it);
    m_limit->onSample(sample, now);
    m_warmUp.onSample(sample, run.started, now);
    if (result.outcome == RunOutcome::Ok || result.outcome == RunOutcome::Timeout) {
        m_serviceTime.add(held, now);
    }
}

/// A server whose state was only unknown, for instance after a lost connection, was not cold and keeps its limit.
void Admission::watchWarmUp(TimePoint now)
{
    const auto isLimiting = m_warmUp.isLimiting(now);
    if (m_wasCold && !isLimiting) {
        beginColdStart(RampCause::WarmedUp, now);
    }
    m_wasCold = isLimiting && (m_wasCold || !m_warmUp.isUnknown());
}

void Admission::cancel(std::uint64_t id, TimePoint now)
{
    if (!m_queue.erase(id)) {
        finish(id, { RunOutcome::Cancelled, {} }, now);
    }
}

std::vector<std::uint64_t> Admission::removeAllQueued()
{
    std::vector<std::uint64_t> taken;
    for (const auto& waiting : m_queue.expire(TimePoint::max())) {
        taken.push_back(waiting.item.id);
    }
    return taken;
}

AdmissionWork Admission::poll(TimePoint now)
{
    watchWarmUp(now);
    m_polledAt = now;
    updateAdmissionFloor(now);
    AdmissionWork work;
    work.shed.swap(m_shed);
    auto needed = scaled(m_serviceTime.estimate(now), config::requiredServiceTimeShare);
    for (const auto& waiting : m_queue.expire(now + needed)) {
        recordShed(waiting.item.rank, now);
        work.shed.push_back({ waiting.item.id, refusal(Reason::Overloaded, now) });
    }
    while (canStart(now)) {
        auto next = m_queue.pop();
        if (!next) {
            break;
        }
        start(next->item, next->queuedAt, now);
        work.start.push_back(next->item.id);
    }
    updateQueueState(now);
    return work;
}

std::optional<TimePoint> Admission::nextWake() const
{
    if (!m_shed.empty()) {
        return TimePoint::min();
    }
    auto earliest = m_queue.earliestDeadline();
    if (!earliest) {
        return std::nullopt;
    }
    auto wake = *earliest - scaled(m_serviceTime.estimate(*earliest), config::requiredServiceTimeShare);
    if (auto token = nextToken(); token && running() < m_limit->current()) {
        wake = std::min(wake, *token);
    }
    return wake;
}

LoadHint Admission::loadHint(TimePoint now) const
{
    LoadHint hint { running(), queued(), m_limit->current(), m_floor, m_leaving };
    hint.requestsPerSecond = m_rate.limit();
    hint.warmUpRate = m_warmUp.rate(now).value_or(0);
    hint.offeredPerSecond = requestRate(now) ? m_offered.rate(now) : 0;
    return hint;
}

double Admission::capacity(TimePoint now) const
{
    const auto announced = m_limit->announced();
    const auto rate = requestRate(now);
    if (!rate) {
        return announced;
    }
    const auto busy = *rate * std::chrono::duration<double>(m_serviceTime.estimate(now)).count();
    return std::clamp(busy, 1.0, announced);
}

/// \returns the smaller of the rates that limit the requests to the backend server; empty if there is none.
std::optional<double> Admission::requestRate(TimePoint now) const
{
    const auto stated = m_rate.limit();
    const auto warmUp = m_warmUp.rate(now);
    return stated && warmUp ? std::min(stated, warmUp) : std::max(stated, warmUp);
}

/// \returns when both rates allow the next request; empty if there is no limit.
std::optional<TimePoint> Admission::nextToken() const
{
    return std::max(m_rate.nextToken(), m_warmUp.nextToken(m_polledAt));
}

Duration Admission::expectedNestedWait(TimePoint now) const
{
    return waitOfTurn(m_queue.size() - m_queue.roots(), now);
}

void Admission::setCapacity(std::uint32_t slots, std::uint32_t connections)
{
    m_limit->setCapacity(slots, connections);
}

bool Admission::beginColdStart(RampCause cause, TimePoint now)
{
    return m_limit->beginColdStart(cause, now);
}

void Admission::setLeaving(bool leaving)
{
    m_leaving = leaving;
}

void Admission::setWorkspaceWeights(std::map<std::string, double> rates)
{
    m_queue.setWeights(std::move(rates));
}

void Admission::start(const AdmissionItem& item, TimePoint queuedAt, TimePoint now)
{
    assert(!m_running.contains(item.id));
    m_rate.takeToken(now);
    m_warmUp.takeToken(now);
    m_running.emplace(item.id, Running { now, now - queuedAt });
    recordStart(item.rank, now);
}

bool Admission::canMeetDeadline(const AdmissionItem& item, Duration wait, TimePoint now) const
{
    auto needed = scaled(m_serviceTime.estimate(now), config::requiredServiceTimeShare);
    return now + wait + needed < item.deadline;
}

Duration Admission::expectedWait(const AdmissionItem& item, TimePoint now) const
{
    return waitOfTurn(m_queue.countAhead(item) + 1, now);
}

/// \returns the expected time until \p turn queued requests have started.
Duration Admission::waitOfTurn(std::size_t turn, TimePoint now) const
{
    const auto forSlot = scaled(m_serviceTime.estimate(now), static_cast<double>(turn) / m_limit->current());
    return std::max({ forSlot, m_rate.timeToSend(turn, now), m_warmUp.timeToSend(turn, now) });
}

bool Admission::canStart(TimePoint now) const
{
    return running() < m_limit->current() && m_rate.hasToken(now) && m_warmUp.hasToken(now);
}

bool Admission::evictForNewcomer(const AdmissionItem& item, TimePoint now)
{
    if (auto victim = m_queue.evictFor(item)) {
        recordShed(victim->item.rank, now);
        m_shed.push_back({ victim->item.id, refusal(Reason::Overloaded, now) });
        return true;
    }
    // A workspace that sends rarely may keep one request queued beyond the standing bound, so that it does not miss its turn.
    return !m_queue.isWaiting(item) && m_queue.roots() < queueCapacity(false, now);
}

std::size_t Admission::queueCapacity(bool standing, TimePoint now) const
{
    auto share = standing ? config::standingQueueRatio : config::burstQueueRatio;
    auto least = standing ? config::minStandingQueue : config::minBurstQueue;
    const auto bySlots = std::max(least, static_cast<std::size_t>(std::ceil(m_limit->current() * share)));
    const auto rate = requestRate(now);
    if (!rate) {
        return bySlots;
    }
    const std::chrono::duration<double> time = standing ? config::pacedStandingQueue : config::pacedBurstQueue;
    return static_cast<std::size_t>(std::min(*rate * time.count(), static_cast<double>(bySlots)));
}

void Admission::updateQueueState(TimePoint now)
{
    if (m_queue.size() == 0) {
        m_nonEmptySince.reset();
        m_hasStandingQueue = m_hasStandingQueue && now - m_lastShed < config::standingQueueRecovery;
        return;
    }
    m_nonEmptySince = m_nonEmptySince.value_or(now);
    m_hasStandingQueue = m_hasStandingQueue || now - *m_nonEmptySince > config::standingQueueInterval;
}

Refusal Admission::refusal(Reason reason, TimePoint now) const
{
    // Expected time in which the queue in front of a new request drains if no further requests arrive.
    auto rounded = std::chrono::ceil<std::chrono::milliseconds>(waitOfTurn(m_queue.size() + 1, now));
    return { Verdict::NotRun, reason, std::clamp(rounded, config::minRetryAfter, config::maxRetryAfter) };
}

void Admission::recordShed(const Rank& rank, TimePoint now)
{
    updateAdmissionFloor(now);
    m_lastShed = now;
    ++m_tally.at(static_cast<std::size_t>(importanceOf(rank))).shed;
}

void Admission::recordStart(const Rank& rank, TimePoint now)
{
    updateAdmissionFloor(now);
    ++m_tally.at(static_cast<std::size_t>(importanceOf(rank))).started;
}

void Admission::updateAdmissionFloor(TimePoint now)
{
    if (now - m_intervalBegan < config::admissionFloorInterval) {
        return;
    }
    m_intervalBegan = now;
    // The floor is the lowest importance of which a request was started or none was shed.
    auto admitted = [](const Tally& tally) { return tally.started > 0 || tally.shed == 0; };
    auto it = std::ranges::find_if(m_tally, admitted);
    auto top = static_cast<std::ptrdiff_t>(Importance::Count) - 1;
    m_floor = static_cast<Importance>(std::min(it - m_tally.begin(), top));
    m_tally.fill({});
}

} // namespace pw
