#include "core/service_time.h"

#include "config.h"

#include <cmath>

namespace pw {

void ServiceTime::add(Duration value, TimePoint now)
{
    auto sample = static_cast<double>(value.count());
    m_average = m_average == 0 ? sample : m_average + (sample - m_average) * config::serviceTimeWeight;
    m_last = now;
}

Duration ServiceTime::estimate(TimePoint now) const
{
    auto silence = std::chrono::duration<double>(now - m_last) / std::chrono::duration<double>(config::serviceTimeHalfLife);
    auto faded = silence > 1 ? m_average * std::exp2(1 - silence) : m_average;
    return Duration(static_cast<Duration::rep>(faded));
}

} // namespace pw
