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

/// Port: the replicated state as applied by this daemon.
class FleetView {
public:
    virtual ~FleetView() = default;

    /// \returns the configuration in force at this daemon; empty before the first one.
    virtual const Deployment& deployment() const = 0;

    /// \returns the version of the configuration in force at this daemon; zero before the first one.
    virtual std::uint64_t version() const = 0;

    /// \returns the workspace of a key that has been issued and not withdrawn, otherwise nothing.
    virtual std::optional<std::string> workspaceOfKey(const KeyDigest& digest) const = 0;

    /// \returns whether this daemon may accept or reject keys now, because it holds a validity lease.
    virtual bool keysValid(TimePoint now) const = 0;

    /// \returns whether operators have evacuated \p failureDomain, according to the last state received: its backend servers
    /// get no new requests.
    virtual bool isEvacuated(const std::string& failureDomain) const = 0;

    /// Adds a handler that is called after a new configuration has come into force at this daemon, and after failure domains
    /// have been evacuated or their evacuation has been finished.
    virtual void onChanged(std::function<void()> handler) = 0;
};

/// Port: rate limits of the workspaces, which hold for the whole fleet.
class RateLimiter {
public:
    virtual ~RateLimiter() = default;

    /// Takes one token of \p workspace. If this daemon holds none, waits for a grant, until \p deadline at the latest.
    /// \param done called once, possibly before this function returns: with std::nullopt if a token was taken, otherwise with
    ///     the refusal, which states the time after which a token can be expected.
    virtual void takeToken(const std::string& workspace, TimePoint deadline, std::function<void(std::optional<Refusal>)> done) = 0;
};

/// Outcome of claiming a caller's request id.
enum class ClaimOutcome : std::uint8_t {
    Granted, ///< First use of the id in the fleet: this daemon may dispatch the request, once.
    Running, ///< Another request with the id is running.
    Answered, ///< The request has ended; its stored answer is passed along with the outcome.
    Unknown, ///< The request may have run; its outcome cannot be determined.
    Unavailable, ///< No quorum of control members replied; nothing was claimed.
    Count
};

/// Answer stored for a caller that sends the same request id again.
struct StoredAnswer {
    int status = 0;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
    Refusal refusal; ///< Verdict and reason of an answer that is a refusal.
};

/// Port: claims of request ids, so that each id runs at most once in the whole fleet.
class ClaimClient {
public:
    using Done = std::function<void(ClaimOutcome, std::optional<StoredAnswer>)>;

    virtual ~ClaimClient() = default;

    /// Claims \p requestId of \p workspace. \p done is called once, at \p deadline at the latest.
    virtual void claim(const std::string& workspace, const std::string& requestId, TimePoint deadline, Done done) = 0;

    /// Ends a granted claim. A refusal with Verdict::NotRun releases the id; any other answer is stored.
    virtual void finish(const std::string& workspace, const std::string& requestId, StoredAnswer answer) = 0;
};

/// Entry of a backend server in the membership view.
struct ServerEntry {
    std::string name; ///< Name of the daemon beside it; unique in the fleet.
    std::string service;
    std::string daemon; ///< PeerAddress of the daemon beside it.
    std::string failureDomain;
    std::string region;
    std::uint32_t slots = 0; ///< Requests that it runs at once.
    std::uint32_t connections = 0; ///< Connections that it accepts.
    std::uint64_t incarnation = 0; ///< Increases with each start of its daemon.
    std::uint64_t sequence = 0; ///< Increases with each change within an incarnation.
    bool leaving = false; ///< No new requests may be sent to it.
    std::uint64_t backendIncarnation = 0; ///< Identifies this start of the backend server, so that one that has left is not listed again; zero if it has
                                          ///< no identity or may come back.
    double warmUpRate = 0; ///< Requests per second that it is sent at most while it warms up; zero otherwise.
};

/// Port: the membership view of backend servers.
class ServerDirectory {
public:
    virtual ~ServerDirectory() = default;

    /// \returns the servers of \p service that are not leaving; the reference is valid until the next change.
    virtual const std::vector<ServerEntry>& servers(const std::string& service) const = 0;

    /// \returns the number of servers of all services.
    virtual std::size_t serverCount() const = 0;

    /// Publishes the state of the backend server beside this daemon; called periodically while it runs.
    virtual void publish(const ServerEntry& entry) = 0;

    /// Adds a handler that is called after the servers of a service have changed.
    virtual void onChanged(std::function<void(const std::string& service)> handler) = 0;
};

/// Port: leadership of the replicated log, as known to this daemon.
class Leadership {
public:
    virtual ~Leadership() = default;

    /// \returns whether this process leads and holds its leader lease, so that no other member can act as leader now.
    virtual bool leading(TimePoint now) const = 0;

    /// \returns the epoch (Raft term), which distinguishes the grants and decisions of this leader from those of others.
    virtual std::uint64_t epoch() const = 0;

    /// \returns the last known address of the leader; empty if unknown.
    virtual PeerAddress leader() const = 0;

    /// Adds a handler that is called when this process starts or stops leading.
    virtual void onChanged(std::function<void(bool leading)> handler) = 0;
};

} // namespace pw
