#pragma once

#include "core/token_bucket.h"
#include "core/types.h"

#include <cstddef>
#include <optional>

namespace pw {

/// Request rate limit that a backend server states in its answers, and the token bucket that keeps requests to it.
class BackendRate {
public:
    /// Takes over the limit stated in an answer; empty if the answer states none.
    /// \param sentAt when the request was sent that the answer belongs to.
    void learn(std::optional<double> requestsPerSecond, TimePoint sentAt, TimePoint now);

    /// Takes over the limit that was stated to another daemon, unless an answer has arrived here.
    void adopt(double requestsPerSecond, TimePoint now);

    /// Forgets what is known, for a new start of the backend server.
    void reset();

    /// \returns the limit in requests per second; empty if there is none.
    std::optional<double> limit() const { return m_limit; }

    /// \returns whether a request may be sent now.
    bool hasToken(TimePoint now) const;

    /// Takes the token of a request that is sent.
    void takeToken(TimePoint now);

    /// \returns the time until \p count more requests may have been sent; zero without a limit.
    Duration timeToSend(std::size_t count, TimePoint now) const;

    /// \returns when the next token is available; empty without a limit.
    std::optional<TimePoint> nextToken() const;

private:
    void setLimit(double requestsPerSecond, TimePoint now);

    std::optional<double> m_limit;
    bool m_known = false; ///< Whether a limit is stated is known, from an answer or from another daemon.
    TimePoint m_statedAt {}; ///< When a limit was last stated.
    TokenBucket m_bucket;
};

} // namespace pw
