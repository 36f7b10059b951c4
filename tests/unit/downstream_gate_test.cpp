#include "core/downstream_gate.h"

#include <boost/test/unit_test.hpp>

using namespace std::chrono_literals;
using pw::Importance;
using pw::TimePoint;

namespace {

/// A route "r" whose requests reach the service "deep", which takes so many in each 100 ms.
class Chain {
public:
    /// Sends \p perTick requests in each 100 ms for \p ticks. \returns requests that the gate let through.
    int run(int ticks, int perTick, int capacity, Importance importance = Importance::Normal, const std::string& workspace = "a")
    {
        auto sent = 0;
        for (auto tick = 0; tick < ticks; ++tick) {
            auto taken = 0;
            for (auto n = 0; n < perTick; ++n) {
                m_now += 100ms / perTick;
                if (auto refusal = m_gate.check("r", importance, workspace, m_now)) {
                    BOOST_TEST((refusal->verdict == pw::Verdict::NotRun));
                    BOOST_TEST((refusal->reason == pw::Reason::DownstreamOverloaded));
                    BOOST_TEST((refusal->retryAfter > 0ms));
                    continue;
                }
                ++sent;
                answer(importance, workspace, taken < capacity);
                ++taken;
            }
        }
        return sent;
    }

    bool lets(const std::string& route, Importance importance = Importance::Normal, const std::string& workspace = "a")
    {
        return !m_gate.check(route, importance, workspace, m_now);
    }

    void wait(pw::Duration time) { m_now += time; }

private:
    void answer(Importance importance, const std::string& workspace, bool whole)
    {
        pw::Answer answer;
        answer.downstream = { "deep" };
        if (!whole) {
            answer.refusal = { pw::Verdict::Ran, pw::Reason::BackendFailed, {} };
            answer.saturated = "deep";
        }
        m_gate.onAnswer("r", importance, workspace, answer, m_now);
    }

    pw::DownstreamGate m_gate;
    TimePoint m_now { 100s };
};

} // namespace

BOOST_AUTO_TEST_SUITE(DownstreamGates)

BOOST_AUTO_TEST_CASE(refusesNothingWhileNothingIsShed)
{
    Chain chain;
    BOOST_TEST(chain.run(10, 10, 10) == 100);
    chain.wait(5s);
    BOOST_TEST(chain.run(20, 50, 50) == 1000);
}

BOOST_AUTO_TEST_CASE(holdsBackWhatWouldBeShedDeeperButKeepsProbing)
{
    Chain chain;
    chain.run(10, 50, 10);
    auto sent = chain.run(50, 50, 10);
    BOOST_TEST(sent >= 50 * 10);
    BOOST_TEST(sent <= 50 * 10 * 1.25);
}

BOOST_AUTO_TEST_CASE(opensWithinTwoSecondsOfRecovery)
{
    Chain chain;
    chain.run(50, 50, 2);
    chain.run(20, 50, 50);
    BOOST_TEST(chain.run(10, 50, 50) >= 0.95 * 500);
}

BOOST_AUTO_TEST_CASE(probesAServiceThatTookNothing)
{
    Chain chain;
    chain.run(50, 50, 0);
    BOOST_TEST(chain.run(20, 50, 0) > 0);
    chain.run(20, 50, 50);
    BOOST_TEST(chain.run(10, 50, 50) >= 0.95 * 500);
}

BOOST_AUTO_TEST_CASE(otherRoutesImportancesAndWorkspacesGoOn)
{
    Chain chain;
    chain.run(50, 50, 0);
    BOOST_TEST(chain.lets("other"));
    BOOST_TEST(chain.lets("r", Importance::Critical));
    BOOST_TEST(chain.lets("r", Importance::Normal, "b"));
}

BOOST_AUTO_TEST_CASE(forgetsADownstreamServiceThatIsNotSeenAgain)
{
    Chain chain;
    chain.run(50, 50, 0);
    chain.wait(120s);
    BOOST_TEST(chain.lets("r"));
}

BOOST_AUTO_TEST_SUITE_END()
