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

/// Turns the text of a configuration into a deployment, or says why not.
using DeploymentParser = std::function<std::optional<Deployment>(const std::string& yaml, std::string& reason)>;

/// Role of a control member in the replicated log.
enum class ControlRole : std::uint8_t {
    Empty, ///< No cluster yet: waits to be taken in, or to be bootstrapped.
    Learner,
    Follower,
    Candidate,
    Leader,
    Stopped, ///< Its storage failed or was refused.
    Count
};

/// \returns the stable name of \p role, as operators see it.
std::string_view controlRoleName(ControlRole role);

/// A daemon attached to this control member.
struct SessionStatus {
    PeerAddress daemon;
    std::string name;
    std::uint64_t appliedIndex = 0;
    std::uint64_t version = 0;
    std::chrono::milliseconds silence { 0 }; ///< Since its last ask.
};

/// What this control member knows, for operators.
struct ControlStatus {
    ControlRole role = ControlRole::Empty;
    std::uint64_t epoch = 0;
    PeerAddress leader; ///< Empty when unknown.
    std::uint64_t commitIndex = 0;
    std::uint64_t appliedIndex = 0;
    std::uint64_t version = 0;
    std::chrono::milliseconds completeAge { 0 }; ///< How long ago the applied state was complete for certain.
    std::vector<ControlMemberRecord> members;
    std::vector<SessionStatus> sessions;
    std::string reason; ///< Why the role is Stopped.
};

/// The control role: a member of the replicated log that serves the state to daemons.
class ControlLog final : public Leadership {
public:
    using Done = std::function<void(const ChangeResult&)>;

    /// \p storage, \p network, \p timers and \p events must outlive this object.
    ControlLog(const Settings& settings, PeerNetwork& network, Timers& timers, std::uint64_t seed, EventLog& events,
        LogStorage& storage, DeploymentParser parser);
    ~ControlLog() override;

    ControlLog(const ControlLog&) = delete;
    ControlLog& operator=(const ControlLog&) = delete;

    /// Opens the storage and joins the log. \returns false with \p reason when the storage is refused.
    bool start(std::string& reason);

    /// Founds a new cluster with this member alone; the other members named in the settings then join it.
    /// Allowed only while this member and all others named in the settings are reachable and empty.
    /// \returns false with \p reason when that does not hold (yet).
    bool bootstrap(std::string& reason);

    /// Submits \p change at this member, or through it at the leader; repeats it safely until
    /// config::changeTimeout. \p done is called once with what is truly known.
    void submit(Change change, Done done);

    /// Calls \p done with the newest accepted configuration once this member knows that nothing newer had been accepted
    /// when it was asked; with null when it could not find that out within config::readTimeout.
    void readLatest(std::function<void(const ConfigurationRecord*)> done);

    /// Calls \p done with true once every daemon applied log index \p index or may not judge keys any more;
    /// with false when that could not be found out within config::inForceTimeout.
    void inForce(std::uint64_t index, std::function<void(bool)> done);

    /// Removes a control member for good, by name. Takes effect at the leader only.
    void removeMember(const std::string& name, Done done);

    /// Hands the leadership to another member, for a planned stop. \p done is called once nothing is led here.
    void handOver(std::function<void()> done);

    ControlStatus status() const;

    /// \returns the applied replicated state.
    const FleetImage& image() const;

    /// \returns the latest accepted configurations, oldest first.
    std::vector<ConfigurationStep> history() const;

    bool leading(TimePoint now) const override;
    std::uint64_t epoch() const override;
    PeerAddress leader() const override;
    void onChanged(std::function<void(bool leading)> handler) override;

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace pw
