#include "core/demand_estimate.h"

#include <cmath>

namespace pw {

double DemandEstimate::decayed(TimePoint now) const
{
    const std::chrono::duration<double> age = now - m_last;
    const std::chrono::duration<double> window = m_window;
    return m_count * std::exp(-age / window);
}

void DemandEstimate::add(TimePoint now)
{
    m_count = m_count > 0 ? decayed(now) + 1 : 1;
    m_last = now;
}

double DemandEstimate::rate(TimePoint now) const
{
    const std::chrono::duration<double> window = m_window;
    return m_count > 0 ? decayed(now) / window.count() : 0;
}

} // namespace pw
