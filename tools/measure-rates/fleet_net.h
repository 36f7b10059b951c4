#pragma once

#include "ports/events.h"
#include "ports/peer_network.h"
#include "ports/random.h"
#include "ports/timers.h"

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <string>
#include <unordered_map>
#include <vector>

/// A simulated clock and network for many daemons in one process, which count messages, bytes and processor time.
namespace pw::measure {

/// Runs actions in the order of simulated time.
class FleetClock {
public:
    TimePoint now() const { return m_now; }
    TimerId after(Duration delay, std::function<void()> action);
    void cancel(TimerId id) { m_actions.erase(id); }
    void run(Duration time);

private:
    struct Due {
        TimePoint time;
        TimerId id;
        bool operator>(const Due& other) const { return std::pair(time, id) > std::pair(other.time, other.id); }
    };

    TimePoint m_now { std::chrono::hours(1) };
    TimerId m_lastId = 0;
    std::priority_queue<Due, std::vector<Due>, std::greater<>> m_due;
    std::unordered_map<TimerId, std::function<void()>> m_actions;
};

/// What one daemon has cost.
struct Cost {
    std::uint64_t messages = 0; ///< Sent and received.
    std::uint64_t bytes = 0; ///< Sent and received, with the frame header.
    std::chrono::nanoseconds processor { 0 };
};

class FleetPeer;

/// Carries messages between the daemons after a short random delay.
class FleetNet {
public:
    FleetNet(FleetClock& clock, std::uint64_t seed);

    FleetClock& clock() { return m_clock; }

private:
    friend class FleetPeer;

    void send(FleetPeer& from, const PeerAddress& to, MessageKind kind, const Bytes& message);

    FleetClock& m_clock;
    Random m_random;
    std::unordered_map<PeerAddress, FleetPeer*> m_peers;
    std::map<std::pair<PeerAddress, PeerAddress>, TimePoint> m_lastDue;
};

/// One daemon's network, timers and log; what runs in its handlers and timers is put to its account.
class FleetPeer : public PeerNetwork, public Timers, public EventLog {
public:
    FleetPeer(FleetNet& net, PeerAddress self);
    ~FleetPeer() override;
    FleetPeer(const FleetPeer&) = delete;
    FleetPeer& operator=(const FleetPeer&) = delete;

    bool send(const PeerAddress& to, MessageKind kind, const Bytes& message) override;
    void onMessage(MessageKind kind, Handler handler) override;
    void onLost(LostHandler /*handler*/) override { }
    const PeerAddress& self() const override { return m_self; }

    TimePoint now() const override;
    TimerId after(Duration delay, std::function<void()> action) override;
    void cancel(TimerId id) override;

    bool shouldWrite(Event /*event*/) override { return false; }
    void write(Event /*event*/, std::initializer_list<EventField> /*fields*/) override { }

    /// Runs \p action on this daemon's account.
    void charge(const std::function<void()>& action);

    Cost cost;

private:
    friend class FleetNet;

    FleetNet& m_net;
    PeerAddress m_self;
    std::array<Handler, static_cast<std::size_t>(MessageKind::Count)> m_handlers {};
    std::shared_ptr<int> m_alive = std::make_shared<int>();
};

} // namespace pw::measure
