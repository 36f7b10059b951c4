#pragma once

#include "core/slot_price_controller.h"
#include "core/types.h"

#include <cstdint>
#include <memory>
#include <vector>

/// Simulation of a fleet with four levels of services, without a network: real admission, pickers, price controllers and root
/// throttles; simulated backend servers, links and callers.
namespace pw::play {

/// How prices reach the entry daemons; the values of `admission.prices`.
enum class PriceMode : std::uint8_t {
    Chain,
    Direct,
};

/// Load and faults of one run.
struct PricePlay {
    const char* name = "";
    double demand = 1; ///< Multiple of the usual rates.
    double step = 0; ///< Multiple from stepBegin for stepLength; zero: none.
    Duration stepBegin = std::chrono::seconds(8);
    Duration stepLength = std::chrono::seconds(3);
    double amplitude = 0; ///< Of a wave of 13 s, relative to the demand.
    Duration crashAt {}; ///< When half of the servers of the deepest service crash; zero: never.
    Duration cutAt {}; ///< From when on, for 3 s, responses of the servers in the first failure domain to the others are lost.
    Duration dropAt {}; ///< From when on, for 3 s, reports of prices and demands are lost while responses arrive.
    Duration length = std::chrono::seconds(22);
};

/// What callers got, of the roots sent after the first 4 s.
struct PriceResult {
    int sent = 0;
    int inTime = 0; ///< Answered within the target of their kind.
    int late = 0; ///< Answered after it.
    int refused = 0; ///< Not run.
    int failed = 0; ///< Failed after they had started.
    double wastedWork = 0; ///< Slot time spent on failed roots, in seconds.
    double worstSecond = 1; ///< Lowest share that was answered in time, of the roots sent in one second.
    int largestReport = 0; ///< Most prices in one answer.
};

/// \param control of the price controllers.
PriceResult playPrices(const PricePlay& play, PriceMode mode, std::uint64_t seed, const PriceControl& control);
/// Same, with the control that the daemon uses in \p mode.
PriceResult playPrices(const PricePlay& play, PriceMode mode, std::uint64_t seed);

} // namespace pw::play
