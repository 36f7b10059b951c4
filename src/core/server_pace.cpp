#include "core/server_pace.h"

#include "config_pick.h"

#include <algorithm>

namespace pw {

void ServerPace::add(std::string_view route, Duration work, TimePoint now)
{
    auto it = m_routes.find(route);
    if (it == m_routes.end()) {
        if (m_routes.size() >= config::maxWorkTimeRoutes) {
            m_routes.erase(std::ranges::min_element(m_routes, {}, [](const auto& entry) { return entry.second.last; }));
        }
        it = m_routes.emplace(route, Average {}).first;
    }
    auto& average = it->second;
    const auto sample = static_cast<double>(std::max(work, Duration(0)).count());
    const auto isKnown = average.work > 0 && now - average.last < config::workTimeSilence;
    average.work = isKnown ? average.work + (sample - average.work) * config::workTimeWeight : sample;
    average.last = now;
}

std::chrono::microseconds ServerPace::workTime(std::string_view route, TimePoint now) const
{
    const auto it = m_routes.find(route);
    if (it == m_routes.end() || now - it->second.last >= config::workTimeSilence) {
        return std::chrono::microseconds(0);
    }
    return std::chrono::duration_cast<std::chrono::microseconds>(Duration(static_cast<Duration::rep>(it->second.work)));
}

} // namespace pw
