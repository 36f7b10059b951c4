#include "core/backend_rate.h"

#include "config.h"

#include <algorithm>
#include <cassert>
#include <cmath>

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
    const auto wasLimited = m_limit.has_value();
    m_unconfirmed = false;
    if (!requestsPerSecond) {
        // An answer to an earlier request may have been composed before the limit was stated.
        if (sentAt >= m_statedAt) {
            m_limit.reset();
        }
        return;
    }
    m_tokens = wasLimited ? tokensAt(now) : 0;
    m_refilledAt = now;
    m_statedAt = now;
    m_limit = requestsPerSecond;
    m_tokens = std::min(m_tokens, bucketSize());
}

void BackendRate::beginUnconfirmed(TimePoint now)
{
    m_unconfirmed = true;
    m_refilledAt = now;
    m_tokens = bucketSize();
}

void BackendRate::reset()
{
    *this = {};
}

bool BackendRate::hasToken(TimePoint now) const
{
    return !isPaced() || tokensAt(now) >= 1 - tokenTolerance;
}

void BackendRate::takeToken(TimePoint now)
{
    if (isPaced()) {
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
    return isPaced() ? std::optional(m_refilledAt + fromSeconds(std::max(0.0, 1 - m_tokens) / pace())) : std::nullopt;
}

double BackendRate::pace() const
{
    return m_limit ? std::max(*m_limit, config::minBackendRate) : config::unconfirmedBackendRate;
}

double BackendRate::bucketSize() const
{
    return m_limit ? std::max(1.0, pace() * seconds(config::backendRateBurst)) : config::unconfirmedBackendBurst;
}

double BackendRate::tokensAt(TimePoint now) const
{
    return std::min(bucketSize(), m_tokens + pace() * seconds(now - m_refilledAt));
}

} // namespace pw
