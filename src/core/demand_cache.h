#pragma once

#include "core/call.h"
#include "core/types.h"

#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace pw {

/// Service demands of each route, averaged over the reports in answers.
class DemandCache {
public:
    /// Records the demands reported in an answer to a request of \p route.
    void record(const std::string& route, const std::vector<ServiceDemand>& demands, TimePoint now);

    /// \returns the demands of a request of \p route; prices decay while no reports arrive.
    std::vector<ServiceDemand> demandsOf(const std::string& route, TimePoint now) const;

    /// Removes entries older than config::demandLifetime.
    void prune(TimePoint now);

private:
    struct Entry {
        double work = 0; ///< In seconds of slot time.
        double price = 0; ///< Per second of slot time.
        TimePoint updatedAt {};
    };
    using Services = std::map<std::string, Entry>;

    std::unordered_map<std::string, Services> m_routes;
};

} // namespace pw
