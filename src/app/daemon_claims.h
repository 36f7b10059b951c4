#pragma once

#include "app/settings.h"
#include "ports/events.h"
#include "ports/fleet.h"
#include "ports/peer_network.h"
#include "ports/timers.h"

#include <cstdint>
#include <memory>

namespace pw {

/// Entry role: claims request ids with a majority of their control members and keeps the answers for re-sends.
/// Registers ClaimReply, ClaimFetch and ClaimFetched.
class DaemonClaims : public ClaimGate {
public:
    /// \param seed differs at every start of the process.
    DaemonClaims(const Settings& settings, PeerNetwork& network, Timers& timers, std::uint64_t seed, EventLog& events);
    ~DaemonClaims() override;

    void claim(const std::string& workspace, const std::string& requestId, TimePoint deadline, Done done) override;
    void finish(const std::string& workspace, const std::string& requestId, KeptAnswer answer) override;

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace pw
