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

    /// \returns the named level of a rank's route; ranks below the last level count as that.
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
    rollInterval(now);
    if (m_leaving) {
        return { AdmissionOutcome::Refused, { Verdict::NotRun, Reason::Leaving, config::minRetryAfter } };
    }
    if (item.deadline <= now) {
        return { AdmissionOutcome::Refused, { Verdict::NotRun, Reason::DeadlineExceeded, {} } };
    }
    auto free = running() < m_limit->current();
    if (free && m_queue.size() == 0) {
        // Nothing waits: the estimate may be wrong, so an idle slot is never left unused for it.
        m_queue.charge(item);
        start(item, now, now);
        return {};
    }
    if (!canFinish(item, expectedWait(item, now), now)) {
        noteShed(item.rank, now);
        return { AdmissionOutcome::Refused, refusal(Reason::Overloaded, now) };
    }
    if (!item.nested && m_queue.roots() >= queueBound(m_standing) && !makeRoom(item, now)) {
        noteShed(item.rank, now);
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
    LimitSample sample { std::max(Duration(0), held - result.nestedTime), run.queueDelay, running(), result.outcome };
    m_running.erase(it);
    m_limit->onSample(sample, now);
    if (result.outcome == RunOutcome::Ok || result.outcome == RunOutcome::Timeout) {
        m_serviceTime.add(held, now);
    }
}

void Admission::cancel(std::uint64_t id, TimePoint now)
{
    if (!m_queue.erase(id)) {
        finish(id, { RunOutcome::Cancelled, {} }, now);
    }
}

std::vector<std::uint64_t> Admission::takeQueued()
{
    std::vector<std::uint64_t> taken;
    for (const auto& waiting : m_queue.expire(TimePoint::max())) {
        taken.push_back(waiting.item.id);
    }
    return taken;
}

AdmissionWork Admission::poll(TimePoint now)
{
    rollInterval(now);
    AdmissionWork work;
    work.shed.swap(m_shed);
    auto needed = scaled(m_serviceTime.estimate(now), config::startServiceShare);
    for (const auto& waiting : m_queue.expire(now + needed)) {
        noteShed(waiting.item.rank, now);
        work.shed.push_back({ waiting.item.id, refusal(Reason::Overloaded, now) });
    }
    while (running() < m_limit->current()) {
        auto next = m_queue.pop();
        if (!next) {
            break;
        }
        start(next->item, next->since, now);
        work.start.push_back(next->item.id);
    }
    watchQueue(now);
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
    return *earliest - scaled(m_serviceTime.estimate(*earliest), config::startServiceShare);
}

LoadHint Admission::hint() const
{
    return { running(), queued(), m_limit->current(), m_floor, m_leaving };
}

Duration Admission::nestedWait(TimePoint now) const
{
    const auto nested = static_cast<double>(m_queue.size() - m_queue.roots());
    return scaled(m_serviceTime.estimate(now), nested / m_limit->current());
}

void Admission::setCapacity(std::uint32_t slots, std::uint32_t connections)
{
    m_limit->setCapacity(slots, connections);
}

void Admission::beginColdStart()
{
    m_limit->beginColdStart();
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
    m_running.emplace(item.id, Running { now, now - queuedAt });
    noteStarted(item.rank, now);
}

bool Admission::canFinish(const AdmissionItem& item, Duration wait, TimePoint now) const
{
    auto needed = scaled(m_serviceTime.estimate(now), config::startServiceShare);
    return now + wait + needed < item.deadline;
}

Duration Admission::expectedWait(const AdmissionItem& item, TimePoint now) const
{
    auto turns = static_cast<double>(m_queue.ahead(item) + 1) / m_limit->current();
    return scaled(m_serviceTime.estimate(now), turns);
}

bool Admission::makeRoom(const AdmissionItem& item, TimePoint now)
{
    if (auto victim = m_queue.displace(item)) {
        noteShed(victim->item.rank, now);
        m_shed.push_back({ victim->item.id, refusal(Reason::Overloaded, now) });
        return true;
    }
    // A workspace that sends seldom needs one request waiting to be there when its turn comes.
    return !m_queue.waits(item) && m_queue.roots() < queueBound(false);
}

std::size_t Admission::queueBound(bool standing) const
{
    auto share = standing ? config::standingQueueShare : config::queueLimitShare;
    auto least = standing ? config::minStandingQueue : config::minQueueBound;
    return std::max(least, static_cast<std::size_t>(std::ceil(m_limit->current() * share)));
}

void Admission::watchQueue(TimePoint now)
{
    if (m_queue.size() == 0) {
        m_waitingSince.reset();
        m_standing = m_standing && now - m_lastShed < config::standingQueueMemory;
        return;
    }
    m_waitingSince = m_waitingSince.value_or(now);
    m_standing = m_standing || now - *m_waitingSince > config::standingQueueInterval;
}

Refusal Admission::refusal(Reason reason, TimePoint now) const
{
    // The queue in front of a new request drains in this time, if nothing else comes.
    auto drain = scaled(m_serviceTime.estimate(now), static_cast<double>(m_queue.size() + 1) / m_limit->current());
    auto rounded = std::chrono::ceil<std::chrono::milliseconds>(drain);
    return { Verdict::NotRun, reason, std::clamp(rounded, config::minRetryAfter, config::maxRetryAfter) };
}

void Admission::noteShed(const Rank& rank, TimePoint now)
{
    rollInterval(now);
    m_lastShed = now;
    ++m_tally.at(static_cast<std::size_t>(importanceOf(rank))).shed;
}

void Admission::noteStarted(const Rank& rank, TimePoint now)
{
    rollInterval(now);
    ++m_tally.at(static_cast<std::size_t>(importanceOf(rank))).started;
}

void Admission::rollInterval(TimePoint now)
{
    if (now - m_intervalBegan < config::admissionInterval) {
        return;
    }
    m_intervalBegan = now;
    // The floor is the lowest importance of which something was started, or nothing had to be shed.
    auto admitted = [](const Tally& tally) { return tally.started > 0 || tally.shed == 0; };
    auto it = std::ranges::find_if(m_tally, admitted);
    auto top = static_cast<std::ptrdiff_t>(Importance::Count) - 1;
    m_floor = static_cast<Importance>(std::min(it - m_tally.begin(), top));
    m_tally.fill({});
}

} // namespace pw
