#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>

/// Compile-time limits and defaults. The type or the name gives the unit.
namespace pw::config {

using std::chrono::milliseconds;

/// Maximum body of a request or an answer, in bytes.
inline constexpr std::size_t maxBodyBytes = 1024 * 1024;
/// Maximum header block of one HTTP message, in bytes.
inline constexpr std::size_t maxHeaderBytes = 16 * 1024;
/// Length of the CRLF CRLF that ends a header block, in bytes.
inline constexpr std::size_t headerEndBytes = 4;
/// Maximum chunk size line, including chunk extensions, in bytes.
inline constexpr std::size_t maxChunkLineBytes = 1024;
/// Chunk framing allowed in one message, in bytes: a fixed allowance plus an allowance for each byte of the body. A chunk
/// of one byte has five bytes of framing.
inline constexpr std::size_t chunkFramingBytes = 16 * 1024;
inline constexpr std::size_t chunkFramingPerByte = 8;
/// Maximum number of interim (1xx) responses of a backend server to one request.
inline constexpr std::size_t maxInterimAnswers = 8;
/// Maximum frame between two daemons, in bytes.
inline constexpr std::size_t maxFrameBytes = 4 * 1024 * 1024;
/// Maximum message that is sent delta encoded against the previous one, in bytes. Each direction keeps as much history.
inline constexpr std::size_t maxFrameHistoryBytes = 4 * 1024;
/// Zstandard level for delta encoding. Negative levels are faster and compress less.
inline constexpr int frameCompressionLevel = -5;
/// Unsent bytes on a link between daemons above which new messages are dropped.
inline constexpr std::size_t maxLinkBacklogBytes = 16 * 1024 * 1024;
/// Open files of a daemon, nearly all of them connections, above which it accepts no new caller connections.
inline constexpr std::size_t maxOpenFiles = 6000;
/// Open files reserved for links between daemons and for the backend server.
inline constexpr std::size_t reservedOpenFiles = 500;
/// Interval at which a daemon counts its open files.
inline constexpr milliseconds openFilesInterval { 250 };
/// Time limit for a caller to send a whole request, and for a caller connection to stay idle.
inline constexpr milliseconds callerIdleTimeout { 30000 };
/// Maximum number of concurrent pipelined requests on one caller connection.
inline constexpr std::size_t maxPipelinedRequests = 64;
/// Answer bytes not yet read by the caller above which no further request is read from its connection.
inline constexpr std::size_t maxUnreadAnswerBytes = 256 * 1024;
/// Time to keep reading from a connection after its last answer, so that a TCP reset does not discard the answer.
inline constexpr milliseconds lingerTimeout { 1000 };
/// Interval at which an HTTP server checks for idle and slow connections.
inline constexpr milliseconds httpSweepInterval { 250 };
/// Caller connections to one address above which the longest idle ones are closed.
inline constexpr std::size_t maxCallerConnections = 2000;
/// Fraction of the connections, 1/n, that is closed at once when there are too many.
inline constexpr std::size_t idleCloseDivisor = 16;
/// Delay before accepting connections again after accept() failed.
inline constexpr milliseconds acceptPause { 20 };
/// Maximum queue of connections waiting to be accepted.
inline constexpr int listenBacklog = 1024;
/// Time limit to connect to another daemon and authenticate with the fleet's secret.
inline constexpr milliseconds linkHandshakeTimeout { 1000 };
/// Idle time after which a link between daemons is closed. Longer than any deadline.
inline constexpr milliseconds linkIdleTimeout { 75000 };
/// Time after sending without receiving any frame from the peer, after which the peer is probed.
inline constexpr milliseconds linkProbeAfter { 200 };
/// Time after sending without receiving any frame, after which the link is suspended: nothing more is sent on it.
inline constexpr milliseconds linkDeadAfter { 3000 };
/// Time after sending without receiving any frame, after which the link is closed. Later than suspending it, because a
/// VM that was suspended may still answer earlier messages.
inline constexpr milliseconds linkClosedAfter { 15000 };
/// Interval at which daemons with pending calls are probed.
inline constexpr milliseconds peerProbeInterval { 100 };
/// Time without any reply after which a daemon counts as unresponsive: several round trips between failure domains plus
/// one retransmission.
inline constexpr milliseconds peerUnresponsiveAfter { 500 };
/// Time after which an unresponsive daemon without pending calls is no longer probed.
inline constexpr milliseconds peerProbeExpiry { 30000 };
/// Time that an entry daemon waits past a request's deadline, because the server-side daemon has the more precise verdict.
inline constexpr milliseconds deadlineGrace { 20 };
/// Maximum answer body of a backend server, in bytes. An answer has to fit into one frame between daemons.
inline constexpr std::size_t maxAnswerBytes = 3 * 1024 * 1024;
/// Idle time after which a connection to a backend server that announces no keep-alive timeout is not reused.
inline constexpr milliseconds backendIdleTimeout { 4000 };
/// Safety margin subtracted from a backend server's keep-alive timeout, so that it does not close the connection while a
/// request is being sent.
inline constexpr milliseconds keepAliveMargin { 1000 };
/// Maximum idle time of a connection that is reused for a request which cannot be repeated: an older connection may have
/// been closed by the server unnoticed.
inline constexpr milliseconds sureConnectionAge { 1000 };
/// Answers to other requests that are skipped on one connection to a backend server before it is closed.
inline constexpr std::size_t maxStrayAnswers = 3;
/// Time limit to connect to the backend server beside a daemon.
inline constexpr milliseconds backendConnectTimeout { 500 };
/// Deadline of a route whose configuration sets none.
inline constexpr milliseconds defaultRouteDeadline { 2000 };
/// Maximum deadline that a caller may request.
inline constexpr milliseconds maxDeadline { 60000 };
/// Attempt budget of a root request, including nested calls, on a route whose configuration sets none.
inline constexpr std::uint32_t defaultAttemptBudget = 16;
/// Fraction of a request's attempt budget, 1/n, that its hop keeps for retries while a call is in flight.
inline constexpr std::uint32_t budgetReserveDivisor = 4;
/// Retry-After when no backend server, no configuration or no valid set of keys is known.
inline constexpr milliseconds noServerRetryAfter { 1000 };
/// Retry-After while a request with the same id is running.
inline constexpr milliseconds duplicateRetryAfter { 500 };
/// Retry-After when no quorum of claim replicas could be reached for a request id.
inline constexpr milliseconds claimRetryAfter { 500 };
/// Maximum depth of nested calls.
inline constexpr std::uint8_t maxCallDepth = 16;
/// Maximum length of a request id from a caller, in bytes.
inline constexpr std::size_t maxRequestIdBytes = 128;

/// Announced slots below which no headroom is left: one slot would be too large a part.
inline constexpr std::uint32_t leastSlotsWithHeadroom = 16;
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
/// Roots that may wait for each request that may run, in a burst.
inline constexpr double queueLimitShare = 4.0;
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

/// Share of roots that passes at any price, so that the price is heard and its end is seen.
inline constexpr double gateLeastShare = 0.01;
/// Time after which a service that no request led to again is forgotten.
inline constexpr milliseconds downstreamMemory { 60000 };

/// Time over which arriving work is averaged for the price of slots.
inline constexpr milliseconds pressureWindow { 200 };
/// Arriving work over what the server can do at which the price stays as it is.
inline constexpr double pressureTarget = 0.9;
/// Wait of nested calls from which it counts in full, and its full weight beside the logarithm of the arriving work's
/// excess: like half as much work again.
inline constexpr milliseconds pressureWait { 100 };
inline constexpr double pressureWaitShare = 0.4;
/// Change of the price's logarithm a second for each unit of the excess's logarithm, and its bounds a second. Callers
/// answer after a few hundred milliseconds, so a gain of a few a second does not swing. It falls faster than it rises:
/// a price that is too high costs whole requests.
inline constexpr double pressureGain = 2.0;
inline constexpr double pressureFallGain = 4.0;
inline constexpr double pressureRise = 4.0;
inline constexpr double pressureFall = 6.0;
/// Bounds of the price's logarithm; at the least one slots are not scarce.
inline constexpr double leastLogPrice = -1.0;
inline constexpr double mostLogPrice = 12.0;
/// Binary orders of magnitude by which a price changes between two log lines, and the shortest time between them.
inline constexpr double priceReportStep = 2.0;
inline constexpr milliseconds priceReportInterval { 250 };
/// Interval at which learned calls are weighed down, and the factor.
inline constexpr milliseconds callGraphInterval { 1000 };
inline constexpr double callGraphDecay = 0.9;
/// Interval at which an answer to one daemon tells what requests of a route cost.
inline constexpr milliseconds demandInterval { 50 };
/// Time over which the words of several backend servers on what a request costs are averaged, and the least weight of one.
inline constexpr milliseconds demandAveraging { 150 };
inline constexpr double demandWeight = 0.1;
/// Age from which a price fades by half in the same time again, and age at which it is forgotten.
inline constexpr milliseconds demandFresh { 500 };
inline constexpr milliseconds demandMemory { 5000 };
/// Work that counts as one in a request's burden.
inline constexpr milliseconds referenceWork { 50 };
/// What a request is worth over one of the next lower rank.
inline constexpr double rankWorth = 16.0;
/// Time over which the gate averages what each workspace asks, and how often it shares anew; both well above the time
/// between two requests of a busy workspace. A flow with fewer requests a second is forgotten.
inline constexpr milliseconds gateDemandWindow { 2000 };
inline constexpr milliseconds gateLevelInterval { 20 };
inline constexpr double gateLeastRate = 0.001;
/// When a caller may ask again after its request was held back.
inline constexpr milliseconds gateRetryAfter { 300 };
/// Load over limit from which a backend server counts as loaded.
inline constexpr double loadedShare = 0.8;
/// Load by which a server in a nearer failure domain or region may exceed a farther one.
inline constexpr double distanceShare = 0.3;
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
/// Part of the fleet's bound of repeats that is used; the rest is for the calls that repeated requests make again.
inline constexpr double retryBudgetShare = 0.6;
/// Price of a retry after a server shed the request, in retries.
inline constexpr double overloadedRetryCost = 3.0;
/// First and longest backoff before a retry.
inline constexpr milliseconds minRetryBackoff { 5 };
inline constexpr milliseconds maxRetryBackoff { 250 };
/// Daemons that one call is offered to, where none before passed it on to its backend server.
inline constexpr std::uint32_t maxHandOvers = 4;
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
/// Time for which a leaving server still takes new work, while the fleet learns that it leaves.
inline constexpr milliseconds leaveGrace { 1000 };
/// Time for which a server that said it is leaving is not picked, while the membership view is late.
inline constexpr milliseconds leavingHintMemory { 2000 };
/// Interval at which a daemon looks whether its settings file has changed.
inline constexpr milliseconds settingsPollInterval { 500 };
/// Interval at which a stopping daemon looks whether its requests have ended.
inline constexpr milliseconds stopPollInterval { 20 };
/// Time that a stopping daemon leaves its last messages to go out.
inline constexpr milliseconds stopFlushTime { 200 };
/// Interval of the raft clock.
inline constexpr milliseconds raftTickInterval { 20 };
/// Interval between heartbeats of the control leader.
inline constexpr milliseconds raftHeartbeat { 100 };
/// Shortest election timeout; the longest is twice this. Leader leases are shorter still.
inline constexpr milliseconds raftElectionTimeout { 400 };
/// Time for which a leader acts after it sent what a quorum acknowledged.
inline constexpr milliseconds raftLeaderLease { 300 };
static_assert(raftLeaderLease < raftElectionTimeout, "a leader must step down before another can be elected");
/// Silence of a voter after which a learner that stands by takes its place.
inline constexpr milliseconds raftVoterSilence { 2000 };
/// Silence of a learner after which it is no member any more.
inline constexpr milliseconds raftLearnerSilence { 30000 };
/// Time after which a snapshot that was not acknowledged is sent again.
inline constexpr milliseconds raftSnapshotResend { 1000 };
/// Entries applied after which a member stores a snapshot.
inline constexpr std::uint64_t raftSnapshotEvery = 1024;
/// Answers to a read that wait for their index to be applied.
inline constexpr std::size_t raftPendingReads = 32;
/// Entries and bytes of one append message.
inline constexpr std::size_t raftBatchEntries = 64;
inline constexpr std::size_t raftBatchBytes = 1024 * 1024;
/// Control members with learners.
inline constexpr std::size_t maxControlMembers = 9;
/// Interval at which a member without a cluster asks to be taken in.
inline constexpr milliseconds joinInterval { 500 };
/// Largest configuration text, in bytes.
inline constexpr std::size_t maxConfigurationBytes = 1024 * 1024;
/// Longest id, name or label in a change, in bytes.
inline constexpr std::size_t maxChangeFieldBytes = 256;
/// Size of all keys in the replicated state, withdrawn ones included, in bytes. With the configuration and the kept
/// answers it stays below maxFrameBytes, so that the state goes in one message.
inline constexpr std::size_t maxKeyBytes = 1536 * 1024;
/// Size of a key in the replicated state besides its id, workspace and label, in bytes.
inline constexpr std::size_t keyOverheadBytes = 128;
/// Answers to changes kept for re-sends.
inline constexpr std::size_t keptAnswers = 2048;
/// Configuration versions kept in the history.
inline constexpr std::size_t keptConfigurationSteps = 100;
/// State changes kept by a control member for daemons that lag.
inline constexpr std::size_t keptDeltas = 512;
/// Time for which a change is repeated before it is answered as unknown.
inline constexpr milliseconds changeTimeout { 5000 };
/// Longest time in which a member finds out which configuration is the newest.
inline constexpr milliseconds readTimeout { 800 };
/// Interval at which a change without an answer is sent to the leader again.
inline constexpr milliseconds changeRetry { 300 };
/// Longest wait for a change to be in force everywhere.
inline constexpr milliseconds inForceTimeout { 10000 };
/// Longest wait for another member to take the leadership over before a planned stop.
inline constexpr milliseconds handOverTimeout { 1000 };
/// Silence of a control member after which a daemon moves to another.
inline constexpr milliseconds sessionSilence { 800 };
/// Age of the validity lease after which a daemon moves to another control member although this one answers.
inline constexpr milliseconds sessionStale { 1200 };
/// Interval at which a daemon asks while its validity lease is older than sessionSilence.
inline constexpr milliseconds sessionHurry { 100 };
/// Time after which a daemon goes back to the control member that it prefers.
inline constexpr milliseconds sessionRebalance { 10000 };
/// Margin for clocks that run at different speeds, on top of a validity lease.
inline constexpr milliseconds leaseMargin { 100 };

/// Time for which a grant may be spent, from when its daemon asked for it; at the owner from when the ask came.
inline constexpr milliseconds grantLifetime { 1500 };
/// Part of a grant's lifetime that its daemon leaves unused, against clocks that run at different speeds.
inline constexpr milliseconds grantMargin { 20 };
/// Time ahead for which a daemon holds tokens of the demand that it sees.
inline constexpr milliseconds grantHorizon { 2000 };
/// Time constant of a daemon's estimate of its demand.
inline constexpr milliseconds grantDemandWindow { 1000 };
/// Shortest time between two asks of a daemon for one workspace.
inline constexpr milliseconds grantAskSpacing { 10 };
/// Shortest time between two asks that only keep up with demand or repeat what the owner knows.
inline constexpr milliseconds grantAheadSpacing { 150 };
/// Time after which an ask without a reply is repeated, to the next control member.
inline constexpr milliseconds grantAskRetry { 150 };
/// Longest time for which spent tokens stay unreported.
inline constexpr milliseconds grantReportInterval { 400 };
/// Longest time that a request waits for a token.
inline constexpr milliseconds rateWait { 250 };
/// Longest time that a request waits for a token while no owner of the rates is heard, as in an election.
inline constexpr milliseconds rateWaitOwnerless { 1000 };
/// Requests of one workspace that wait for a token in one daemon, at most.
inline constexpr std::size_t maxRateWaiters = 256;
/// Time to retry that is named when no owner of the rates can be reached.
inline constexpr milliseconds rateRetryUnreachable { 1000 };
/// Interval at which the owner of the rates serves the daemons that wait for tokens.
inline constexpr milliseconds grantServeInterval { 20 };

/// Time for which a claimed request id stays claimed, and its answer may be asked for again.
inline constexpr milliseconds claimRetention { 300000 };
/// Longest time from the first message of a round of claiming to its decision.
inline constexpr milliseconds claimRoundLimit { 1000 };
/// Time after which a claim is sent again to members that have not voted.
inline constexpr milliseconds claimAskRetry { 150 };
/// Rounds of claiming that one request may go through when votes are split.
inline constexpr int claimRounds = 4;
/// Longest pause before another round; the pause is random.
inline constexpr milliseconds claimRoundPause { 40 };
/// Longest time to wait for the claiming daemon's word on what became of a request id.
inline constexpr milliseconds claimFetchTimeout { 400 };
/// Interval at which a release is sent again to members that have not confirmed it, and how often.
inline constexpr milliseconds claimReleaseRetry { 300 };
inline constexpr int claimReleaseTries = 10;
/// Control members that vote on one request id.
inline constexpr std::size_t claimReplicas = 3;
/// Claims in one page when a restarted member refills its replica.
inline constexpr std::size_t claimRefillPage = 500;
/// Interval at which a restarted member asks again for pages that did not come.
inline constexpr milliseconds claimRefillRetry { 200 };
/// Bytes of answers that a daemon keeps for re-sends.
inline constexpr std::size_t keptAnswerBytes = 4 * 1024 * 1024;
/// Request ids that a daemon remembers of its own claims.
inline constexpr std::size_t keptClaims = 20000;

/// Interval at which a daemon reports to the control member that it is attached to.
inline constexpr milliseconds viewReportInterval { 1000 };
/// Silence of that member after which the daemon attaches to another.
inline constexpr milliseconds viewMemberSilence { 1600 };
/// Shortest time between two attachments when links are lost.
inline constexpr milliseconds viewLossPause { 300 };
/// Time over which a control member gathers changes before it pushes them to its daemons.
inline constexpr milliseconds viewPushDelay { 50 };
/// Interval at which a control member looks for lapsed servers and compares digests with the others.
inline constexpr milliseconds viewTickInterval { 500 };
/// Time for which servers stay known after the control member that vouched for them fell silent.
inline constexpr milliseconds viewMemberGrace { 6000 };
/// Time for which a lapsed server is remembered, so that its removal reaches every daemon.
inline constexpr milliseconds viewTombstone { 60000 };
/// Shortest time between two whole views sent to one daemon.
inline constexpr milliseconds viewWholeInterval { 3000 };
/// The same for a daemon that follows no member yet: longer than an answer takes, shorter than viewReportInterval.
inline constexpr milliseconds viewFirstInterval { 500 };

} // namespace pw::config
