#include "config.h"
#include "core/admission.h"
#include "core/pressure_meter.h"
#include "core/root_gate.h"
#include "ports/random.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <map>
#include <vector>

namespace {

using namespace pw;
using namespace std::chrono_literals;

constexpr std::uint32_t announcedSlots = 45;
constexpr auto work = 15ms;
constexpr int callsOfARoot = 4;
constexpr auto patience = 1200ms;
constexpr auto callPatience = 700ms;
constexpr auto tick = 1ms;
/// Time after which the daemons that take roots have heard of a new price.
constexpr auto hearing = 100ms;
/// From this share of its slots on the server works slower, by this factor.
constexpr double kneeShare = 0.95;
constexpr double kneeFactor = 1.3;

/// A deep service of one server; each root that is let in makes calls to it, one after the other.
class Play {
public:
    Play(std::uint32_t slots, std::uint64_t seed)
        : m_admission(makeLimit("delay", { slots, 1000, false }))
        , m_random(seed)
    {
        Deployment deployment;
        deployment.routes = { { .name = route, .service = "deep", .open = true } };
        m_rank = rankOf(deployment.routes.front(), 0);
        m_gate.configure(deployment);
    }

    /// Lets roots come at \p perSecond for \p time. \returns how many had their whole answer in time.
    int run(double perSecond, Duration time)
    {
        const auto end = m_now + time;
        for (; m_now < end; m_now += tick) {
            endRuns();
            for (auto expected = perSecond * std::chrono::duration<double>(tick).count(); expected > 0; expected -= 1) {
                if (uniform(m_random) < expected) {
                    rootArrives();
                }
            }
            pump();
            m_meter.update(m_admission.capacity(), m_admission.nestedWait(m_now), m_now);
            if (m_now >= m_hearAgain) {
                m_hearAgain = m_now + hearing;
                m_heard = m_meter.price();
            }
        }
        return m_whole;
    }

private:
    struct Root {
        TimePoint deadline;
        int callsLeft = callsOfARoot;
    };

    void rootArrives()
    {
        const std::vector<ServiceDemand> demands { { "deep", m_heard, work * callsOfARoot } };
        if (m_gate.lets(route, "", m_rank, demands, m_now)) {
            const auto id = ++m_lastRoot;
            m_roots[id] = { m_now + patience };
            call(id);
        }
    }

    void call(std::uint64_t root)
    {
        const auto id = ++m_lastCall;
        m_calls[id] = root;
        m_meter.arrived(work, m_now);
        const AdmissionItem item { id, {}, true, {}, std::min<TimePoint>(m_roots[root].deadline, m_now + callPatience) };
        const auto offered = m_admission.offer(item, m_now);
        if (offered.outcome == AdmissionOutcome::Started) {
            begin(id);
        } else if (offered.outcome == AdmissionOutcome::Refused) {
            fail(id);
        }
    }

    void begin(std::uint64_t id)
    {
        const auto isNearlyFull = m_admission.running() > kneeShare * announcedSlots;
        m_runs.emplace(m_now + (isNearlyFull ? std::chrono::duration_cast<Duration>(work * kneeFactor) : work), id);
    }

    void endRuns()
    {
        while (!m_runs.empty() && m_runs.begin()->first <= m_now) {
            const auto id = m_runs.begin()->second;
            m_runs.erase(m_runs.begin());
            m_admission.finish(id, { RunOutcome::Ok, {} }, m_now);
            const auto root = m_calls.extract(id).mapped();
            auto& state = m_roots[root];
            if (m_now < state.deadline && --state.callsLeft > 0) {
                call(root);
                continue;
            }
            m_whole += m_now < state.deadline ? 1 : 0;
            m_roots.erase(root);
        }
    }

    void fail(std::uint64_t id)
    {
        m_roots.erase(m_calls.extract(id).mapped());
    }

    void pump()
    {
        const auto polled = m_admission.poll(m_now);
        for (const auto id : polled.start) {
            begin(id);
        }
        for (const auto& it : polled.shed) {
            fail(it.id);
        }
    }

    static constexpr const char* route = "read";

    Admission m_admission;
    PressureMeter m_meter;
    RootGate m_gate;
    Random m_random;
    Rank m_rank;
    TimePoint m_now { 1h };
    TimePoint m_hearAgain {};
    double m_heard = 0;
    std::uint64_t m_lastRoot = 0;
    std::uint64_t m_lastCall = 0;
    std::map<std::uint64_t, Root> m_roots;
    std::map<std::uint64_t, std::uint64_t> m_calls; ///< Root of each call that waits or runs.
    std::multimap<TimePoint, std::uint64_t> m_runs;
    int m_whole = 0;
};

/// Roots a second that the server can carry when it is never nearly full.
constexpr double capacity = 1000.0 / 15 * announcedSlots / callsOfARoot;

} // namespace

BOOST_AUTO_TEST_SUITE(OverloadPlays)

/// The load: roots at 0.7 of what a deep service carries. All are served.
BOOST_DATA_TEST_CASE(belowItsCapacityADeepServiceServesEveryRoot, boost::unit_test::data::xrange(1, 4), seed)
{
    Play play(announcedSlots, static_cast<std::uint64_t>(seed));
    BOOST_TEST(play.run(0.7 * capacity, 10s) >= 0.95 * 0.7 * capacity * 10);
}

/// The load: roots at 1.3 times what a deep service carries that slows down when it is nearly full.
BOOST_DATA_TEST_CASE(headroomServesMoreWhereServersSlowDownNearFull, boost::unit_test::data::xrange(1, 4), seed)
{
    Play whole(announcedSlots, static_cast<std::uint64_t>(seed));
    Play spared(announcedSlots - 3, static_cast<std::uint64_t>(seed));
    const auto without = whole.run(1.3 * capacity, 20s);
    const auto with = spared.run(1.3 * capacity, 20s);
    BOOST_TEST(with > without);
}

/// The load: three times what a deep service carries for 10 s, then 0.7 of it.
BOOST_DATA_TEST_CASE(aDeepServiceServesAgainSoonAfterAnOverload, boost::unit_test::data::xrange(1, 4), seed)
{
    Play play(announcedSlots - 3, static_cast<std::uint64_t>(seed));
    const auto before = play.run(3 * capacity, 10s);
    play.run(0.7 * capacity, 2s);
    const auto recovered = play.run(0, 0s);
    BOOST_TEST(before > 0);
    const auto after = play.run(0.7 * capacity, 5s);
    BOOST_TEST(after - recovered >= 0.95 * 0.7 * capacity * 5);
}

BOOST_AUTO_TEST_SUITE_END()
