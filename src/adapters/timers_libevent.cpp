#include "adapters/timers_libevent.h"

#include "adapters/libevent_util.h"

#include <event2/event.h>

#include <algorithm>

namespace pw {

struct TimersLibevent::Pending {
    TimersLibevent* owner;
    TimerId id;
    std::function<void()> action;
    detail::EventPtr timer;
};

TimersLibevent::TimersLibevent(event_base* base)
    : m_base(base)
{
}

TimersLibevent::~TimersLibevent() = default;

TimePoint TimersLibevent::now() const
{
    return MonotonicClock::now();
}

TimerId TimersLibevent::after(Duration delay, std::function<void()> action)
{
    auto id = ++m_lastId;
    auto pending = std::make_unique<Pending>(this, id, std::move(action), nullptr);
    pending->timer.reset(event_new(m_base, -1, 0, onFired, pending.get()));
    auto timeout = detail::toTimeval(std::max(delay, Duration::zero()));
    event_add(pending->timer.get(), &timeout);
    m_pending.emplace(id, std::move(pending));
    return id;
}

void TimersLibevent::cancel(TimerId id)
{
    m_pending.erase(id);
}

void TimersLibevent::onFired(int, short, void* argument)
{
    auto* pending = static_cast<Pending*>(argument);
    pending->owner->fire(pending->id);
}

void TimersLibevent::fire(TimerId id)
{
    auto node = m_pending.extract(id);
    if (!node.empty()) {
        node.mapped()->action();
    }
}

} // namespace pw
