#pragma once

#include "ports/timers.h"

#include <memory>
#include <unordered_map>

struct event;
struct event_base;

namespace pw {

/// Timers on a libevent loop.
class TimersLibevent : public Timers {
public:
    explicit TimersLibevent(event_base* base);
    ~TimersLibevent() override;
    TimersLibevent(const TimersLibevent&) = delete;
    TimersLibevent& operator=(const TimersLibevent&) = delete;

    TimePoint now() const override;
    TimerId after(Duration delay, std::function<void()> action) override;
    void cancel(TimerId id) override;

private:
    struct Pending;
    static void onFired(int fd, short what, void* argument);
    void fire(TimerId id);

    event_base* m_base;
    TimerId m_lastId = 0;
    std::unordered_map<TimerId, std::unique_ptr<Pending>> m_pending;
};

} // namespace pw
