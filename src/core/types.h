#pragma once

#include "pistachiowheel/pistachiowheel.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>

namespace pw {

/// The only clock of the decision code: steps of the wall clock do not matter to it, and it goes on while the VM is
/// suspended, so that a lease is over after a suspension that outlasted it.
struct MonotonicClock {
    using duration = std::chrono::nanoseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<MonotonicClock>;
    static constexpr bool is_steady = true; // NOLINT(readability-identifier-naming): required of a clock

    static time_point now() noexcept;
};
using TimePoint = MonotonicClock::time_point;
using Duration = MonotonicClock::duration;

/// Says whether a request may have run at a backend server.
enum class Verdict : std::uint8_t {
    NotRun, ///< No byte reached a backend server, or the backend server itself said so.
    MayHaveRun, ///< It cannot be known.
    Ran, ///< The backend server answered.
    Count
};

/// Why a request was refused or failed.
enum class Reason : std::uint8_t {
    None,
    Malformed,
    TooLarge,
    NoRoute,
    RouteNotAllowed,
    UnknownKey,
    NoConfiguration, ///< This daemon does not know any configuration yet.
    KeysNotValid, ///< This daemon's validity lease has lapsed, it may not judge keys.
    RateExceeded,
    Overloaded, ///< The server-side daemon shed the request.
    DownstreamOverloaded, ///< A service further down the route's chain is saturated.
    NoBackendServer,
    Leaving, ///< The backend server or its daemon is leaving.
    DeadlineExceeded,
    BudgetExhausted, ///< The attempt budget of the root request is spent.
    BadToken, ///< A context token that is forged, replayed or expired.
    TooDeep,
    Unreachable, ///< The daemon beside the backend server could not be reached.
    BackendFailed, ///< The backend server closed, truncated or mis-framed its answer.
    BackendRefused, ///< The backend server said that it did not run the request.
    WrongServer, ///< Another backend server answered at the address; it did not run the request.
    Cancelled,
    DuplicateRunning, ///< A request with the same id is running.
    DuplicateUnknown, ///< A request with the same id was started, its outcome is not known.
    ClaimUnavailable, ///< No quorum could be asked whether the request id is new.
    Count
};

/// Row of the reason table.
struct ReasonInfo {
    std::string_view name; ///< Stable code shown to callers.
    int http_status; ///< Status of an answer that carries it.
};

/// \returns the code and the HTTP status of \p reason.
const ReasonInfo& reasonInfo(Reason reason);

/// \returns the stable name of \p verdict, as callers see it.
std::string_view verdictName(Verdict verdict);

/// How a request or an attempt ended without a whole answer.
struct Refusal {
    Verdict verdict = Verdict::NotRun;
    Reason reason = Reason::None;
    std::chrono::milliseconds retryAfter { 0 }; ///< Zero when asking again is no use.
};

} // namespace pw
