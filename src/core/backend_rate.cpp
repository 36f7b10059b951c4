#include "core/backend_rate.h"

#include "config.h"

#include <algorithm>
#include <utility>

namespace pw {

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
    if (m_limit) {
        m_bucket.refill(now);
    } else {
        m_bucket = TokenBucket(now);
    }
    m_statedAt = now;
    m_limit = requestsPerSecond;
    const auto pace = std::max(requestsPerSecond, config::minBackendRate);
    m_bucket.configure(pace, std::max(1.0, pace * std::chrono::duration<double>(config::backendRateBurst).count()));
}

void BackendRate::reset()
{
    *this = {};
}

bool BackendRate::hasToken(TimePoint now) const
{
    return !m_limit || m_bucket.hasToken(now);
}

void BackendRate::takeToken(TimePoint now)
{
    if (m_limit) {
        m_bucket.take(now);
    }
}

Duration BackendRate::timeToSend(std::size_t count, TimePoint now) const
{
    return m_limit ? m_bucket.timeToTake(count, now) : Duration::zero();
}

std::optional<TimePoint> BackendRate::nextToken() const
{
    return m_limit ? std::optional(m_bucket.nextToken()) : std::nullopt;
}

} // namespace pw
