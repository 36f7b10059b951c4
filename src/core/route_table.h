#pragma once

#include "core/types.h"

#include <string_view>
#include <vector>

namespace pw {

/// Finds the route of a request: host and method matched whole, longest path prefix at a segment border wins, one for the
/// host before one for every host.
class RouteTable {
public:
    RouteTable() = default;
    explicit RouteTable(std::vector<Route> routes);

    /// \param host as the request names it, with or without a port.
    /// \param target path and query of the request line.
    /// \returns the route, or nullptr when none matches.
    const Route* match(std::string_view host, std::string_view method, std::string_view target) const;

private:
    std::vector<Route> m_routes; ///< Longest prefix first.
};

} // namespace pw
