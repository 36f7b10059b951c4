#pragma once

#include "app/control_log.h"
#include "core/member_selector.h"
#include "ports/control_attachment.h"
#include "ports/departure_registry.h"
#include "ports/suspect_registry.h"

namespace pw {

/// A daemon's session with one control member: receives the replicated state and renews the validity lease.
/// A daemon with the control role uses its own address, to which the network delivers locally.
class ControlSession final : public FleetView, public SuspectRegistry, public DepartureRegistry, public ControlAttachment {
public:
    /// \p network, \p timers and \p events must outlive this object.
    ControlSession(const Settings& settings, PeerNetwork& network, Timers& timers, std::uint64_t seed, EventLog& events,
        DeploymentParser parser);
    ~ControlSession() override;

    ControlSession(const ControlSession&) = delete;
    ControlSession& operator=(const ControlSession&) = delete;

    /// Selects a control member and starts the session.
    void start();

    const Deployment& deployment() const override;
    std::uint64_t version() const override;
    std::optional<std::string> workspaceOfKey(const KeyDigest& digest) const override;
    bool keysValid(TimePoint now) const override;
    bool isEvacuated(const std::string& failureDomain) const override;
    void onChanged(std::function<void()> handler) override;

    /// Adds a handler that is called with the control members when they have changed.
    void onMembers(std::function<void(const std::vector<MemberLocation>&)> handler);

    /// \returns the evacuated failure domains, as known to this daemon.
    std::vector<std::string> evacuatedDomains() const;

    /// \returns the log index up to which this daemon has applied the state.
    std::uint64_t appliedIndex() const;

    const PeerAddress& controlMember() const override;

    const SuspectMap& suspects() const override;
    void onSuspectsChanged(std::function<void()> handler) override;

    bool holdsEarlierDepartures() const override;
    bool hasDeparted(std::uint64_t start) const override;
    void onDeparturesChanged(std::function<void()> handler) override;

    /// \returns all control members, from the replicated state or, before it has been received, from the settings.
    std::vector<MemberLocation> controlMembers() const;

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace pw
