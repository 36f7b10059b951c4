#include "core/pressure_meter.h"

#include <algorithm>
#include <cmath>

namespace pw {
namespace {

    /// Offered work below this share of the slots counts as this share.
    constexpr double leastRatio = 0.01;

    double seconds(Duration time)
    {
        return std::chrono::duration<double>(time).count();
    }

} // namespace

double PressureMeter::offered(TimePoint now) const
{
    return m_offered * std::exp(-seconds(now - m_offeredAt) / seconds(config::pressureWindow));
}

void PressureMeter::arrived(Duration work, TimePoint now)
{
    m_offered = offered(now) + seconds(work) / seconds(config::pressureWindow);
    m_offeredAt = now;
}

void PressureMeter::update(double slots, Duration wait, TimePoint now)
{
    const auto passed = std::min(seconds(now - m_updated), seconds(config::pressureWindow));
    m_updated = now;
    const auto ratio = std::max(offered(now) / std::max(slots, 1.0) / config::pressureTarget, leastRatio);
    const auto waiting = std::min(seconds(wait) / seconds(config::pressureWait), 1.0);
    // While calls wait, what arrives is work that was let in earlier: the price must not go on rising for it.
    const auto excess = std::log(ratio) + waiting * config::pressureWaitShare;
    const auto gain = excess < 0 ? config::pressureFallGain : config::pressureGain;
    const auto step = std::clamp(excess * gain, -config::pressureFall, config::pressureRise) * passed;
    m_logPrice = std::clamp(m_logPrice + step, config::leastLogPrice, config::mostLogPrice);
}

double PressureMeter::price() const
{
    return m_logPrice <= config::leastLogPrice ? 0 : std::exp(m_logPrice);
}

} // namespace pw
