#pragma once

#include "pistachiowheel/pistachiowheel.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>

namespace pw {

/// Clock used for all decisions. It is unaffected by steps of the wall clock and keeps running while the VM is suspended,
/// so that a lease which expires during a suspension has expired when the VM resumes.
struct MonotonicClock {
    using duration = std::chrono::nanoseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<MonotonicClock>;
    static constexpr bool is_steady = true; // NOLINT(readability-identifier-naming): required by the Clock requirements

    static time_point now() noexcept;
};
using TimePoint = MonotonicClock::time_point;
using Duration = MonotonicClock::duration;

/// Whether a request may have run at a backend server.
enum class Verdict : std::uint8_t {
    NotRun, ///< No byte of the request reached a backend server, or the backend server reported that it did not run it.
    MayHaveRun, ///< Not known.
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
    NoConfiguration, ///< This daemon has not received a configuration yet.
    KeysNotValid, ///< This daemon's validity lease has expired, so it must not validate keys.
    RateExceeded,
    Overloaded, ///< The server-side daemon shed the request.
    DownstreamOverloaded, ///< A service that requests of the route call, directly or indirectly, is saturated.
    NoBackendServer,
    Leaving, ///< The backend server or its daemon is shutting down.
    DeadlineExceeded,
    BudgetExhausted, ///< The attempt budget of the root request is exhausted.
    BadToken, ///< The context token is forged, replayed or expired.
    TooDeep,
    Unreachable, ///< The daemon beside the backend server is unreachable.
    BackendFailed, ///< The backend server closed the connection or sent a truncated or malformed answer.
    BackendRefused, ///< The backend server reported that it did not run the request.
    WrongServer, ///< A different backend server answered at the address; it did not run the request.
    Cancelled,
    DuplicateRunning, ///< A request with the same id is still running.
    DuplicateUnknown, ///< A request with the same id was started; its outcome is unknown.
    ClaimUnavailable, ///< No quorum was available to confirm that the request id is new.
    Evacuated, ///< The failure domain of the backend server is evacuated.
    TooLate, ///< Responses of the route take longer than the time left until the request's deadline.
    RouteFailing, ///< Most recent requests of the route failed at the backend server.
    BackendCrashed, ///< The backend server ended while it ran the request.
    Quarantined, ///< The request has crashed the backend servers that ran it.
    Count
};

/// External representation of a Reason.
struct ReasonInfo {
    std::string_view name; ///< Stable error code sent to callers.
    int http_status; ///< HTTP status of an answer with this reason.
};

/// \returns the code and the HTTP status of \p reason.
const ReasonInfo& reasonInfo(Reason reason);

/// \returns the stable name of \p verdict that is sent to callers.
std::string_view verdictName(Verdict verdict);

/// Why a request or an attempt ended without a complete answer.
struct Refusal {
    Verdict verdict = Verdict::NotRun;
    Reason reason = Reason::None;
    std::chrono::milliseconds retryAfter { 0 }; ///< Zero if retrying cannot succeed.
};

} // namespace pw
