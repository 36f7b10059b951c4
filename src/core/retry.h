#pragma once

#include "config.h"
#include "core/types.h"
#include "ports/random.h"

#include <cstdint>
#include <optional>

namespace pw {

/// A failed attempt and the remaining budget and time for another one.
struct FailedAttempt {
    Refusal last; ///< Why the attempt failed.
    bool idempotent = false;
    std::uint32_t attemptsLeft = 0; ///< Part of the root's attempt budget that this daemon holds.
    Duration timeLeft { 0 }; ///< Time until the root's deadline.
    std::uint32_t tries = 1; ///< Attempts already made at this hop.
};

/// Decides whether the daemon that sent a failed call retries it. All retries of this daemon are bounded by a ratio of its
/// complete answers; those of one request by the root's attempt budget and deadline.
class RetryPolicy {
public:
    /// Records a complete answer, which earns config::retryTokensPerSuccess.
    void onSuccess();

    /// Decides on a retry and, if it is allowed, takes its cost from the retry tokens.
    /// \returns the backoff before the next attempt, or nothing if the call must not be retried.
    std::optional<Duration> next(const FailedAttempt& question, Random& random);

    /// \returns the available retry tokens.
    double tokens() const { return m_tokens; }

private:
    double m_tokens = config::initialRetryTokens;
};

/// \returns whether another attempt, later or at another server, can succeed after one that failed with \p reason.
bool isRetryableReason(Reason reason);

} // namespace pw
