#pragma once

#include "core/admission.h"
#include "core/picker.h"
#include "core/server_pace.h"
#include "ports/random.h"

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <ostream>
#include <random>
#include <string>
#include <vector>

namespace pw::test {

using namespace std::chrono_literals;

/// A service with servers of different speeds, and its load.
struct UnevenService {
    const char* name;
    std::size_t servers;
    std::uint32_t slots;
    std::array<double, 3> speeds;
    std::size_t entries; ///< Daemons that send calls.
    Duration work; ///< Average work of a call at speed one.
    double utilization; ///< Offered work relative to all slots at speed one.
    Duration target;
    Duration deadline;
    bool nested = false;
    double stallShare = 0; ///< Share of the time in which a server is 2.5 times slower.
    Duration slowTime { 0 }; ///< For this long, the first server is slower by slowFactor.
    double slowFactor = 5;
    Duration nestedTime { 0 }; ///< Time that each run waits for nested calls, at any server.
    double routeSpread = 0.5; ///< The two routes take the average work plus and less this share.
    double silentShare = 0; ///< Share of the servers whose daemons do not report work times.
    double headroom = 0.05; ///< Share of the slots that the concurrency limit leaves free.
    double lostShare = 0; ///< Share of the answers whose load hint is lost.
};

inline std::ostream& operator<<(std::ostream& out, const UnevenService& row)
{
    return out << row.name;
}

/// What callers got.
struct CallerFigures {
    double inTime = 0; ///< Share answered within the target.
    double refused = 0;
    double failed = 0; ///< Share that ran, but not to its end by the deadline.
    double answersPerSecond = 0;
    double meanMillis = 0; ///< Response time.
    double p99Millis = 0;
    std::vector<double> millis {}; ///< Response times in ascending order.
    double requests = 0;

    /// \returns the share of the requests that were answered within \p limit.
    double shareWithin(double limit) const
    {
        return static_cast<double>(std::ranges::upper_bound(millis, limit) - millis.begin()) / requests;
    }

    double fastestUse = 0; ///< Average share of the slots in use at the fastest servers.
    double slowestUse = 0; ///< Same, at the slowest servers.
};

/// Simulates entry daemons with a picker each, and servers behind an admission each. Work advances in steps of one millisecond.
class UnevenServers {
public:
    UnevenServers(const UnevenService& service, PickBy pickBy, std::uint64_t seed)
        : m_service(service)
        , m_random(seed)
        , m_stalls(seed + 1000)
    {
        for (std::size_t n = 0; n < service.servers; ++n) {
            addServer(n);
        }
        for (std::size_t n = 0; n < service.entries; ++n) {
            m_entries.push_back({ domainOf(n), std::make_unique<Picker>(seed * 100 + n, pickBy) });
        }
    }

    CallerFigures run(Duration warmUp, Duration observed)
    {
        const auto end = m_begin + warmUp + observed;
        m_observeFrom = m_begin + warmUp;
        m_observeUntil = end;
        for (; m_now < end + m_service.deadline + 10ms; m_now += tick) {
            deliver();
            updateSpeeds();
            std::ranges::for_each(m_servers, [this](Server& it) { advance(it); });
            if (m_now < end) {
                arrive();
            }
            std::ranges::for_each(m_servers, [this](Server& it) { poll(it); });
        }
        return figures(observed);
    }

private:
    static constexpr auto tick = 1ms;
    static constexpr auto stallInterval = 600ms;
    static constexpr double stallFactor = 2.5;
    /// Share of the slots from which a server slows down, and the factor.
    static constexpr double slowdownThreshold = 0.95;
    static constexpr double slowdownFactor = 1.3;
    static constexpr std::size_t domains = 3;
    static constexpr auto domainLatency = 1ms; ///< One way, between failure domains.
    inline static const std::array<std::string, 2> routes { "short", "long" };

    struct Run {
        std::size_t id;
        double left; ///< In seconds at speed one.
        TimePoint started;
        TimePoint nestedUntil; ///< Ends not before, and works from then on.
    };

    struct Server {
        double speed;
        double slowness;
        Admission admission;
        ServerPace pace;
        std::vector<Run> runs;
        double busyTime = 0; ///< Slot seconds in the observed time.
        bool isSilent;
    };

    struct Entry {
        std::string domain;
        std::unique_ptr<Picker> picker;
    };

    enum class End { Pending,
        Served,
        Failed,
        Refused };

    struct Request {
        TimePoint arrived;
        std::size_t entry;
        std::size_t route;
        double work;
        std::size_t server = 0;
        std::vector<std::string> tried {};
        TimePoint sent {};
        TimePoint ended {};
        End end = End::Pending;
    };

    static std::string domainOf(std::size_t n) { return "d" + std::to_string(n % domains); }

    void addServer(std::size_t n)
    {
        ServerEntry entry;
        entry.name = "s" + std::to_string(n);
        entry.failureDomain = domainOf(n);
        entry.region = "west";
        entry.slots = entry.connections = m_service.slots;
        m_view.push_back(entry);
        // Shifted against the failure domains, so that no domain has servers of one speed only.
        const auto speed = m_service.speeds.at((n + n / domains) % m_service.speeds.size());
        const auto isSilent = static_cast<double>(n) < m_service.silentShare * static_cast<double>(m_service.servers);
        const auto usable = static_cast<std::uint32_t>(m_service.slots * (1 - m_service.headroom));
        m_servers.push_back({ speed, 1, Admission(makeLimit("delay", { usable, usable, false })), {}, {}, 0, isSilent });
    }

    void deliver()
    {
        while (!m_messages.empty() && m_messages.begin()->first <= m_now) {
            const auto node = m_messages.extract(m_messages.begin());
            node.mapped()();
        }
    }

    void updateSpeeds()
    {
        if ((m_now - m_begin) % stallInterval == 0ms) {
            std::ranges::for_each(m_servers, [this](Server& it) { it.slowness = uniform(m_stalls) < m_service.stallShare ? stallFactor : 1; });
        }
        if (m_service.slowTime > 0ms) {
            const auto isSlow = m_now >= m_observeFrom + 1s && m_now < m_observeFrom + 1s + m_service.slowTime;
            m_servers.front().slowness = isSlow ? m_service.slowFactor : 1;
        }
    }

    void advance(Server& server)
    {
        const auto running = static_cast<double>(server.runs.size());
        const auto isFull = running > slowdownThreshold * m_service.slots;
        const auto step = seconds(tick) * server.speed / server.slowness / (isFull ? slowdownFactor : 1);
        server.busyTime += m_now >= m_observeFrom && m_now < m_observeUntil ? running * seconds(tick) : 0;
        std::vector<std::pair<Run, RunOutcome>> ended;
        for (auto& it : server.runs) {
            it.left -= m_now >= it.nestedUntil ? step : 0;
            if (it.left <= 0) {
                ended.emplace_back(it, RunOutcome::Ok);
            } else if (m_now - m_requests.at(it.id).arrived >= m_service.deadline) {
                ended.emplace_back(it, RunOutcome::Timeout);
            }
        }
        for (const auto& [run, outcome] : ended) {
            std::erase_if(server.runs, [id = run.id](const Run& it) { return it.id == id; });
            server.admission.finish(run.id, { outcome, {} }, m_now);
            const auto& request = m_requests.at(run.id);
            if (outcome == RunOutcome::Ok) {
                server.pace.add(routes.at(request.route), m_now - run.started, m_now);
            }
            answer(server, run.id, outcome);
        }
    }

    void arrive()
    {
        const auto slots = static_cast<double>(m_service.servers) * m_service.slots;
        const auto perSecond = m_service.utilization * slots / seconds(m_service.work + m_service.nestedTime);
        std::poisson_distribution<int> arrivals(perSecond * seconds(tick));
        for (auto left = arrivals(m_random); left > 0; --left) {
            const auto route = m_random() % routes.size();
            const auto factor = route == 0 ? 1 - m_service.routeSpread : 1 + m_service.routeSpread;
            const auto work = seconds(m_service.work) * factor * (0.7 + 0.6 * uniform(m_random));
            m_requests.push_back({ m_now, m_random() % m_entries.size(), route, work });
            send(m_requests.size() - 1);
        }
    }

    PickContext contextOf(const Request& request) const
    {
        return { m_entries[request.entry].domain, "west", request.tried, {}, {}, routes.at(request.route) };
    }

    void send(std::size_t id)
    {
        auto& request = m_requests.at(id);
        auto& picker = *m_entries[request.entry].picker;
        const auto picked = picker.pick(m_view, contextOf(request), m_now);
        if (!picked) {
            end(request, End::Refused);
            return;
        }
        request.server = *picked;
        request.sent = m_now;
        request.tried.push_back(m_view[*picked].name);
        picker.started(m_view[*picked].name, m_now, routes.at(request.route));
        m_messages.emplace(m_now + latency(request), [this, id] { offer(id); });
    }

    Duration latency(const Request& request) const
    {
        return m_entries[request.entry].domain == m_view[request.server].failureDomain ? 0ms : domainLatency;
    }

    void offer(std::size_t id)
    {
        const auto& request = m_requests.at(id);
        auto& server = m_servers.at(request.server);
        const auto result = server.admission.offer({ id, {}, m_service.nested, "a", request.arrived + m_service.deadline }, m_now);
        if (result.outcome == AdmissionOutcome::Started) {
            start(server, id);
        } else if (result.outcome == AdmissionOutcome::Refused) {
            answer(server, id, RunOutcome::Refused);
        }
        poll(server);
    }

    void start(Server& server, std::size_t id)
    {
        server.runs.push_back({ id, m_requests.at(id).work, m_now, m_now + m_service.nestedTime });
    }

    void poll(Server& server)
    {
        const auto polled = server.admission.poll(m_now);
        std::ranges::for_each(polled.start, [&](std::uint64_t id) { start(server, id); });
        std::ranges::for_each(polled.shed, [&](const ShedRequest& it) { answer(server, it.id, RunOutcome::Refused); });
    }

    void answer(Server& server, std::size_t id, RunOutcome outcome)
    {
        const auto& request = m_requests.at(id);
        auto hint = server.admission.loadHint(m_now);
        hint.workTime = server.isSilent ? 0us : server.pace.workTime(routes.at(request.route), m_now);
        m_messages.emplace(m_now + latency(request), [this, id, outcome, hint] { onAnswer(id, outcome, hint); });
    }

    void onAnswer(std::size_t id, RunOutcome outcome, const LoadHint& hint)
    {
        auto& request = m_requests.at(id);
        auto& picker = *m_entries[request.entry].picker;
        const auto isLost = uniform(m_stalls) < m_service.lostShare;
        picker.finished(m_view[request.server].name, outcome, m_now - request.sent, isLost ? nullptr : &hint, m_now, routes.at(request.route));
        if (outcome != RunOutcome::Refused) {
            end(request, outcome == RunOutcome::Ok ? End::Served : End::Failed);
            return;
        }
        // As the dispatcher does: another server is offered the call if it has capacity.
        const auto next = picker.pick(m_view, contextOf(request), m_now);
        if (request.tried.size() < config::maxDaemonsOffered && next && picker.hasCapacity(m_view[*next], m_now)) {
            send(id);
        } else {
            end(request, End::Refused);
        }
    }

    void end(Request& request, End how)
    {
        request.end = how;
        request.ended = m_now;
    }

    CallerFigures figures(Duration observed) const
    {
        CallerFigures result;
        auto& times = result.millis;
        std::size_t n = 0;
        for (const auto& it : m_requests) {
            if (it.arrived < m_observeFrom || it.arrived >= m_observeUntil) {
                continue;
            }
            ++n;
            const auto took = it.ended - it.arrived;
            result.refused += it.end == End::Refused ? 1 : 0;
            result.failed += it.end == End::Failed || it.end == End::Pending ? 1 : 0;
            result.inTime += it.end == End::Served && took <= m_service.target ? 1 : 0;
            if (it.end == End::Served) {
                times.push_back(seconds(took) * 1000);
                result.meanMillis += times.back();
            }
        }
        std::ranges::sort(times);
        const auto total = static_cast<double>(n);
        result.requests = total;
        result.refused /= total;
        result.failed /= total;
        result.inTime /= total;
        result.answersPerSecond = static_cast<double>(times.size()) / seconds(observed);
        result.meanMillis /= static_cast<double>(std::max<std::size_t>(times.size(), 1));
        result.p99Millis = times.empty() ? 0 : times[times.size() * 99 / 100];
        result.fastestUse = use(std::ranges::max(m_service.speeds), observed);
        result.slowestUse = use(std::ranges::min(m_service.speeds), observed);
        return result;
    }

    double use(double speed, Duration observed) const
    {
        auto busy = 0.0;
        auto servers = 0;
        for (const auto& it : m_servers) {
            busy += it.speed == speed ? it.busyTime : 0;
            servers += it.speed == speed ? 1 : 0;
        }
        return busy / servers / m_service.slots / seconds(observed);
    }

    static double seconds(Duration time) { return std::chrono::duration<double>(time).count(); }

    UnevenService m_service;
    Random m_random;
    Random m_stalls;
    TimePoint m_begin { 1h };
    TimePoint m_now { 1h };
    TimePoint m_observeFrom {};
    TimePoint m_observeUntil {};
    std::vector<ServerEntry> m_view;
    std::vector<Server> m_servers;
    std::vector<Entry> m_entries;
    std::vector<Request> m_requests;
    std::multimap<TimePoint, std::function<void()>> m_messages;
};

} // namespace pw::test
