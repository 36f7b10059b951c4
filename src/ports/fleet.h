#pragma once

#include "core/types.h"

#include "ports/peer_network.h"

#include <array>
#include <cstddef>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace pw {

/// SHA-256 digest of a key. Keys themselves are never stored or sent between daemons.
using KeyDigest = std::array<std::byte, 32>;

/// Port: what this daemon has applied of the replicated state.
class FleetView {
public:
    virtual ~FleetView() = default;

    /// \returns the configuration in force here; empty until the first one arrived.
    virtual const Deployment& deployment() const = 0;

    /// \returns the version of the configuration in force here; zero before the first one.
    virtual std::uint64_t version() const = 0;

    /// \returns the workspace of a key that is issued and not withdrawn, or nothing.
    virtual std::optional<std::string> workspaceOfKey(const KeyDigest& digest) const = 0;

    /// \returns whether this daemon may judge keys now: its validity lease holds.
    virtual bool keysValid(TimePoint now) const = 0;

    /// Adds a handler called after a new configuration came in force here.
    virtual void onChanged(std::function<void()> handler) = 0;
};

/// Port: this daemon's share of the fleet-wide rates.
class RateGate {
public:
    virtual ~RateGate() = default;

    /// Takes one token of \p workspace, waiting for a grant until \p deadline when none is held.
    /// \param done called once, perhaps at once: std::nullopt when a token was taken, otherwise the refusal with
    ///     the time after which a token can be expected.
    virtual void take(const std::string& workspace, TimePoint deadline, std::function<void(std::optional<Refusal>)> done) = 0;
};

/// Outcome of claiming a caller's request id.
enum class ClaimOutcome : std::uint8_t {
    Granted, ///< First use of the id in the fleet: this daemon may dispatch the request, once.
    Running, ///< Another request with the id is running.
    Answered, ///< It has ended; its kept answer comes with the outcome.
    Unknown, ///< It was started, its outcome cannot be known.
    Unavailable, ///< No quorum could be asked; nothing was claimed.
    Count
};

/// Answer kept for a caller's re-send of the same request id.
struct KeptAnswer {
    int status = 0;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
    Refusal refusal;
};

/// Port: at most one run of a request id over the whole fleet.
class ClaimGate {
public:
    using Done = std::function<void(ClaimOutcome, std::optional<KeptAnswer>)>;

    virtual ~ClaimGate() = default;

    /// Claims \p requestId for \p workspace. \p done is called once, at \p deadline at the latest.
    virtual void claim(const std::string& workspace, const std::string& requestId, TimePoint deadline, Done done) = 0;

    /// Ends a granted claim. A refusal with Verdict::NotRun gives the id free again; every other end is kept.
    virtual void finish(const std::string& workspace, const std::string& requestId, KeptAnswer answer) = 0;
};

/// A backend server as the membership view knows it.
struct ServerEntry {
    std::string name; ///< Unique in the fleet: the name of the daemon beside it.
    std::string service;
    std::string daemon; ///< PeerAddress of the daemon beside it.
    std::string failureDomain;
    std::string region;
    std::uint32_t slots = 0;
    std::uint32_t connections = 0;
    std::uint64_t incarnation = 0; ///< Grows with each start of its daemon.
    std::uint64_t sequence = 0; ///< Grows with each change within an incarnation.
    bool leaving = false;
    std::uint64_t backend = 0; ///< Start of the backend server; zero without a name, and of one that may come back.
};

/// Port: the membership view of backend servers.
class ServerDirectory {
public:
    virtual ~ServerDirectory() = default;

    /// \returns the servers of \p service that are not leaving; valid until the next change.
    virtual const std::vector<ServerEntry>& servers(const std::string& service) const = 0;

    /// \returns the number of servers of all services.
    virtual std::size_t serverCount() const = 0;

    /// Publishes the state of the backend server beside this daemon; repeated while it lives.
    virtual void publish(const ServerEntry& entry) = 0;

    /// Adds a handler called after the servers of a service changed.
    virtual void onChanged(std::function<void(const std::string& service)> handler) = 0;
};

/// Port: which control member leads the replicated log, as known here.
class Leadership {
public:
    virtual ~Leadership() = default;

    /// \returns whether this process leads and its leader lease holds: nobody else can act as leader now.
    virtual bool leading(TimePoint now) const = 0;

    /// \returns the epoch (raft term) that fences what this leader gives out.
    virtual std::uint64_t epoch() const = 0;

    /// \returns the address of the leader as last heard of, empty when unknown.
    virtual PeerAddress leader() const = 0;

    /// Adds a handler called when this process begins or ceases to lead.
    virtual void onChanged(std::function<void(bool leading)> handler) = 0;
};

} // namespace pw
