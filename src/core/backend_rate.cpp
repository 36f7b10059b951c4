#include "core/backend_rate.h"

namespace pw {

void BackendRate::learn(std::optional<double> requestsPerSecond, TimePoint sentAt, TimePoint now)
{
    if (requestsPerSecond) {
        m_limit = requestsPerSecond;
        m_statedAt = now;
    } else if (sentAt >= m_statedAt) {
        // An answer to an earlier request may have been composed before the limit was stated.
        m_limit.reset();
    }
}

void BackendRate::reset()
{
    *this = {};
}

} // namespace pw
