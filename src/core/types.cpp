#include "core/types.h"

#include <array>
#include <ctime>

namespace pw {
namespace {

    constexpr std::array<ReasonInfo, static_cast<std::size_t>(Reason::Count)> reasonTable { {
        { "none", 200 },
        { "malformed", 400 },
        { "too-large", 413 },
        { "no-route", 404 },
        { "route-not-allowed", 403 },
        { "unknown-key", 401 },
        { "no-configuration", 503 },
        { "keys-not-valid", 503 },
        { "rate-exceeded", 429 },
        { "overloaded", 503 },
        { "downstream-overloaded", 503 },
        { "no-backend-server", 503 },
        { "leaving", 503 },
        { "deadline-exceeded", 504 },
        { "budget-exhausted", 503 },
        { "bad-token", 403 },
        { "too-deep", 403 },
        { "unreachable", 502 },
        { "backend-failed", 502 },
        { "backend-refused", 503 },
        { "wrong-server", 503 },
        { "cancelled", 499 },
        { "duplicate-running", 409 },
        { "duplicate-unknown", 409 },
        { "claim-unavailable", 503 },
        { "evacuated", 503 },
        { "too-late", 503 },
        { "route-failing", 503 },
        { "backend-crashed", 502 },
        { "quarantined", 503 },
    } };

    constexpr std::array<std::string_view, static_cast<std::size_t>(Verdict::Count)> verdictNames {
        "not-run", "may-have-run", "ran"
    };

} // namespace

MonotonicClock::time_point MonotonicClock::now() noexcept
{
    timespec time {};
    clock_gettime(CLOCK_BOOTTIME, &time);
    return time_point(std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec));
}

const ReasonInfo& reasonInfo(Reason reason)
{
    return reasonTable.at(static_cast<std::size_t>(reason));
}

std::string_view verdictName(Verdict verdict)
{
    return verdictNames.at(static_cast<std::size_t>(verdict));
}

} // namespace pw
