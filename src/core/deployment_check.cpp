#include "core/deployment_check.h"

#include "config.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <map>
#include <set>
#include <sstream>
#include <tuple>

namespace pw {
namespace {

    constexpr std::array<std::string_view, static_cast<std::size_t>(Importance::Count)> importanceNames { "low", "normal", "high",
        "critical" };
    constexpr std::array<std::string_view, 6> methods { "GET", "HEAD", "POST", "PUT", "DELETE", "PATCH" };
    constexpr std::string_view methodsAccepted = "GET, HEAD, POST, PUT, DELETE, PATCH";
    constexpr std::string_view hostAccepted = "a host name without a port: letters, digits, '.' and '-'";
    constexpr std::string_view pathAccepted
        = "\"/\" or segments like \"/prices/guide\", with or without a \"/\" at the end: letters, digits and -._~!$&'()*+,;=:@, "
          "no empty, \".\" or \"..\" segment";

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
        while (!text.empty() && text != "/") {
            const auto end = std::min(text.find('/', 1), text.size());
            if (!isSegment(text.substr(1, end - 1))) {
                return false;
            }
            text.remove_prefix(end);
        }
        return true;
    }

    bool isHost(std::string_view text)
    {
        auto allowed = [](char c) { return isAlnum(c) || c == '.' || c == '-'; };
        return text.size() <= config::maxHostBytes && std::ranges::all_of(text, allowed);
    }

    /// \returns whether \p text can stand in a request line as the target.
    bool isRequestTarget(std::string_view text)
    {
        auto allowed = [](char c) { return c > ' ' && c < 0x7f; };
        return text.starts_with('/') && text.size() <= config::maxPathPrefixBytes && std::ranges::all_of(text, allowed);
    }

    bool isDigest(std::string_view text)
    {
        auto isHexDigit = [](char c) { return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f'); };
        return text.size() == config::digestHexBytes && std::ranges::all_of(text, isHexDigit);
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
        if (!service.healthPath.empty() && !isRequestTarget(service.healthPath)) {
            section.add(n, "healthPath", "not a path", "a path from \"/\", at most 512 printable ASCII characters without spaces");
        }
        section.checkRange(n, "warmUpTime", static_cast<double>(service.warmUpTime.count()), 0, static_cast<double>(config::maxWarmUpTime.count()));
        if (service.warmUpRate != 0) {
            section.checkRange(n, "warmUpRate", service.warmUpRate, config::minWarmUpRate, config::maxRate);
        }
    }

    void checkServices(Section& section, const Section& services, std::size_t n, const Route& route)
    {
        constexpr std::string_view accepted = "the name of an entry of services";
        if (route.services.empty() ? !services.hasName(route.service) : !route.service.empty()) {
            section.add(n, "service", route.services.empty() ? "unknown service" : "given beside services", accepted);
        }
        for (const auto& it : route.services) {
            if (!services.hasName(it.service)) {
                section.add(n, "services", "unknown service", accepted);
            }
            section.checkRange(n, "services", it.weight, 1, config::maxWeight);
        }
    }

    void checkRoute(Section& section, const Section& services, std::size_t n, const Route& route)
    {
        section.checkName(n, route.name);
        if (!route.method.empty() && std::ranges::find(methods, route.method) == methods.end()) {
            section.add(n, "method", "not a method", methodsAccepted);
        }
        if (!route.host.empty() && !isHost(route.host)) {
            section.add(n, "host", "not a host", hostAccepted);
        }
        if (!isPathPrefix(route.pathPrefix)) {
            section.add(n, "pathPrefix", "not a path prefix", pathAccepted);
        }
        checkServices(section, services, n, route);
        if (route.importance >= Importance::Count) {
            section.add(n, "importance", "unknown importance", "low, normal, high, critical");
        }
        if (route.open && route.nestedOnly) {
            section.add(n, "open", "a route for nested calls only is not open to callers", "open or nestedOnly, not both");
        }
        section.checkRange(n, "deadline", static_cast<double>(route.deadline.count()), 1, static_cast<double>(config::maxDeadline.count()));
        section.checkRange(n, "attempts", route.attempts, 1, config::maxAttempts);
        section.checkRange(n, "maxServers", route.maxServers, 1, config::maxAttempts);
    }

    /// Reports routes that have the same host, method and prefix: which of them applies would depend on their order.
    void checkAmbiguity(Section& section, const std::vector<Route>& routes)
    {
        std::map<std::tuple<std::string, std::string, std::string>, std::size_t> seen;
        for (std::size_t n = 0; n < routes.size(); ++n) {
            auto [it, added] = seen.emplace(std::tuple(routes[n].host, routes[n].method, routes[n].pathPrefix), n);
            if (!added) {
                section.add(n, "pathPrefix", "same host, method and prefix as route \"" + routes[it->second].name + "\"",
                    "one route for each host, method and prefix");
            }
        }
    }

    void checkWorkspace(Section& section, std::size_t n, const Workspace& workspace)
    {
        section.checkName(n, workspace.name);
        if (workspace.limited) {
            section.checkRange(n, "rate", workspace.rate, config::minRate, config::maxRate);
            section.checkRange(n, "burst", workspace.burst, config::minBurst, config::maxBurst);
        }
        if (!std::ranges::all_of(workspace.keyDigests, isDigest)) {
            section.add(n, "keyDigests", "not a digest", "64 hexadecimal digits");
        }
    }

    /// Reports keys that are listed twice, because a key identifies one workspace.
    void checkKeys(Section& section, const std::vector<Workspace>& workspaces)
    {
        std::set<std::string> seen;
        for (std::size_t n = 0; n < workspaces.size(); ++n) {
            for (const auto& digest : workspaces[n].keyDigests) {
                if (!seen.insert(digest).second) {
                    section.add(n, "keyDigests", "a key is given twice", "each key once");
                }
            }
        }
    }

    void checkLimits(Section& section, const CallerLimits& limits)
    {
        section.checkRange(0, "headerBytes", static_cast<double>(limits.headerBytes), config::minHeaderBytes, config::maxCallerBytes);
        section.checkRange(0, "bodyBytes", static_cast<double>(limits.bodyBytes), 0, config::maxCallerBytes);
        constexpr auto least = static_cast<double>(config::minCallerTimeout.count());
        constexpr auto most = static_cast<double>(config::maxCallerTimeout.count());
        section.checkRange(0, "headerTimeout", static_cast<double>(limits.headerTimeout.count()), least, most);
        section.checkRange(0, "idleTimeout", static_cast<double>(limits.idleTimeout.count()), least, most);
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
    checkKeys(workspaces, deployment.workspaces);
    Section limits("limits", problems);
    checkLimits(limits, deployment.limits);
    return problems;
}

std::string problemText(const DeploymentProblem& problem, std::string_view label)
{
    const auto field = problem.field.empty() ? "" : "." + problem.field;
    return problem.section + "[" + std::to_string(problem.index) + "]" + field + ": " + problem.wrong + "; " + std::string(label) + ": " + problem.accepted;
}

std::optional<std::string> check(const Deployment& deployment)
{
    std::string text;
    for (const auto& it : deploymentProblems(deployment)) {
        text += (text.empty() ? "" : "\n") + problemText(it);
    }
    return text.empty() ? std::nullopt : std::optional(text);
}

} // namespace pw
