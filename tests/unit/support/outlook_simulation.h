#pragma once

#include "core/route_outlook.h"

#include <algorithm>
#include <functional>
#include <queue>
#include <vector>

/// Entry daemons, each with its own RouteOutlook, and callers that repeat a request once. No network and no clock.
namespace pw::test {

/// Load of one route and what its chain of nested calls does.
struct OutlookLoad {
    int daemons = 93;
    double perSecond = 10; ///< Requests per second and daemon.
    bool idempotent = false;
    int calls = 4; ///< Sequential nested calls of a request.
    double failure = 0; ///< Probability that a call fails, at any time.
    double troubleFailure = 0; ///< The same during the trouble.
    double slowness = 1; ///< Factor of all times during the trouble.
    Duration trouble = std::chrono::milliseconds(8500);
    Duration ownTime = std::chrono::milliseconds(60); ///< Average, without the nested calls.
    Duration callTime = std::chrono::milliseconds(22); ///< Average of one nested call.
    std::vector<Duration> deadlines { std::chrono::seconds(5) }; ///< How long callers wait, one of these each.
};

/// What callers got, as shares of their requests.
struct OutlookResult {
    double served = 0;
    double failed = 0; ///< Not served, and an attempt had started.
    double refused = 0; ///< Not served, and no attempt had started.
    double refusedAttempts = 0; ///< Refused attempts per request.
    Duration lastRefusal { 0 }; ///< Time from the end of the trouble to the last refusal of a fresh request.
    Duration averageShareRestored { 0 }; ///< Time from the end of the trouble until a daemon's share is 1 for good, on average.
};

namespace outlook_detail {

    inline constexpr std::chrono::seconds troubleBegin { 5 };
    inline constexpr std::chrono::seconds arrivals { 20 };
    inline constexpr int tries = 2;
    /// Time that callers wait before they repeat a request without Retry-After.
    inline constexpr std::chrono::milliseconds callerBackoff { 100 };

    class Simulation {
    public:
        Simulation(const OutlookLoad& load, bool on, std::uint64_t seed)
            : m_load(load)
            , m_on(on)
            , m_seed(seed)
            , m_route { .name = "read", .idempotent = load.idempotent }
        {
            for (auto n = 0; n < load.daemons; ++n) {
                m_daemons.emplace_back(seed * 1000 + static_cast<std::uint64_t>(n));
            }
        }

        OutlookResult run()
        {
            makeArrivals();
            while (!m_events.empty()) {
                const auto event = m_events.top();
                m_events.pop();
                m_now = event.at;
                event.run();
            }
            const auto share = [this](auto pred) {
                return static_cast<double>(std::ranges::count_if(m_requests, pred)) / static_cast<double>(m_requests.size());
            };
            m_result.served = share([](const Request& it) { return it.served; });
            m_result.failed = share([](const Request& it) { return !it.served && it.started; });
            m_result.refused = share([](const Request& it) { return !it.served && !it.started; });
            m_result.refusedAttempts /= static_cast<double>(m_requests.size());
            for (const auto at : m_restored) {
                m_result.averageShareRestored += at / static_cast<int>(m_restored.size());
            }
            return m_result;
        }

    private:
        struct Event {
            TimePoint at;
            std::uint64_t order;
            std::function<void()> run;

            bool operator<(const Event& other) const { return at != other.at ? at > other.at : order > other.order; }
        };
        struct Request {
            TimePoint deadline {};
            int attempts = 0;
            bool started = false;
            bool served = false;
        };

        void at(TimePoint time, std::function<void()> run) { m_events.push({ time, ++m_order, std::move(run) }); }

        TimePoint troubleStart() const { return m_begin + troubleBegin; }
        TimePoint troubleEnd() const { return troubleStart() + m_load.trouble; }
        bool inTrouble(TimePoint time) const { return time >= troubleStart() && time < troubleEnd(); }

        void makeArrivals()
        {
            Random random(m_seed);
            std::exponential_distribution<double> gap(m_load.perSecond * m_load.daemons);
            const auto end = std::chrono::duration<double>(arrivals).count();
            for (auto time = gap(random); time < end; time += gap(random)) {
                const auto arrival = m_begin + std::chrono::duration_cast<Duration>(std::chrono::duration<double>(time));
                const auto deadline = m_load.deadlines[random() % m_load.deadlines.size()];
                m_requests.push_back({ .deadline = arrival + deadline });
                at(arrival, [this, id = m_requests.size() - 1] { send(id); });
            }
            m_restored.resize(m_daemons.size());
        }

        /// The attempt of a request has the same outcome with both settings when it is made at the same time.
        void send(std::size_t id)
        {
            auto& request = m_requests[id];
            const auto attempt = request.attempts++;
            Random random(m_seed * 1'000'003 + id * tries + static_cast<std::uint64_t>(attempt));
            const auto daemon = random() % m_daemons.size();
            auto& outlook = m_daemons[daemon];
            if (m_on) {
                if (const auto refusal = outlook.check(m_route, request.deadline - m_now, m_now)) {
                    onRefused(id, daemon, *refusal);
                    return;
                }
                outlook.started(m_route, m_now);
            }
            request.started = true;
            runChain(id, daemon, random);
        }

        void runChain(std::size_t id, std::size_t daemon, Random& random)
        {
            const auto began = m_now;
            const auto ended = [this, id, daemon, began](TimePoint time, bool failed) {
                const auto end = std::min(time, m_requests[id].deadline);
                at(end, [this, id, daemon, began, failed, complete = time <= m_requests[id].deadline] { onEnd(id, daemon, began, failed, complete); });
            };
            auto time = began + draw(m_load.ownTime, began, random);
            for (auto n = 0; n < m_load.calls; ++n) {
                const auto failure = inTrouble(time) ? std::max(m_load.troubleFailure, m_load.failure) : m_load.failure;
                if (uniform(random) < failure) {
                    ended(time, true);
                    return;
                }
                time += draw(m_load.callTime, time, random);
            }
            ended(time, false);
        }

        /// \returns a duration from half to one and a half of \p average.
        Duration draw(Duration average, TimePoint time, Random& random) const
        {
            const auto factor = (0.5 + uniform(random)) * (inTrouble(time) ? m_load.slowness : 1);
            return std::chrono::duration_cast<Duration>(average * factor);
        }

        void onEnd(std::size_t id, std::size_t daemon, TimePoint began, bool failed, bool complete)
        {
            Answer answer;
            answer.status = failed ? 500 : 200;
            answer.refusal.reason = complete ? Reason::None : Reason::DeadlineExceeded;
            if (m_on) {
                m_daemons[daemon].ended(m_route, answer, m_now - began, m_now);
                recordShare(daemon);
            }
            auto& request = m_requests[id];
            if (complete && !failed) {
                request.served = true;
            } else if (complete && m_load.idempotent) {
                repeat(id, callerBackoff);
            }
        }

        void onRefused(std::size_t id, std::size_t daemon, const Refusal& refusal)
        {
            ++m_result.refusedAttempts;
            m_result.lastRefusal = std::max(m_result.lastRefusal, m_now - troubleEnd());
            recordShare(daemon);
            repeat(id, refusal.retryAfter.count() > 0 ? refusal.retryAfter : callerBackoff);
        }

        void repeat(std::size_t id, Duration wait)
        {
            const auto& request = m_requests[id];
            if (request.attempts < tries && m_now + wait < request.deadline) {
                at(m_now + wait, [this, id] { send(id); });
            }
        }

        void recordShare(std::size_t daemon)
        {
            if (m_now > troubleEnd() && m_daemons[daemon].admittedShare("read") < 1) {
                m_restored[daemon] = m_now - troubleEnd();
            }
        }

        OutlookLoad m_load;
        bool m_on;
        std::uint64_t m_seed;
        Route m_route;
        std::vector<RouteOutlook> m_daemons;
        std::vector<Request> m_requests;
        std::vector<Duration> m_restored; ///< By daemon: time from the end of the trouble at which its share was last below 1.
        std::priority_queue<Event> m_events;
        std::uint64_t m_order = 0;
        TimePoint m_begin { std::chrono::hours(1) };
        TimePoint m_now = m_begin;
        OutlookResult m_result;
    };

} // namespace outlook_detail

/// Simulates 20 s of \p load, with the trouble from the fifth second on. The same seed gives the same requests.
inline OutlookResult simulateOutlook(const OutlookLoad& load, bool on, std::uint64_t seed)
{
    return outlook_detail::Simulation(load, on, seed).run();
}

} // namespace pw::test
