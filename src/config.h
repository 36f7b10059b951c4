#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>

/// Compile-time limits and defaults, each with its unit in its type or its name.
namespace pw::config {

using std::chrono::milliseconds;

/// Largest body of a request or an answer, in bytes.
inline constexpr std::size_t maxBodyBytes = 1024 * 1024;
/// Largest header block of one HTTP message, in bytes.
inline constexpr std::size_t maxHeaderBytes = 16 * 1024;
/// Largest frame between two daemons, in bytes.
inline constexpr std::size_t maxFrameBytes = 4 * 1024 * 1024;
/// Unsent bytes on one link between daemons above which new messages are dropped.
inline constexpr std::size_t maxLinkBacklogBytes = 16 * 1024 * 1024;
/// Concurrent caller connections of one daemon.
inline constexpr std::size_t maxCallerConnections = 4096;
/// Time a caller has to send a whole request, and an idle connection stays open.
inline constexpr milliseconds callerIdleTimeout { 30000 };
/// Time to connect to another daemon and to prove the fleet's secret.
inline constexpr milliseconds linkHandshakeTimeout { 1000 };
/// Idle time after which a link between daemons is closed.
inline constexpr milliseconds linkIdleTimeout { 30000 };
/// Time to connect to the backend server beside a daemon.
inline constexpr milliseconds backendConnectTimeout { 500 };
/// Deadline of a route that names none.
inline constexpr milliseconds defaultRouteDeadline { 2000 };
/// Longest deadline a caller may ask for.
inline constexpr milliseconds maxDeadline { 60000 };
/// Attempts of a root request, nested calls included, that a route allows when it names none.
inline constexpr std::uint32_t defaultAttemptBudget = 16;
/// Deepest chain of nested calls.
inline constexpr std::uint8_t maxCallDepth = 16;
/// Longest caller request id, in bytes.
inline constexpr std::size_t maxRequestIdBytes = 128;

/// Share of the announced slots at which a new backend server's limit begins.
inline constexpr double coldStartShare = 0.125;
/// Share of a limit that must be in use before a sample may raise it.
inline constexpr double limitInUseShare = 0.8;
/// Factor by which a limit falls when its strategy backs off.
inline constexpr double limitDecrease = 0.9;
/// Service time over the best or the long-term one above which latency strategies back off.
inline constexpr int limitLatencyTolerance = 2;
/// Window in which the best service time is looked for.
inline constexpr milliseconds limitBaselineWindow { 10000 };
/// Weights of a new sample in the gradient strategy's averages.
inline constexpr double gradientRecentWeight = 0.1;
inline constexpr double gradientLongTermWeight = 0.002;
/// Factor by which the gradient strategy's long-term average falls while it is far above the recent one.
inline constexpr double gradientFall = 0.95;
/// Share of the way to its target that the gradient strategy goes in one round of its limit.
inline constexpr double gradientSmoothing = 0.5;
/// Growth of the delay strategy's limit in one round of answers, as a share of the announced slots.
inline constexpr double delayLimitGrowth = 0.05;
/// Shortest time between two decreases of the delay strategy's limit.
inline constexpr milliseconds delayLimitInterval { 100 };
/// Weight of a new sample in the average service time.
inline constexpr double serviceTimeWeight = 0.1;
/// Silence after which an estimate of the service time begins to fade, and the time in which it halves.
inline constexpr milliseconds serviceTimeHalfLife { 250 };
/// Share of the expected service time that must be left before the deadline for a request to start.
inline constexpr double startServiceShare = 1.0;
/// Waiting requests for each one that may run.
inline constexpr double queueLimitShare = 1.0;
/// Waiting requests that are always allowed, however low the limit.
inline constexpr std::size_t minQueueBound = 8;
/// Time for which a queue may stay without being empty before it counts as a standing one.
inline constexpr milliseconds standingQueueInterval { 100 };
/// Time without shedding after which a queue that is empty counts as a burst's again.
inline constexpr milliseconds standingQueueMemory { 500 };
/// Waiting requests in a standing queue, for each one that may run, and at least.
inline constexpr double standingQueueShare = 0.125;
inline constexpr std::size_t minStandingQueue = 2;
/// Interval over which the admission floor is judged.
inline constexpr milliseconds admissionInterval { 100 };
/// Bounds of the time after which a refused caller is told to ask again.
inline constexpr milliseconds minRetryAfter { 50 };
inline constexpr milliseconds maxRetryAfter { 5000 };
/// Requests that a workspace can be behind its turn at most.
inline constexpr double maxFairDebt = 4.0;
/// Workspaces whose virtual time is remembered by one queue.
inline constexpr std::size_t maxRememberedWorkspaces = 4096;

/// Interval of the downstream gate's counters.
inline constexpr milliseconds gateInterval { 100 };
/// Part of the downstream gate's counts that is kept at the end of an interval.
inline constexpr double gateDecay = 0.7;
/// Requests let through for each one that a shedding downstream service takes, and besides in each memory of the counts.
inline constexpr double gateProbe = 1.05;
inline constexpr double gateProbeFloor = 0.5;
/// Share of shed requests up to which nothing is held back.
inline constexpr double gateQuietShare = 0.01;
/// Answers or time without shedding after which a downstream service counts as recovered.
inline constexpr std::uint32_t gateQuietAnswers = 40;
inline constexpr milliseconds gateQuietTime { 400 };
/// Growth of the share let through in each interval from then on, and the share from which it grows.
inline constexpr double gateGrowth = 1.5;
inline constexpr double gateLeastShare = 0.05;
/// Time after which a route's downstream service that was not seen again is forgotten.
inline constexpr milliseconds downstreamMemory { 60000 };
/// Keys that one downstream gate counts at most.
inline constexpr std::size_t maxGateKeys = 16384;

/// Load over limit from which a backend server counts as loaded.
inline constexpr double loadedShare = 0.8;
/// Age past which a load hint of a backend server is not used.
inline constexpr milliseconds loadHintMemory { 500 };
/// Outstanding requests allowed at a backend server that has not answered yet.
inline constexpr std::uint32_t coldOutstanding = 2;
/// Consecutive failures after which a backend server is avoided.
inline constexpr std::uint32_t failuresToAvoid = 3;
/// First and longest time for which a failing backend server is avoided before it is probed.
inline constexpr milliseconds minAvoidTime { 100 };
inline constexpr milliseconds maxAvoidTime { 1000 };
/// Weight of a new sample in the picker's average latency of a backend server.
inline constexpr double latencyWeight = 0.2;
/// Time in which a slow backend server that is not used is forgiven.
inline constexpr milliseconds slowMemory { 3000 };
/// A server is slow from this many times the latency of the fastest one of its service plus the margin.
inline constexpr int slowTolerance = 2;
inline constexpr milliseconds slowMargin { 5 };
/// Largest factor by which a slow backend server's load is scaled.
inline constexpr double maxSlowFactor = 8.0;

/// Retries earned by each whole answer.
inline constexpr double retryRatio = 0.09;
/// Retries that can be saved up.
inline constexpr double maxRetryTokens = 10.0;
/// Retries that a daemon starts with.
inline constexpr double initialRetryTokens = 3.0;
/// Price of a retry after a server shed the request, in retries.
inline constexpr double overloadedRetryCost = 3.0;
/// First and longest backoff before a retry.
inline constexpr milliseconds minRetryBackoff { 5 };
inline constexpr milliseconds maxRetryBackoff { 250 };
/// Tries of one call at its hop, the first included.
inline constexpr std::uint32_t maxTriesPerHop = 3;
/// Share of the time left that a backoff may use.
inline constexpr double maxBackoffShare = 0.25;

/// Part of a running request's attempts that is kept back for siblings while its route's are not known.
inline constexpr double siblingReserveShare = 0.25;
/// Weight of a new sample in the number of nested calls that a route makes at once.
inline constexpr double siblingMemoryWeight = 0.005;
/// Routes whose nested calls are remembered by one context table.
inline constexpr std::size_t maxRememberedRoutes = 1024;

/// Age of a validity lease past which a daemon refuses keyed requests.
inline constexpr milliseconds validityLease { 2000 };
/// Interval at which a daemon renews its validity lease with its control member.
inline constexpr milliseconds sessionInterval { 400 };
/// Silence of a backend server after which its announcement lapses.
inline constexpr milliseconds announcementLease { 3000 };
/// Interval of the raft clock.
inline constexpr milliseconds raftTickInterval { 20 };
/// Interval between heartbeats of the control leader.
inline constexpr milliseconds raftHeartbeat { 100 };
/// Shortest election timeout; the longest is twice this. Leader leases are shorter still.
inline constexpr milliseconds raftElectionTimeout { 400 };

} // namespace pw::config
