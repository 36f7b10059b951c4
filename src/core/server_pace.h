#pragma once

#include "core/types.h"

#include <chrono>
#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace pw {

/// Recent work time of the runs at the backend server beside this daemon, by route. Entry daemons compare servers by it.
class ServerPace {
public:
    /// Records a run that ended with a complete response.
    /// \param work time at the backend server, without the time spent waiting for nested calls where that is known.
    void add(std::string_view route, Duration work, TimePoint now);

    /// \returns the average work time of \p route; zero if it is unknown or no run has ended recently.
    std::chrono::microseconds workTime(std::string_view route, TimePoint now) const;

    /// Forgets the runs, for instance of a backend server that has been replaced.
    void reset() { m_routes.clear(); }

private:
    struct Average {
        double work = 0; ///< In clock ticks.
        TimePoint last {};
    };

    std::map<std::string, Average, std::less<>> m_routes;
};

} // namespace pw
