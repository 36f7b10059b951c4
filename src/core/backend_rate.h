#pragma once

#include "core/types.h"

#include <optional>

namespace pw {

/// Request rate limit that a backend server states in its answers.
class BackendRate {
public:
    /// Takes over the limit stated in an answer; empty if the answer states none.
    /// \param sentAt when the request was sent that the answer belongs to.
    void learn(std::optional<double> requestsPerSecond, TimePoint sentAt, TimePoint now);

    /// Forgets what is known, for a new start of the backend server.
    void reset();

    /// \returns the limit in requests per second; empty if there is none.
    std::optional<double> limit() const { return m_limit; }

private:
    std::optional<double> m_limit;
    TimePoint m_statedAt {}; ///< When a limit was last stated.
};

} // namespace pw
