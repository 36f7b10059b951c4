#pragma once

#include "config_prices.h"

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
inline constexpr std::size_t headerTerminatorBytes = 4;
/// Maximum chunk size line, including chunk extensions, in bytes.
inline constexpr std::size_t maxChunkLineBytes = 1024;
/// Chunk framing allowed in one message, in bytes: a fixed allowance plus an allowance for each byte of the body. A chunk
/// of one byte has five bytes of framing.
inline constexpr std::size_t chunkFramingBytes = 16 * 1024;
inline constexpr std::size_t chunkFramingPerByte = 8;
/// Maximum number of interim (1xx) responses of a backend server to one request.
inline constexpr std::size_t maxInterimResponses = 8;
/// Maximum frame between two daemons, in bytes.
inline constexpr std::size_t maxFrameBytes = 4 * 1024 * 1024;
/// Maximum message that is sent delta encoded against the previous one, in bytes. Each direction keeps as much history.
inline constexpr std::size_t maxDeltaMessageBytes = 4 * 1024;
/// Zstandard level for delta encoding. Negative levels are faster and compress less.
inline constexpr int deltaCompressionLevel = -5;
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
inline constexpr milliseconds httpIdleCheckInterval { 250 };
/// Caller connections to one address above which the longest idle ones are closed.
inline constexpr std::size_t maxCallerConnections = 2000;
/// Fraction of the connections, 1/n, that is closed at once when there are too many.
inline constexpr std::size_t idleCloseDivisor = 16;
/// Delay before accepting connections again after accept() failed.
inline constexpr milliseconds acceptRetryDelay { 20 };
/// Maximum queue of connections waiting to be accepted.
inline constexpr int listenBacklog = 1024;
/// Time limit to connect to another daemon and authenticate with the fleet's secret.
inline constexpr milliseconds linkHandshakeTimeout { 1000 };
/// Idle time after which a link between daemons is closed. Longer than any deadline.
inline constexpr milliseconds linkIdleTimeout { 75000 };
/// Time after sending without receiving any frame from the peer, after which the peer is probed.
inline constexpr milliseconds linkProbeAfter { 200 };
/// Time after sending without receiving any frame, after which the link is suspended: nothing more is sent on it.
inline constexpr milliseconds linkSuspendAfter { 3000 };
/// Time after sending without receiving any frame, after which the link is closed. Later than suspending it, because a
/// VM that was suspended may still answer earlier messages.
inline constexpr milliseconds linkCloseAfter { 15000 };
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
/// Bytes of all incomplete answers of the local backend server above which of the large ones only the oldest is read on.
inline constexpr std::size_t maxBufferedAnswerBytes = 32 * 1024 * 1024;
/// Size below which an incomplete answer is read on in any case.
inline constexpr std::size_t smallAnswerBytes = 64 * 1024;
/// Idle time after which a connection to a backend server that announces no keep-alive timeout is not reused.
inline constexpr milliseconds backendIdleTimeout { 4000 };
/// Safety margin subtracted from a backend server's keep-alive timeout, so that it does not close the connection while a
/// request is being sent.
inline constexpr milliseconds keepAliveMargin { 1000 };
/// Maximum idle time of a connection that is reused for a request which cannot be repeated: an older connection may have
/// been closed by the server unnoticed.
inline constexpr milliseconds maxIdleForNonIdempotent { 1000 };
/// Answers to other requests that are skipped on one connection to a backend server before it is closed.
inline constexpr std::size_t maxSkippedAnswers = 3;
/// Requests that a backend server refuses on one connection before it is closed.
inline constexpr std::size_t maxRefusedOnConnection = 16;
/// Time limit to connect to the backend server beside a daemon.
inline constexpr milliseconds backendConnectTimeout { 500 };
/// Time for which the backend server's system may leave a short request unacknowledged: the connection is silent then, while a new
/// one may work.
inline constexpr milliseconds backendUnacknowledgedTimeout { 3000 };
/// Size of a request, with its header, that the receive buffer of a connection takes in any case.
inline constexpr std::size_t shortRequestBytes = 4 * 1024;
/// Time without any response from a backend server after which a timed out request counts as a lost connection. A shorter
/// silence occurs when requests with short deadlines time out at a slow server.
inline constexpr milliseconds backendSilence { 500 };
/// Time since the last response within which another open connection shows that a backend server has not restarted. At twelve
/// requests per second, the lowest usual rate of a limited service, three gaps between requests are shorter.
inline constexpr milliseconds backendResponsive { 300 };
/// Interval at which the warm-up state is checked for changes that come with time only, and at most as long until a limit
/// because of a lost connection is published: most last only until the first probe is answered.
inline constexpr milliseconds warmUpCheckInterval { 50 };
/// Share of the additional requests in the settings (warmUp.extra) that a backend server gets per second, with the rest as
/// slack, while no configuration has been received: it is within the bound whatever rate the configuration states.
inline constexpr double unconfiguredWarmUpShare = 0.5;
/// Age from which an announcement cannot be on its way any more. The first one that arrives as long after the start of the
/// daemon tells the state of the backend server when no configuration says how to probe it.
inline constexpr milliseconds maxAnnouncementDelay { 5000 };
/// Minimum interval between two log lines on failed probes of one backend server.
inline constexpr milliseconds probeLogInterval { 1000 };
/// Relative change of a warm-up rate that is published.
inline constexpr double warmUpRateStep = 0.1;
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
/// Retry-After when every backend server of the service is in an evacuated failure domain.
inline constexpr milliseconds evacuatedRetryAfter { 1000 };
/// Retry-After while a request with the same id is running.
inline constexpr milliseconds duplicateRetryAfter { 500 };
/// Retry-After when no quorum of claim replicas could be reached for a request id.
inline constexpr milliseconds claimRetryAfter { 500 };
/// Maximum depth of nested calls.
inline constexpr std::uint8_t maxCallDepth = 16;
/// Maximum length of a request id from a caller, in bytes.
inline constexpr std::size_t maxRequestIdBytes = 128;

/// Largest number of slots that a backend server may announce.
inline constexpr std::uint32_t maxAnnouncedSlots = 1000000;
/// Announced slots below which no slot is reserved as headroom: one slot would be too large a share of the total.
inline constexpr std::uint32_t minSlotsForHeadroom = 16;
/// Initial concurrency limit of a new backend server with the ramp `count`, as a share of its announced slots.
inline constexpr double coldStartShare = 0.125;
/// Initial bound of the ramp `answers`: a share of the announced slots, but at least two, since a single response says little.
inline constexpr double answersStartShare = 1.0 / 16;
inline constexpr double minAnswersBound = 2;
/// Ratio of a round's average service time to the reference up to which the round counts as fast. Nearly full servers take
/// 1.3 times as long, which must not stop the ramp.
inline constexpr double fastRoundRatio = 1.5;
/// Growth of the bound by a fast round after a step back.
inline constexpr double carefulGrowth = 0.25;
/// Slow rounds for which the bound is held before a lower one is tried.
inline constexpr std::uint32_t heldRounds = 4;
/// Slow rounds at the initial bound after which their average becomes the reference: so few requests do not slow a server down.
inline constexpr std::uint32_t heldInitialRounds = 2;
/// Ratio of the averages at half the bound and at the bound from which the bound is not the cause of slow responses.
inline constexpr double unchangedRoundRatio = 0.8;
/// Share of a round that may fail before the bound is lowered. Without it, a route that fails now and then would keep the
/// bound low.
inline constexpr double tolerableFailureShare = 0.1;
/// Weight of a response in the usual service time of a backend server.
inline constexpr double usualServiceTimeWeight = 0.002;
/// Failures without a complete response in between after which a backend server counts as one that does not respond. A reused
/// connection that was just closed causes one or two.
inline constexpr std::uint32_t failuresWithoutResponse = 3;
/// Share of the concurrency limit that must be in use for a sample to raise it.
inline constexpr double limitInUseThreshold = 0.8;
/// Multiplicative decrease of a concurrency limit when its strategy backs off.
inline constexpr double limitDecrease = 0.9;
/// Ratio of the recent service time to the best or long-term one above which latency-based strategies back off.
inline constexpr int limitLatencyRatio = 2;
/// Window over which the best service time is determined.
inline constexpr milliseconds limitBaselineWindow { 10000 };
/// Weights of a new sample in the gradient strategy's short-term and long-term moving averages.
inline constexpr double gradientRecentWeight = 0.1;
inline constexpr double gradientLongTermWeight = 0.002;
/// Factor applied to the gradient strategy's long-term average on each sample while it is more than twice the recent one.
inline constexpr double gradientLongTermDecay = 0.95;
/// Share of the distance to its target that the gradient strategy covers in one round, that is, one sample for each unit of
/// the limit.
inline constexpr double gradientSmoothing = 0.5;
/// Increase of the delay strategy's limit in one round of answers, as a share of the announced slots.
inline constexpr double delayLimitGrowth = 0.05;
/// Minimum time between two decreases of the delay strategy's limit.
inline constexpr milliseconds delayLimitDecreaseInterval { 100 };
/// Weight of a new sample in the average service time.
inline constexpr double serviceTimeWeight = 0.1;
/// Time without samples after which a service time estimate starts to decay; also the half-life of the decay.
inline constexpr milliseconds serviceTimeHalfLife { 250 };
/// Share of the expected service time that must remain before the deadline for a request to be started.
inline constexpr double requiredServiceTimeShare = 1.0;
/// Queue capacity for roots in a burst, per unit of the concurrency limit.
inline constexpr double burstQueueRatio = 4.0;
/// Minimum queue capacity in a burst, whatever the concurrency limit.
inline constexpr std::size_t minBurstQueue = 8;
/// Time for which the queue must be continuously non-empty to count as a standing queue.
inline constexpr milliseconds standingQueueInterval { 100 };
/// Time since the last shed request after which an empty queue no longer counts as a standing queue.
inline constexpr milliseconds standingQueueRecovery { 500 };
/// Capacity of a standing queue, per unit of the concurrency limit, and its minimum.
inline constexpr double standingQueueRatio = 0.125;
inline constexpr std::size_t minStandingQueue = 2;
/// Interval at which the admission floor is recomputed.
inline constexpr milliseconds admissionFloorInterval { 100 };
/// Bounds of the retry-after time in a refusal.
inline constexpr milliseconds minRetryAfter { 50 };
inline constexpr milliseconds maxRetryAfter { 5000 };
/// Upper bound, in requests, of how far a workspace's use of idle slots can delay its turn in the fair queue.
inline constexpr double maxFairQueueLag = 4.0;
/// Number of workspaces for which a queue keeps a virtual finish time.
inline constexpr std::size_t maxRememberedWorkspaces = 4096;

/// Share of roots admitted at any price, so that answers continue to report the current price.
inline constexpr double minRootAdmitShare = 0.01;
/// Time after which the lowest rank recorded for a service expires if no request of that rank or lower leads to the service.
inline constexpr milliseconds lowestRankTimeout { 60000 };
/// Ratio of the value of a request to that of one of the next lower rank.
inline constexpr double rankValueRatio = 16.0;
/// Averaging time of each workspace's request rate, and the interval at which fair shares are recomputed; both are well
/// above the time between two requests of a busy workspace. Flows below the minimum rate (in requests per second) are
/// removed.
inline constexpr milliseconds rootRateWindow { 2000 };
inline constexpr milliseconds fairShareInterval { 20 };
inline constexpr double minTrackedRootRate = 0.001;
/// Retry-after time of a root that was refused because of the price of downstream slots.
inline constexpr milliseconds throttledRetryAfter { 300 };
/// Lowest rate, in requests per second, at which a backend server is sent requests whatever limit it states: only an answer
/// can lift the limit.
inline constexpr double minBackendRate = 0.2;
/// Burst allowed within the rate limit of a backend server, as the time in which it accepts as many requests.
inline constexpr milliseconds backendRateBurst { 100 };
/// Roots that wait for the rate limit of a backend server, as the time in which it accepts as many: in a queue that persists,
/// and in a burst.
inline constexpr milliseconds pacedStandingQueue { 250 };
inline constexpr milliseconds pacedBurstQueue { 500 };
/// Requests to a warming server are counted over the window of the bound (one second) and the spread of the times from sending
/// a request to its arrival, and kept this many requests below the bound, or half of the slack if that is less. Probes and
/// requests that were delayed by a suspension of the VM use the margin.
inline constexpr milliseconds warmUpWindow { 1000 };
inline constexpr milliseconds warmUpArrivalSpread { 100 };
inline constexpr double warmUpMargin = 3.0;
/// Share of the slack that a warming server may be sent as a burst.
inline constexpr double warmUpBurstShare = 0.5;
/// A remaining warm-up time is counted this much longer, because it may be rounded down and clocks may differ.
inline constexpr milliseconds warmUpEndMargin { 50 };
/// Responses in a round from which the rate of a warming server is adapted; single ones say little, because work varies by
/// route. The rate grows by the factor after a round that took at most the ratio times the fastest round, and otherwise
/// returns to the tolerated rate.
inline constexpr std::uint32_t warmUpRoundResponses = 8;
inline constexpr double warmUpRateGrowth = 1.15;
inline constexpr double warmUpFastRatio = 1.5;
/// Minimum interval between two probes of the remaining warm-up time of a backend server, and the timeout of a probe.
inline constexpr milliseconds warmUpProbeInterval { 200 };
inline constexpr milliseconds warmUpProbeTimeout { 500 };
/// Averaging time of the rate of requests that are offered to a backend server with a rate limit.
inline constexpr milliseconds offeredRateWindow { 1000 };
/// Minimum interval between two log lines on the rate limit that a backend server states.
inline constexpr milliseconds rateLogInterval { 250 };
/// Minimum time between two log lines on steps back of a start ramp.
inline constexpr milliseconds rampLogInterval { 250 };
/// Ratio of load to concurrency limit from which a backend server counts as loaded.
inline constexpr double loadedThreshold = 0.8;
/// Load difference up to which a server in the same failure domain or region is preferred to a farther one.
inline constexpr double localityLoadTolerance = 0.3;
/// Age from which the running and queued counts of a load hint are ignored.
inline constexpr milliseconds loadHintLifetime { 500 };
/// Age up to which a load hint decides whether a backend server is warming up; then the membership view does.
inline constexpr milliseconds warmUpHintLifetime { 2000 };
/// Upper bound of the assumed concurrency limit of a backend server that has not sent a load hint.
inline constexpr std::uint32_t maxOutstandingBeforeHint = 2;
/// Consecutive failures after which a backend server is ejected.
inline constexpr std::uint32_t ejectionFailures = 3;
/// First and longest time for which a failing backend server is ejected before it is probed.
inline constexpr milliseconds minEjectionTime { 100 };
inline constexpr milliseconds maxEjectionTime { 1000 };
/// Weight of a new sample in the picker's moving average of a backend server's latency.
inline constexpr double latencyWeight = 0.2;
/// Time over which the penalty of a slow backend server decays to none while it receives no requests.
inline constexpr milliseconds slowPenaltyLifetime { 3000 };
/// A server is slow if its latency exceeds that of the fastest server of its service times this ratio, plus the margin.
inline constexpr int slowLatencyRatio = 2;
inline constexpr milliseconds slowLatencyMargin { 5 };
/// Largest factor by which a slow backend server's load is scaled.
inline constexpr double maxSlowFactor = 8.0;

/// Retry tokens earned by each complete answer.
inline constexpr double retryTokensPerSuccess = 0.09;
/// Capacity of the retry token bucket.
inline constexpr double maxRetryTokens = 10.0;
/// Retry tokens that a daemon starts with.
inline constexpr double initialRetryTokens = 3.0;
/// Usable share of the fleet's retry budget; the rest covers the nested calls that repeated requests make again.
inline constexpr double retryBudgetUsableShare = 0.6;
/// Cost, in retry tokens, of a retry after a server shed the request.
inline constexpr double overloadedRetryCost = 3.0;
/// First and longest backoff before a retry.
inline constexpr milliseconds minRetryBackoff { 5 };
inline constexpr milliseconds maxRetryBackoff { 250 };
/// Maximum number of daemons that one call is offered to while none of them passes it on to its backend server.
inline constexpr std::uint32_t maxDaemonsOffered = 4;
/// Maximum attempts of one call at its hop, including the first.
inline constexpr std::uint32_t maxTriesPerHop = 3;
/// Maximum share of the remaining time that a backoff may use.
inline constexpr double maxBackoffShare = 0.25;

/// Share of a running request's attempts that is reserved for later nested calls while the number of parallel calls of its
/// route is unknown.
inline constexpr double siblingReserve = 0.25;
/// Weight of a new sample in the average number of parallel nested calls of a route.
inline constexpr double parallelCallsWeight = 0.005;
/// Number of routes for which a context table keeps the number of parallel nested calls.
inline constexpr std::size_t maxRememberedRoutes = 1024;

/// Age from which a validity lease has expired and the daemon refuses requests with keys.
inline constexpr milliseconds validityLease { 2000 };
/// Interval at which a daemon renews its validity lease with its control member.
inline constexpr milliseconds sessionInterval { 400 };
/// Time without a keep-alive after which the announcement of a backend server lapses.
inline constexpr milliseconds announcementLease { 3000 };
/// Time for which a leaving server still accepts requests, while its departure propagates through the fleet.
inline constexpr milliseconds leaveGrace { 1000 };
/// Time for which a server is not picked after it signalled that it is leaving; bridges the delay of the membership view.
inline constexpr milliseconds leavingHintLifetime { 2000 };
/// Interval at which a daemon checks its settings file for changes.
inline constexpr milliseconds settingsPollInterval { 500 };
/// Time for which a broken exchange with the backend server waits to learn whether all its connections end.
inline constexpr milliseconds crashSettleTime { 2 };
/// Time limit of the connection attempt that tells whether a backend server has crashed.
inline constexpr milliseconds crashCheckTimeout { 100 };
/// Limit of suspect requests in the replicated state, of those reported for one crash, and of the crashed backend servers kept
/// for each.
inline constexpr std::size_t maxSuspects = 1024;
inline constexpr std::size_t maxSuspectsPerCrash = 256;
inline constexpr std::size_t maxSuspectServers = 4;
/// Crashes from which a suspect runs only as a trial, and from which it is held before each trial.
inline constexpr std::uint32_t crashesUntilTrial = 2;
inline constexpr std::uint32_t crashesUntilHeld = 3;
/// A failed trial multiplies the time for which a request is held, up to a maximum. With the default hold time, at most three
/// trials fall into a day.
inline constexpr int holdTimeGrowth = 8;
inline constexpr std::chrono::hours maxHoldTime { 24 };
/// Time after which a trial without an outcome may be repeated; no request lasts longer.
inline constexpr milliseconds trialLapse { maxDeadline };
/// Time limit for claiming a trial.
inline constexpr milliseconds trialClaimTimeout { 1000 };
/// Least delay before a request is sent again after a crash: news of other crashes spread meanwhile.
inline constexpr milliseconds crashRetryDelay { 25 };
/// Number of suspects for each that may run at one backend server at the same time.
inline constexpr std::size_t isolationDivisor = 16;
/// Number of requests that were running at a crash from which any one of them is unlikely to have caused it.
inline constexpr std::uint32_t unlikelySuspectConcurrency = 16;
/// Time for which a daemon relies on a crash that it knows of before the replicated state shows it.
inline constexpr milliseconds localCrashLifetime { 5000 };
/// Interval at which a daemon sends the suspects that have completed.
inline constexpr milliseconds suspectFlushInterval { 20 };
/// Time for which a daemon sends a change of the suspects again.
inline constexpr milliseconds suspectChangeTimeout { 30000 };
/// Time for which a stopping daemon accepts requests whatever their deadline; half of its time to stop if that is less.
inline constexpr milliseconds stopDrainTime { 3000 };
/// Last parts, 1/n, of the time to stop: in the first one no request is accepted, in the second one the requests that are
/// still unanswered are given up.
inline constexpr int stopRefusingDivisor = 6;
inline constexpr int stopEndingDivisor = 12;
/// Time between the deadline given to backend servers during a stop and the end of the requests.
inline constexpr milliseconds stopAnswerMargin { 100 };
/// Retry-after of a request that a stopping daemon refuses.
inline constexpr milliseconds stoppingRetryAfter { 100 };
/// Interval at which a stopping daemon checks whether its requests have finished.
inline constexpr milliseconds stopPollInterval { 20 };
/// Time that a stopping daemon allows for sending its last messages.
inline constexpr milliseconds stopFlushTime { 200 };
/// Interval of Raft::tick().
inline constexpr milliseconds raftTickInterval { 20 };
/// Heartbeat interval of the Raft leader.
inline constexpr milliseconds raftHeartbeat { 100 };
/// Minimum election timeout; timeouts are randomized up to twice this. Longer than the leader lease.
inline constexpr milliseconds raftElectionTimeout { 400 };
/// Leader lease, counted from when the leader sent the latest message that a quorum acknowledged.
inline constexpr milliseconds raftLeaderLease { 300 };
static_assert(raftLeaderLease < raftElectionTimeout, "a leader must step down before another can be elected");
/// Time after which an unresponsive voter is replaced by a caught-up learner.
inline constexpr milliseconds raftVoterTimeout { 2000 };
/// Time after which an unresponsive learner is removed.
inline constexpr milliseconds raftLearnerTimeout { 30000 };
/// Time after which an unacknowledged snapshot is sent again.
inline constexpr milliseconds raftSnapshotResend { 1000 };
/// Number of applied entries after which a member stores a snapshot.
inline constexpr std::uint64_t raftSnapshotEntries = 1024;
/// Limit of read index replies that wait for their index to be applied.
inline constexpr std::size_t raftMaxPendingReads = 32;
/// Interval at which a control member tries to open its storage again after a failure.
inline constexpr milliseconds storageRetryInterval { 500 };
/// Limits of entries and bytes in one AppendRequest.
inline constexpr std::size_t raftMaxAppendEntries = 64;
inline constexpr std::size_t raftMaxAppendBytes = 1024 * 1024;
/// Limit of control members, learners included.
inline constexpr std::size_t maxControlMembers = 9;
/// Interval at which a member without a cluster sends join requests.
inline constexpr milliseconds joinInterval { 500 };
/// Size limit of a configuration text, in bytes.
inline constexpr std::size_t maxConfigurationBytes = 1024 * 1024;
/// Size limit of an id, name or label in a change, in bytes.
inline constexpr std::size_t maxChangeFieldBytes = 256;
/// Size limit of all keys in the replicated state, withdrawn ones included, in bytes. Together with the configuration and
/// the stored answers it stays below maxFrameBytes, so that the state fits in one message.
inline constexpr std::size_t maxKeyBytes = 1536 * 1024;
/// Limit of failure domains with an evacuation, finished ones included.
inline constexpr std::size_t maxEvacuations = 64;
/// Estimated size of a key in the replicated state in addition to its id, workspace and label, in bytes.
inline constexpr std::size_t keyOverheadBytes = 128;
/// Limit of stored answers to changes, for changes that are re-sent.
inline constexpr std::size_t maxStoredAnswers = 2048;
/// Limit of entries in the configuration history.
inline constexpr std::size_t maxConfigurationHistory = 100;
/// Limit of state changes that a control member keeps for daemons that lag behind.
inline constexpr std::size_t maxStoredDeltas = 512;
/// Time for which a change is retried before its outcome is reported as unknown.
inline constexpr milliseconds changeTimeout { 5000 };
/// Time for which an order to evacuate a failure domain is retried. Shorter than changeTimeout, as operators of platforms
/// resend such an order to other members for 4 s only, and this member may be the one that has lost the leader.
inline constexpr milliseconds evacuationOrderTimeout { 1000 };
/// Timeout of a read of the newest configuration.
inline constexpr milliseconds readTimeout { 800 };
/// Interval at which an unanswered change is sent to the leader again.
inline constexpr milliseconds changeRetryInterval { 300 };
/// Timeout of waiting for a change to be in force at all daemons.
inline constexpr milliseconds inForceTimeout { 10000 };
/// Timeout of the leadership transfer before a planned stop.
inline constexpr milliseconds leadershipTransferTimeout { 1000 };
/// Time without a reply after which a daemon switches to another control member.
inline constexpr milliseconds sessionTimeout { 800 };
/// Age of the validity lease after which a daemon switches to another control member although the current one replies.
inline constexpr milliseconds sessionStaleTimeout { 1200 };
/// Interval at which a daemon renews its validity lease while the lease is older than sessionTimeout.
inline constexpr milliseconds sessionUrgentInterval { 100 };
/// Time after which a daemon returns to its preferred control member.
inline constexpr milliseconds sessionRebalanceTime { 10000 };
/// Margin for clock drift added to a validity lease.
inline constexpr milliseconds leaseMargin { 100 };

/// Time for which a grant may be spent: counted by the daemon from sending its request, by the owner of the rates from
/// receiving it.
inline constexpr milliseconds grantLifetime { 1500 };
/// A daemon stops spending a grant this long before the owner of the rates counts it as expired, because their clocks may
/// run at different speeds.
inline constexpr milliseconds grantExpiryMargin { 20 };
/// A daemon holds tokens for its expected demand of this time.
inline constexpr milliseconds grantHorizon { 2000 };
/// Time constant of a daemon's estimate of its demand.
inline constexpr milliseconds grantDemandWindow { 1000 };
/// Minimum interval between two grant requests of a daemon for one workspace.
inline constexpr milliseconds grantRequestSpacing { 10 };
/// Minimum interval between grant requests that only prefetch tokens, or that only raise the number of waiting requests.
inline constexpr milliseconds grantPrefetchSpacing { 150 };
/// Time after which a grant request without a reply is sent to the next control member.
inline constexpr milliseconds grantRequestRetry { 150 };
/// Maximum time until spent tokens are reported to the owner of the rates.
inline constexpr milliseconds grantReportInterval { 400 };
/// Maximum time that a request waits for a token.
inline constexpr milliseconds maxRateWait { 250 };
/// Maximum time that a request waits for a token while no owner of the rates replies, as during an election.
inline constexpr milliseconds maxRateWaitWithoutOwner { 1000 };
/// Maximum number of requests of one workspace that wait for a token in one daemon.
inline constexpr std::size_t maxRateWaiters = 256;
/// Retry-after time of a refusal while no owner of the rates can be reached.
inline constexpr milliseconds ownerUnreachableRetryAfter { 1000 };
/// Interval at which the owner of the rates grants tokens to the daemons that wait for them.
inline constexpr milliseconds grantServeInterval { 20 };

/// Time for which a request id stays claimed and its stored answer can be returned.
inline constexpr milliseconds claimRetention { 300000 };
/// Maximum time from the start of a round of claiming to its decision.
inline constexpr milliseconds claimRoundLimit { 1000 };
/// Interval at which a claim is sent again to members that have not voted, or a fetch to a daemon that has not replied.
inline constexpr milliseconds claimRequestRetry { 150 };
/// Maximum number of rounds of claiming for one request, for instance when votes are split.
inline constexpr int maxClaimRounds = 4;
/// Upper bound of the random pause before another round.
inline constexpr milliseconds maxClaimRoundPause { 40 };
/// Maximum time to wait for the claiming daemon's reply about the state of a request id.
inline constexpr milliseconds claimFetchTimeout { 400 };
/// Interval at which a release is sent again to members that have not confirmed it, and maximum number of sends.
inline constexpr milliseconds claimReleaseRetry { 300 };
inline constexpr int maxClaimReleaseAttempts = 10;
/// Control members that vote on one request id.
inline constexpr std::size_t claimReplicas = 3;
/// Claims in one page when a restarted member refills its replica from another one.
inline constexpr std::size_t claimRefillPageSize = 500;
/// Interval at which a restarted member requests missing pages again.
inline constexpr milliseconds claimRefillRetry { 200 };
/// Maximum total size of the answers that a daemon stores for requests that are sent again.
inline constexpr std::size_t maxStoredAnswerBytes = 4 * 1024 * 1024;
/// Maximum number of its own claims that a daemon stores.
inline constexpr std::size_t maxStoredClaims = 20000;

/// Interval at which a daemon sends a keep-alive report to the control member it is attached to.
inline constexpr milliseconds viewReportInterval { 1000 };
/// Time without a message after which the daemon attaches to another member.
inline constexpr milliseconds viewMemberTimeout { 1600 };
/// Minimum time between two attachments when links are lost.
inline constexpr milliseconds viewMinReattachInterval { 300 };
/// Time for which a control member batches changes before it pushes them to its daemons.
inline constexpr milliseconds viewPushDelay { 50 };
/// Interval at which a control member checks for lapsed servers and exchanges digests with the other members.
inline constexpr milliseconds viewTickInterval { 500 };
/// Time for which servers stay visible after the control member that owns their records became unresponsive.
inline constexpr milliseconds viewMemberGrace { 6000 };
/// Retention time of a lapsed server, so that its removal reaches every daemon.
inline constexpr milliseconds viewTombstoneRetention { 60000 };
/// Departures of backend servers in the replicated state. An announcement is late by seconds; as many servers leave in an hour of
/// a large fleet at most.
inline constexpr std::size_t maxRecordedDepartures = 1024;
/// Time for which a daemon submits a departure again.
inline constexpr milliseconds departureTimeout { 30000 };
/// Time after which a leave that is not recorded is answered with an error. Platforms wait for the answer for 1 s.
inline constexpr milliseconds leaveConfirmTimeout { 800 };
/// Time for which a start of a backend server whose clock says that it is not the latest one has to announce itself before it takes
/// over from a silent one: longer than the interval of announcements in which a server that is alive would have been heard.
inline constexpr milliseconds startTakeoverTime { 1200 };
/// Number of earlier starts of a backend server whose late announcements are recognized.
inline constexpr std::size_t maxEarlierStarts = 16;
/// Number of leave notices about unknown starts of backend servers that a daemon remembers.
inline constexpr std::size_t maxDepartures = 16;
/// Minimum time between two full views sent to one daemon.
inline constexpr milliseconds minFullViewInterval { 3000 };
/// The same for a daemon that has no view yet: longer than a reply takes, shorter than viewReportInterval.
inline constexpr milliseconds minFirstFullViewInterval { 500 };

} // namespace pw::config
