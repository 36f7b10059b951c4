#pragma once

#include "core/types.h"

#include <algorithm>
#include <cstdint>
#include <functional>
#include <queue>
#include <vector>

namespace pw::measure {

/// Discrete event queue with its own clock; no real time passes.
class EventQueue {
public:
    using Action = std::function<void()>;

    TimePoint now() const { return m_now; }

    void at(TimePoint time, Action action) { m_events.push({ std::max(time, m_now), m_sequence++, std::move(action) }); }

    void after(Duration delay, Action action) { at(m_now + delay, std::move(action)); }

    /// Runs events up to \p end.
    void runUntil(TimePoint end)
    {
        while (!m_events.empty() && m_events.top().time <= end) {
            // The queue hands out const references only; the event is popped right away.
            auto event = std::move(const_cast<Pending&>(m_events.top())); // NOLINT(cppcoreguidelines-pro-type-const-cast)
            m_events.pop();
            m_now = event.time;
            event.action();
        }
        m_now = end;
    }

private:
    struct Pending {
        TimePoint time;
        std::uint64_t sequence;
        Action action;
    };
    struct Later {
        bool operator()(const Pending& a, const Pending& b) const
        {
            return a.time != b.time ? a.time > b.time : a.sequence > b.sequence;
        }
    };

    std::priority_queue<Pending, std::vector<Pending>, Later> m_events;
    std::uint64_t m_sequence = 0;
    TimePoint m_now {};
};

} // namespace pw::measure
