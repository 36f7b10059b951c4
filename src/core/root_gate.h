#pragma once

#include "core/call.h"
#include "core/types.h"

#include <map>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace pw {

/// Refuses roots that cost more, at the scarce services they lead to, than a request of their rank is worth: before any
/// work is done for them.
///
/// A request's burden is the sum of price and work over those services. The work counts by its root, so that of two
/// kinds of equal rank the cheaper one is served more, but neither starves. The share that is let through is worth over
/// burden, so that the work let through answers to the price in proportion; each rank is worth a fixed multiple of the
/// next.
/// Answers the load of a saturated deep service behind several kinds of request.
class RootGate {
public:
    /// Learns which ranks there are.
    void configure(const Deployment& deployment);

    /// Judges a root. \returns whether it may go.
    bool lets(const std::string& route, const std::string& workspace, const Rank& rank, const std::vector<ServiceDemand>& demands);

    /// \returns the share of requests that is let through.
    double shareOf(const Rank& rank, const std::vector<ServiceDemand>& demands) const;

private:
    double worthOf(const Rank& rank) const;

    std::vector<Rank> m_ranks; ///< The last is the least urgent.
    std::map<std::pair<std::string, std::string>, double> m_credits; ///< By route and workspace; turns shares into decisions.
};

} // namespace pw
