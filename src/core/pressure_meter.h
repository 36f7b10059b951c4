#pragma once

#include "config.h"
#include "core/types.h"

namespace pw {

/// How scarce the slots of one backend server are, as a price for each second of a slot.
///
/// The price follows the work of nested calls that arrive over what the server can do, and their wait in its queue. It
/// rises while more come than can be served, and settles where callers upstream hold back just enough roots. Roots of
/// the service itself do not count: they can be refused here before any work is done for them.
/// Answers the load of a deep service that several kinds of request lead to.
class PressureMeter {
public:
    /// Takes note of a nested call that arrives with \p work, the time it is expected to hold a slot.
    void arrived(Duration work, TimePoint now);

    /// Takes note of the server's state.
    /// \param slots that may be used at once.
    /// \param wait of nested calls in its queue.
    void update(double slots, Duration wait, TimePoint now);

    /// \returns the price; zero while slots are not scarce.
    double price() const;

    /// \returns slots that the arriving work would fill, averaged over config::pressureWindow.
    double offered(TimePoint now) const;

private:
    double m_offered = 0;
    TimePoint m_offeredAt {};
    double m_logPrice = config::leastLogPrice;
    TimePoint m_updated {};
};

} // namespace pw
