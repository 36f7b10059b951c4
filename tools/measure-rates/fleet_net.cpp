#include "fleet_net.h"

#include <ctime>

#include <algorithm>
#include <utility>

namespace pw::measure {
namespace {

    /// Bytes of the header of a frame between daemons.
    constexpr std::uint64_t frameHeaderBytes = 8;
    /// Delay of a message: up to that between failure domains of one region.
    constexpr std::chrono::microseconds minDelay { 500 };
    constexpr std::chrono::microseconds maxDelay { 1400 };

    std::chrono::nanoseconds processorTime()
    {
        timespec time {};
        ::clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
        return std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec);
    }

} // namespace

TimerId FleetClock::after(Duration delay, std::function<void()> action)
{
    const auto id = ++m_lastId;
    m_actions.emplace(id, std::move(action));
    m_due.push({ m_now + std::max(delay, Duration::zero()), id });
    return id;
}

void FleetClock::run(Duration time)
{
    const auto end = m_now + time;
    while (!m_due.empty() && m_due.top().time <= end) {
        const auto due = m_due.top();
        m_due.pop();
        const auto it = m_actions.find(due.id);
        if (it == m_actions.end()) {
            continue;
        }
        m_now = due.time;
        const auto action = std::move(it->second);
        m_actions.erase(it);
        action();
    }
    m_now = end;
}

FleetNet::FleetNet(FleetClock& clock, std::uint64_t seed)
    : m_clock(clock)
    , m_random(seed)
{
}

void FleetNet::send(FleetPeer& from, const PeerAddress& to, MessageKind kind, const Bytes& message)
{
    const auto bytes = message.size() + frameHeaderBytes;
    from.cost.bytes += bytes;
    ++from.cost.messages;
    const auto spread = static_cast<double>((maxDelay - minDelay).count()) * uniform(m_random);
    const auto delay = minDelay + std::chrono::microseconds(static_cast<std::int64_t>(spread));
    auto& last = m_lastDue[{ from.self(), to }];
    last = std::max(last, m_clock.now() + delay);
    m_clock.after(last - m_clock.now(), [this, sender = from.self(), to, kind, message, bytes] {
        const auto it = m_peers.find(to);
        if (it == m_peers.end()) {
            return;
        }
        auto& peer = *it->second;
        peer.cost.bytes += bytes;
        ++peer.cost.messages;
        const auto handler = peer.m_handlers.at(static_cast<std::size_t>(kind));
        if (handler) {
            peer.charge([&] { handler(sender, message); });
        }
    });
}

FleetPeer::FleetPeer(FleetNet& net, PeerAddress self)
    : m_net(net)
    , m_self(std::move(self))
{
    m_net.m_peers[m_self] = this;
}

FleetPeer::~FleetPeer()
{
    m_net.m_peers.erase(m_self);
}

bool FleetPeer::send(const PeerAddress& to, MessageKind kind, const Bytes& message)
{
    m_net.send(*this, to, kind, message);
    return true;
}

void FleetPeer::onMessage(MessageKind kind, Handler handler)
{
    m_handlers.at(static_cast<std::size_t>(kind)) = std::move(handler);
}

TimePoint FleetPeer::now() const
{
    return m_net.m_clock.now();
}

TimerId FleetPeer::after(Duration delay, std::function<void()> action)
{
    return m_net.m_clock.after(delay, [this, alive = std::weak_ptr(m_alive), action = std::move(action)] {
        if (!alive.expired()) {
            charge(action);
        }
    });
}

void FleetPeer::cancel(TimerId id)
{
    m_net.m_clock.cancel(id);
}

void FleetPeer::charge(const std::function<void()>& action)
{
    const auto start = processorTime();
    action();
    cost.processor += processorTime() - start;
}

} // namespace pw::measure
