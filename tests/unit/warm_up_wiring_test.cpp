#include "app/native_protocol.h"
#include "app/server_role.h"
#include "backend_contract.h"
#include "config.h"
#include "support/fake_network.h"
#include "support/fleet_fakes.h"
#include "support/stub_server.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <event2/event.h>

#include <algorithm>
#include <memory>
#include <ostream>
#include <vector>

namespace {

using namespace pw;
using namespace pw::test;
using namespace std::chrono_literals;
namespace data = boost::unit_test::data;

constexpr double coldRate = 13;
constexpr double overage = 1.5;
constexpr double slack = 8;
/// Requests that a cold server may get in any second, probes included.
constexpr auto bound = static_cast<std::size_t>(coldRate * overage + slack);

/// Counts the warm-up events.
class CountingLog : public EventLog {
public:
    bool shouldWrite(Event /*event*/) override { return true; }

    void write(Event event, std::initializer_list<EventField> /*fields*/) override { m_events.push_back(event); }

    std::size_t count(Event event) const { return static_cast<std::size_t>(std::ranges::count(m_events, event)); }

private:
    std::vector<Event> m_events;
};

/// Records the published entries.
class PublishedEntries : public ServerDirectory {
public:
    const std::vector<ServerEntry>& servers(const std::string&) const override { return m_none; }
    std::size_t serverCount() const override { return 0; }
    void publish(const ServerEntry& entry) override { entries.push_back(entry); }
    void onChanged(std::function<void(const std::string&)>) override { }

    std::vector<ServerEntry> entries;

private:
    std::vector<ServerEntry> m_none;
};

Settings settingsWithBounds()
{
    Settings settings;
    settings.name = "guide-1";
    settings.failureDomain = "d-1";
    settings.announcementLease = 10s;
    settings.warmUp = { overage, slack };
    return settings;
}

Service serviceWithWarmUp()
{
    Service service;
    service.name = "guide";
    service.healthPath = "/healthz";
    service.warmUpTime = 3s;
    service.warmUpRate = coldRate;
    return service;
}

/// A server role beside a stub server, on loopback connections and a simulated clock.
struct Fixture {
    explicit Fixture(const BackendProtocol& backendProtocol, Settings given = settingsWithBounds())
        : settings(std::move(given))
        , protocol(backendProtocol)
    {
    }

    void announce(std::optional<std::chrono::milliseconds> cold, std::uint64_t started = 5)
    {
        Announcement it;
        it.service = "guide";
        it.address = address;
        it.slots = 100;
        it.connections = 200;
        it.instance = "i-1";
        it.started = started;
        it.sequence = ++sequence;
        it.warmUpTime = cold;
        std::string reason;
        BOOST_REQUIRE_MESSAGE(role.announce(it, reason), reason);
    }

    void call(Duration timeLeft = 2s)
    {
        Call it;
        it.id = ++calls;
        it.service = "guide";
        it.route = "read";
        it.method = "GET";
        it.target = "/read/1";
        it.host = "h.example";
        it.requestId = "r-" + std::to_string(calls);
        it.timeLeft = std::chrono::duration_cast<std::chrono::microseconds>(timeLeft);
        role.run("entry", it, [this](const Answer& answer) { answer.isComplete() ? ++complete : ++failed; });
    }

    /// Runs the loop for \p time, with \p perMillisecond new calls in each millisecond.
    void run(Duration time, int perMillisecond = 0)
    {
        for (const auto end = timers.now() + time; timers.now() < end;) {
            for (auto n = 0; n < perMillisecond; ++n) {
                call();
            }
            for (auto n = 0; n < 4; ++n) {
                event_base_loop(base.get(), EVLOOP_NONBLOCK);
            }
            timers.run(1ms);
        }
    }

    /// Starts a warm server and waits until the role knows that it is warm and may probe again.
    void startWarm()
    {
        BOOST_REQUIRE(server.start(0ms));
        role.setServices({ serviceWithWarmUp() });
        announce(0ms);
        run(20ms);
        BOOST_REQUIRE(!role.warmUpRate());
        run(config::warmUpProbeInterval);
    }

    std::unique_ptr<event_base, decltype(&event_base_free)> base { event_base_new(), &event_base_free };
    StreamLoop loop { base.get() };
    Settings settings;
    FakeTimers timers;
    FakeNetwork network { timers, 1 };
    FakePeer peer { network, "d" };
    CountingLog log;
    PublishedEntries directory;
    FakeFleet fleet;
    const BackendProtocol& protocol;
    DemandCache board;
    std::string address = freeAddress();
    StubServer server { loop, timers, address };
    ServerRole role { loop, settings, peer, timers, log, directory, fleet, protocol, board };
    std::uint64_t sequence = 0;
    std::uint64_t calls = 0;
    std::size_t complete = 0;
    std::size_t failed = 0;
};

const platform::BackendContract contract;
const NativeBackendProtocol native;

/// A way in which the connections to a server that restarts are lost. Afterwards the server has ended.
struct LossRow {
    const char* name;
    void (*lose)(Fixture&);
};

std::ostream& operator<<(std::ostream& out, const LossRow& row)
{
    return out << row.name;
}

const std::vector<LossRow> lossRows {
    { "idle connections are closed",
        [](Fixture& it) {
            it.run(20ms, 1);
            it.run(20ms);
            it.server.stop();
            it.run(5ms);
        } },
    { "running requests are cut off",
        [](Fixture& it) {
            it.server.answers = false;
            it.run(10ms, 1);
            it.server.stop();
            it.run(5ms);
        } },
    { "a connection is refused",
        [](Fixture& it) {
            it.server.closes = true;
            it.run(20ms, 1);
            it.run(20ms);
            it.server.stop();
            it.run(5ms);
            it.call();
            it.run(5ms);
        } },
    { "the server is silent",
        [](Fixture& it) {
            it.server.answers = false;
            it.call(600ms);
            it.run(700ms);
            it.server.stop();
        } },
    { "the server is silent to short requests",
        [](Fixture& it) {
            it.server.answers = false;
            for (auto n = 0; n < 4; ++n) {
                it.call(200ms);
                it.run(210ms);
            }
            it.server.stop();
        } },
};

/// An answer to a probe that does not tell the warm-up time of the server asked for.
struct AnswerRow {
    const char* name;
    void (*spoil)(StubServer&);
};

std::ostream& operator<<(std::ostream& out, const AnswerRow& row)
{
    return out << row.name;
}

const std::vector<AnswerRow> answerRows {
    { "draining or failing", [](StubServer& it) { it.healthStatus = 503; } },
    { "not found", [](StubServer& it) { it.healthStatus = 404; } },
    { "address of another server", [](StubServer& it) { it.healthStatus = 421; } },
    { "from another server", [](StubServer& it) { it.instance = "i-2"; } },
    { "with a warm-up time that cannot be read", [](StubServer& it) { it.statesColdTime = false; } },
    { "no answer", [](StubServer& it) { it.answers = false; } },
};

} // namespace

BOOST_AUTO_TEST_SUITE(WarmUpWiring)

/// Guards against a server that crashes because it is driven at its warm rate after a restart that the role has not been told
/// of: its heartbeat still says that it is warm.
BOOST_DATA_TEST_CASE(aServerThatRestartsUnnoticedIsProbedFirst, data::make(lossRows), row)
{
    Fixture fixture(contract);
    fixture.startWarm();
    row.lose(fixture);
    BOOST_TEST(fixture.role.warmUpRate().has_value());
    fixture.run(300ms, 1);
    fixture.server.received.clear();
    fixture.server.answers = true;
    fixture.server.closes = false;
    const auto returned = fixture.timers.now();
    BOOST_REQUIRE(fixture.server.start(1500ms));
    fixture.announce(0ms);
    fixture.run(1500ms, 1);
    BOOST_REQUIRE(!fixture.server.received.empty());
    const auto firstProbe = std::ranges::find(fixture.server.received, true, &StubServer::Received::probe);
    BOOST_REQUIRE((firstProbe != fixture.server.received.end()));
    BOOST_TEST((firstProbe->at - returned <= config::warmUpProbeInterval + 2 * config::warmUpCheckInterval));
    BOOST_TEST(fixture.server.mostInOneSecond(returned) <= bound);
    fixture.run(300ms, 1);
    BOOST_TEST(!fixture.role.warmUpRate().has_value());
}

/// Guards against requests that are sent between the loss of a connection and the probe.
BOOST_AUTO_TEST_CASE(theFirstRequestAfterALossIsAProbe)
{
    Fixture fixture(contract);
    fixture.startWarm();
    fixture.run(50ms, 1);
    fixture.server.stop();
    BOOST_REQUIRE(fixture.server.start(1500ms));
    fixture.server.received.clear();
    fixture.run(100ms, 1);
    BOOST_REQUIRE(!fixture.server.received.empty());
    BOOST_TEST(fixture.server.received.front().probe);
    BOOST_TEST(fixture.server.probes() == 1U);
}

/// Guards against an end of the limit by an answer that does not tell the server's own state, and against more probes than
/// one in 200 ms.
BOOST_DATA_TEST_CASE(onlyAHealthyAnswerOfTheServerEndsTheLimit, data::make(answerRows), row)
{
    Fixture fixture(contract);
    fixture.role.setServices({ serviceWithWarmUp() });
    row.spoil(fixture.server);
    BOOST_REQUIRE(fixture.server.start(0ms));
    fixture.announce(0ms);
    for (auto n = 0; n < 3; ++n) {
        fixture.run(1s);
        fixture.announce(0ms);
        BOOST_TEST(fixture.role.warmUpRate().value_or(0) == coldRate);
    }
    const auto probes = fixture.server.probes();
    BOOST_TEST(probes >= 3U);
    BOOST_TEST(probes <= 3s / config::warmUpProbeInterval + 1U);
    BOOST_TEST(fixture.log.count(Event::ProbeFailed) >= 1U);
    BOOST_TEST(fixture.log.count(Event::ProbeFailed) <= 3U);
}

/// Guards against a late heartbeat that lets requests through at the warm rate, or does not limit them.
BOOST_AUTO_TEST_CASE(aHeartbeatBeginsTheLimitButDoesNotEndIt)
{
    Fixture fixture(contract);
    fixture.startWarm();
    const auto probes = fixture.server.probes();
    fixture.announce(500ms);
    BOOST_TEST(fixture.role.warmUpRate().value_or(0) == coldRate);
    BOOST_TEST(fixture.directory.entries.back().warmUpRate == coldRate);
    fixture.announce(0ms);
    fixture.run(300ms);
    BOOST_TEST(fixture.role.warmUpRate().value_or(0) == coldRate);
    fixture.run(400ms);
    BOOST_TEST(!fixture.role.warmUpRate().has_value());
    BOOST_TEST(fixture.directory.entries.back().warmUpRate == 0);
    // An announced warm-up time is known: it is not asked for.
    BOOST_TEST(fixture.server.probes() == probes);
}

/// Guards against a limit at each end of a single connection: a server that loses answers by resets was held at its warm-up
/// rate between the probes although another connection showed that it had not restarted.
BOOST_AUTO_TEST_CASE(connectionsThatEndBesideAnotherOneAreNoLoss)
{
    Fixture fixture(contract);
    fixture.startWarm();
    fixture.run(50ms, 1);
    const auto probes = fixture.server.probes();
    fixture.server.answers = false;
    fixture.call();
    fixture.run(5ms);
    fixture.server.closeIdle();
    fixture.run(20ms);
    BOOST_TEST(!fixture.role.warmUpRate().has_value());
    BOOST_TEST(fixture.server.probes() == probes);
}

/// Guards against a new start that is driven at the warm rate until its first answers are slow.
BOOST_AUTO_TEST_CASE(aNewStartIsProbedAndLimited)
{
    Fixture fixture(contract);
    fixture.startWarm();
    fixture.server.stop();
    BOOST_REQUIRE(fixture.server.start(1200ms));
    fixture.server.received.clear();
    const auto began = fixture.timers.now();
    fixture.announce(1200ms, 6);
    fixture.run(1200ms, 1);
    BOOST_TEST(fixture.server.mostInOneSecond(began) <= bound);
    BOOST_TEST(fixture.server.received.size() >= 13U);
    const auto served = fixture.complete;
    fixture.run(400ms, 1);
    BOOST_TEST(fixture.complete >= served + 250);
}

/// Guards against probes, which have a cost, of servers that have no warm-up rate, and against other behaviour for them.
BOOST_AUTO_TEST_CASE(aServiceWithoutWarmUpRateIsNotProbed)
{
    Settings settings;
    settings.name = "guide-1";
    Fixture fixture(contract, settings);
    auto service = serviceWithWarmUp();
    service.warmUpRate = 0;
    fixture.role.setServices({ service });
    BOOST_REQUIRE(fixture.server.start(0ms));
    fixture.announce(1000ms);
    fixture.run(50ms, 1);
    fixture.server.stop();
    fixture.run(5ms, 1);
    BOOST_REQUIRE(fixture.server.start(0ms));
    const auto served = fixture.complete;
    fixture.run(100ms, 1);
    BOOST_TEST(fixture.complete >= served + 90);
    BOOST_TEST(fixture.server.probes() == 0U);
    BOOST_TEST(fixture.directory.entries.size() == 1U);
    BOOST_TEST(fixture.log.count(Event::WarmUpBegan) == 0U);
}

/// Guards against probes after connections that this side closes, or that the server closes as it has said.
BOOST_AUTO_TEST_CASE(connectionsThatEndAsExpectedAreNotLost)
{
    Fixture fixture(contract);
    fixture.startWarm();
    const auto probes = fixture.server.probes();
    fixture.run(20ms, 2);
    fixture.run(config::backendIdleTimeout + 1s);
    fixture.server.closes = true;
    fixture.run(20ms, 2);
    fixture.run(100ms);
    BOOST_TEST(fixture.server.probes() == probes);
    BOOST_TEST(fixture.failed == 0U);
}

/// Guards against updates of the whole fleet for each connection that is lost: most limits end with the first probe.
BOOST_AUTO_TEST_CASE(aLimitThatEndsAtOnceIsNotPublished)
{
    Fixture fixture(contract);
    fixture.startWarm();
    fixture.run(20ms, 1);
    fixture.run(20ms);
    const auto published = fixture.directory.entries.size();
    fixture.server.stop();
    BOOST_REQUIRE(fixture.server.start(0ms));
    fixture.run(200ms);
    BOOST_TEST(fixture.server.probes() == 2U);
    BOOST_TEST(fixture.directory.entries.size() == published);
    BOOST_TEST(fixture.log.count(Event::WarmUpBegan) == fixture.log.count(Event::WarmUpEnded));
}

/// Guards against probes of a server in an evacuated failure domain, where they count as requests, and against requests above
/// the cold rate when the evacuation is finished.
BOOST_AUTO_TEST_CASE(anEvacuatedServerIsProbedOnlyAtTheEnd)
{
    Fixture fixture(contract);
    fixture.startWarm();
    fixture.run(50ms, 1);
    fixture.fleet.evacuate("d-1", true);
    fixture.server.received.clear();
    fixture.server.stop();
    fixture.run(300ms, 1);
    BOOST_REQUIRE(fixture.server.start(5s));
    fixture.announce(0ms);
    fixture.run(500ms, 1);
    BOOST_TEST(fixture.server.received.empty());
    const auto finished = fixture.timers.now();
    fixture.fleet.evacuate("d-1", false);
    fixture.run(1500ms, 1);
    BOOST_REQUIRE(!fixture.server.received.empty());
    BOOST_TEST(fixture.server.received.front().probe);
    BOOST_TEST(fixture.server.probes() == 1U);
    BOOST_TEST(fixture.server.mostInOneSecond(finished) <= bound);
}

/// Guards against a restarted daemon that has no configuration, because control is out of reach, and sends more than any
/// configuration allows.
BOOST_AUTO_TEST_CASE(withoutConfigurationTheSlackAloneIsUsed)
{
    Fixture fixture(contract);
    BOOST_REQUIRE(fixture.server.start(0ms));
    const auto began = fixture.timers.now();
    fixture.announce(0ms);
    for (auto n = 0; n < 3; ++n) {
        fixture.run(1s, 1);
        fixture.announce(0ms);
    }
    BOOST_TEST(fixture.server.mostInOneSecond(began) <= static_cast<std::size_t>(slack));
    BOOST_TEST(fixture.server.received.size() >= 6U);
    fixture.role.setServices({ serviceWithWarmUp() });
    fixture.run(20ms);
    BOOST_TEST(!fixture.role.warmUpRate().has_value());
    BOOST_TEST(fixture.server.probes() == 1U);
}

/// Guards against a limit without end while no configuration arrives.
BOOST_AUTO_TEST_CASE(withoutConfigurationALaterAnnouncementEndsTheLimit)
{
    Fixture fixture(contract);
    BOOST_REQUIRE(fixture.server.start(0ms));
    fixture.announce(0ms);
    fixture.run(4s);
    fixture.announce(0ms);
    BOOST_TEST(fixture.role.warmUpRate().has_value());
    fixture.run(1500ms);
    fixture.announce(0ms);
    BOOST_TEST(!fixture.role.warmUpRate().has_value());
}

/// Guards against a limit without end where the interface has no health requests.
BOOST_AUTO_TEST_CASE(withoutHealthRequestsTheNextAnnouncementEndsTheUnknownState)
{
    Fixture fixture(native);
    BOOST_REQUIRE(fixture.server.start(0ms));
    fixture.role.setServices({ serviceWithWarmUp() });
    fixture.announce(std::nullopt);
    BOOST_TEST(fixture.role.warmUpRate().value_or(0) == coldRate);
    fixture.run(2500ms);
    fixture.announce(std::nullopt);
    BOOST_TEST(fixture.role.warmUpRate().value_or(0) == coldRate);
    fixture.run(600ms);
    BOOST_TEST(!fixture.role.warmUpRate().has_value());
    BOOST_TEST(fixture.server.probes() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
