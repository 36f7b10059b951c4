#include "core/token_bucket.h"

#include <algorithm>

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

void TokenBucket::configure(double rate, double size)
{
    m_rate = rate;
    m_size = size;
    m_tokens = std::min(m_tokens, m_size);
}

void TokenBucket::refill(TimePoint now)
{
    m_tokens = tokensAt(now);
    m_refilledAt = now;
}

void TokenBucket::clear(TimePoint now)
{
    m_tokens = std::min(0.0, tokensAt(now));
    m_refilledAt = now;
}

bool TokenBucket::hasToken(TimePoint now) const
{
    return tokensAt(now) >= 1 - tokenTolerance;
}

void TokenBucket::take(TimePoint now, double lowest)
{
    m_tokens = std::max(lowest, tokensAt(now) - 1);
    m_refilledAt = now;
}

Duration TokenBucket::timeToTake(std::size_t count, TimePoint now) const
{
    return fromSeconds(std::max(0.0, static_cast<double>(count) - tokensAt(now)) / m_rate);
}

TimePoint TokenBucket::nextToken() const
{
    return m_refilledAt + fromSeconds(std::max(0.0, 1 - m_tokens) / m_rate);
}

double TokenBucket::tokensAt(TimePoint now) const
{
    return std::min(m_size, m_tokens + m_rate * seconds(now - m_refilledAt));
}

} // namespace pw
