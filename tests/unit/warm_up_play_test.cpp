#include "config.h"
#include "core/admission.h"
#include "core/picker.h"
#include "ports/random.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <cmath>
#include <functional>
#include <map>
#include <memory>
#include <numeric>
#include <ostream>
#include <utility>
#include <vector>

namespace {

using namespace pw;
using namespace std::chrono_literals;

namespace data = boost::unit_test::data;

constexpr std::size_t serverCount = 27;
constexpr std::size_t domainCount = 3;
constexpr std::size_t serversPerDomain = serverCount / domainCount;
constexpr std::uint32_t slots = 108;
constexpr std::uint32_t usedSlots = 102; ///< With the headroom of the deployment (limit.headroom of 0.05).
constexpr double fullLoad = 56; ///< Requests per second and server: 28 roots and as many nested calls, which use 0.78 of the slots.
constexpr auto meanWork = 1500ms;
constexpr auto deadline = 6s;
constexpr double slowdownThreshold = 0.95;
constexpr double slowdownFactor = 1.3;
constexpr double coldFactor = 2;

constexpr auto sameDomainDelay = 100us;
constexpr auto otherDomainDelay = 900us;
constexpr auto viewDelay = 100ms;
constexpr auto announcementLapse = 3s;
constexpr auto healthDelay = 5ms;
constexpr auto heartbeatInterval = 1500ms;
constexpr auto housekeepingInterval = 10ms;

constexpr TimePoint begin { 100s };
constexpr auto incidentAt = 10s;
constexpr auto downTime = 4s;
constexpr auto coldTime = 3s;
constexpr auto playTime = 34s;
constexpr WarmUpSettings settings { 13, 1.5, 8 };
constexpr auto recoveryTime = 15s;

/// How the servers of the first failure domain become cold.
enum class Onset : std::uint8_t {
    Restart, ///< They are down for some seconds and become available again together.
    Reset, ///< They become cold without a restart and close their connections.
    Announced, ///< They become cold without a restart; their announcements arrive at once.
    Count
};

struct PlayRow {
    const char* name;
    Onset onset;
    bool viewShowsRates = true; ///< False: the control plane is out of reach, so that entry daemons learn the rates from answers.
    double requestsPerServer = fullLoad;
};

std::ostream& operator<<(std::ostream& out, const PlayRow& row)
{
    return out << row.name;
}

const std::vector<PlayRow> playRows {
    { "available again together", Onset::Restart },
    { "available again together, without the view", Onset::Restart, false },
    { "connections reset", Onset::Reset },
    { "connections reset, without the view", Onset::Reset, false },
    { "announced", Onset::Announced },
    { "announced, without the view", Onset::Announced, false },
    { "available again together, half the load", Onset::Restart, true, fullLoad / 2 },
    { "announced, half the load", Onset::Announced, true, fullLoad / 2 },
};

std::size_t domainOf(std::size_t server)
{
    return server * domainCount / serverCount;
}

bool becomesCold(std::size_t server)
{
    return domainOf(server) == 0;
}

/// Simulates a service of backend servers with a daemon beside each, through which its requests enter.
class FleetPlay {
public:
    FleetPlay(const PlayRow& row, std::uint64_t seed)
        : m_row(row)
        , m_random(seed)
    {
        for (std::size_t n = 0; n < serverCount; ++n) {
            m_servers.push_back(std::make_unique<Server>(seed * serverCount + n));
            m_servers.back()->speed = 0.75 + 0.5 * uniform(m_random);
            m_servers.back()->admission.warmUp().configure(settings);
            m_view.push_back({ .name = nameOf(n), .daemon = nameOf(n), .failureDomain = std::to_string(domainOf(n)), .region = "west", .slots = slots, .connections = slots });
        }
    }

    void run()
    {
        arriveNext();
        housekeep();
        at(begin + incidentAt, [this] { forCold(&FleetPlay::strike); });
        while (!m_events.empty() && m_events.begin()->first < begin + playTime) {
            auto node = m_events.extract(m_events.begin());
            m_now = node.key();
            node.mapped()();
        }
    }

    /// \returns when the servers were available and cold, since the start.
    Duration availableAt() const { return incidentAt + (m_row.onset == Onset::Restart ? Duration(downTime) : Duration(0)); }

    /// \returns the largest number of requests that reached one cold server within a second.
    double worstSecond() const
    {
        std::ptrdiff_t most = 0;
        for (const auto& server : m_servers) {
            auto sorted = server->reachedCold;
            std::ranges::sort(sorted);
            for (auto it = sorted.begin(); it != sorted.end(); ++it) {
                most = std::max(most, std::ranges::upper_bound(it, sorted.end(), *it + 1s) - it);
            }
        }
        return static_cast<double>(most);
    }

    /// \returns the share of the requests sent between \p from and \p to that were served.
    double served(Duration from, Duration to) const
    {
        const auto sum = [&](const std::map<int, int>& counts) {
            return std::accumulate(counts.lower_bound(secondOf(from)), counts.lower_bound(secondOf(to)), 0, [](int total, const auto& it) { return total + it.second; });
        };
        return sum(m_served) / std::max(1.0, static_cast<double>(sum(m_sent)));
    }

    /// \returns answers per second of the servers that stayed warm, between \p from and \p to.
    double warmThroughput(Duration from, Duration to) const
    {
        double total = 0;
        for (auto n = secondOf(from); n < secondOf(to); ++n) {
            total += m_warmAnswers.contains(n) ? m_warmAnswers.at(n) : 0;
        }
        return total / std::chrono::duration<double>(to - from).count();
    }

    /// \returns requests per second that the servers which stay warm can answer.
    double warmCapacity() const
    {
        double total = 0;
        for (std::size_t n = 0; n < serverCount; ++n) {
            total += becomesCold(n) ? 0 : usedSlots * m_servers[n]->speed / std::chrono::duration<double>(meanWork).count();
        }
        return total;
    }

    /// \returns the number of requests that reached the cold servers.
    std::size_t reachedCold() const
    {
        return std::accumulate(m_servers.begin(), m_servers.end(), std::size_t(0), [](std::size_t total, const auto& it) { return total + it->reachedCold.size(); });
    }

private:
    struct Server {
        explicit Server(std::uint64_t seed)
            : admission(makeLimit("delay", { usedSlots, usedSlots, false }))
            , picker(seed + 1)
        {
        }

        double speed = 1;
        Admission admission;
        Picker picker; ///< Of the daemon beside it, for the requests that enter there.
        bool down = false;
        TimePoint coldFrom {};
        TimePoint coldUntil {};
        bool probing = false;
        TimePoint nextHeartbeat = begin;
        double publishedRate = 0;
        std::map<std::uint64_t, std::uint32_t> runs; ///< Running requests, and the start of the server that they run at.
        std::uint32_t start = 0;
        std::vector<TimePoint> reachedCold;
    };

    struct Request {
        std::size_t entry = 0;
        bool nested = false;
        TimePoint arrived {};
        TimePoint sentAt {};
        std::size_t server = 0;
        std::vector<std::string> tried;
    };

    static std::string nameOf(std::size_t server) { return "s" + std::to_string(server); }
    static int secondOf(Duration time) { return static_cast<int>(std::chrono::floor<std::chrono::seconds>(time).count()); }

    void at(TimePoint time, std::function<void()> action) { m_events.emplace(time, std::move(action)); }

    Duration delay(std::size_t a, std::size_t b) const { return domainOf(a) == domainOf(b) ? sameDomainDelay : otherDomainDelay; }

    void forCold(void (FleetPlay::*action)(std::size_t))
    {
        for (std::size_t n = 0; n < serverCount; ++n) {
            if (becomesCold(n)) {
                (this->*action)(n);
            }
        }
    }

    void strike(std::size_t n)
    {
        auto& server = *m_servers[n];
        if (m_row.onset == Onset::Announced) {
            becomeCold(n);
            server.admission.warmUp().onAnnounced(coldTime, m_now);
            return;
        }
        server.admission.warmUp().onStateUnknown(m_now);
        ++server.start;
        for (const auto& [id, start] : std::exchange(server.runs, {})) {
            server.admission.finish(id, { RunOutcome::Failed, {} }, m_now);
            answer(id, RunOutcome::Failed, { Verdict::MayHaveRun, Reason::BackendFailed, {} });
        }
        if (m_row.onset == Onset::Reset) {
            becomeCold(n);
            return;
        }
        server.down = true;
        at(m_now + announcementLapse, [this, n] { setVisible(n, false); });
        at(m_now + downTime, [this, n] {
            m_servers[n]->down = false;
            becomeCold(n);
            m_servers[n]->admission.warmUp().onStateUnknown(m_now);
            at(m_now + viewDelay, [this, n] { setVisible(n, true); });
        });
    }

    void becomeCold(std::size_t n)
    {
        m_servers[n]->coldFrom = m_now;
        m_servers[n]->coldUntil = m_now + coldTime;
    }

    bool isCold(const Server& server) const { return m_now >= server.coldFrom && m_now < server.coldUntil; }

    void setVisible(std::size_t n, bool visible) { m_view[n].leaving = !visible; }

    void arriveNext()
    {
        const auto id = ++m_lastId;
        m_requests[id] = { m_random() % serverCount, uniform(m_random) < 0.5, m_now, m_now, 0, {} };
        ++m_sent[secondOf(m_now - begin)];
        attempt(id);
        const std::chrono::duration<double> gap(-std::log(1 - uniform(m_random)) / (m_row.requestsPerServer * serverCount));
        at(m_now + std::chrono::duration_cast<Duration>(gap), [this] { arriveNext(); });
    }

    PickContext contextOf(const Request& request) const { return { std::to_string(domainOf(request.entry)), "west", request.tried, {} }; }

    void attempt(std::uint64_t id)
    {
        auto& request = m_requests.at(id);
        auto& picker = m_servers[request.entry]->picker;
        const auto picked = picker.pick(m_view, contextOf(request), m_now);
        if (!picked) {
            m_requests.erase(id);
            return;
        }
        request.server = *picked;
        request.sentAt = m_now;
        request.tried.push_back(nameOf(*picked));
        picker.started(nameOf(*picked), m_now);
        at(m_now + delay(request.entry, *picked), [this, id] { deliver(id); });
    }

    void deliver(std::uint64_t id)
    {
        const auto& request = m_requests.at(id);
        auto& server = *m_servers[request.server];
        if (server.down) {
            answer(id, RunOutcome::Failed, { Verdict::NotRun, Reason::BackendFailed, {} });
            return;
        }
        const auto n = request.server;
        const auto offered = server.admission.offer({ id, Importance::Normal, request.nested, "a", request.arrived + deadline }, m_now);
        if (offered.outcome == AdmissionOutcome::Started) {
            startRun(n, id);
        } else if (offered.outcome == AdmissionOutcome::Refused) {
            answer(id, RunOutcome::Refused, offered.refusal);
        }
        poll(n);
    }

    void poll(std::size_t n)
    {
        auto& admission = m_servers[n]->admission;
        auto work = admission.poll(m_now);
        std::ranges::for_each(work.start, [&](std::uint64_t id) { startRun(n, id); });
        std::ranges::for_each(work.shed, [&](const ShedRequest& it) { answer(it.id, RunOutcome::Refused, it.refusal); });
        if (const auto wake = admission.nextWake()) {
            at(std::max(*wake, m_now + 1us), [this, n] { poll(n); });
        }
    }

    void startRun(std::size_t n, std::uint64_t id)
    {
        auto& server = *m_servers[n];
        if (server.down) {
            server.admission.finish(id, { RunOutcome::Failed, {} }, m_now);
            answer(id, RunOutcome::Failed, { Verdict::NotRun, Reason::BackendFailed, {} });
            return;
        }
        server.runs[id] = server.start;
        reach(server);
        const auto full = static_cast<double>(server.runs.size()) >= slowdownThreshold * slots ? slowdownFactor : 1;
        const auto factor = (isCold(server) ? coldFactor : 1) * full * (0.5 + uniform(m_random)) / server.speed;
        const auto time = std::chrono::duration_cast<Duration>(meanWork * factor);
        at(m_now + time, [this, n, id, start = server.start] { endRun(n, id, start); });
    }

    void reach(Server& server)
    {
        if (isCold(server)) {
            server.reachedCold.push_back(m_now + std::chrono::duration_cast<Duration>(uniform(m_random) * Duration(config::warmUpArrivalSpread)));
        }
    }

    void endRun(std::size_t n, std::uint64_t id, std::uint32_t start)
    {
        auto& server = *m_servers[n];
        const auto it = server.runs.find(id);
        if (it == server.runs.end() || it->second != start) {
            return;
        }
        server.runs.erase(it);
        server.admission.finish(id, { RunOutcome::Ok, {} }, m_now);
        m_warmAnswers[secondOf(m_now - begin)] += becomesCold(n) ? 0 : 1;
        answer(id, RunOutcome::Ok, {});
        poll(n);
    }

    void answer(std::uint64_t id, RunOutcome outcome, Refusal refusal)
    {
        const auto& request = m_requests.at(id);
        const auto& server = *m_servers[request.server];
        at(m_now + delay(request.entry, request.server), [this, id, outcome, refusal, hint = server.admission.loadHint(m_now)] { onAnswer(id, outcome, refusal, hint); });
    }

    /// Decides as the dispatcher does.
    void onAnswer(std::uint64_t id, RunOutcome outcome, const Refusal& refusal, const LoadHint& hint)
    {
        auto& request = m_requests.at(id);
        auto& picker = m_servers[request.entry]->picker;
        picker.finished(nameOf(request.server), outcome, m_now - request.sentAt, &hint, m_now);
        if (outcome == RunOutcome::Ok) {
            m_served[secondOf(request.arrived - begin)] += m_now <= request.arrived + deadline ? 1 : 0;
        } else if (refusal.verdict == Verdict::NotRun && request.tried.size() < config::maxDaemonsOffered) {
            const auto next = picker.pick(m_view, contextOf(request), m_now);
            if (next && (refusal.reason != Reason::Overloaded || picker.hasCapacity(m_view[*next], m_now))) {
                attempt(id);
                return;
            }
        }
        m_requests.erase(id);
    }

    /// Probes, heartbeats and publishes as the server role does.
    void housekeep()
    {
        for (std::size_t n = 0; n < serverCount; ++n) {
            auto& server = *m_servers[n];
            auto& warmUp = server.admission.warmUp();
            if (warmUp.wantsProbe(m_now)) {
                warmUp.onProbeSent(m_now);
                reach(server);
                at(m_now + healthDelay, [this, n, askedAt = m_now] { onHealth(n, askedAt); });
            }
            if (m_now >= server.nextHeartbeat && !server.down) {
                server.nextHeartbeat = m_now + heartbeatInterval;
                warmUp.onAnnounced(server.coldUntil - m_now, m_now);
            }
            const auto rate = warmUp.rate(m_now).value_or(0);
            if (std::exchange(server.publishedRate, rate) != rate && m_row.viewShowsRates) {
                at(m_now + viewDelay, [this, n, rate] { m_view[n].warmUpRate = rate; });
            }
        }
        at(m_now + housekeepingInterval, [this] { housekeep(); });
    }

    void onHealth(std::size_t n, TimePoint askedAt)
    {
        auto& server = *m_servers[n];
        const auto left = std::max<Duration>(server.coldUntil - m_now, 0s);
        server.admission.warmUp().onProbed(server.down ? std::nullopt : std::optional(left), askedAt, m_now);
        poll(n);
    }

    const PlayRow& m_row;
    Random m_random;
    TimePoint m_now = begin;
    std::vector<std::unique_ptr<Server>> m_servers;
    std::vector<ServerEntry> m_view;
    std::multimap<TimePoint, std::function<void()>> m_events;
    std::uint64_t m_lastId = 0;
    std::map<std::uint64_t, Request> m_requests;
    std::map<int, int> m_sent; ///< By second.
    std::map<int, int> m_served;
    std::map<int, int> m_warmAnswers;
};

constexpr std::uint64_t seeds = 2;
constexpr double recoveredShare = 0.95;
constexpr double tolerance = 0.95;

} // namespace

BOOST_AUTO_TEST_SUITE(WarmUpPlays)

/// Guards against a failure domain whose cold servers are overloaded, take the warm servers down with them, or stay unused.
BOOST_DATA_TEST_CASE(aColdFailureDomainIsNeitherOverloadedNorLeftIdle, data::make(playRows) * data::xrange(seeds), row, seed)
{
    FleetPlay play(row, seed + 1);
    play.run();
    const auto from = play.availableAt();
    BOOST_TEST(play.worstSecond() <= settings.requestsPerSecond * settings.overage + settings.slack);
    BOOST_TEST(play.served(5s, incidentAt - 3s) >= recoveredShare);
    BOOST_TEST(play.warmThroughput(from, from + coldTime) >= tolerance * play.warmThroughput(5s, incidentAt));
    auto recovered = from;
    for (auto second = from; second + deadline < playTime; second += 1s) {
        recovered = play.served(second, second + 1s) < recoveredShare ? second + 1s : recovered;
    }
    BOOST_TEST(std::chrono::duration<double>(recovered - from).count() <= std::chrono::duration<double>(recoveryTime).count());
    const auto cold = static_cast<double>(serversPerDomain) * settings.requestsPerSecond;
    const auto possible = std::min(1.0, (cold + play.warmCapacity()) / (row.requestsPerServer * serverCount));
    BOOST_TEST(play.served(from, from + coldTime) >= tolerance * possible);
    BOOST_TEST_MESSAGE(row.name << ": at most " << play.worstSecond() << " in a second, " << play.reachedCold() << " in all; warm servers " << play.warmThroughput(5s, incidentAt)
                                << " -> " << play.warmThroughput(from, from + coldTime) << "/s; served while cold " << play.served(from, from + coldTime) << " of " << possible
                                << "; recovered after " << std::chrono::duration<double>(recovered - from).count() << " s");
}

BOOST_AUTO_TEST_SUITE_END()
