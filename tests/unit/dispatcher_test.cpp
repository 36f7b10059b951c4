#include "adapters/codec_call.h"
#include "app/call_transport.h"
#include "app/dispatcher.h"
#include "support/fake_network.h"
#include "support/fleet_fakes.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <optional>
#include <ostream>

namespace {

using namespace std::chrono_literals;
namespace data = boost::unit_test::data;

/// Directory with a fixed set of servers for every service.
class FixedDirectory : public pw::ServerDirectory {
public:
    const std::vector<pw::ServerEntry>& servers(const std::string&) const override { return entries; }
    std::size_t serverCount() const override { return entries.size(); }
    void publish(const pw::ServerEntry&) override { }
    void onChanged(std::function<void(const std::string&)>) override { }

    std::vector<pw::ServerEntry> entries;
};

/// A daemon beside a backend server that gives every call the same answer.
class ScriptedServer {
public:
    ScriptedServer(pw::test::FakeNetwork& network, const std::string& address)
        : m_peer(network, address)
    {
        m_peer.onMessage(pw::MessageKind::Call, [this](const pw::PeerAddress& from, std::span<const std::byte> message) { onCall(from, message); });
        m_peer.onMessage(pw::MessageKind::Cancel, [this](const pw::PeerAddress&, std::span<const std::byte>) { ++cancelled; });
    }

    std::optional<pw::Answer> answer; ///< When empty, calls are never answered.
    std::uint64_t idOffset = 0; ///< Added to the call id in the answer.
    int calls = 0;
    int cancelled = 0;
    std::uint32_t delegatedAttempts = 0;
    std::optional<pw::StatedRate> statedRate; ///< Of the last call.

private:
    void onCall(const pw::PeerAddress& from, std::span<const std::byte> message)
    {
        ++calls;
        auto call = pw::decodeCall(message);
        delegatedAttempts = call->attempts;
        statedRate = call->statedRate;
        if (answer) {
            auto reply = *answer;
            reply.id = call->id + idOffset;
            m_peer.send(from, pw::MessageKind::Answer, pw::encodeAnswer(reply));
        }
    }

    pw::test::FakePeer m_peer;
};

struct Fixture {
    explicit Fixture(std::uint64_t seed = 7)
        : dispatcher(settings, transport, timers, log, directory, fleet, seed)
    {
        settings.peerAddress = "entry";
        directory.entries = { { .name = "one", .service = "s", .daemon = "one" }, { .name = "two", .service = "s", .daemon = "two" } };
    }

    void start(bool idempotent, std::uint32_t attempts = 8)
    {
        pw::DispatchRequest request;
        request.call.service = "s";
        request.call.idempotent = idempotent;
        request.attempts = attempts;
        request.deadline = timers.now() + 1s;
        job = dispatcher.start(request, [this](const pw::Answer& answer) {
            ++ended;
            last = answer;
        });
    }

    int calls() const { return one.calls + two.calls; }

    static pw::Answer whole()
    {
        pw::Answer answer;
        answer.refusal = { pw::Verdict::Ran, pw::Reason::None, {} };
        answer.status = 200;
        answer.load.limit = 10;
        return answer;
    }

    static pw::Answer refusal(pw::Verdict verdict, pw::Reason reason, std::chrono::milliseconds retryAfter = {})
    {
        pw::Answer answer;
        answer.refusal = { verdict, reason, retryAfter };
        return answer;
    }

    pw::Settings settings;
    pw::test::FakeTimers timers;
    pw::test::FakeNetwork network { timers, 1 };
    pw::test::FakePeer entry { network, "entry" };
    pw::test::NullEventLog log;
    FixedDirectory directory;
    pw::test::FakeFleet fleet;
    ScriptedServer one { network, "one" };
    ScriptedServer two { network, "two" };
    pw::CallTransport transport { entry, timers, log, nullptr, 1000 };
    pw::Dispatcher dispatcher;
    std::uint64_t job = 0;
    int ended = 0;
    pw::Answer last;
};

struct RetryRow {
    bool idempotent;
    pw::Verdict verdict;
    pw::Reason reason;
    bool isRetried;
};

std::ostream& operator<<(std::ostream& out, const RetryRow& row)
{
    return out << (row.idempotent ? "idempotent " : "non-idempotent ") << pw::verdictName(row.verdict) << ' ' << pw::reasonInfo(row.reason).name;
}

const std::vector<RetryRow> retryRows {
    { true, pw::Verdict::NotRun, pw::Reason::Leaving, true },
    { false, pw::Verdict::NotRun, pw::Reason::Leaving, true },
    { true, pw::Verdict::MayHaveRun, pw::Reason::BackendFailed, true },
    { false, pw::Verdict::MayHaveRun, pw::Reason::BackendFailed, false },
    { false, pw::Verdict::MayHaveRun, pw::Reason::Unreachable, false },
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(DispatcherTest, Fixture)

BOOST_DATA_TEST_CASE_F(Fixture, retriesOnlyWhereTheVerdictAllows, data::make(retryRows), row)
{
    one.answer = refusal(row.verdict, row.reason);
    two.answer = one.answer;
    start(row.idempotent);
    timers.run(2s);
    BOOST_TEST(ended == 1);
    BOOST_TEST((calls() > 1) == row.isRetried);
    BOOST_TEST((last.refusal.verdict == row.verdict));
}

BOOST_AUTO_TEST_CASE(aRetryGoesToAnotherServer)
{
    one.answer = refusal(pw::Verdict::NotRun, pw::Reason::Leaving);
    one.answer->load = { 0, 0, 10, pw::Importance::Low, true };
    two.answer = whole();
    for (auto n = 0; n < 20; ++n) {
        start(true);
        timers.run(100ms);
        BOOST_TEST(last.isComplete());
    }
    BOOST_TEST(two.calls == 20);
}

BOOST_AUTO_TEST_CASE(theAttemptBudgetBoundsTheAttempts)
{
    one.answer = refusal(pw::Verdict::NotRun, pw::Reason::Leaving);
    two.answer = one.answer;
    one.answer->attemptsUnused = two.answer->attemptsUnused = 0; // Every attempt uses up its part of the budget.
    start(true, 3);
    timers.run(2s);
    BOOST_TEST(calls() <= 3);
    BOOST_TEST(ended == 1);
}

BOOST_AUTO_TEST_CASE(aServerCannotReturnMoreAttemptsThanItWasLent)
{
    one.answer = whole();
    one.answer->attemptsUnused = 1000;
    two.answer = one.answer;
    start(true, 8);
    timers.run(1s);
    BOOST_TEST(last.attemptsUnused == 7U);
}

BOOST_AUTO_TEST_CASE(anAnswerToAnotherCallIsNotTaken)
{
    one.answer = whole();
    one.idOffset = 5;
    two.answer = one.answer;
    two.idOffset = 5;
    start(false);
    timers.run(500ms);
    BOOST_TEST(ended == 0);
    timers.run(2s);
    BOOST_TEST(ended == 1);
    BOOST_TEST((last.refusal.verdict == pw::Verdict::MayHaveRun));
    BOOST_TEST((last.refusal.reason == pw::Reason::DeadlineExceeded));
}

BOOST_AUTO_TEST_CASE(aCallWithoutAnswerEndsAtTheDeadlineAndIsCancelled)
{
    start(false);
    timers.run(2s);
    BOOST_TEST(ended == 1);
    BOOST_TEST(calls() == 1);
    BOOST_TEST(one.cancelled + two.cancelled == 1);
    BOOST_TEST((last.refusal.verdict == pw::Verdict::MayHaveRun));
}

BOOST_AUTO_TEST_CASE(aLostLinkMayHaveCarriedTheCall)
{
    start(false);
    timers.run(10ms);
    entry.loseLink(one.calls ? "one" : "two");
    BOOST_TEST(ended == 1);
    BOOST_TEST((last.refusal.verdict == pw::Verdict::MayHaveRun));
}

BOOST_AUTO_TEST_CASE(cancellingReachesTheServerAndEndsNothingTwice)
{
    start(true);
    timers.run(10ms);
    dispatcher.cancel(job);
    timers.run(2s);
    BOOST_TEST(one.cancelled + two.cancelled == 1);
    BOOST_TEST(ended == 0);
    BOOST_TEST(dispatcher.pending() == 0U);
}

BOOST_AUTO_TEST_CASE(noServerIsNotRun)
{
    directory.entries.clear();
    start(false);
    BOOST_TEST(ended == 0);
    timers.runDue();
    BOOST_TEST(ended == 1);
    BOOST_TEST((last.refusal.verdict == pw::Verdict::NotRun));
    BOOST_TEST((last.refusal.reason == pw::Reason::NoBackendServer));
}

/// Guards against an answer to a caller that has left.
BOOST_AUTO_TEST_CASE(aRequestThatIsCancelledBeforeItsRefusalIsReportedEndsSilently)
{
    directory.entries.clear();
    start(false);
    BOOST_TEST(!dispatcher.mayHaveRun(job));
    dispatcher.cancel(job);
    timers.run(2s);
    BOOST_TEST(ended == 0);
    BOOST_TEST(dispatcher.pending() == 0U);
}

/// Guards against a restarted daemon beside a server that nobody tells of the rate which the server has stated.
BOOST_AUTO_TEST_CASE(aCallCarriesTheRateThatItsServerHasStated)
{
    Fixture fixture;
    fixture.directory.entries.resize(1);
    fixture.one.answer = Fixture::whole();
    fixture.one.answer->load.requestsPerSecond = 12.3;
    fixture.one.answer->load.backendStart = 7;
    const auto run = [&] {
        fixture.start(true);
        fixture.timers.run(500ms);
    };
    run();
    BOOST_TEST(!fixture.one.statedRate.has_value());
    run();
    BOOST_TEST((fixture.one.statedRate == pw::StatedRate { 7, 12.3 }));
    fixture.one.answer->load.requestsPerSecond.reset();
    run();
    run();
    BOOST_TEST(!fixture.one.statedRate.has_value());
    BOOST_TEST(fixture.ended == 4);
}

/// An answer of the first server before the second one refuses the request because of an evacuation.
struct EvacuatedRow {
    const char* name;
    std::optional<pw::Answer> first; ///< Of server "one"; empty if it is not in the fleet.
    pw::Refusal refusal; ///< That ends the request.
};

std::ostream& operator<<(std::ostream& out, const EvacuatedRow& row)
{
    return out << row.name;
}

const std::vector<EvacuatedRow> evacuatedRows {
    { "no other server", std::nullopt, { pw::Verdict::NotRun, pw::Reason::Evacuated, 1000ms } },
    { "the other server is overloaded", Fixture::refusal(pw::Verdict::NotRun, pw::Reason::Overloaded, 300ms),
        { pw::Verdict::NotRun, pw::Reason::Overloaded, 300ms } },
    { "the other server fails", Fixture::refusal(pw::Verdict::MayHaveRun, pw::Reason::BackendFailed),
        { pw::Verdict::MayHaveRun, pw::Reason::BackendFailed, {} } },
};

/// Guards against an evacuation taking the place of an answer that tells more, and against an offer that the server's daemon
/// refuses costing the request one of its attempts at the other server.
BOOST_DATA_TEST_CASE(anOfferToAnEvacuatedServerCostsNothing, data::make(evacuatedRows) * data::xrange(1, 5), row, seed)
{
    Fixture fixture(static_cast<std::uint64_t>(seed));
    Fixture informed(static_cast<std::uint64_t>(seed)); // Its entry daemon knows of the evacuation.
    informed.fleet.evacuate("d2");
    for (auto* it : { &fixture, &informed }) {
        it->directory.entries[0].failureDomain = "d1";
        it->directory.entries[1].failureDomain = "d2";
        it->one.answer = row.first;
        it->two.answer = Fixture::refusal(pw::Verdict::NotRun, pw::Reason::Evacuated);
        it->two.answer->attemptsUnused = 16;
        if (!row.first) {
            it->directory.entries.erase(it->directory.entries.begin());
        }
        it->start(true, 16);
        it->timers.run(900ms);
    }
    BOOST_TEST_REQUIRE(fixture.ended == 1);
    BOOST_TEST(fixture.two.calls <= 1);
    BOOST_TEST(informed.two.calls == 0);
    BOOST_TEST(fixture.one.calls == informed.one.calls);
    BOOST_TEST((fixture.last.refusal.verdict == row.refusal.verdict));
    BOOST_TEST(pw::reasonInfo(fixture.last.refusal.reason).name == pw::reasonInfo(row.refusal.reason).name);
    BOOST_TEST((fixture.last.refusal.retryAfter == row.refusal.retryAfter));
}

/// Guards against failing a call in flight that has no other server to go to, while its own may still answer.
BOOST_DATA_TEST_CASE(aSilentServerIsWaitedForWhenTheOthersAreEvacuated, data::make({ false, true }), evacuated)
{
    Fixture fixture;
    fixture.two.answer = Fixture::whole();
    fixture.directory.entries[0].failureDomain = "d1";
    fixture.directory.entries[1].failureDomain = "d2";
    fixture.fleet.evacuate("d2");
    fixture.start(true);
    fixture.timers.run(10ms);
    BOOST_TEST_REQUIRE(fixture.one.calls == 1);
    fixture.fleet.evacuate("d2", evacuated);
    fixture.network.cutOneWay("one", "entry");
    fixture.timers.run(900ms);
    BOOST_TEST(fixture.ended == (evacuated ? 0 : 1));
    BOOST_TEST(fixture.one.cancelled == (evacuated ? 0 : 1));
    BOOST_TEST(fixture.two.calls == (evacuated ? 0 : 1));
}

BOOST_AUTO_TEST_SUITE_END()
