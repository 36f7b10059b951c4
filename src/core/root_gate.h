#pragma once

#include "config.h"
#include "core/call.h"
#include "core/demand_estimate.h"
#include "core/types.h"

#include <map>
#include <string>
#include <utility>
#include <vector>

namespace pw {

/// Refuses roots that cost more, at the scarce services they lead to, than a request of their rank is worth: before any
/// work is done for them.
///
/// A request's burden is the sum of price times work over those services, and the share that is let through is worth over
/// burden: of two kinds of equal rank the cheaper one is served more, in proportion, so that the slots go to as many
/// requests as they can serve and neither kind starves. Each rank is worth a fixed multiple of the
/// next, and one by itself where no lower one leads to the service: its price needs no time to rise to where it counts.
/// Requests of one route and rank share what is let through by the weights of their workspaces: none gets more for asking
/// more.
/// Answers the load of a saturated deep service behind several kinds of request, one workspace asking for most.
class RootGate {
public:
    /// Learns which ranks there are, and the workspaces' rates as their weights.
    void configure(const Deployment& deployment);

    /// Judges a root. \returns whether it may go.
    bool lets(const std::string& route, const std::string& workspace, const Rank& rank, const std::vector<ServiceDemand>& demands, TimePoint now);

    /// \returns the share of requests that is let through, over all workspaces.
    double shareOf(const Rank& rank, const std::vector<ServiceDemand>& demands) const;

    /// \returns how many flows of a route, rank and workspace are remembered.
    std::size_t flows() const;

private:
    /// Requests of the lowest rank that lead to a service.
    struct Lowest {
        Rank rank;
        TimePoint seen {};
    };

    /// Requests of one workspace in a group.
    struct Flow {
        DemandEstimate demand { config::gateDemandWindow };
        double credit = 0; ///< Turns shares into decisions.
    };
    /// Requests of one route and rank.
    struct Group {
        std::map<std::string, Flow> flows; ///< By workspace.
        double level = 0; ///< Requests a second let through for each unit of weight.
        TimePoint levelDue {};
    };

    void forgetRemoved(const Deployment& deployment);
    double worthOf(const Rank& rank) const;
    void noteRank(const Rank& rank, const std::vector<ServiceDemand>& demands, TimePoint now);
    /// \returns what the price of \p service counts in the worth of ranks.
    double scaleOf(const std::string& service) const;
    double weightOf(const std::string& workspace) const;
    void updateLevel(Group& group, double share, TimePoint now) const;

    std::vector<Rank> m_ranks; ///< The last is the least urgent.
    std::map<std::string, Lowest> m_lowest; ///< By service.
    std::map<std::string, double> m_weights;
    std::map<std::pair<std::string, Rank>, Group> m_groups;
};

} // namespace pw
