#pragma once

#include "app/settings.h"
#include "ports/events.h"
#include "ports/fleet.h"
#include "ports/peer_network.h"
#include "ports/timers.h"

#include <cstdint>
#include <memory>

namespace pw {

/// Entry role: claims request ids at a majority of the control members that hold their replicas, and stores the answers for
/// requests that are sent again. Registers the handlers for votes, fetches and their replies.
class DaemonClaims : public ClaimClient {
public:
    /// \param seed seed of the random numbers that identify rounds; must differ at every start of the process.
    DaemonClaims(const Settings& settings, PeerNetwork& network, Timers& timers, std::uint64_t seed, EventLog& events);
    ~DaemonClaims() override;

    void claim(const std::string& workspace, const std::string& requestId, TimePoint deadline, Done done) override;
    void finish(const std::string& workspace, const std::string& requestId, StoredAnswer answer) override;

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace pw
