#include "core/retry.h"

#include "config.h"

#include <algorithm>
#include <array>

namespace pw {
namespace {

    constexpr std::array retryableReasons {
        Reason::Overloaded,
        Reason::NoBackendServer,
        Reason::Leaving,
        Reason::Unreachable,
        Reason::BackendFailed,
        Reason::BackendRefused,
        Reason::WrongServer,
        Reason::BackendCrashed,
        Reason::Evacuated,
    };

    Duration backoff(const FailedAttempt& question, Random& random)
    {
        auto doublings = std::min(question.tries - 1, 10U);
        auto longest = std::min<Duration>(config::minRetryBackoff * (1U << doublings), config::maxRetryBackoff);
        return std::chrono::duration_cast<Duration>(longest * (0.5 + 0.5 * uniform(random)));
    }

} // namespace

bool isRetryableReason(Reason reason)
{
    return std::ranges::find(retryableReasons, reason) != retryableReasons.end();
}

void RetryPolicy::onSuccess()
{
    m_tokens = std::min(config::maxRetryTokens, m_tokens + config::retryTokensPerSuccess);
}

std::optional<Duration> RetryPolicy::next(const FailedAttempt& question, Random& random)
{
    // An overloaded service will probably refuse again, so such a retry costs more and most tokens remain for failures.
    auto cost = question.last.reason == Reason::Overloaded ? config::overloadedRetryCost : 1.0;
    auto safe = question.last.verdict == Verdict::NotRun || question.idempotent;
    auto allowed = question.attemptsLeft > 0 && question.tries < config::maxTriesPerHop;
    if (!safe || !allowed || m_tokens < cost || !isRetryableReason(question.last.reason)) {
        return std::nullopt;
    }
    auto wait = backoff(question, random);
    if (wait > question.timeLeft * config::maxBackoffShare) {
        return std::nullopt;
    }
    m_tokens -= cost;
    return wait;
}

} // namespace pw
