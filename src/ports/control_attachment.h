#pragma once

#include "ports/peer_network.h"

namespace pw {

/// Port: the control member that this daemon is attached to.
class ControlAttachment {
public:
    virtual ~ControlAttachment() = default;

    /// \returns its address; empty if there is none.
    virtual const PeerAddress& controlMember() const = 0;
};

} // namespace pw
