#include "core/deployment_review.h"

#include "core/header_rules.h"

#include <algorithm>
#include <set>
#include <string>
#include <utility>

namespace pw {
namespace {

    /// Collects the findings on the entries of one section.
    class Findings {
    public:
        Findings(std::string section, std::vector<DeploymentProblem>& findings)
            : m_section(std::move(section))
            , m_findings(findings)
        {
        }

        void add(std::size_t index, std::string field, std::string wrong, std::string advice)
        {
            m_findings.push_back({ m_section, index, std::move(field), std::move(wrong), std::move(advice) });
        }

    private:
        std::string m_section;
        std::vector<DeploymentProblem>& m_findings;
    };

    /// \returns whether every request for \p route also matches \p other, which is equally specific: RouteTable then uses the
    /// one that is listed first.
    bool covers(const Route& other, const Route& route)
    {
        const auto sameMethods = other.method.empty() || other.method == route.method;
        return other.pathPrefix == route.pathPrefix && sameHeader(other.host, route.host) && sameMethods;
    }

    void reviewMatching(Findings& findings, const std::vector<Route>& routes)
    {
        for (auto it = routes.begin(); it != routes.end(); ++it) {
            const auto earlier = std::find_if(routes.begin(), it, [it](const Route& other) { return covers(other, *it); });
            if (earlier != it) {
                findings.add(static_cast<std::size_t>(it - routes.begin()), "pathPrefix",
                    "never matches, route \"" + earlier->name + "\" takes all its requests", "list it before that route, or remove it");
            }
        }
    }

    void reviewServicesOf(Findings& findings, std::size_t n, const Route& route)
    {
        std::set<std::string> seen;
        for (const auto& it : route.services) {
            if (!seen.insert(it.service).second) {
                findings.add(n, "services", "service \"" + it.service + "\" is listed twice, so its weights add up", "one entry with the sum");
            }
        }
    }

    void reviewLimitsOf(Findings& findings, std::size_t n, const Route& route)
    {
        if (route.targetLatency > route.deadline) {
            findings.add(n, "targetLatency", "longer than the deadline, at which the request ends", "at most the deadline");
        }
        if (route.attempts < route.maxServers) {
            findings.add(n, "attempts", "fewer than maxServers, so that number of servers is never tried", "at least maxServers");
        }
    }

    void reviewRoutes(Findings& findings, const Deployment& deployment)
    {
        const auto& routes = deployment.routes;
        reviewMatching(findings, routes);
        for (std::size_t n = 0; n < routes.size(); ++n) {
            reviewServicesOf(findings, n, routes[n]);
            reviewLimitsOf(findings, n, routes[n]);
            if (deployment.workspaces.empty() && !routes[n].open && !routes[n].nestedOnly) {
                findings.add(n, "open", "needs a key, but there is no workspace that could hold one", "open: true, or a workspace");
            }
        }
    }

    bool isUsed(const Service& service, const std::vector<Route>& routes)
    {
        return std::ranges::any_of(routes, [&service](const Route& route) {
            return route.service == service.name || std::ranges::find(route.services, service.name, &WeightedService::service) != route.services.end();
        });
    }

    void reviewServices(Findings& findings, const Deployment& deployment)
    {
        const auto& services = deployment.services;
        for (std::size_t n = 0; n < services.size(); ++n) {
            const auto& service = services[n];
            if (!isUsed(service, deployment.routes)) {
                findings.add(n, "name", "no route leads to it", "a route, or remove it");
            }
            if (service.connectionsPerServer < service.slotsPerServer) {
                findings.add(n, "connectionsPerServer", "fewer than slotsPerServer, so slots stay unused", "at least slotsPerServer");
            }
            if (service.warmUpTime.count() > 0 && service.warmUpRate == 0) {
                findings.add(n, "warmUpTime", "has no effect without warmUpRate", "warmUpRate as well, or neither");
            }
        }
    }

    void reviewLimits(Findings& findings, const Deployment& deployment)
    {
        const auto takesBody = [](const Route& it) { return it.method == "POST" || it.method == "PUT" || it.method == "PATCH"; };
        const auto route = std::ranges::find_if(deployment.routes, takesBody);
        if (deployment.limits.bodyBytes == 0 && route != deployment.routes.end()) {
            findings.add(0, "bodyBytes", "allows no bodies, but route \"" + route->name + "\" takes " + route->method + " requests", "at least the longest body");
        }
    }

} // namespace

std::vector<DeploymentProblem> deploymentWarnings(const Deployment& deployment)
{
    std::vector<DeploymentProblem> found;
    Findings services("services", found);
    Findings routes("routes", found);
    Findings limits("limits", found);
    reviewServices(services, deployment);
    reviewRoutes(routes, deployment);
    reviewLimits(limits, deployment);
    return found;
}

} // namespace pw
