#include "core/membership_view.h"
#include "support/server_role_fixture.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <functional>
#include <memory>
#include <ostream>
#include <utility>
#include <vector>

namespace {

using namespace pw;
using namespace pw::test;
using namespace std::chrono_literals;
using Fixture = ServerRoleFixture;

/// A way in which a server becomes leaving, and whether a later daemon process may publish the same start again.
struct LeaveCase {
    const char* name;
    void (*run)(Fixture&);
    bool mayReturn;
};

std::ostream& operator<<(std::ostream& out, const LeaveCase& row)
{
    return out << row.name;
}

const std::vector<LeaveCase> leaveCases {
    { "the daemon stops", [](Fixture& it) { it.role.leave(); }, true },
    { "the announcement lease lapses", [](Fixture& it) { it.timers.run(it.settings.announcementLease + 1s); }, true },
    { "the server leaves", [](Fixture& it) { it.announce(5, true); }, false },
    { "the server leaves without an announcement", [](Fixture& it) { it.role.onServerLeaving("i-1", 5); }, false },
    { "the daemon stops, then the server leaves",
        [](Fixture& it) {
            it.role.leave();
            it.announce(5, true);
        },
        false },
    { "the server leaves, then the daemon stops",
        [](Fixture& it) {
            it.announce(5, true);
            it.role.leave();
        },
        false },
    { "the server restarts while the daemon stops",
        [](Fixture& it) {
            it.announce(5, true);
            it.role.leave();
            it.announce(6);
        },
        true },
};

/// A leave notice about a start of a server that is not the one in use, and an announcement after it.
struct UnknownLeaveRow {
    const char* name;
    bool knowsAnother; ///< Another server is in use when the notice comes.
    std::uint64_t left; ///< Start time in the notice; zero: unknown.
    Duration pause; ///< Between the notice and the announcement.
    std::uint64_t announced; ///< Start time in the announcement.
    bool isTaken; ///< The announced server is taken into service.
};

std::ostream& operator<<(std::ostream& out, const UnknownLeaveRow& row)
{
    return out << row.name;
}

const std::vector<UnknownLeaveRow> unknownLeaveRows {
    { "the announcement is late", false, 5, 1s, 5, false },
    { "the announcement is very late", false, 5, 30s, 5, false },
    { "the announcement is of an earlier start", false, 5, 1s, 4, false },
    { "the server has started again", false, 5, 1s, 6, true },
    { "the notice names no start, the announcement is late", false, 0, 1s, 5, false },
    { "the notice names no start, the server goes on announcing itself", false, 0, 5s, 5, true },
    { "another server is in use, the announcement is late", true, 5, 1s, 5, false },
    { "another server is in use, the server has started again", true, 5, 1s, 6, true },
};

struct WorkTimeRow {
    const char* name;
    PickBy pickBy;
    int status; ///< Of the first answer.
    bool restarts; ///< The backend server is replaced after that.
    std::chrono::microseconds expected; ///< Reported with the second answer, to a call that is refused.
};

std::ostream& operator<<(std::ostream& out, const WorkTimeRow& row)
{
    return out << row.name;
}

const std::vector<WorkTimeRow> workTimeRows {
    { "by load", PickBy::Load, 200, false, 0us },
    { "by completion", PickBy::Completion, 200, false, 40ms },
    { "an error", PickBy::Completion, 500, false, 0us },
    { "another start of the server", PickBy::Completion, 200, true, 0us },
};

/// \returns the work times reported for the route of an earlier call and for another route.
std::pair<std::chrono::microseconds, std::chrono::microseconds> reportedWorkTimes(const WorkTimeRow& row)
{
    Fixture fixture({}, row.pickBy);
    ManualServer server(fixture.base.get());
    fixture.address = server.address();
    fixture.announce(5);
    const auto first = fixture.run("a");
    server.runUntil([&] { return server.requests == 1; });
    fixture.timers.run(40ms);
    server.reply(row.status);
    server.runUntil([&] { return first->has_value(); });
    BOOST_TEST_REQUIRE(first->has_value());
    if (row.restarts) {
        fixture.announce(6);
    }
    fixture.fleet.evacuate("d1");
    const auto second = fixture.run("a");
    const auto other = fixture.run("b");
    fixture.timers.runDue();
    BOOST_TEST_REQUIRE((second->has_value() && other->has_value()));
    return { (*second)->load.workTime, (*other)->load.workTime };
}

} // namespace

BOOST_AUTO_TEST_SUITE(ServerRoles)

/// An entry of another writer must not replace what the backend server has announced.
BOOST_AUTO_TEST_CASE(anOddAnnouncementChangesNothing)
{
    const auto odd = [](const char* address, std::uint32_t slots) {
        Fixture it;
        it.announce(5);
        auto announcement = it.announcement(6);
        announcement.address = address;
        announcement.slots = slots;
        std::string reason;
        BOOST_TEST(!it.role.announce(announcement, reason), address << " " << slots);
        BOOST_TEST(!reason.empty());
        BOOST_TEST(it.role.entry().slots == it.slots);
        // The server that had announced itself is still the current one.
        it.announce(5);
        BOOST_TEST(it.role.entry().service == "tides");
    };
    for (const auto* address : { "", ":", "10.0.0.1", "10.0.0.1:", "10.0.0.1:0", "10.0.0.1:65536", "10.0.0.1:99999999999999999999", "10.0.0.1:-1",
             "10.0.0.1:80x", "999.0.0.1:80", "[::1", "host:80" }) {
        odd(address, 10);
    }
    for (const auto slots : { 0U, 1000001U, 4294967295U }) {
        odd("127.0.0.1:9", slots);
    }
}

BOOST_DATA_TEST_CASE(onlyAServerThatLeftIsNamedAsOneThatStaysAway, boost::unit_test::data::make(leaveCases), row)
{
    Fixture fixture;
    fixture.announce(5);
    BOOST_TEST(!fixture.directory.last.leaving);
    BOOST_TEST(fixture.directory.last.backendIncarnation != 0U);
    row.run(fixture);
    BOOST_TEST(fixture.directory.last.leaving);
    BOOST_TEST((fixture.directory.last.backendIncarnation == 0) == row.mayReturn);
}

/// Guards against requests for a leaving server that were waiting for its daemon while the VM was suspended.
BOOST_AUTO_TEST_CASE(aCallReadFirstAfterASuspensionIsRefusedByALeavingServer)
{
    Fixture fixture;
    fixture.announce(5);
    fixture.announce(5, true);
    fixture.timers.suspend(fixture.settings.drainTimeout);
    Call call;
    call.service = "tides";
    call.timeLeft = 1s;
    std::optional<Answer> answer;
    fixture.role.run("entry", call, [&](Answer it) { answer = std::move(it); });
    fixture.timers.runDue();
    BOOST_REQUIRE(answer.has_value());
    BOOST_TEST((answer->refusal.reason == Reason::Leaving));
    BOOST_TEST((answer->refusal.verdict == Verdict::NotRun));
}

/// Guards against a restarted daemon that acknowledges the leave of a server it does not know yet, and then takes a late
/// announcement of that server for a new one.
BOOST_DATA_TEST_CASE(leaveOfAnUnknownServerIsRemembered, boost::unit_test::data::make(unknownLeaveRows), row)
{
    Fixture fixture;
    if (row.knowsAnother) {
        auto other = fixture.announcement(3);
        other.instance = "i-0";
        std::string reason;
        BOOST_REQUIRE(fixture.role.announce(other, reason));
    }
    fixture.role.onServerLeaving("i-1", row.left);
    fixture.timers.run(row.pause);
    const auto published = fixture.directory.last.sequence;
    fixture.announce(row.announced);
    const auto& entry = fixture.directory.last;
    BOOST_TEST((entry.sequence > published) == row.isTaken);
    BOOST_TEST((!entry.leaving && !entry.service.empty()) == (row.isTaken || row.knowsAnother));
}

/// Guards against a leave that is forgotten when the daemon that has acknowledged it restarts once more.
BOOST_AUTO_TEST_CASE(leaveOfAnUnknownServerIsKnownToALaterProcess)
{
    Fixture fixture;
    fixture.role.onServerLeaving("i-1", 5);
    const auto departed = fixture.directory.last;
    BOOST_TEST(departed.leaving);
    Fixture later;
    later.announce(5);
    auto returned = later.directory.last;
    returned.incarnation = departed.incarnation + 1;
    MembershipView view("c1", {}, { 3s, 3s, 60s }, later.timers.now());
    view.report("d", { 1, departed, departed.incarnation, departed.sequence }, later.timers.now());
    view.report("d", { 2, returned, returned.incarnation, returned.sequence }, later.timers.now());
    BOOST_REQUIRE(view.find("d"));
    BOOST_TEST(view.find("d")->entry.leaving);
}

/// A call that carries a rate limit which the server has stated to its sender.
struct AdoptRow {
    const char* name;
    bool sameStart;
    std::optional<double> adopted;
};

std::ostream& operator<<(std::ostream& out, const AdoptRow& row)
{
    return out << row.name;
}

const std::vector<AdoptRow> adoptRows {
    { "of this start", true, 2.5 },
    { "of an earlier start", false, std::nullopt },
};

/// Guards against a restarted daemon that sends more than the rate stated to its earlier process.
BOOST_DATA_TEST_CASE(aRestartedDaemonTakesTheRateFromTheFirstCall, boost::unit_test::data::make(adoptRows), row)
{
    Fixture fixture;
    fixture.announce(5);
    Call call;
    call.service = "tides";
    call.timeLeft = 1s;
    call.statedRate = { fixture.role.load().backendStart + (row.sameStart ? 0 : 1), 2.5 };
    fixture.role.run("entry", call, [](const Answer&) {});
    BOOST_TEST((fixture.role.rateLimit() == row.adopted));
}

/// Guards against cutting off a running call, and against keeping a queued one for a server that must get no more requests.
BOOST_AUTO_TEST_CASE(anEvacuationReroutesQueuedCallsAndLetsRunningOnesComplete)
{
    Fixture fixture;
    ManualServer server(fixture.base.get());
    fixture.address = server.address();
    fixture.slots = 1;
    fixture.announce(5);
    auto running = fixture.run("running");
    auto queued = fixture.run("queued");
    server.runUntil([&] { return server.requests == 1; });
    BOOST_TEST_REQUIRE((fixture.role.load().running == 1 && fixture.role.load().queued == 1));

    fixture.fleet.evacuate("d1");
    const auto refused = [](const std::optional<Answer>& it) {
        return it && it->refusal.reason == Reason::Evacuated && it->refusal.verdict == Verdict::NotRun && it->refusal.retryAfter == 0ms
            && it->attemptsUnused == Fixture::attempts && !it->arrived;
    };
    const auto late = fixture.run("new");
    fixture.timers.runDue();
    BOOST_TEST(refused(*queued));
    BOOST_TEST(!running->has_value());
    BOOST_TEST(refused(*late));
    BOOST_TEST(fixture.role.isEvacuated());

    server.reply();
    server.runUntil([&] { return running->has_value(); });
    BOOST_TEST_REQUIRE(running->has_value());
    BOOST_TEST((*running)->isComplete());
    BOOST_TEST((*running)->status == 200);
    fixture.timers.run(5s);
    BOOST_TEST(server.requests == 1);
    BOOST_TEST(fixture.role.pending() == 0U);
}

/// Guards against logging or counting what did not happen, and against a domain that stays closed after its evacuation.
/// Guards against a server that looks fast because it fails at once, and against work times of a replaced server.
BOOST_DATA_TEST_CASE(answersReportTheWorkTimeOfTheirRoute, boost::unit_test::data::make(workTimeRows), row)
{
    const auto [same, other] = reportedWorkTimes(row);
    BOOST_TEST(same.count() == row.expected.count());
    BOOST_TEST(other.count() == 0);
}

BOOST_AUTO_TEST_CASE(theEndOfAnEvacuationAdmitsCallsAgain)
{
    Fixture fixture;
    fixture.announce(5);
    std::vector<std::string> counted;
    fixture.role.evacuationRefused().connect([&](const std::string& route) { counted.push_back(route); });
    fixture.fleet.evacuate("d2");
    fixture.fleet.evacuate("d1");
    fixture.fleet.evacuate("d1");
    fixture.run("a");
    fixture.fleet.evacuate("d1", false);
    BOOST_TEST(!fixture.role.isEvacuated());
    const auto answer = fixture.run("b");
    BOOST_TEST(!answer->has_value());
    BOOST_TEST(fixture.role.load().running == 1U);
    BOOST_TEST((counted == std::vector<std::string> { "a" }));
    const auto count = [&](Event event) { return std::ranges::count(fixture.log.events, event); };
    BOOST_TEST(count(Event::EvacuationBegan) == 1);
    BOOST_TEST(count(Event::EvacuationRefused) == 1);
    BOOST_TEST(count(Event::EvacuationEnded) == 1);
    BOOST_TEST(count(Event::AdmissionRefused) == 0);
}

/// A state of the server in which a call is refused even without an evacuation.
struct RefusingCase {
    const char* name;
    void (*run)(Fixture&);
};

std::ostream& operator<<(std::ostream& out, const RefusingCase& row)
{
    return out << row.name;
}

const std::vector<RefusingCase> refusingCases {
    { "running", [](Fixture& it) { it.announce(5); } },
    { "not announced yet", [](Fixture&) {} },
    { "left",
        [](Fixture& it) {
            it.announce(5);
            it.announce(5, true);
            it.timers.run(it.settings.drainTimeout);
        } },
};

/// Guards against a refusal that the sender does not reroute, or after which it offers the call to the domain's next server.
BOOST_DATA_TEST_CASE(anEvacuationIsStatedWhateverTheStateOfTheServer, boost::unit_test::data::make(refusingCases), row)
{
    Fixture fixture;
    row.run(fixture);
    fixture.fleet.evacuate("d1");
    const auto answer = fixture.run("a");
    fixture.timers.runDue();
    BOOST_TEST_REQUIRE(answer->has_value());
    BOOST_TEST(((*answer)->refusal.reason == Reason::Evacuated));
}

namespace {

struct RampRow {
    const char* name;
    const char* start;
    bool announcesWarmUp;
    std::uint32_t limit;
    int lines; ///< Of the event that a ramp began.
};

std::ostream& operator<<(std::ostream& out, const RampRow& row)
{
    return out << row.name;
}

const std::vector<RampRow> rampRows {
    { "default", "", false, 10, 0 },
    { "default, announced warm-up", "", true, 80, 0 },
    { "count", "count", false, 10, 0 },
    { "count, announced warm-up", "count", true, 80, 0 },
    { "answers", "answers", false, 5, 1 },
    { "answers, announced warm-up", "answers", true, 5, 1 },
};

} // namespace

/// Guards against a new start that gets all its slots at once, and against a change for those who did not ask for one.
BOOST_DATA_TEST_CASE(theSettingSaysHowANewStartBegins, boost::unit_test::data::make(rampRows), row)
{
    Fixture fixture(row.start);
    for (const std::uint64_t started : { 5, 6 }) {
        auto announcement = fixture.announcement(started);
        announcement.slots = 80;
        announcement.connections = 80;
        if (row.announcesWarmUp) {
            announcement.warmUpTime = 3s;
        }
        std::string reason;
        BOOST_REQUIRE(fixture.role.announce(announcement, reason));
        BOOST_TEST(fixture.role.load().limit == row.limit);
        BOOST_TEST(std::ranges::count(fixture.log.events, Event::StartRampBegan) == (started == 5 ? 1 : 2) * row.lines);
    }
}

BOOST_AUTO_TEST_SUITE_END()
