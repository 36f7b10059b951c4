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

/// A daemon attached to a control member, for operators.
struct DaemonRow {
    std::string name;
    PeerAddress address;
    std::uint64_t appliedIndex = 0;
    std::uint64_t version = 0;
    std::chrono::milliseconds silence { 0 }; ///< Since it was last heard of.
};

/// What a control member knows, for operators.
struct ControlReport {
    std::string role; ///< Of this member in the replicated log.
    std::uint64_t epoch = 0;
    PeerAddress leader; ///< Empty when unknown.
    std::uint64_t commitIndex = 0;
    std::uint64_t appliedIndex = 0;
    std::uint64_t version = 0;
    std::chrono::milliseconds completeAge { 0 }; ///< How long ago the applied state was complete for certain.
    std::string reason; ///< Why this member stopped, if it did.
    std::vector<ControlMemberRecord> members;
    std::vector<DaemonRow> daemons;
};

/// One accepted configuration.
struct HistoryRow {
    std::uint64_t version = 0;
    std::uint64_t index = 0;
    std::string changeId;
};

/// Port: the replicated state as operators use it, at any control member. Nothing here waits in the call itself.
class OperatorBackend {
public:
    using Done = std::function<void(const ChangeResult&)>;

    virtual ~OperatorBackend() = default;

    /// Submits \p change. \p done is called once with what is truly known.
    virtual void submit(Change change, Done done) = 0;

    /// Calls \p done once with the newest accepted configuration, or with null when this member cannot be sure which that
    /// is. The record is valid within the call.
    virtual void readLatest(std::function<void(const ConfigurationRecord*)> done) = 0;

    /// Calls \p done once, with true when every daemon applied log index \p index or may not judge keys any more.
    virtual void inForce(std::uint64_t index, std::function<void(bool)> done) = 0;

    /// Removes a control member for good, by name.
    virtual void removeMember(const std::string& name, Done done) = 0;

    /// Founds the cluster. \returns false with \p reason when that is not allowed now.
    virtual bool bootstrap(std::string& reason) = 0;

    virtual ControlReport report() const = 0;
    /// \returns the configuration applied at this member.
    virtual const ConfigurationRecord& configuration() const = 0;
    /// \returns the keys by id, withdrawn ones too.
    virtual const std::map<std::string, KeyRecord>& keys() const = 0;
    /// \returns the latest accepted configurations, oldest first.
    virtual std::vector<HistoryRow> history() const = 0;
};

/// The backend server beside a daemon, for operators.
struct LocalServerReport {
    ServerEntry entry;
    LoadHint load;
};

/// What a daemon knows of itself.
struct DaemonStatus {
    std::string name;
    std::string region;
    std::string failureDomain;
    std::vector<std::string> roles;
    PeerAddress address;
    std::uint64_t version = 0;
    std::uint64_t appliedIndex = 0;
    bool keysValid = false; ///< Its validity lease holds.
    std::optional<LocalServerReport> server;
};

/// Port: the daemon that an operator speaks to, whatever its roles.
class LocalDaemon {
public:
    virtual ~LocalDaemon() = default;

    virtual DaemonStatus report() const = 0;
    /// \returns the backend servers of every configured service that are known here.
    virtual std::vector<ServerEntry> servers() const = 0;
    /// Lets the backend server beside this daemon leave. \returns false with \p reason when there is none.
    virtual bool drain(std::string& reason) = 0;
};

} // namespace pw
