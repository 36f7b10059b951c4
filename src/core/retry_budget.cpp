#include "core/retry_budget.h"

#include "config.h"

#include <algorithm>

namespace pw {

RetryBudget::RetryBudget(double ratio, double extra, Duration window)
    : m_ratio(ratio)
    , m_extra(extra)
    , m_window(window)
{
}

void RetryBudget::configure(double ratio, double extra, Duration window)
{
    m_ratio = ratio;
    m_extra = extra;
    if (window != m_window) {
        m_window = window;
        m_services.clear();
    }
}

void RetryBudget::setDaemons(std::size_t daemons)
{
    m_daemons = std::max<std::size_t>(daemons, 1);
}

std::int64_t RetryBudget::intervalAt(TimePoint now) const
{
    return now.time_since_epoch() / std::max<Duration>(m_window / intervals, Duration(1));
}

RetryBudget::Interval& RetryBudget::current(const std::string& service, TimePoint now)
{
    const auto number = intervalAt(now);
    auto& interval = m_services[service].at(static_cast<std::size_t>(number % (intervals + 1)));
    if (interval.number != number) {
        interval = { number, 0, 0 };
    }
    return interval;
}

void RetryBudget::recordFirstAttempt(const std::string& service, TimePoint now)
{
    ++current(service, now).firsts;
}

bool RetryBudget::tryTake(const std::string& service, TimePoint now)
{
    if (available(service, now) < 1) {
        return false;
    }
    ++current(service, now).repeats;
    return true;
}

/// Only a share of the budget is usable; the rest covers the nested calls that repeated requests make again.
double RetryBudget::available(const std::string& service, TimePoint now) const
{
    double firsts = 0;
    double repeats = 0;
    if (const auto it = m_services.find(service); it != m_services.end()) {
        const auto oldest = intervalAt(now) - intervals;
        for (const auto& interval : it->second) {
            if (interval.number >= oldest) {
                firsts += interval.firsts;
                repeats += interval.repeats;
            }
        }
    }
    const auto allowed = m_ratio * firsts + m_extra / static_cast<double>(m_daemons);
    return allowed * config::retryBudgetUsableShare - repeats;
}

} // namespace pw
