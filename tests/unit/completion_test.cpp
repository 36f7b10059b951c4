#include "support/server_role_fixture.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <ostream>
#include <string>
#include <vector>

namespace {

using namespace pw;
using namespace pw::test;
using namespace std::chrono_literals;

constexpr std::size_t waitingCalls = 5;

/// A server with a single slot, which is in use, and calls that wait for it. The sender of the calls cancels all of them as soon as
/// one is answered.
struct Fixture : ServerRoleFixture {
    Fixture()
    {
        address = server.address();
        slots = 1;
        announce(5);
        running = run("running");
        server.runUntil([this] { return server.requests == 1; });
        for (std::size_t n = 0; n < waitingCalls; ++n) {
            runAndCancelOthers();
        }
        BOOST_REQUIRE((role.load().running == 1 && role.load().queued == waitingCalls));
    }

    void runAndCancelOthers()
    {
        Call call;
        call.id = ++lastCall;
        call.route = "waiting";
        call.service = "tides";
        call.method = "GET";
        call.target = "/";
        call.host = "h";
        call.timeLeft = 4s;
        role.run("entry", call, [this, id = call.id](const Answer& answer) {
            BOOST_TEST(!isInCall);
            BOOST_TEST((answer.refusal.verdict == Verdict::NotRun));
            answered.push_back(id);
            for (auto other = lastCall; other > 0; --other) {
                role.cancel("entry", other);
            }
        });
    }

    ManualServer server { base.get() };
    std::shared_ptr<std::optional<Answer>> running;
    std::vector<std::uint64_t> answered;
    bool isInCall = false; ///< The sender is in the middle of a call of the server role.
};

/// A call of the server role that ends all waiting calls.
struct EndRow {
    const char* name;
    void (*prepare)(Fixture&);
    void (*end)(Fixture&);
};

std::ostream& operator<<(std::ostream& out, const EndRow& row)
{
    return out << row.name;
}

const std::vector<EndRow> endRows {
    { "the failure domain is evacuated", [](Fixture&) {}, [](Fixture& it) { it.fleet.evacuate("d1"); } },
    { "a server of another service has the address", [](Fixture&) {},
        [](Fixture& it) {
            auto other = it.announcement(6);
            other.service = "rivers";
            std::string reason;
            BOOST_REQUIRE(it.role.announce(other, reason));
        } },
    { "the daemon gives up", [](Fixture&) {}, [](Fixture& it) { it.role.giveUp(); } },
    { "the sender of the running call leaves after the waiting calls have expired", [](Fixture& it) { it.timers.suspend(5s); },
        [](Fixture& it) { it.role.cancel("entry", 1); } },
    { "the server has left for longer than it takes new calls",
        [](Fixture& it) {
            it.announce(5, true);
            it.timers.suspend(it.settings.drainTimeout);
        },
        [](Fixture& it) { it.role.cancel("entry", 1); } },
};

} // namespace

BOOST_AUTO_TEST_SUITE(Completions)

/// Guards against a daemon that ends because the sender of a refused call cancels others while they are refused one by one.
BOOST_DATA_TEST_CASE(theSenderOfARefusedCallMayCancelOthers, boost::unit_test::data::make(endRows), row)
{
    Fixture fixture;
    row.prepare(fixture);
    fixture.isInCall = true;
    row.end(fixture);
    fixture.isInCall = false;
    // The second turn closes the context of the running call, if its sender has cancelled it in the first one.
    fixture.timers.runDue();
    fixture.timers.runDue();
    const std::vector<std::uint64_t> expected { 2, 3, 4, 5, 6 };
    std::ranges::sort(fixture.answered);
    BOOST_TEST(fixture.answered == expected, boost::test_tools::per_element());
    BOOST_TEST(fixture.role.pending() == 0U);
}

/// Guards against a sender that is called back before it knows the call.
BOOST_FIXTURE_TEST_CASE(aCallIsNotRefusedBeforeItsSenderGoesOn, ServerRoleFixture)
{
    const auto answer = run("a");
    BOOST_TEST(!answer->has_value());
    BOOST_TEST(role.pending() == 1U);
    timers.runDue();
    BOOST_REQUIRE(answer->has_value());
    BOOST_TEST(((*answer)->refusal.reason == Reason::NoBackendServer));
    BOOST_TEST(role.pending() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
