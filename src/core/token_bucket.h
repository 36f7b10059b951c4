#pragma once

#include "core/types.h"

#include <cstddef>

namespace pw {

/// Token bucket that starts empty and refills at a constant rate up to its size.
class TokenBucket {
public:
    explicit TokenBucket(TimePoint now = {})
        : m_refilledAt(now)
    {
    }

    /// Sets the refill rate in tokens per second, which must be positive, and the size, since the last call of refill(),
    /// clear() or take(). Tokens beyond the size are lost.
    void configure(double rate, double size);

    /// Adds the tokens gained until \p now.
    void refill(TimePoint now);

    /// Removes all tokens; keeps the deficit of tokens that were taken in advance.
    void clear(TimePoint now);

    /// \returns whether a whole token is available.
    bool hasToken(TimePoint now) const;

    /// Takes a token.
    /// \param lowest lowest level to which the bucket may fall; if negative, a token can be taken before it is available.
    void take(TimePoint now, double lowest = 0);

    /// \returns the time until \p count tokens may have been taken.
    Duration timeToTake(std::size_t count, TimePoint now) const;

    /// \returns when a whole token is available.
    TimePoint nextToken() const;

    /// \returns the tokens held at \p now.
    double tokensAt(TimePoint now) const;

private:
    double m_rate = 1;
    double m_size = 1;
    double m_tokens = 0; ///< At m_refilledAt.
    TimePoint m_refilledAt;
};

} // namespace pw
