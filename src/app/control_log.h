#pragma once

#include "app/settings.h"
#include "core/fleet_state.h"
#include "ports/events.h"
#include "ports/log_storage.h"
#include "ports/timers.h"

#include <functional>
#include <memory>
#include <optional>

namespace pw {

/// Parses the text of a configuration; sets \c reason on failure.
using DeploymentParser = std::function<std::optional<Deployment>(const std::string& yaml, std::string& reason)>;

/// Role of a control member in the replicated log.
enum class ControlRole : std::uint8_t {
    Empty, ///< Belongs to no cluster: waits to join one or to be bootstrapped.
    Learner,
    Follower,
    Candidate,
    Leader,
    Stopped, ///< Its storage failed or could not be opened.
    Count
};

/// \returns the stable name of \p role, as shown to operators.
std::string_view controlRoleName(ControlRole role);

/// A daemon attached to this control member.
struct SessionStatus {
    PeerAddress daemon;
    std::string name;
    std::uint64_t appliedIndex = 0;
    std::uint64_t version = 0;
    std::chrono::milliseconds silence { 0 }; ///< Time since its last request.
};

/// Status of this control member, for operators.
struct ControlStatus {
    ControlRole role = ControlRole::Empty;
    std::uint64_t epoch = 0; ///< Raft term.
    PeerAddress leader; ///< Empty if unknown.
    std::uint64_t commitIndex = 0;
    std::uint64_t appliedIndex = 0;
    std::uint64_t version = 0; ///< Configuration version.
    std::chrono::milliseconds completeAge { 0 }; ///< Time since the applied state was known to be complete.
    std::vector<ControlMemberRecord> members;
    std::vector<SessionStatus> sessions;
    std::string reason; ///< Reason why the role is Stopped.
};

/// The control role: a member of the replicated log that serves the replicated state to daemons.
class ControlLog final : public Leadership {
public:
    using Done = std::function<void(const ChangeResult&)>;

    /// \p storage, \p network, \p timers and \p events must outlive this object.
    ControlLog(const Settings& settings, PeerNetwork& network, Timers& timers, std::uint64_t seed, EventLog& events,
        LogStorage& storage, DeploymentParser parser);
    ~ControlLog() override;

    ControlLog(const ControlLog&) = delete;
    ControlLog& operator=(const ControlLog&) = delete;

    /// Opens the storage and starts the log member; tries again later if the storage cannot be opened for a reason that may pass.
    /// \returns false with \p reason when it cannot be opened for another one.
    bool start(std::string& reason);

    /// Creates a new cluster with this member only; the other members named in the settings then join it.
    /// Allowed only while this member and all others named in the settings are reachable and empty.
    /// \returns false with \p reason when that is not (yet) the case.
    bool bootstrap(std::string& reason);

    /// Submits \p change, directly or by forwarding it to the leader; retries idempotently until
    /// config::changeTimeout. Calls \p done once with the outcome, which is Unknown when it could not be determined.
    void submit(Change change, Done done);

    /// Linearizable read: calls \p done with the newest configuration accepted before this call, or with null when it
    /// could not be confirmed within config::readTimeout.
    void readLatest(std::function<void(const ConfigurationRecord*)> done);

    /// Calls \p done with true once every daemon has applied log index \p index or has lost its validity lease;
    /// with false when that could not be confirmed within config::inForceTimeout.
    void awaitInForce(std::uint64_t index, std::function<void(bool)> done);

    /// Removes the control member called \p name permanently. Takes effect at the leader only.
    void removeMember(const std::string& name, Done done);

    /// Transfers leadership to another member, for a planned stop. Calls \p done once this member no longer leads, or
    /// after config::leadershipTransferTimeout.
    void transferLeadership(std::function<void()> done);

    ControlStatus status() const;

    /// \returns the applied replicated state.
    const FleetImage& image() const;

    /// \returns the latest accepted configurations, oldest first.
    std::vector<ConfigurationRevision> history() const;

    bool leading(TimePoint now) const override;
    std::uint64_t epoch() const override;
    PeerAddress leader() const override;
    void onChanged(std::function<void(bool leading)> handler) override;

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace pw
