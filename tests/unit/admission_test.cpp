#include "core/admission.h"
#include "ports/random.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <map>
#include <queue>

namespace data = boost::unit_test::data;
using namespace std::chrono_literals;
using pw::AdmissionItem;
using pw::AdmissionOutcome;
using pw::Importance;
using pw::Reason;
using pw::TimePoint;
using pw::Verdict;

namespace {

constexpr TimePoint start { 100s };

pw::Admission makeAdmission(std::uint32_t slots)
{
    return pw::Admission(pw::makeLimit("static", { slots, 1000, false }));
}

AdmissionItem item(std::uint64_t id, Importance importance = Importance::Normal, bool nested = false, std::string workspace = "a")
{
    return { id, importance, nested, std::move(workspace), start + 10s };
}

/// Runs one request to set the estimated service time.
void setServiceTime(pw::Admission& admission, pw::Duration serviceTime, TimePoint now)
{
    admission.offer(item(1000), now - serviceTime);
    admission.finish(1000, {}, now);
}

} // namespace

BOOST_AUTO_TEST_SUITE(Admissions)

BOOST_AUTO_TEST_CASE(startsUpToTheLimitAndQueuesTheNext)
{
    auto admission = makeAdmission(2);
    BOOST_TEST((admission.offer(item(1), start).outcome == AdmissionOutcome::Started));
    BOOST_TEST((admission.offer(item(2), start).outcome == AdmissionOutcome::Started));
    BOOST_TEST((admission.offer(item(3), start).outcome == AdmissionOutcome::Queued));
    BOOST_TEST(admission.poll(start).start.empty());
    admission.finish(1, {}, start + 1ms);
    BOOST_TEST(admission.poll(start + 1ms).start == std::vector<std::uint64_t> { 3 }, boost::test_tools::per_element());
    BOOST_TEST(admission.running() == 2U);
}

/// Guards against shedding a short burst: requests that were waiting for rate tokens arrive together when the tokens do.
BOOST_AUTO_TEST_CASE(aBurstOfRootsThatCanAllFinishInTimeIsQueued)
{
    auto admission = makeAdmission(8);
    setServiceTime(admission, 10ms, start);
    for (std::uint64_t id = 1; id <= 40; ++id) {
        BOOST_TEST((admission.offer(item(id), start).outcome != AdmissionOutcome::Refused));
    }
    BOOST_TEST(admission.poll(start).shed.empty());
}

struct RefusedRow {
    const char* name;
    bool leaving;
    pw::Duration timeLeft;
    Reason reason;
};

std::ostream& operator<<(std::ostream& out, const RefusedRow& row)
{
    return out << row.name;
}

constexpr std::array refusedTable {
    RefusedRow { "leaving", true, 1s, Reason::Leaving },
    RefusedRow { "deadline passed", false, 0s, Reason::DeadlineExceeded },
    RefusedRow { "deadline long passed", false, -5s, Reason::DeadlineExceeded },
    RefusedRow { "cannot finish behind the queue", false, 150ms, Reason::Overloaded },
};

BOOST_DATA_TEST_CASE(refusesAtOnceWithATrueVerdict, data::make(refusedTable), row)
{
    auto admission = makeAdmission(1);
    setServiceTime(admission, 100ms, start);
    admission.offer(item(1), start);
    admission.setLeaving(row.leaving);
    auto late = item(2);
    late.deadline = start + row.timeLeft;
    auto result = admission.offer(late, start);
    BOOST_TEST((result.outcome == AdmissionOutcome::Refused));
    BOOST_TEST((result.refusal.verdict == Verdict::NotRun));
    BOOST_TEST((result.refusal.reason == row.reason));
    if (row.reason == Reason::Overloaded) {
        BOOST_TEST((result.refusal.retryAfter >= 50ms && result.refusal.retryAfter <= 5s));
    }
}

BOOST_AUTO_TEST_CASE(startsByImportanceThenNestedThenArrival)
{
    auto admission = makeAdmission(1);
    admission.offer(item(1), start);
    admission.offer(item(2, Importance::Low), start);
    admission.offer(item(3, Importance::Normal), start);
    admission.offer(item(4, Importance::Normal, true), start);
    admission.offer(item(5, Importance::Critical), start);
    admission.offer(item(6, Importance::Normal), start);
    std::vector<std::uint64_t> order;
    std::uint64_t running = 1;
    for (auto n = 1; n <= 5; ++n) {
        admission.finish(running, {}, start + n * 1ms);
        running = admission.poll(start + n * 1ms).start.at(0);
        order.push_back(running);
    }
    std::vector<std::uint64_t> expected { 5, 4, 3, 6, 2 };
    BOOST_TEST(order == expected, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(higherImportanceDisplacesTheLowestAtOnce)
{
    auto admission = makeAdmission(1);
    std::uint64_t id = 1;
    while (admission.offer(item(id, Importance::Low), start).outcome != AdmissionOutcome::Refused) {
        ++id;
    }
    BOOST_TEST((admission.offer(item(100, Importance::Critical), start).outcome == AdmissionOutcome::Queued));
    BOOST_TEST(admission.nextWake().has_value());
    auto work = admission.poll(start);
    BOOST_REQUIRE(work.shed.size() == 1U);
    BOOST_TEST((work.shed[0].refusal.verdict == Verdict::NotRun));
    BOOST_TEST((work.shed[0].refusal.reason == Reason::Overloaded));
    BOOST_TEST(work.shed[0].id < 100U);
}

BOOST_AUTO_TEST_CASE(shedsFromTheQueueWhatCannotFinishAnyMore)
{
    auto admission = makeAdmission(1);
    setServiceTime(admission, 100ms, start);
    admission.offer(item(1), start);
    auto waiting = item(2);
    waiting.deadline = start + 300ms;
    BOOST_TEST((admission.offer(waiting, start).outcome == AdmissionOutcome::Queued));
    auto wake = admission.nextWake();
    BOOST_REQUIRE(wake.has_value());
    BOOST_TEST((*wake <= start + 300ms));
    auto work = admission.poll(start + 290ms);
    BOOST_REQUIRE(work.shed.size() == 1U);
    BOOST_TEST((work.shed[0].refusal.verdict == Verdict::NotRun));
}

BOOST_AUTO_TEST_CASE(anIdleServerAlwaysTakesARequest)
{
    // A high estimate from a slow phase must not cause every request to be refused.
    auto admission = makeAdmission(1);
    setServiceTime(admission, 5s, start);
    auto quick = item(1);
    quick.deadline = start + 100ms;
    BOOST_TEST((admission.offer(quick, start).outcome == AdmissionOutcome::Started));
}

BOOST_AUTO_TEST_CASE(cancelFreesTheSlotAndTheQueue)
{
    auto admission = makeAdmission(1);
    admission.offer(item(1), start);
    admission.offer(item(2), start);
    admission.offer(item(3), start);
    admission.cancel(2, start);
    admission.cancel(1, start);
    BOOST_TEST(admission.poll(start).start == std::vector<std::uint64_t> { 3 }, boost::test_tools::per_element());
    admission.cancel(77, start);
    admission.finish(77, {}, start);
    BOOST_TEST(admission.running() == 1U);
}

BOOST_AUTO_TEST_CASE(theHintTellsTheFloor)
{
    auto admission = makeAdmission(1);
    admission.offer(item(1, Importance::Critical), start);
    auto now = start;
    for (std::uint64_t id = 2; id < 200; ++id) {
        now += 1ms;
        admission.offer(item(id, id % 2 ? Importance::Low : Importance::Critical), now);
        admission.poll(now);
    }
    auto hint = admission.loadHint(now);
    BOOST_TEST(hint.running == 1U);
    BOOST_TEST(hint.limit == 1U);
    BOOST_TEST((hint.admissionFloor > Importance::Low));
    now += 1s;
    admission.poll(now);
    now += 1s;
    admission.poll(now);
    BOOST_TEST((admission.loadHint(now).admissionFloor == Importance::Low));
}

/// Load of a saturated server; workspace "g" sends more than its share.
struct FairRow {
    std::uint64_t seed;
    int greedyFactor; ///< Requests of "g" for each request of "a".
};

std::ostream& operator<<(std::ostream& out, const FairRow& row)
{
    return out << "seed " << row.seed << " greedy factor " << row.greedyFactor;
}

constexpr std::array fairTable { FairRow { 1, 1 }, FairRow { 2, 4 }, FairRow { 3, 20 } };

BOOST_DATA_TEST_CASE(aGreedyWorkspaceChangesNothingForTheOthers, data::make(fairTable), row)
{
    auto admission = makeAdmission(16);
    admission.setWorkspaceWeights({ { "a", 1 }, { "b", 2 }, { "g", 1 } });
    pw::Random random(row.seed);
    std::map<std::string, int> served;
    std::map<std::uint64_t, std::string> owner;
    std::priority_queue<std::pair<TimePoint, std::uint64_t>, std::vector<std::pair<TimePoint, std::uint64_t>>, std::greater<>> ends;
    std::vector<std::string> senders { "a", "b", "b" };
    senders.insert(senders.end(), static_cast<std::size_t>(row.greedyFactor), "g");
    auto begin = [&](std::uint64_t id, TimePoint now) { ends.emplace(now + 50ms + std::chrono::milliseconds(random() % 100), id); };
    std::uint64_t id = 0;
    for (auto now = start; now < start + 60s; now += 500us) {
        for (const auto& workspace : senders) {
            if (random() % 10 == 0) {
                auto request = item(++id, Importance::Normal, false, workspace);
                request.deadline = now + 2s;
                owner[id] = workspace;
                if (admission.offer(request, now).outcome == AdmissionOutcome::Started) {
                    begin(id, now);
                }
            }
        }
        while (!ends.empty() && ends.top().first <= now) {
            ++served[owner[ends.top().second]];
            admission.finish(ends.top().second, {}, now);
            ends.pop();
        }
        for (auto started : admission.poll(now).start) {
            begin(started, now);
        }
    }
    auto total = served["a"] + served["b"] + served["g"];
    BOOST_TEST(served["a"] >= 0.95 * total / 4);
    BOOST_TEST(served["b"] >= 0.95 * total / 2);
    BOOST_TEST(served["g"] >= 0.95 * total / 4);
}

BOOST_AUTO_TEST_SUITE_END()
