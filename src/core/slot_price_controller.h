#pragma once

#include "config.h"
#include "core/types.h"

namespace pw {

/// Parameters of the price control loop; see config::priceRiseGain.
struct PriceControl {
    double riseGain = config::priceRiseGain;
    double fallGain = config::priceFallGain;
    double maxRisePerSecond = config::maxLogPriceRisePerSecond;
    double maxFallPerSecond = config::maxLogPriceFallPerSecond;
    double minLogPrice = config::minLogPrice;
};

/// Parameters where prices are passed on directly (`admission.prices: direct`).
inline constexpr PriceControl directPriceControl { .minLogPrice = config::minDirectLogPrice };

/// Control loop for the price of a second of slot time at one backend server; the price expresses how scarce its slots are.
///
/// The inputs are the ratio of the offered load of nested calls to the server's slots, and the time these calls wait in its
/// queue. The price rises while more calls arrive than can be served, and settles where the upstream daemons refuse just
/// enough roots. Roots of the service itself are not counted, because they can be refused here before any work is done for
/// them. This protects a service deep in the call graph that several kinds of requests lead to.
class SlotPriceController {
public:
    explicit SlotPriceController(const PriceControl& control = {})
        : m_control(control)
        , m_logPrice(control.minLogPrice)
    {
    }

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
    PriceControl m_control;
    double m_logPrice;
    double m_offered = 0;
    TimePoint m_offeredAt {};
    TimePoint m_updated {};
};

} // namespace pw
