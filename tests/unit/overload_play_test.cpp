#include "config.h"
#include "core/admission.h"
#include "core/root_throttle.h"
#include "core/slot_price_controller.h"
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
constexpr int callsPerRoot = 4;
constexpr auto rootTimeout = 1200ms;
constexpr auto callTimeout = 700ms;
constexpr auto tick = 1ms;
/// Delay until the entry daemons receive a new price.
constexpr auto priceReportDelay = 100ms;
/// Share of the slots in use from which the server slows down, and the factor by which run times increase.
constexpr double slowdownThreshold = 0.95;
constexpr double slowdownFactor = 1.3;

/// Simulates a service with one server deep in the call graph; each admitted root makes sequential calls to it.
class Simulation {
public:
    Simulation(std::uint32_t slots, std::uint64_t seed)
        : m_admission(makeLimit("delay", { slots, 1000, false }))
        , m_random(seed)
    {
        Deployment deployment;
        deployment.routes = { { .name = route, .service = "deep", .open = true } };
        m_rank = rankOf(deployment.routes.front(), 0);
        m_gate.configure(deployment);
    }

    /// Sends roots at the rate \p perSecond for \p time. \returns the number of roots completed in time since construction.
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
            pollAdmission();
            m_priceController.update(m_admission.capacity(m_now), m_admission.expectedNestedWait(m_now), m_now);
            if (m_now >= m_nextReport) {
                m_nextReport = m_now + priceReportDelay;
                m_reportedPrice = m_priceController.price();
            }
        }
        return m_completed;
    }

private:
    struct Root {
        TimePoint deadline;
        int callsLeft = callsPerRoot;
    };

    void rootArrives()
    {
        const std::vector<ServiceDemand> demands { { "deep", m_reportedPrice, work * callsPerRoot } };
        if (m_gate.admit(route, "", m_rank, demands, m_now)) {
            const auto id = ++m_lastRoot;
            m_roots[id] = { m_now + rootTimeout };
            call(id);
        }
    }

    void call(std::uint64_t root)
    {
        const auto id = ++m_lastCall;
        m_calls[id] = root;
        m_priceController.callArrived(work, m_now);
        const AdmissionItem item { id, {}, true, {}, std::min<TimePoint>(m_roots[root].deadline, m_now + callTimeout) };
        const auto offered = m_admission.offer(item, m_now);
        if (offered.outcome == AdmissionOutcome::Started) {
            begin(id);
        } else if (offered.outcome == AdmissionOutcome::Refused) {
            fail(id);
        }
    }

    void begin(std::uint64_t id)
    {
        const auto isNearlyFull = m_admission.running() > slowdownThreshold * announcedSlots;
        m_runs.emplace(m_now + (isNearlyFull ? std::chrono::duration_cast<Duration>(work * slowdownFactor) : work), id);
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
            m_completed += m_now < state.deadline ? 1 : 0;
            m_roots.erase(root);
        }
    }

    void fail(std::uint64_t id)
    {
        m_roots.erase(m_calls.extract(id).mapped());
    }

    void pollAdmission()
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
    SlotPriceController m_priceController;
    RootThrottle m_gate;
    Random m_random;
    Rank m_rank;
    TimePoint m_now { 1h };
    TimePoint m_nextReport {};
    double m_reportedPrice = 0;
    std::uint64_t m_lastRoot = 0;
    std::uint64_t m_lastCall = 0;
    std::map<std::uint64_t, Root> m_roots;
    std::map<std::uint64_t, std::uint64_t> m_calls; ///< Root of each queued or running call.
    std::multimap<TimePoint, std::uint64_t> m_runs;
    int m_completed = 0;
};

/// Roots per second that the server can serve while it does not slow down.
constexpr double capacity = 1000.0 / 15 * announcedSlots / callsPerRoot;

} // namespace

BOOST_AUTO_TEST_SUITE(OverloadPlays)

/// At 0.7 of the capacity, all roots must be served.
BOOST_DATA_TEST_CASE(belowItsCapacityADeepServiceServesEveryRoot, boost::unit_test::data::xrange(1, 4), seed)
{
    Simulation simulation(announcedSlots, static_cast<std::uint64_t>(seed));
    BOOST_TEST(simulation.run(0.7 * capacity, 10s) >= 0.95 * 0.7 * capacity * 10);
}

/// At 1.3 times the capacity of a service that slows down when it is nearly full, reserving slots as headroom must increase
/// the goodput.
BOOST_DATA_TEST_CASE(headroomServesMoreWhereServersSlowDownNearFull, boost::unit_test::data::xrange(1, 4), seed)
{
    Simulation fullCapacity(announcedSlots, static_cast<std::uint64_t>(seed));
    Simulation withHeadroom(announcedSlots - 3, static_cast<std::uint64_t>(seed));
    const auto without = fullCapacity.run(1.3 * capacity, 20s);
    const auto with = withHeadroom.run(1.3 * capacity, 20s);
    BOOST_TEST(with > without);
}

/// After 10 s at three times the capacity, the service must recover within 2 s at 0.7 of it.
BOOST_DATA_TEST_CASE(aDeepServiceServesAgainSoonAfterAnOverload, boost::unit_test::data::xrange(1, 4), seed)
{
    Simulation simulation(announcedSlots - 3, static_cast<std::uint64_t>(seed));
    const auto before = simulation.run(3 * capacity, 10s);
    simulation.run(0.7 * capacity, 2s);
    const auto recovered = simulation.run(0, 0s);
    BOOST_TEST(before > 0);
    const auto after = simulation.run(0.7 * capacity, 5s);
    BOOST_TEST(after - recovered >= 0.95 * 0.7 * capacity * 5);
}

BOOST_AUTO_TEST_SUITE_END()
