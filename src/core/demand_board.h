#pragma once

#include "core/call.h"
#include "core/types.h"

#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace pw {

/// What a request of each route costs at the services it leads to, as answers told.
class DemandBoard {
public:
    /// Takes note of what an answer to a request of \p route said.
    void learn(const std::string& route, const std::vector<ServiceDemand>& demands, TimePoint now);

    /// \returns what a request of \p route costs at each service; a price fades when nothing is heard.
    std::vector<ServiceDemand> of(const std::string& route, TimePoint now) const;

    /// Forgets what was not heard of for long.
    void prune(TimePoint now);

private:
    struct Entry {
        double work = 0; ///< Seconds of a slot.
        double price = 0; ///< For a second of a slot.
        TimePoint heard {};
    };
    using Services = std::map<std::string, Entry>;

    std::unordered_map<std::string, Services> m_routes;
};

} // namespace pw
