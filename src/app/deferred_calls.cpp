#include "app/deferred_calls.h"

#include <utility>

namespace pw {

DeferredCalls::DeferredCalls(Timers& timers)
    : m_timers(timers)
{
}

DeferredCalls::~DeferredCalls()
{
    m_timers.cancel(m_timer);
}

void DeferredCalls::add(std::function<void()> call)
{
    m_calls.push_back(std::move(call));
    if (!m_timer) {
        m_timer = m_timers.after(Duration::zero(), [this] { run(); });
    }
}

/// Functions that are added meanwhile wait for the next iteration of the event loop.
void DeferredCalls::run()
{
    m_timer = 0;
    for (auto n = m_calls.size(); n > 0; --n) {
        const auto call = std::move(m_calls.front());
        m_calls.pop_front();
        call();
    }
}

} // namespace pw
