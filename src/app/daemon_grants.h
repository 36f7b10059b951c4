#pragma once

#include "app/settings.h"
#include "ports/events.h"
#include "ports/fleet.h"
#include "ports/peer_network.h"
#include "ports/timers.h"

#include <cstdint>
#include <memory>

namespace pw {

/// Entry role: this daemon's tokens of the fleet-wide rates. Registers GrantReply; finds the owner by itself.
class DaemonGrants : public RateGate {
public:
    /// \param seed differs at every start of the process.
    DaemonGrants(const Settings& settings, PeerNetwork& network, Timers& timers, std::uint64_t seed, EventLog& events, FleetView& fleet);
    ~DaemonGrants() override;

    void take(const std::string& workspace, TimePoint deadline, std::function<void(std::optional<Refusal>)> done) override;

    /// Replaces the control members among which the owner of the rates is looked for.
    void setMembers(std::vector<PeerAddress> members);

    /// Gives unspent tokens back to the owner; part of a planned stop, after the last request was admitted.
    void returnAll();

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace pw
