#pragma once

#include "core/types.h"

#include <string>
#include <unordered_map>

namespace pw {

/// Bound of what is sent again to the backend servers of each service, kept over the whole fleet without asking anybody:
/// every daemon earns repeats by the requests that it sends first, and has its equal part of a fixed number besides.
class RetryBudget {
public:
    /// \param ratio repeats that the fleet allows for each request.
    /// \param extra repeats that it allows besides, at any time.
    RetryBudget(double ratio, double extra);

    /// Changes the bound.
    void configure(double ratio, double extra);

    /// Sets among how many daemons the fixed number is divided.
    void setDaemons(std::size_t daemons);

    /// Counts a request that reaches a backend server of \p service for the first time.
    void sentFirst(const std::string& service);

    /// Takes one repeat for \p service. \returns false when there is none left.
    bool take(const std::string& service);

    /// \returns repeats that could be taken for \p service now.
    double left(const std::string& service) const;

private:
    double most() const;

    double m_ratio;
    double m_extra;
    std::size_t m_daemons = 1;
    std::unordered_map<std::string, double> m_tokens; ///< By service.
};

} // namespace pw
