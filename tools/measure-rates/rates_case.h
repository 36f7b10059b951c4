#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>

namespace pw::measure {

/// How the requests of a workspace spread over the daemons.
enum class Spread : std::uint8_t {
    Even,
    Skewed, ///< Nine in ten come to a tenth of the daemons.
    Moving, ///< Skewed, to others every second.
    Count
};

/// One case of the rates.
struct RatesCase {
    std::string name;
    std::size_t daemons = 1;
    std::size_t workspaces = 8;
    double rate = 100; ///< Of each workspace.
    double burst = 100;
    double demand = 0.8; ///< Of each workspace, as a part of its rate.
    double greedyDemand = 0.8; ///< Of the first workspace.
    Spread spread = Spread::Even;
    std::chrono::milliseconds leaderGap { 0 }; ///< Time without an owner, every ten seconds.
    std::chrono::seconds time { 20 };
    std::uint64_t seed = 1;
};

/// What a case showed.
struct RatesResult {
    std::size_t asked = 0; ///< By workspaces inside their rate.
    std::size_t wrongful = 0; ///< Refused, although one bucket of the rate and the burst would have admitted it.
    double greedyShare = 0; ///< Admitted of the first workspace over what its rate allows.
    double worstFill = 0; ///< Highest fill of any workspace's leaking bucket, over its burst; above one breaks the bound.
    double daemonBytes = 0; ///< A second, sent and received.
    double daemonMessages = 0; ///< A second.
    double daemonProcessor = 0; ///< Part of a core.
    double ownerProcessor = 0; ///< Part of a core.
    double waitMillis99 = 0; ///< Time to a token, 99 in 100.
};

/// Runs a case in simulated time.
RatesResult runRates(const RatesCase& settings);

} // namespace pw::measure
