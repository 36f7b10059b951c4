#pragma once

#include "config.h"
#include "core/types.h"

namespace pw {

/// Control loop for the price of a second of slot time at one backend server; the price expresses how scarce its slots are.
///
/// The inputs are the ratio of the offered load of nested calls to the server's slots, and the time these calls wait in its
/// queue. The price rises while more calls arrive than can be served, and settles where the upstream daemons refuse just
/// enough roots. Roots of the service itself are not counted, because they can be refused here before any work is done for
/// them. This protects a service deep in the call graph that several kinds of requests lead to.
class SlotPriceController {
public:
    /// Adds an arriving nested call to the offered load.
    /// \param work time that the call is expected to hold a slot.
    void callArrived(Duration work, TimePoint now);

    /// Updates the price.
    /// \param slots usable slots of the server.
    /// \param wait expected wait of nested calls in its queue.
    void update(double slots, Duration wait, TimePoint now);

    /// \returns the price; zero while slots are not scarce.
    double price() const;

    /// \returns the offered load in slots, averaged over config::offeredLoadWindow.
    double offered(TimePoint now) const;

private:
    double m_offered = 0;
    TimePoint m_offeredAt {};
    double m_logPrice = config::minLogPrice;
    TimePoint m_updated {};
};

} // namespace pw
