#pragma once

#include "ports/peer_network.h"
#include "ports/random.h"
#include "ports/timers.h"

#include <algorithm>
#include <array>
#include <map>
#include <memory>
#include <set>
#include <utility>
#include <vector>

/// Simulated clock and network with seeded randomness, for any number of daemons in one process.
namespace pw::test {

/// Manually advanced clock with its timers.
class FakeTimers : public Timers {
public:
    TimePoint now() const override { return m_now; }

    TimerId after(Duration delay, std::function<void()> action) override
    {
        const auto id = ++m_lastId;
        m_due.emplace(std::pair { m_now + std::max(delay, Duration::zero()), id }, std::move(action));
        return id;
    }

    void cancel(TimerId id) override
    {
        std::erase_if(m_due, [id](const auto& entry) { return entry.first.second == id; });
    }

    /// Advances the clock by \p time and runs the timers that expire, in order.
    void run(Duration time)
    {
        const auto end = m_now + time;
        while (!m_due.empty() && m_due.begin()->first.first <= end) {
            auto entry = m_due.extract(m_due.begin());
            m_now = entry.key().first;
            entry.mapped()();
        }
        m_now = end;
    }

    /// Runs the timers that have expired. Those that they start wait for the next call, like in an event loop.
    void runExpired() { runFrom(m_due.begin()); }

    /// Runs the timers that expire at this very moment, and not those that a suspension has made late.
    void runDue() { runFrom(m_due.lower_bound({ m_now, 0 })); }

    /// Advances the clock without running timers, as a suspended VM does before it has run its timers.
    void suspend(Duration time) { m_now += time; }

    /// Advances the clock in steps of \p step until \p done returns true or \p limit has passed. \returns the last result.
    bool runUntil(const std::function<bool()>& done, Duration limit, Duration step = std::chrono::milliseconds(1))
    {
        const auto end = m_now + limit;
        auto holds = done();
        while (!holds && m_now < end) {
            run(step);
            holds = done();
        }
        return holds;
    }

private:
    using DueTimers = std::map<std::pair<TimePoint, TimerId>, std::function<void()>>;

    void runFrom(DueTimers::const_iterator first)
    {
        std::vector<TimerId> expired;
        for (auto it = first; it != m_due.end() && it->first.first <= m_now; ++it) {
            expired.push_back(it->first.second);
        }
        for (const auto id : expired) {
            const auto it = std::ranges::find(m_due, id, [](const auto& entry) { return entry.first.second; });
            if (it != m_due.end()) {
                m_due.extract(it).mapped()();
            }
        }
    }

    TimePoint m_now { std::chrono::hours(1) };
    TimerId m_lastId = 0;
    DueTimers m_due;
};

/// Properties of all links.
struct LinkFaults {
    Duration minDelay = std::chrono::microseconds(500);
    Duration maxDelay = std::chrono::microseconds(1500);
    double loss = 0; ///< Fraction of messages lost.
    double duplication = 0; ///< Fraction of messages delivered twice.
    bool ordered = true; ///< Messages in one direction of a link arrive in the order sent.
};

/// Delivers the messages of all peers.
class FakeNetwork {
public:
    FakeNetwork(FakeTimers& timers, std::uint64_t seed)
        : m_timers(timers)
        , m_random(seed)
    {
    }

    LinkFaults faults;

    /// Silently drops messages from \p a to \p b, in this direction only.
    void cutOneWay(const PeerAddress& a, const PeerAddress& b) { m_cut.insert({ a, b }); }

    /// Silently drops messages between \p a and \p b in both directions.
    void cut(const PeerAddress& a, const PeerAddress& b)
    {
        cutOneWay(a, b);
        cutOneWay(b, a);
    }

    void heal(const PeerAddress& a, const PeerAddress& b)
    {
        m_cut.erase({ a, b });
        m_cut.erase({ b, a });
    }

    /// Silently isolates \p address from all other peers.
    void isolate(const PeerAddress& address) { m_isolated.insert(address); }

    void rejoin(const PeerAddress& address) { m_isolated.erase(address); }

    void healAll()
    {
        m_cut.clear();
        m_isolated.clear();
    }

    /// \returns the number of messages and bytes sent, by kind.
    std::uint64_t bytesSent(MessageKind kind) const { return m_bytes.at(static_cast<std::size_t>(kind)); }
    std::uint64_t messagesSent(MessageKind kind) const { return m_messages.at(static_cast<std::size_t>(kind)); }

private:
    friend class FakePeer;

    using Handlers = std::array<PeerNetwork::Handler, static_cast<std::size_t>(MessageKind::Count)>;
    struct Endpoint {
        std::uint64_t incarnation = 0; ///< Messages of an earlier incarnation are lost.
        Handlers* handlers = nullptr;
        std::map<PeerAddress, TimePoint>* unanswered = nullptr; ///< Time of the oldest unanswered message to each peer.
    };

    bool blocked(const PeerAddress& from, const PeerAddress& to) const
    {
        return m_cut.contains({ from, to }) || (from != to && (m_isolated.contains(from) || m_isolated.contains(to)));
    }

    void send(const PeerAddress& from, const PeerAddress& to, MessageKind kind, const Bytes& message)
    {
        m_bytes.at(static_cast<std::size_t>(kind)) += message.size();
        ++m_messages.at(static_cast<std::size_t>(kind));
        if (uniform(m_random) < faults.loss) {
            return;
        }
        deliverLater(from, to, kind, message);
        if (uniform(m_random) < faults.duplication) {
            deliverLater(from, to, kind, message);
        }
    }

    void deliverLater(const PeerAddress& from, const PeerAddress& to, MessageKind kind, const Bytes& message)
    {
        const auto spread = static_cast<double>((faults.maxDelay - faults.minDelay).count()) * uniform(m_random);
        auto due = m_timers.now() + faults.minDelay + Duration(static_cast<Duration::rep>(spread));
        if (faults.ordered) {
            auto& last = m_lastDue[{ from, to }];
            due = std::max(due, last);
            last = due;
        }
        const auto incarnation = m_endpoints[to].incarnation;
        m_timers.after(due - m_timers.now(), [this, from, to, kind, message, incarnation] {
            deliver(from, to, kind, message, incarnation);
        });
    }

    void deliver(const PeerAddress& from, const PeerAddress& to, MessageKind kind, const Bytes& message, std::uint64_t incarnation)
    {
        const auto& endpoint = m_endpoints[to];
        if (blocked(from, to) || !endpoint.handlers || endpoint.incarnation != incarnation) {
            return;
        }
        endpoint.unanswered->erase(from);
        if (auto handler = endpoint.handlers->at(static_cast<std::size_t>(kind))) {
            handler(from, message);
        }
    }

    FakeTimers& m_timers;
    Random m_random;
    std::map<PeerAddress, Endpoint> m_endpoints;
    std::map<std::pair<PeerAddress, PeerAddress>, TimePoint> m_lastDue;
    std::set<std::pair<PeerAddress, PeerAddress>> m_cut;
    std::set<PeerAddress> m_isolated;
    std::array<std::uint64_t, static_cast<std::size_t>(MessageKind::Count)> m_bytes {};
    std::array<std::uint64_t, static_cast<std::size_t>(MessageKind::Count)> m_messages {};
};

/// One daemon's endpoint on the fake network. Destroying it breaks all links of the daemon.
class FakePeer : public PeerNetwork {
public:
    FakePeer(FakeNetwork& network, PeerAddress self)
        : m_network(network)
        , m_self(std::move(self))
    {
        auto& endpoint = m_network.m_endpoints[m_self];
        ++endpoint.incarnation;
        endpoint.handlers = &m_handlers;
        endpoint.unanswered = &m_unanswered;
    }

    ~FakePeer() override
    {
        auto& endpoint = m_network.m_endpoints[m_self];
        if (endpoint.handlers == &m_handlers) {
            endpoint.handlers = nullptr;
        }
    }

    FakePeer(const FakePeer&) = delete;
    FakePeer& operator=(const FakePeer&) = delete;

    bool send(const PeerAddress& to, MessageKind kind, const Bytes& message) override
    {
        m_unanswered.try_emplace(to, m_network.m_timers.now());
        m_network.send(m_self, to, kind, message);
        return true;
    }

    /// A reachable peer replies immediately.
    void probe(const PeerAddress& peer) override
    {
        m_unanswered.try_emplace(peer, m_network.m_timers.now());
        if (m_network.m_endpoints[peer].handlers && !m_network.blocked(m_self, peer) && !m_network.blocked(peer, m_self)) {
            m_unanswered.erase(peer);
        }
    }

    PeerLiveness livenessOf(const PeerAddress& peer) const override
    {
        const auto it = m_unanswered.find(peer);
        return { true, it == m_unanswered.end() ? Duration::zero() : m_network.m_timers.now() - it->second };
    }

    void onMessage(MessageKind kind, Handler handler) override
    {
        m_handlers.at(static_cast<std::size_t>(kind)) = std::move(handler);
    }

    void onLost(LostHandler handler) override { m_lost.push_back(std::move(handler)); }
    void onPeerUnresponsive(const LostHandler& handler) override { m_silent.push_back(handler); }

    const PeerAddress& self() const override { return m_self; }

    /// Notifies this daemon that its link to \p peer is lost.
    void loseLink(const PeerAddress& peer) const
    {
        std::ranges::for_each(m_lost, [&peer](const auto& handler) { handler(peer); });
    }

    /// Notifies this daemon that its links to \p peer are unresponsive.
    void setLinksAside(const PeerAddress& peer) const
    {
        std::ranges::for_each(m_silent, [&peer](const auto& handler) { handler(peer); });
    }

private:
    FakeNetwork& m_network;
    PeerAddress m_self;
    FakeNetwork::Handlers m_handlers {};
    std::map<PeerAddress, TimePoint> m_unanswered;
    std::vector<LostHandler> m_lost;
    std::vector<LostHandler> m_silent;
};

} // namespace pw::test
