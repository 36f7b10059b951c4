#include "support/loop.h"

#include <utility>

namespace pw::support {

timeval toTimeval(std::chrono::microseconds time)
{
    const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(time);
    return { static_cast<time_t>(seconds.count()), static_cast<suseconds_t>((time - seconds).count()) };
}

BasePtr makeBase()
{
    event_config* settings = event_config_new();
    event_config_set_flag(settings, EVENT_BASE_FLAG_PRECISE_TIMER);
    BasePtr base(event_base_new_with_config(settings));
    event_config_free(settings);
    return base;
}

void ignoreBrokenPipes()
{
    (void)std::signal(SIGPIPE, SIG_IGN);
}

void after(event_base* base, std::chrono::microseconds delay, std::function<void()> action)
{
    auto pending = std::make_unique<std::function<void()>>(std::move(action));
    auto run = [](evutil_socket_t, short, void* arg) {
        const std::unique_ptr<std::function<void()>> owned(static_cast<std::function<void()>*>(arg));
        (*owned)();
    };
    const timeval tv = toTimeval(delay);
    if (!event_base_once(base, -1, EV_TIMEOUT, run, pending.get(), &tv)) {
        (void)pending.release();
    }
}

Ticker::Ticker(event_base* base, std::chrono::microseconds interval, std::function<void()> action)
    : m_action(std::move(action))
    , m_event(event_new(base, -1, EV_PERSIST, &Ticker::fired, this))
{
    const timeval tv = toTimeval(interval);
    event_add(m_event.get(), &tv);
}

void Ticker::fired(evutil_socket_t, short, void* self)
{
    static_cast<Ticker*>(self)->m_action();
}

SignalHandler::SignalHandler(event_base* base, int number, std::function<void()> action)
    : m_action(std::move(action))
    , m_event(evsignal_new(base, number, &SignalHandler::fired, this))
{
    event_add(m_event.get(), nullptr);
}

void SignalHandler::fired(evutil_socket_t, short, void* self)
{
    static_cast<SignalHandler*>(self)->m_action();
}

} // namespace pw::support
