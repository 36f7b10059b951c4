#pragma once

#include "config.h"
#include "core/call.h"
#include "core/request_rate_estimate.h"
#include "core/types.h"

#include <map>
#include <string>
#include <utility>
#include <vector>

namespace pw {

/// Refuses roots whose cost at the scarce services they lead to exceeds the value of a request of their rank, before any
/// work is done for them.
///
/// The cost of a request is the sum of price times work over these services. The admitted share of a kind of requests is
/// value divided by cost: of two kinds of equal rank, proportionally more of the cheaper one is admitted, so that the slots
/// serve many requests and neither kind starves. The value of each rank is a fixed multiple of that of the next lower rank.
/// Prices of a service are scaled by the value of the lowest rank that leads to it, so that a price takes effect without
/// first having to rise to the level of that rank.
/// Requests of one route and rank share the admitted rate in proportion to the weights of their workspaces; a workspace
/// does not get a larger share by sending more.
/// This protects a saturated service deep in the call graph that several kinds of requests lead to, also when one
/// workspace sends most of them.
class RootThrottle {
public:
    /// Takes the ranks in use and the workspace rates, which serve as weights, from \p deployment.
    void configure(const Deployment& deployment);

    /// Counts a root and \returns whether it is admitted.
    bool admit(const std::string& route, const std::string& workspace, const Rank& rank, const std::vector<ServiceDemand>& demands, TimePoint now);

    /// \returns the share of requests that is admitted, over all workspaces.
    double admittedShare(const Rank& rank, const std::vector<ServiceDemand>& demands) const;

    /// \returns the number of tracked flows; a flow is a combination of route, rank and workspace.
    std::size_t trackedFlowCount() const;

private:
    /// Lowest rank of the requests that lead to a service.
    struct Lowest {
        Rank rank;
        TimePoint lastSeen {};
    };

    /// Requests of one workspace in a group.
    struct Flow {
        RequestRateEstimate demand { config::rootRateWindow };
        double credit = 0; ///< Accumulated share of admitted requests; a request is admitted when it reaches one.
    };
    /// Requests of one route and rank.
    struct Group {
        std::map<std::string, Flow> flows; ///< By workspace.
        double ratePerWeight = 0; ///< Admitted requests per second for each unit of weight.
        TimePoint nextUpdate {};
    };

    void removeStaleGroups(const Deployment& deployment);
    double valueOf(const Rank& rank) const;
    void recordRank(const Rank& rank, const std::vector<ServiceDemand>& demands, TimePoint now);
    /// \returns the factor applied to the price of \p service: the value of the lowest rank that leads to it.
    double priceScaleOf(const std::string& service) const;
    double weightOf(const std::string& workspace) const;
    void updateRatePerWeight(Group& group, double share, TimePoint now) const;

    std::vector<Rank> m_ranks; ///< Ordered from the highest rank to the lowest.
    std::map<std::string, Lowest> m_lowest; ///< By service.
    std::map<std::string, double> m_weights;
    std::map<std::pair<std::string, Rank>, Group> m_groups;
};

} // namespace pw
