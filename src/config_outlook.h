#pragma once

#include <chrono>
#include <cstddef>

/// Constants of core/route_outlook, apart from config.h because of its length.
namespace pw::config {

using std::chrono::milliseconds;

/// Results kept for each route, and the age up to which they count. While the admitted share is lowered, older ones count as
/// well, because few requests are started.
inline constexpr std::size_t outlookResults = 32;
inline constexpr milliseconds outlookWindow { 2000 };
inline constexpr milliseconds outlookLoweredWindow { 10000 };
/// Results below which nothing is decided, and results that decide while the admitted share is lowered.
inline constexpr std::size_t minOutlookResults = 8;
/// Share of failures above which the admitted share is lowered. A failed idempotent request can be repeated, so that it
/// is refused only where that would most likely fail too.
inline constexpr double failingShare = 0.5;
inline constexpr double failingShareIdempotent = 0.8;
/// Standard deviations by which the failures must exceed this share of the results. Without them, failures of three requests
/// in ten would now and then pass for a failing route: more than half of eight results fail in 6% of the cases. It takes at
/// least seven failures in eight results, or 17 failures where requests are idempotent.
inline constexpr double failingConfidence = 2.0;
/// Factor of the admitted share for each further failure.
inline constexpr double outlookDecrease = 0.5;
/// Lowest admitted share, and longest time without a started request while requests arrive: the tests that show when the
/// route works again.
inline constexpr double minOutlookShare = 0.05;
inline constexpr milliseconds outlookTestInterval { 500 };
/// Consecutive successes after which the route works again.
inline constexpr std::size_t outlookSuccesses = 2;
/// Refused share for each unit of the odds of failure (failures per success). A route that fails half of its requests still
/// serves the other half, which refusals would lose; they gain only the requests that are repeated after the trouble.
inline constexpr double refusedSharePerOdds = 0.2;
/// Bounds of Retry-After of a refusal because of failures, and its jitter. In between it equals the time for which the
/// route has been failing: trouble that has lasted long is likely to go on for longer.
inline constexpr milliseconds minFailingRetryAfter { 300 };
inline constexpr milliseconds maxFailingRetryAfter { 2000 };
inline constexpr double failingRetryJitter = 0.1;
/// Weight of a response in the usual response time of a route.
inline constexpr double usualResponseTimeWeight = 0.1;
/// Minimum time between two log lines on one route.
inline constexpr milliseconds outlookLogInterval { 1000 };

} // namespace pw::config
