#include "core/route_table.h"

#include <algorithm>

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

} // namespace

RouteTable::RouteTable(std::vector<Route> routes)
    : m_routes(std::move(routes))
{
    std::ranges::stable_sort(m_routes, std::ranges::greater {}, [](const Route& it) { return it.pathPrefix.size(); });
}

const Route* RouteTable::match(std::string_view method, std::string_view target) const
{
    auto path = pathOf(target);
    auto it = std::ranges::find_if(m_routes, [&](const Route& route) {
        return route.method == method && hasPrefix(path, route.pathPrefix);
    });
    return it == m_routes.end() ? nullptr : &*it;
}

} // namespace pw
