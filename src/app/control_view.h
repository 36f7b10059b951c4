#pragma once

#include "app/settings.h"
#include "ports/events.h"
#include "ports/peer_network.h"
#include "ports/timers.h"

#include <cstddef>
#include <cstdint>
#include <memory>

namespace pw {

/// Control role: collects the backend servers of the daemons attached here, shares them with the other control
/// members and pushes changes to the attached daemons. Handles MessageKind::ServerReport.
class ControlView {
public:
    /// \param seed identifies this process; must differ at every start.
    ControlView(const Settings& settings, PeerNetwork& network, Timers& timers, std::uint64_t seed, EventLog& events);
    ~ControlView();

    /// Replaces the addresses of the control members, this one included.
    void setMembers(std::vector<PeerAddress> members);

    /// \returns the number of daemons attached to this member.
    std::size_t attached() const;

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace pw
