#include "core/deployment_check.h"

#include "config.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <map>
#include <set>
#include <sstream>

namespace pw {
namespace {

    constexpr std::array<std::string_view, static_cast<std::size_t>(Importance::Count)> importanceNames { "low", "normal", "high",
        "critical" };
    constexpr std::array<std::string_view, 6> methods { "GET", "HEAD", "POST", "PUT", "DELETE", "PATCH" };
    constexpr std::string_view methodsAccepted = "GET, HEAD, POST, PUT, DELETE, PATCH";
    constexpr std::string_view pathAccepted
        = "\"/\" or segments like \"/prices/guide\": letters, digits and -._~!$&'()*+,;=:@, no empty, \".\" or \"..\" segment, "
          "no \"/\" at the end";

    bool isAlnum(unsigned char c)
    {
        return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9');
    }

    bool isSegment(std::string_view text)
    {
        constexpr std::string_view others = "-._~!$&'()*+,;=:@";
        auto allowed = [&](char c) { return isAlnum(c) || others.find(c) != std::string_view::npos; };
        return !text.empty() && text != "." && text != ".." && std::ranges::all_of(text, allowed);
    }

    bool isPathPrefix(std::string_view text)
    {
        if (text == "/") {
            return true;
        }
        if (!text.starts_with('/') || text.size() > config::maxPathPrefixBytes) {
            return false;
        }
        while (!text.empty()) {
            const auto end = std::min(text.find('/', 1), text.size());
            if (!isSegment(text.substr(1, end - 1))) {
                return false;
            }
            text.remove_prefix(end);
        }
        return true;
    }

    std::string rangeText(double least, double most)
    {
        std::ostringstream out;
        out.precision(12);
        out << "from " << least << " to " << most;
        return out.str();
    }

    /// Collects the problems of one section.
    class Section {
    public:
        Section(std::string name, std::vector<DeploymentProblem>& problems)
            : m_name(std::move(name))
            , m_problems(problems)
        {
        }

        void add(std::size_t index, std::string_view field, std::string_view wrong, std::string_view accepted)
        {
            m_problems.push_back({ m_name, index, std::string(field), std::string(wrong), std::string(accepted) });
        }

        void checkSize(std::size_t size, std::size_t most)
        {
            if (size > most) {
                add(most, "", "too many entries", "at most " + std::to_string(most));
            }
        }

        void checkName(std::size_t index, const std::string& name)
        {
            if (!isName(name)) {
                add(index, "name", "not a name", nameAccepted);
            } else if (!m_names.insert(name).second) {
                add(index, "name", "\"" + name + "\" is taken", "a name of its own for each entry");
            }
        }

        void checkRange(std::size_t index, std::string_view field, double value, double least, double most)
        {
            if (!(value >= least && value <= most)) {
                add(index, field, "out of range", rangeText(least, most));
            }
        }

        bool hasName(const std::string& name) const { return m_names.contains(name); }

    private:
        std::string m_name;
        std::vector<DeploymentProblem>& m_problems;
        std::set<std::string> m_names;
    };

    void checkService(Section& section, std::size_t n, const Service& service)
    {
        section.checkName(n, service.name);
        section.checkRange(n, "slotsPerServer", service.slotsPerServer, 1, config::maxSlotsPerServer);
        section.checkRange(n, "connectionsPerServer", service.connectionsPerServer, 1, config::maxConnectionsPerServer);
    }

    void checkRoute(Section& section, const Section& services, std::size_t n, const Route& route)
    {
        section.checkName(n, route.name);
        if (std::ranges::find(methods, route.method) == methods.end()) {
            section.add(n, "method", "not a method", methodsAccepted);
        }
        if (!isPathPrefix(route.pathPrefix)) {
            section.add(n, "pathPrefix", "not a path prefix", pathAccepted);
        }
        if (!services.hasName(route.service)) {
            section.add(n, "service", "unknown service", "the name of an entry of services");
        }
        if (route.importance >= Importance::Count) {
            section.add(n, "importance", "unknown importance", "low, normal, high, critical");
        }
        if (route.open && route.nestedOnly) {
            section.add(n, "open", "a route for nested calls only is not open to callers", "open or nestedOnly, not both");
        }
        section.checkRange(n, "deadline", static_cast<double>(route.deadline.count()), 1, static_cast<double>(config::maxDeadline.count()));
        section.checkRange(n, "attempts", route.attempts, 1, config::maxAttempts);
    }

    /// Two routes with one method and one prefix would make the choice a matter of order.
    void checkAmbiguity(Section& section, const std::vector<Route>& routes)
    {
        std::map<std::pair<std::string, std::string>, std::size_t> seen;
        for (std::size_t n = 0; n < routes.size(); ++n) {
            auto [it, added] = seen.emplace(std::pair(routes[n].method, routes[n].pathPrefix), n);
            if (!added) {
                section.add(n, "pathPrefix", "same method and prefix as route \"" + routes[it->second].name + "\"",
                    "one route for each method and prefix");
            }
        }
    }

    void checkWorkspace(Section& section, std::size_t n, const Workspace& workspace)
    {
        section.checkName(n, workspace.name);
        section.checkRange(n, "rate", workspace.rate, config::minRate, config::maxRate);
        section.checkRange(n, "burst", workspace.burst, config::minBurst, config::maxBurst);
    }

} // namespace

std::string_view importanceName(Importance importance)
{
    return importanceNames.at(static_cast<std::size_t>(importance));
}

bool isName(std::string_view text)
{
    auto allowed = [](unsigned char c) { return isAlnum(c) || c == '.' || c == '_' || c == '-'; };
    return !text.empty() && text.size() <= config::maxNameBytes && isAlnum(text.front()) && std::ranges::all_of(text, allowed);
}

std::vector<DeploymentProblem> deploymentProblems(const Deployment& deployment)
{
    std::vector<DeploymentProblem> problems;
    Section services("services", problems);
    Section routes("routes", problems);
    Section workspaces("workspaces", problems);
    services.checkSize(deployment.services.size(), config::maxServices);
    routes.checkSize(deployment.routes.size(), config::maxRoutes);
    workspaces.checkSize(deployment.workspaces.size(), config::maxWorkspaces);

    for (std::size_t n = 0; n < deployment.services.size(); ++n) {
        checkService(services, n, deployment.services[n]);
    }
    for (std::size_t n = 0; n < deployment.routes.size(); ++n) {
        checkRoute(routes, services, n, deployment.routes[n]);
    }
    checkAmbiguity(routes, deployment.routes);
    for (std::size_t n = 0; n < deployment.workspaces.size(); ++n) {
        checkWorkspace(workspaces, n, deployment.workspaces[n]);
    }
    return problems;
}

std::optional<std::string> check(const Deployment& deployment)
{
    std::string text;
    for (const auto& it : deploymentProblems(deployment)) {
        text += text.empty() ? "" : "\n";
        text += it.section + "[" + std::to_string(it.index) + "]" + (it.field.empty() ? "" : "." + it.field) + ": ";
        text += it.wrong + "; accepted: " + it.accepted;
    }
    return text.empty() ? std::nullopt : std::optional(text);
}

} // namespace pw
