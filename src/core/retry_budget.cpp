#include "core/retry_budget.h"

#include "config.h"

#include <algorithm>

namespace pw {

RetryBudget::RetryBudget(double ratio, double extra)
    : m_ratio(ratio)
    , m_extra(extra)
{
}

void RetryBudget::configure(double ratio, double extra)
{
    m_ratio = ratio;
    m_extra = extra;
}

void RetryBudget::setDaemons(std::size_t daemons)
{
    m_daemons = std::max<std::size_t>(daemons, 1);
}

/// A part is left for the calls that repeated requests make again at other services.
double RetryBudget::most() const
{
    return m_extra * config::retryBudgetShare / static_cast<double>(m_daemons);
}

void RetryBudget::sentFirst(const std::string& service)
{
    auto& tokens = m_tokens.try_emplace(service, most()).first->second;
    tokens = std::min(tokens + m_ratio * config::retryBudgetShare, most());
}

bool RetryBudget::take(const std::string& service)
{
    auto& tokens = m_tokens.try_emplace(service, most()).first->second;
    tokens = std::min(tokens, most());
    if (tokens < 1) {
        return false;
    }
    tokens -= 1;
    return true;
}

double RetryBudget::left(const std::string& service) const
{
    const auto it = m_tokens.find(service);
    return it == m_tokens.end() ? most() : std::min(it->second, most());
}

} // namespace pw
