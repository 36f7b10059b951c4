#include "core/route_table.h"

#include "core/header_rules.h"

#include <algorithm>
#include <utility>

namespace pw {
namespace {

    std::string_view pathOf(std::string_view target)
    {
        return target.substr(0, target.find_first_of("?#"));
    }

    bool hasPrefix(std::string_view path, std::string_view prefix)
    {
        if (!path.starts_with(prefix)) {
            return false;
        }
        return prefix.ends_with('/') || path.size() == prefix.size() || path[prefix.size()] == '/';
    }

    std::string_view withoutPort(std::string_view host)
    {
        const auto colon = host.rfind(':');
        const auto inBrackets = host.find(']') != std::string_view::npos && host.rfind(']') > colon;
        return colon == std::string_view::npos || inBrackets ? host : host.substr(0, colon);
    }

} // namespace

RouteTable::RouteTable(std::vector<Route> routes)
    : m_routes(std::move(routes))
{
    std::ranges::stable_sort(m_routes, std::ranges::greater {}, [](const Route& it) { return std::pair(it.pathPrefix.size(), !it.host.empty()); });
}

const Route* RouteTable::match(std::string_view host, std::string_view method, std::string_view target) const
{
    auto path = pathOf(target);
    auto name = withoutPort(host);
    auto it = std::ranges::find_if(m_routes, [&](const Route& route) {
        const auto hostMatches = route.host.empty() || sameHeader(route.host, name);
        const auto methodMatches = route.method.empty() || route.method == method;
        return hostMatches && methodMatches && hasPrefix(path, route.pathPrefix);
    });
    return it == m_routes.end() ? nullptr : &*it;
}

} // namespace pw
