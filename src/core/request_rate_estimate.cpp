#include "core/request_rate_estimate.h"

#include <cmath>

namespace pw {

double RequestRateEstimate::decayed(TimePoint now) const
{
    const std::chrono::duration<double> age = now - m_last;
    const std::chrono::duration<double> window = m_window;
    return m_count * std::exp(-age / window);
}

void RequestRateEstimate::add(TimePoint now)
{
    m_count = m_count > 0 ? decayed(now) + 1 : 1;
    m_last = now;
}

double RequestRateEstimate::rate(TimePoint now) const
{
    const std::chrono::duration<double> window = m_window;
    return m_count > 0 ? decayed(now) / window.count() : 0;
}

} // namespace pw
