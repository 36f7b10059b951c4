#pragma once

#include "config.h"

/// Constants of the selection of backend servers by expected completion.
namespace pw::config {

/// Weight of a run in the average work time of its route at a backend server, and the time without complete responses of the
/// route after which the average is no longer reported: an old one would tell of a slow phase that has ended.
inline constexpr double workTimeWeight = 0.1;
inline constexpr milliseconds workTimeSilence { 2000 };
/// Routes for which the work time at one backend server is kept.
inline constexpr std::size_t maxWorkTimeRoutes = 64;
/// Random servers of which the one with the earliest expected completion is picked.
inline constexpr std::size_t completionChoices = 2;
/// Age from which a reported work time is ignored. An entry daemon hears of each of 43 servers every few seconds.
inline constexpr milliseconds workTimeLifetime { 10000 };
/// Work time added at a full server, relative to the work time: its own slowdown near full slots, the wait for a slot, and the
/// risk that it refuses the call. Counts in proportion from loadedThreshold on.
inline constexpr double fullServerPenalty = 4.0;
/// Ratio of the age of the oldest unanswered call to its usual response time from which a server counts as stalled.
inline constexpr double stalledCallRatio = 3.0;
/// Least and relative time by which a farther server's expected completion must be earlier than that of a nearer one: the
/// difference of the network latency in both directions, and the error of the estimates.
inline constexpr milliseconds distanceMargin { 2 };
inline constexpr double distanceMarginShare = 0.25;

} // namespace pw::config
