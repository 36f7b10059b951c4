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

/// Time for which a grant may be spent, from when its daemon asked for it; at the owner from when the ask came.
inline constexpr milliseconds grantLifetime { 1500 };
/// Part of a grant's lifetime that its daemon leaves unused, against clocks that run at different speeds.
inline constexpr milliseconds grantMargin { 20 };
/// Time ahead for which a daemon holds tokens of the demand that it sees.
inline constexpr milliseconds grantHorizon { 1500 };
/// Time constant of a daemon's estimate of its demand.
inline constexpr milliseconds grantDemandWindow { 1000 };
/// Shortest time between two asks of a daemon for one workspace.
inline constexpr milliseconds grantAskSpacing { 10 };
/// Time after which an ask without a reply is repeated, to the next control member.
inline constexpr milliseconds grantAskRetry { 150 };
/// Longest time for which spent tokens stay unreported.
inline constexpr milliseconds grantReportInterval { 400 };
/// Longest time that a request waits for a token.
inline constexpr milliseconds rateWait { 250 };
/// Requests of one workspace that wait for a token in one daemon, at most.
inline constexpr std::size_t maxRateWaiters = 256;
/// Time to retry that is named when no owner of the rates can be reached.
inline constexpr milliseconds rateRetryUnreachable { 1000 };
/// Interval at which the owner of the rates serves the daemons that wait for tokens.
inline constexpr milliseconds grantServeInterval { 5 };

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

} // namespace pw::config
