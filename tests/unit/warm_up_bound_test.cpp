#include "config.h"
#include "core/admission.h"
#include "ports/random.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <map>
#include <ostream>
#include <random>
#include <utility>
#include <vector>

namespace {

using namespace pw;
using namespace std::chrono_literals;

namespace data = boost::unit_test::data;

constexpr WarmUpSettings platformSettings { 13, 1.5, 8 };
constexpr WarmUpSettings risingSettings { 13, 1.5, 8, true };
constexpr TimePoint begin { 100s };

/// Something that happens to a server or to the daemon beside it.
enum class Incident : std::uint8_t {
    NewStart, ///< The backend server is restarted.
    LostConnections, ///< The server becomes cold without a restart and resets its connections.
    Announced, ///< It becomes cold without a restart and goes on answering; its announcement tells.
    DaemonRestart, ///< The daemon beside it is restarted; the running requests go on.
    Suspension, ///< The VM is suspended for some seconds; the calls of that time are read at once.
    Count
};

struct IncidentAt {
    Duration at;
    Incident incident;
    Duration announcedAfter { 0 };
};

/// Load and incidents of one server beside one daemon.
struct BoundRow {
    const char* name;
    WarmUpSettings settings;
    double perSecond;
    double burst; ///< Requests that arrive at once, each second.
    Duration serviceTime;
    std::vector<IncidentAt> incidents;
    bool probesFail = false;
};

std::ostream& operator<<(std::ostream& out, const BoundRow& row)
{
    return out << row.name;
}

const std::vector<BoundRow> boundRows {
    { "steady load", platformSettings, 38, 0, 200ms, { { 5s, Incident::NewStart } } },
    { "many times the rate", platformSettings, 600, 0, 50ms, { { 5s, Incident::NewStart } } },
    { "bursts", platformSettings, 20, 100, 50ms, { { 5s, Incident::NewStart } } },
    { "bursts below the rate", platformSettings, 1, 10, 50ms, { { 5s, Incident::NewStart }, { 8500ms, Incident::LostConnections } } },
    { "lost connections", platformSettings, 100, 20, 100ms, { { 5s, Incident::LostConnections } } },
    { "lost connections just after a burst", platformSettings, 100, 20, 100ms, { { 5030ms, Incident::LostConnections } } },
    { "announced just after a burst", platformSettings, 100, 20, 100ms, { { 5030ms, Incident::Announced } } },
    { "announced", platformSettings, 100, 20, 100ms, { { 5s, Incident::Announced } } },
    { "announced a little late", platformSettings, 38, 0, 100ms, { { 5s, Incident::Announced, 400ms } } },
    { "announced after a burst has reached the cold server", platformSettings, 30, 20, 100ms, { { 4950ms, Incident::Announced, 100ms } } },
    { "cold again and again", platformSettings, 100, 20, 100ms,
        { { 5s, Incident::NewStart }, { 7s, Incident::LostConnections }, { 9500ms, Incident::Announced }, { 12400ms, Incident::NewStart }, { 12600ms, Incident::NewStart },
            { 12800ms, Incident::LostConnections } } },
    { "the daemon restarts beside a cold server", platformSettings, 100, 20, 100ms,
        { { 5s, Incident::NewStart }, { 5900ms, Incident::DaemonRestart }, { 7s, Incident::DaemonRestart } } },
    { "suspended while cold", platformSettings, 100, 20, 100ms, { { 5s, Incident::NewStart }, { 6s, Incident::Suspension } } },
    { "suspended, then cold", platformSettings, 100, 20, 100ms, { { 5s, Incident::Suspension }, { 6s, Incident::NewStart } } },
    { "probes fail", platformSettings, 100, 20, 100ms, { { 5s, Incident::NewStart } }, true },
    { "rising, steady load", risingSettings, 38, 0, 50ms, { { 5s, Incident::NewStart } } },
    { "rising, bursts", risingSettings, 100, 100, 20ms, { { 5s, Incident::NewStart }, { 7200ms, Incident::LostConnections } } },
    { "rising, announced after a burst has reached the cold server", risingSettings, 30, 20, 20ms, { { 4950ms, Incident::Announced, 100ms } } },
    { "rising, the daemon restarts", risingSettings, 100, 20, 20ms, { { 5s, Incident::NewStart }, { 7500ms, Incident::DaemonRestart } } },
    { "rising, suspended while cold", risingSettings, 100, 20, 20ms, { { 5s, Incident::NewStart }, { 6s, Incident::Suspension } } },
    { "tiny rate", { 1, 1.5, 8 }, 100, 20, 100ms, { { 5s, Incident::NewStart }, { 7s, Incident::LostConnections } } },
    { "large rate", { 80, 1.2, 4 }, 600, 20, 20ms, { { 5s, Incident::NewStart }, { 7s, Incident::LostConnections } } },
    { "small slack", { 13, 1.5, 2 }, 100, 20, 100ms, { { 5s, Incident::NewStart }, { 7s, Incident::LostConnections } } },
};

/// The heartbeat that tells of it is the next one, or is late.
const std::vector<BoundRow> unnoticedRows {
    { "announced by the next heartbeat", platformSettings, 38, 0, 100ms, { { 5s, Incident::Announced, 1500ms } } },
    { "the heartbeat is late", platformSettings, 38, 0, 100ms, { { 5s, Incident::Announced, 2500ms } } },
};

constexpr auto tick = 1ms;
constexpr auto coldTime = 3s;
constexpr auto suspension = 1500ms;
constexpr auto playTime = 20s;
constexpr auto boundWindow = 1s;
constexpr std::uint64_t seeds = 3;

/// Simulates a server that becomes cold, the daemon beside it, and the calls that arrive there.
class ServerPlay {
public:
    ServerPlay(const BoundRow& row, std::uint64_t seed)
        : m_row(row)
        , m_random(seed)
        , m_admission(newAdmission())
    {
    }

    void run()
    {
        for (; m_now < begin + playTime; m_now += tick) {
            const auto suspended = m_now < m_suspendedUntil;
            for (const auto& it : m_row.incidents) {
                if (begin + it.at == m_now) {
                    happens(it.incident);
                }
                if (it.incident == Incident::Announced && begin + it.at + it.announcedAfter == m_now) {
                    m_admission.warmUp().onAnnounced(m_coldUntil - m_now, m_now);
                }
            }
            arrive();
            if (!suspended) {
                step();
            }
        }
    }

    /// \returns the largest number of requests that reached the cold server within one second.
    double worst() const
    {
        auto sorted = m_arrivedCold;
        std::ranges::sort(sorted);
        std::ptrdiff_t most = 0;
        for (auto it = sorted.begin(); it != sorted.end(); ++it) {
            most = std::max(most, std::ranges::upper_bound(it, sorted.end(), *it + boundWindow) - it);
        }
        return static_cast<double>(most);
    }

    int served() const { return m_served; }

private:
    Admission newAdmission() const
    {
        Admission admission(makeLimit("delay", { 108, 400, false }));
        admission.warmUp().configure(m_row.settings);
        return admission;
    }

    void happens(Incident incident)
    {
        auto& warmUp = m_admission.warmUp();
        switch (incident) {
        case Incident::NewStart:
        case Incident::LostConnections:
            m_coldUntil = m_now + coldTime;
            warmUp.onStateUnknown(m_now);
            break;
        case Incident::Announced:
            m_coldUntil = m_now + coldTime;
            break;
        case Incident::DaemonRestart:
            m_probe.reset();
            m_runs.clear();
            m_waiting.clear();
            m_admission = newAdmission();
            m_admission.warmUp().onStateUnknown(m_now);
            break;
        case Incident::Suspension:
            m_suspendedUntil = m_now + suspension;
            break;
        case Incident::Count:
            break;
        }
    }

    void arrive()
    {
        std::poisson_distribution<int> arrivals(m_row.perSecond * std::chrono::duration<double>(tick).count());
        auto count = arrivals(m_random);
        if ((m_now - begin) % 1s == 0s) {
            count += static_cast<int>(m_row.burst);
        }
        for (; count > 0; --count) {
            m_waiting.push_back({ ++m_lastId, Importance::Normal, uniform(m_random) < 0.3, "a", m_now + 4s });
        }
    }

    void step()
    {
        for (; !m_runs.empty() && m_runs.begin()->first <= m_now; m_runs.erase(m_runs.begin())) {
            m_admission.finish(m_runs.begin()->second, { RunOutcome::Ok, {} }, m_now);
            ++m_served;
        }
        probe();
        for (const auto& item : std::exchange(m_waiting, {})) {
            if (m_admission.offer(item, m_now).outcome == AdmissionOutcome::Started) {
                start(item.id);
            }
        }
        std::ranges::for_each(m_admission.poll(m_now).start, [this](std::uint64_t id) { start(id); });
    }

    void probe()
    {
        auto& warmUp = m_admission.warmUp();
        if (m_probe && m_now >= *m_probe + 10ms) {
            const auto left = std::max<Duration>(m_coldUntil - *m_probe - 5ms, 0s);
            warmUp.onProbed(m_row.probesFail ? std::nullopt : std::optional(left), *m_probe, m_now);
            m_probe.reset();
        }
        if (warmUp.wantsProbe(m_now)) {
            warmUp.onProbeSent(m_now);
            m_probe = m_now;
            reachesServer();
        }
    }

    void start(std::uint64_t id)
    {
        m_runs.emplace(m_now + (m_now < m_coldUntil ? 2 : 1) * m_row.serviceTime, id);
        reachesServer();
    }

    /// A request reaches the server at some time within config::warmUpArrivalSpread.
    void reachesServer()
    {
        const auto at = m_now + std::chrono::duration_cast<Duration>(uniform(m_random) * Duration(config::warmUpArrivalSpread));
        if (at < m_coldUntil && at >= m_coldUntil - coldTime) {
            m_arrivedCold.push_back(at);
        }
    }

    const BoundRow& m_row;
    Random m_random;
    Admission m_admission;
    TimePoint m_now = begin;
    TimePoint m_coldUntil {};
    TimePoint m_suspendedUntil {};
    std::optional<TimePoint> m_probe; ///< When the probe in progress was sent.
    std::uint64_t m_lastId = 0;
    std::vector<AdmissionItem> m_waiting; ///< Calls that have arrived and are not read yet.
    std::multimap<TimePoint, std::uint64_t> m_runs;
    std::vector<TimePoint> m_arrivedCold;
    int m_served = 0;
};

} // namespace

BOOST_AUTO_TEST_SUITE(WarmUpBounds)

/// Guards against a cold server that gets more requests in some second than it is known to survive.
BOOST_DATA_TEST_CASE(noSecondOfAColdServerHasTooManyRequests, data::make(boundRows) * data::xrange(seeds), row, seed)
{
    ServerPlay play(row, seed + 1);
    play.run();
    BOOST_TEST(play.worst() <= row.settings.requestsPerSecond * row.settings.overage + row.settings.slack);
    BOOST_TEST(play.worst() >= std::min(row.settings.requestsPerSecond, row.perSecond + row.burst) / 2); // It is used while cold.
    BOOST_TEST(play.served() > 0);
}

/// Guards against a server that becomes cold, goes on answering, and is sent its usual load until a heartbeat tells.
BOOST_DATA_TEST_CASE(aServerThatBecomesColdUnnoticedIsNotOverloaded, data::make(unnoticedRows) * data::xrange(seeds), row, seed)
{
    ServerPlay play(row, seed + 1);
    play.run();
    BOOST_TEST(play.worst() <= row.settings.requestsPerSecond * row.settings.overage + row.settings.slack);
}

BOOST_AUTO_TEST_SUITE_END()
