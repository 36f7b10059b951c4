#pragma once

#include <event2/event.h>

#include <chrono>
#include <csignal>
#include <functional>
#include <memory>

/// RAII over the libevent loop of the test programs.
namespace pw::support {

namespace detail {
    struct BaseDeleter {
        void operator()(event_base* base) const { event_base_free(base); }
    };
    struct EventDeleter {
        void operator()(event* ev) const { event_free(ev); }
    };
} // namespace detail

using BasePtr = std::unique_ptr<event_base, detail::BaseDeleter>;
using EventPtr = std::unique_ptr<event, detail::EventDeleter>;

/// \returns \p time as libevent takes it.
timeval toTimeval(std::chrono::microseconds time);

/// \returns a loop whose timers are precise to less than a millisecond.
BasePtr makeBase();

/// Makes a write to a closed socket an error instead of a signal.
void ignoreBrokenPipes();

/// Calls \p action once after \p delay.
void after(event_base* base, std::chrono::microseconds delay, std::function<void()> action);

/// Calls \p action at each \p interval while the returned object lives.
class Ticker {
public:
    Ticker(event_base* base, std::chrono::microseconds interval, std::function<void()> action);

private:
    static void fired(evutil_socket_t, short, void* self);

    std::function<void()> m_action;
    EventPtr m_event;
};

/// Calls \p action on signal \p number while the returned object lives.
class SignalHandler {
public:
    SignalHandler(event_base* base, int number, std::function<void()> action);

private:
    static void fired(evutil_socket_t, short, void* self);

    std::function<void()> m_action;
    EventPtr m_event;
};

} // namespace pw::support
