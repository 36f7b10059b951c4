#pragma once

#include <chrono>
#include <cstddef>

/// Constants of the slot prices and service demands; part of config.h.
namespace pw::config {

using std::chrono::milliseconds;

/// Averaging time of the offered load from which the price of slots is computed.
inline constexpr milliseconds offeredLoadWindow { 200 };
/// Ratio of offered load to slots at which the price is stable.
inline constexpr double targetUtilization = 0.9;
/// Queue wait of nested calls at which the wait penalty is largest, and that penalty, which is added to the logarithm of
/// the load ratio: as much as 1.5 times the offered load.
inline constexpr milliseconds fullPenaltyWait { 100 };
inline constexpr double maxWaitPenalty = 0.4;
/// Gains of the price control loop: change of log(price) per second for each unit of log(load ratio), and bounds of that
/// change. Callers react to a new price within a few hundred milliseconds, so gains of a few per second do not oscillate.
/// The price falls faster than it rises, because a price that is too high refuses requests that could be served.
inline constexpr double priceRiseGain = 2.0;
inline constexpr double priceFallGain = 4.0;
inline constexpr double maxLogPriceRisePerSecond = 4.0;
inline constexpr double maxLogPriceFallPerSecond = 6.0;
/// Bounds of log(price); at the lower bound slots are not scarce and the price is zero.
inline constexpr double minLogPrice = -1.0;
inline constexpr double maxLogPrice = 12.0;
/// Lower bound of log(price) where prices are passed on directly: 0.14 instead of 0.37. At 0.37 a root that makes eight calls
/// of 71 ms is admitted at 0.24 from the first price on; the averaging along the chain hides that step.
inline constexpr double minDirectLogPrice = -2.0;
/// Change of log2(price) that is logged, and the minimum time between two such log lines.
inline constexpr double priceLogStep = 2.0;
inline constexpr milliseconds priceLogInterval { 250 };
/// Interval at which the learned call counts decay, and the decay factor.
inline constexpr milliseconds callGraphDecayInterval { 1000 };
inline constexpr double callGraphDecayFactor = 0.9;
/// Minimum time between two reports of a route's service demands to the same daemon.
inline constexpr milliseconds demandReportInterval { 50 };
/// Averaging time of the service demands that several backend servers report, and the minimum weight of one report.
inline constexpr milliseconds demandAveragingTime { 150 };
inline constexpr double minDemandSampleWeight = 0.1;
/// Age from which a reported price decays, with a half-life of the same length, and age at which the report is discarded.
inline constexpr milliseconds demandFadeTime { 500 };
inline constexpr milliseconds demandLifetime { 5000 };
/// Minimum time between two reports of a server's price, and between two sets of prices sent to the same daemon.
inline constexpr milliseconds slotPriceInterval { 50 };
/// Age at which the reported price of a server is discarded; the daemon beside it renews the price with its answers.
inline constexpr milliseconds slotPriceLifetime { 2000 };
/// Limits of servers with a known price in a daemon, and of prices in one answer.
inline constexpr std::size_t maxSlotPrices = 256;
inline constexpr std::size_t maxSlotPricesPerAnswer = 16;
/// Unit of work in the cost of a request: the price of slots applies to this much slot time.
inline constexpr milliseconds referenceWork { 50 };

} // namespace pw::config
