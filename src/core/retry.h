#pragma once

#include "config.h"
#include "core/types.h"
#include "ports/random.h"

#include <cstdint>
#include <optional>

namespace pw {

/// A failed attempt and what is left to try again with.
struct RetryQuestion {
    Refusal last; ///< How the attempt ended.
    bool idempotent = false;
    std::uint32_t attemptsLeft = 0; ///< Of the root's budget, as this daemon holds it.
    Duration timeLeft { 0 }; ///< Until the root's deadline.
    std::uint32_t tries = 1; ///< Attempts already made at this hop.
};

/// Decides whether the daemon nearest a failed hop tries again. Retries of this daemon are bounded by a ratio of its
/// whole answers, those of one request by the root's attempt budget and deadline.
class RetryPolicy {
public:
    /// Earns a share of a retry.
    void onWhole();

    /// \returns the backoff before the next attempt, or nothing when there must be none. A retry is paid for here.
    std::optional<Duration> next(const RetryQuestion& question, Random& random);

    /// \returns retries that could be paid for now.
    double tokens() const { return m_tokens; }

private:
    double m_tokens = config::initialRetryTokens;
};

/// \returns whether another attempt, at another server or later, can end better than one that ended with \p reason.
bool retryCanHelp(Reason reason);

} // namespace pw
