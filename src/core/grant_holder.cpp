#include "core/grant_holder.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace pw {
namespace {

    /// Requests in the time in which the whole burst accrues.
    constexpr double reportsPerBurst = 3;
    /// Requests in the lifetime of a grant, so that most of the lifetime is left if the owner becomes unresponsive.
    constexpr int renewalsPerLifetime = 3;

} // namespace

GrantHolder::GrantHolder(const GrantTimes& times)
    : m_times(times)
    , m_reportInterval(times.reportInterval)
    , m_demand(times.demandWindow)
{
}

void GrantHolder::configure(double rate, double burst)
{
    const auto accrual = rate > 0 ? burst / rate : 1;
    const std::chrono::duration<double> interval(std::min(accrual / reportsPerBurst, 1.0));
    m_reportInterval = std::clamp(std::chrono::duration_cast<Duration>(interval), m_times.requestSpacing, m_times.reportInterval);
}

bool GrantHolder::takeToken(TimePoint now)
{
    auto& series = m_previous.held(now) ? m_previous : m_current;
    if (!series.held(now)) {
        return false;
    }
    ++series.spent;
    return true;
}

std::uint64_t GrantHolder::held(TimePoint now) const
{
    return m_previous.held(now) + m_current.held(now);
}

/// \returns the number of tokens to hold for the expected demand.
std::uint64_t GrantHolder::targetTokens(TimePoint now) const
{
    const std::chrono::duration<double> horizon = m_times.horizon;
    const auto expected = m_demand.rate(now) * horizon.count();
    return static_cast<std::uint64_t>(m_scarce ? std::floor(expected) : std::round(expected));
}

/// \returns whether to prefetch tokens: fewer than three quarters of \p want are held, or, if the last reply left fewer than
///     that, fewer than half of what it left.
bool GrantHolder::isLow(std::uint64_t held, std::uint64_t want) const
{
    const bool couldHold = m_heldAtReply * 4 >= want * 3;
    return couldHold ? held * 4 < want * 3 : held * 2 < m_heldAtReply;
}

std::optional<TimePoint> GrantHolder::requestDue(TimePoint now, std::uint32_t waiting) const
{
    if (m_unanswered) {
        return m_requestTime + m_times.requestRetry;
    }
    const auto held = m_current.held(now);
    const auto want = targetTokens(now);
    if (waiting > m_waitingReported) {
        // The owner grants to waiting daemons in turn, so a higher number of waiting requests is not urgent.
        return m_requestTime + (m_waitingReported ? m_times.prefetchSpacing : m_times.requestSpacing);
    }
    if (isLow(held, want) && !m_scarce) {
        return m_requestTime + m_times.prefetchSpacing;
    }
    const bool renewable = held || want || waiting;
    const auto renewal = m_requestTime + m_times.lifetime / renewalsPerLifetime;
    if (m_current.spent > m_spentReported || isLow(held, want) || waiting) {
        return std::min(m_requestTime + m_reportInterval, renewal);
    }
    return renewable ? std::optional(renewal) : std::nullopt;
}

GrantRequest GrantHolder::makeRequest(std::uint64_t sequence, std::uint32_t waiting, TimePoint now)
{
    assert(sequence > m_lastSequence);
    const auto held = m_current.held(now);
    const auto want = std::max<std::uint64_t>(targetTokens(now), waiting);
    // Expired tokens are returned, and so are tokens beyond the demand, for other daemons.
    const auto keep = held > want * 2 ? want : held;
    m_current.granted = m_current.spent + keep;
    m_lastSequence = sequence;
    m_requestTime = now;
    m_unanswered = true;
    m_waitingReported = waiting;
    m_spentReported = m_current.spent;

    GrantRequest request;
    request.sequence = sequence;
    request.generation = m_current.generation;
    request.granted = m_current.granted;
    request.spent = m_current.spent;
    request.want = static_cast<std::uint32_t>(std::min<std::uint64_t>(want, UINT32_MAX));
    request.waiting = waiting;
    return request;
}

GrantRequest GrantHolder::makeReturnRequest(std::uint64_t sequence, TimePoint now)
{
    m_current.granted = m_current.spent;
    auto result = makeRequest(sequence, 0, now);
    result.want = 0;
    m_unanswered = false;
    m_returned = true;
    return result;
}

void GrantHolder::applyReply(const GrantReply& reply, TimePoint now)
{
    if (m_returned || reply.sequence != m_lastSequence) {
        return;
    }
    if (reply.generation != m_current.generation) {
        if (!m_unanswered) {
            // A late reply of an earlier owner to the same request; the counters of its series are gone.
            return;
        }
        if (m_current.held(now)) {
            m_previous = m_current;
        }
        m_current = { reply.generation, 0, 0, {} };
        m_spentReported = 0;
    }
    const auto added = reply.granted - std::min(m_current.granted, reply.granted);
    m_current.granted += added;
    m_waitingReported -= static_cast<std::uint32_t>(std::min<std::uint64_t>(m_waitingReported, added));
    m_current.expiry = m_requestTime + m_times.lifetime;
    m_heldAtReply = m_current.held(now);
    m_unanswered = false;
    m_scarce = reply.scarce;
    m_wait = reply.wait;
}

bool GrantHolder::idle(TimePoint now) const
{
    return now >= m_current.expiry && now >= m_previous.expiry && !m_unanswered && !targetTokens(now);
}

} // namespace pw
