#pragma once

#include "core/types.h"

#include <string_view>
#include <vector>

namespace pw {

/// Finds the route of a request. Host and method must match exactly. The longest path prefix that ends at a segment boundary
/// wins; of equal prefixes, a route for the given host has precedence over one for all hosts.
class RouteTable {
public:
    RouteTable() = default;
    explicit RouteTable(std::vector<Route> routes);

    /// \param host Host header of the request, with or without a port.
    /// \param target path and query from the request line.
    /// \returns the matching route, or nullptr if there is none.
    const Route* match(std::string_view host, std::string_view method, std::string_view target) const;

private:
    std::vector<Route> m_routes; ///< Longest prefix first.
};

} // namespace pw
