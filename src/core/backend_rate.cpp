#include "core/backend_rate.h"

#include "config.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace pw {
namespace {

    /// Tolerance of a comparison of tokens, for rounding errors.
    constexpr double tokenTolerance = 1e-6;

    double seconds(Duration time)
    {
        return std::chrono::duration<double>(time).count();
    }

    Duration fromSeconds(double time)
    {
        return std::chrono::ceil<Duration>(std::chrono::duration<double>(time));
    }

} // namespace

void BackendRate::learn(std::optional<double> requestsPerSecond, TimePoint sentAt, TimePoint now)
{
    m_known = true;
    if (requestsPerSecond) {
        setLimit(*requestsPerSecond, now);
    } else if (sentAt >= m_statedAt) {
        // An answer to an earlier request may have been composed before the limit was stated.
        m_limit.reset();
    }
}

void BackendRate::adopt(double requestsPerSecond, TimePoint now)
{
    if (!std::exchange(m_known, true)) {
        setLimit(requestsPerSecond, now);
    }
}

void BackendRate::setLimit(double requestsPerSecond, TimePoint now)
{
    m_tokens = m_limit ? tokensAt(now) : 0;
    m_refilledAt = now;
    m_statedAt = now;
    m_limit = requestsPerSecond;
    m_tokens = std::min(m_tokens, bucketSize());
}

void BackendRate::reset()
{
    *this = {};
}

bool BackendRate::hasToken(TimePoint now) const
{
    return !m_limit || tokensAt(now) >= 1 - tokenTolerance;
}

void BackendRate::takeToken(TimePoint now)
{
    if (m_limit) {
        m_tokens = std::max(0.0, tokensAt(now) - 1);
        m_refilledAt = now;
    }
}

Duration BackendRate::timeToSend(std::size_t count, TimePoint now) const
{
    if (!m_limit) {
        return Duration::zero();
    }
    return fromSeconds(std::max(0.0, static_cast<double>(count) - tokensAt(now)) / pace());
}

std::optional<TimePoint> BackendRate::nextToken() const
{
    return m_limit ? std::optional(m_refilledAt + fromSeconds(std::max(0.0, 1 - m_tokens) / pace())) : std::nullopt;
}

double BackendRate::pace() const
{
    return std::max(*m_limit, config::minBackendRate);
}

double BackendRate::bucketSize() const
{
    return std::max(1.0, pace() * seconds(config::backendRateBurst));
}

double BackendRate::tokensAt(TimePoint now) const
{
    return std::min(bucketSize(), m_tokens + pace() * seconds(now - m_refilledAt));
}

} // namespace pw
