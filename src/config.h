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
/// Idle time after which a link between daemons is closed; longer than any deadline.
inline constexpr milliseconds linkIdleTimeout { 75000 };
/// Time without a frame from the peer, counted from something sent, after which it is asked for one.
inline constexpr milliseconds linkProbeAfter { 1000 };
/// Time without a frame from the peer, counted from something sent, after which the link is closed.
inline constexpr milliseconds linkDeadAfter { 3000 };
/// Time past a request's deadline that an entry daemon leaves the server-side daemon to give the truer verdict.
inline constexpr milliseconds deadlineGrace { 20 };
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

} // namespace pw::config
