#include "core/slot_price_controller.h"

#include <algorithm>
#include <cmath>

namespace pw {
namespace {

    /// Lower bound of the load ratio, because its logarithm is used.
    constexpr double minRatio = 0.01;

    double seconds(Duration time)
    {
        return std::chrono::duration<double>(time).count();
    }

} // namespace

double SlotPriceController::offered(TimePoint now) const
{
    return m_offered * std::exp(-seconds(now - m_offeredAt) / seconds(config::offeredLoadWindow));
}

void SlotPriceController::callArrived(Duration work, TimePoint now)
{
    m_offered = offered(now) + seconds(work) / seconds(config::offeredLoadWindow);
    m_offeredAt = now;
}

void SlotPriceController::update(double slots, Duration wait, TimePoint now)
{
    const auto passed = std::min(seconds(now - m_updated), seconds(config::offeredLoadWindow));
    m_updated = now;
    const auto ratio = std::max(offered(now) / std::max(slots, 1.0) / config::targetUtilization, minRatio);
    const auto waiting = std::min(seconds(wait) / seconds(config::fullPenaltyWait), 1.0);
    // While calls wait, the arriving calls belong to roots that were admitted earlier. The bound on the wait penalty keeps
    // the price from rising further because of them.
    const auto excess = std::log(ratio) + waiting * config::maxWaitPenalty;
    const auto gain = excess < 0 ? m_control.fallGain : m_control.riseGain;
    const auto step = std::clamp(excess * gain, -m_control.maxFallPerSecond, m_control.maxRisePerSecond) * passed;
    m_logPrice = std::clamp(m_logPrice + step, m_control.minLogPrice, config::maxLogPrice);
}

double SlotPriceController::price() const
{
    return m_logPrice <= m_control.minLogPrice ? 0 : std::exp(m_logPrice);
}

} // namespace pw
