#pragma once

#include "app/settings.h"
#include "core/member_selector.h"
#include "ports/events.h"
#include "ports/fleet.h"
#include "ports/peer_network.h"
#include "ports/timers.h"

#include <cstdint>
#include <memory>

namespace pw {

/// A daemon's copy of the membership view, received from the control member it is attached to, and the reports about its
/// own backend server. Handles MessageKind::ViewDelta.
class DaemonView : public ServerDirectory {
public:
    /// \param seed random number that spreads the reports of daemons over the report interval.
    DaemonView(const Settings& settings, PeerNetwork& network, Timers& timers, std::uint64_t seed, EventLog& events);
    ~DaemonView() override;

    /// Replaces the control members to select from.
    void setMembers(const std::vector<MemberLocation>& members);

    /// Announces \p entry until this object is destroyed; does nothing if this version is already announced.
    void publish(const ServerEntry& entry) override;

    const std::vector<ServerEntry>& servers(const std::string& service) const override;

    /// \returns whether a view has been received from a control member since the start.
    bool known() const;
    std::size_t serverCount() const override;
    void onChanged(std::function<void(const std::string& service)> handler) override;

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace pw
