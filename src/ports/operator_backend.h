#pragma once

#include "core/call.h"
#include "core/change.h"
#include "core/fleet_image.h"
#include "ports/fleet.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace pw {

/// A daemon that has a session with a control member.
struct AttachedDaemon {
    std::string name;
    PeerAddress address;
    std::uint64_t appliedIndex = 0; ///< Log index up to which it applied the replicated state.
    std::uint64_t version = 0; ///< Of the configuration that it applied.
    std::chrono::milliseconds sinceLastContact { 0 };
};

/// State of a control member, as reported to operators.
struct ControlReport {
    std::string role; ///< Raft role of this member.
    std::uint64_t epoch = 0; ///< Epoch of the replicated log.
    PeerAddress leader; ///< Empty when unknown.
    std::uint64_t commitIndex = 0;
    std::uint64_t appliedIndex = 0;
    std::uint64_t version = 0; ///< Of the applied configuration.
    std::chrono::milliseconds completeAge { 0 }; ///< Age of the latest confirmation that the applied state was complete.
    std::string reason; ///< Why this member stopped, if it did.
    std::vector<ControlMemberRecord> members;
    std::vector<AttachedDaemon> daemons; ///< Daemons with a session at this member.
};

/// An accepted configuration in the history.
struct ConfigurationHistoryEntry {
    std::uint64_t version = 0;
    std::uint64_t index = 0; ///< Log index of the change.
    std::string changeId;
};

/// Port: access of operators to the replicated state, at any control member. No function blocks.
class OperatorBackend {
public:
    using Done = std::function<void(const ChangeResult&)>; ///< Receives the result of a change.

    virtual ~OperatorBackend() = default;

    /// Submits \p change; an evacuation without a base revision is based on the one known at this member. \p done is called exactly once; its outcome is Unknown when the change may have been applied.
    virtual void submit(Change change, Done done) = 0;

    /// Calls \p done once with the latest accepted configuration, or with null when this member can't determine it.
    /// The record is valid only during the call.
    virtual void readLatest(std::function<void(const ConfigurationRecord*)> done) = 0;

    /// Calls \p done once, with true as soon as every daemon has applied log index \p index or no longer holds a validity
    /// lease, and with false when that isn't confirmed in time.
    virtual void awaitInForce(std::uint64_t index, std::function<void(bool)> done) = 0;

    /// Permanently removes the control member \p name.
    virtual void removeMember(const std::string& name, Done done) = 0;

    /// Bootstraps a new cluster with this member. \returns false with \p reason when that isn't allowed now.
    virtual bool bootstrap(std::string& reason) = 0;

    virtual ControlReport report() const = 0;
    /// \returns the configuration applied at this member.
    virtual const ConfigurationRecord& configuration() const = 0;
    /// \returns the keys by id, including withdrawn ones.
    virtual const std::map<std::string, KeyRecord>& keys() const = 0;
    /// \returns the evacuations by failure domain, including finished ones.
    virtual const std::map<std::string, EvacuationRecord>& evacuations() const = 0;
    /// \returns the requests that were running when backend servers crashed.
    virtual const SuspectMap& suspects() const = 0;
    /// \returns the latest accepted configurations, oldest first.
    virtual std::vector<ConfigurationHistoryEntry> history() const = 0;
};

/// The backend server beside a daemon, as reported to operators.
struct LocalServerReport {
    ServerEntry entry;
    LoadHint load;
};

/// State of a daemon, as reported to operators.
struct DaemonStatus {
    std::string name;
    std::string region;
    std::string failureDomain;
    std::vector<std::string> roles;
    PeerAddress address;
    std::uint64_t version = 0; ///< Of the applied configuration.
    std::uint64_t appliedIndex = 0; ///< Log index up to which it applied the replicated state.
    bool keysValid = false; ///< Whether its validity lease holds, so that it may check keys.
    std::vector<std::string> evacuatedDomains; ///< Evacuated failure domains, as known to it.
    std::optional<LocalServerReport> server;
};

/// Port: the daemon that receives an operator's request, whatever its roles.
class LocalDaemon {
public:
    virtual ~LocalDaemon() = default;

    virtual DaemonStatus report() const = 0;
    /// \returns the backend servers of all configured services known to this daemon.
    virtual std::vector<ServerEntry> servers() const = 0;
    /// Drains the backend server beside this daemon. \returns false with \p reason when there is none.
    virtual bool drain(std::string& reason) = 0;
};

} // namespace pw
