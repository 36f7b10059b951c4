#pragma once

#include "app/settings.h"
#include "ports/events.h"
#include "ports/fleet.h"
#include "ports/peer_network.h"
#include "ports/timers.h"

#include <cstdint>
#include <memory>

namespace pw {

/// Entry role: this daemon's tokens of the fleet-wide rates, requested from the owner of the rates, which it finds among the
/// control members. Registers the handler for grant replies.
class DaemonGrants : public RateLimiter {
public:
    /// \param seed incarnation of this process and start of its sequence numbers; must differ at every start.
    DaemonGrants(const Settings& settings, PeerNetwork& network, Timers& timers, std::uint64_t seed, EventLog& events, FleetView& fleet);
    ~DaemonGrants() override;

    void takeToken(const std::string& workspace, TimePoint deadline, std::function<void(std::optional<Refusal>)> done) override;

    /// Replaces the control members, one of which owns the rates.
    void setMembers(std::vector<PeerAddress> members);

    /// Returns unspent tokens to the owner of the rates; called in a planned stop after the last request was admitted.
    void returnTokens();

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace pw
