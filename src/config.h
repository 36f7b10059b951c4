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
/// Time for which a leader acts after it sent what a quorum acknowledged.
inline constexpr milliseconds raftLeaderLease { 300 };
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
/// Keys kept, withdrawn ones included.
inline constexpr std::size_t maxKeys = 10000;
/// Answers to changes kept for re-sends.
inline constexpr std::size_t keptAnswers = 4096;
/// Configuration versions kept in the history.
inline constexpr std::size_t keptConfigurationSteps = 100;
/// State changes kept by a control member for daemons that lag.
inline constexpr std::size_t keptDeltas = 512;
/// Time for which a change is repeated before it is answered as unknown.
inline constexpr milliseconds changeTimeout { 5000 };
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
/// Interval after which a daemon goes back to the control member that it prefers.
inline constexpr milliseconds sessionRebalance { 60000 };
/// Margin for clocks that run at different speeds, on top of a validity lease.
inline constexpr milliseconds leaseMargin { 100 };

} // namespace pw::config
