#include "adapters/codec_call.h"
#include "app/call_transport.h"
#include "app/caller_endpoint.h"
#include "app/http_answer.h"
#include "app/native_protocol.h"
#include "caller_contract.h"
#include "core/header_rules.h"
#include "support/fake_network.h"
#include "support/fleet_fakes.h"
#include "support/stub_server.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <event2/event.h>
#include <event2/util.h>

#include <algorithm>
#include <array>
#include <memory>
#include <string>
#include <vector>

namespace {

using namespace pw;
using namespace pw::test;
using namespace std::chrono_literals;

/// One server, whose daemon is the peer "server".
class OneServer : public ServerDirectory {
public:
    const std::vector<ServerEntry>& servers(const std::string&) const override { return m_entries; }
    std::size_t serverCount() const override { return m_entries.size(); }
    void publish(const ServerEntry&) override { }
    void onChanged(std::function<void(const std::string&)>) override { }

private:
    std::vector<ServerEntry> m_entries { { .name = "server", .service = "alerts", .daemon = "server" } };
};

/// Every key is valid.
class KeyedFleet : public FakeFleet {
public:
    std::optional<std::string> workspaceOfKey(const KeyDigest& /*digest*/) const override { return "w"; }
};

class CountingRates : public RateLimiter {
public:
    void takeToken(const std::string& /*workspace*/, TimePoint /*deadline*/, std::function<void(std::optional<Refusal>)> done) override
    {
        ++taken;
        if (holds) {
            waiting.push_back(std::move(done));
        } else {
            done(std::nullopt);
        }
    }

    int taken = 0;
    bool holds = false; ///< Requests wait for their token.
    std::vector<std::function<void(std::optional<Refusal>)>> waiting;
};

class CountingClaims : public ClaimClient {
public:
    void claim(const std::string& /*workspace*/, const std::string& /*requestId*/, TimePoint /*deadline*/, Done done) override
    {
        ++claimed;
        done(ClaimOutcome::Granted, std::nullopt);
    }

    void finish(const std::string& /*workspace*/, const std::string& /*requestId*/, StoredAnswer answer) override { stored.push_back(std::move(answer)); }

    int claimed = 0;
    std::vector<StoredAnswer> stored;
};

class CountingLog : public EventLog {
public:
    bool shouldWrite(Event /*event*/) override { return true; }
    void write(Event event, std::initializer_list<EventField> /*fields*/) override { m_events.push_back(event); }

    auto count(Event event) const { return std::ranges::count(m_events, event); }

private:
    std::vector<Event> m_events;
};

/// A caller endpoint on loopback, with a simulated clock and a simulated backend server that fails every request.
struct Fixture {
    explicit Fixture(const CallerProtocol& protocol)
        : endpoint({ loop, timers, log, fleet, rates, claims, dispatcher, protocol, settings, board, nullptr, nullptr, 100 })
    {
        settings.peerAddress = "entry";
        settings.outlook = true;
        fleet.apply({ .routes = { { .name = "mute", .method = "POST", .pathPrefix = "/mute", .service = "alerts", .idempotent = false },
                          { .name = "lookup", .method = "GET", .pathPrefix = "/lookup", .service = "alerts", .open = true } },
            .workspaces = { { .name = "w" } } });
        server.onMessage(MessageKind::Call, [this](const PeerAddress& from, std::span<const std::byte> message) {
            ++calls;
            const auto call = decodeCall(message);
            timeLeft = call->timeLeft;
            running.emplace_back(from, call->id);
            if (!holds) {
                answerRunning();
            }
        });
        server.onMessage(MessageKind::Cancel, [this](const PeerAddress&, std::span<const std::byte>) { ++cancels; });
        std::string reason;
        BOOST_REQUIRE_MESSAGE(endpoint.init(address, reason), reason);
        endpoint.finished().connect([this](const RequestRecord& record) { last = record; });
    }

    void answerRunning()
    {
        for (const auto& [from, id] : std::exchange(running, {})) {
            Answer answer;
            answer.id = id;
            answer.status = status;
            answer.refusal = { Verdict::Ran, Reason::None, {} };
            answer.load.limit = 10;
            server.send(from, MessageKind::Answer, encodeAnswer(answer));
        }
    }

    void runFor(Duration time)
    {
        for (auto end = timers.now() + time; timers.now() < end;) {
            event_base_loop(base.get(), EVLOOP_NONBLOCK);
            timers.run(1ms);
        }
        event_base_loop(base.get(), EVLOOP_NONBLOCK);
    }

    /// \returns a connection to the endpoint, which the test closes.
    int connect() const
    {
        sockaddr_storage to {};
        int length = sizeof(to);
        evutil_parse_sockaddr_port(address.c_str(), reinterpret_cast<sockaddr*>(&to), &length);
        const auto fd = ::socket(AF_INET, SOCK_STREAM, 0);
        BOOST_REQUIRE(::connect(fd, reinterpret_cast<const sockaddr*>(&to), static_cast<socklen_t>(length)) == 0);
        evutil_make_socket_nonblocking(fd);
        return fd;
    }

    static void sendRequest(int fd, const std::string& methodAndPath, const std::string& headers)
    {
        const auto text = methodAndPath + " HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n" + headers + "\r\n";
        BOOST_REQUIRE(::send(fd, text.data(), text.size(), 0) == static_cast<ssize_t>(text.size()));
    }

    /// \returns what has arrived on \p fd. \param ended receives whether the endpoint has closed its side.
    static std::string receive(int fd, bool& ended)
    {
        std::string all;
        std::array<char, 4096> buf {};
        auto got = ::recv(fd, buf.data(), buf.size(), 0);
        for (; got > 0; got = ::recv(fd, buf.data(), buf.size(), 0)) {
            all.append(buf.data(), static_cast<std::size_t>(got));
        }
        ended = got == 0;
        return all;
    }

    /// Sends a request on a connection of its own and waits for the end of its response. \returns the response.
    std::string ask(const std::string& methodAndPath, const std::string& headers)
    {
        const auto fd = connect();
        sendRequest(fd, methodAndPath, headers);
        std::string response;
        for (auto n = 0; n < 1000 && response.find("\r\n\r\n") == std::string::npos; ++n) {
            event_base_loop(base.get(), EVLOOP_NONBLOCK);
            timers.run(1ms);
            std::array<char, 4096> buf {};
            const auto got = ::recv(fd, buf.data(), buf.size(), 0);
            response.append(buf.data(), got > 0 ? static_cast<std::size_t>(got) : 0);
        }
        ::close(fd);
        return response;
    }

    /// Sends requests of the route `mute` until one is refused, 20 at most.
    std::string askUntilRefused()
    {
        std::string response;
        for (auto n = 0; n < 20 && last.refusal.reason == Reason::None; ++n) {
            response = ask("POST /mute", key + "Pistachio-Request-Id: r-" + std::to_string(n) + "\r\n");
        }
        return response;
    }

    const std::string key = "Pistachio-Key: k\r\n";

    std::unique_ptr<event_base, decltype(&event_base_free)> base { event_base_new(), &event_base_free };
    StreamLoop loop { base.get() };
    Settings settings;
    FakeTimers timers;
    FakeNetwork network { timers, 1 };
    FakePeer entry { network, "entry" };
    FakePeer server { network, "server" };
    CountingLog log;
    OneServer directory;
    KeyedFleet fleet;
    CountingRates rates;
    CountingClaims claims;
    DemandCache board;
    CallTransport transport { entry, timers, log, nullptr, 1000 };
    Dispatcher dispatcher { settings, transport, timers, log, directory, fleet, 7 };
    std::string address = freeAddress();
    int calls = 0; ///< Calls that reached the daemon beside the server.
    int cancels = 0;
    bool holds = false; ///< Calls are not answered until answerRunning().
    std::vector<std::pair<PeerAddress, std::uint64_t>> running; ///< Unanswered calls.
    std::chrono::microseconds timeLeft { 0 }; ///< Of the last call.
    int status = 500;
    RequestRecord last;
    CallerEndpoint endpoint;
};

const NativeCallerProtocol nativeProtocol;
const platform::CallerContract platformProtocol;

struct NativeFixture : Fixture {
    NativeFixture()
        : Fixture(nativeProtocol)
    {
    }
};

struct PlatformFixture : Fixture {
    PlatformFixture()
        : Fixture(platformProtocol)
    {
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(CallerEndpoints)

/// The verdict not-run must be true, and a caller must not pay for the refusal with its rate or its request id.
BOOST_FIXTURE_TEST_CASE(aRefusalByTheOutlookCostsNothing, NativeFixture)
{
    const auto response = askUntilRefused();
    BOOST_TEST(static_cast<int>(last.refusal.reason) == static_cast<int>(Reason::RouteFailing));
    BOOST_TEST(response.starts_with("HTTP/1.1 503"), response);
    BOOST_TEST(response.find("not-run") != std::string::npos, response);
    BOOST_TEST(response.find("route-failing") != std::string::npos, response);
    BOOST_TEST(response.find("Retry-After") != std::string::npos, response);
    // Eight failures and one that was admitted by the halved share.
    BOOST_TEST(calls >= 8);
    BOOST_TEST(rates.taken == calls);
    BOOST_TEST(claims.claimed == calls);
    BOOST_TEST(log.count(Event::RouteOutlookChanged) == 1);
}

/// A caller that does not wait as long as any response takes.
BOOST_FIXTURE_TEST_CASE(aRequestWithoutEnoughTimeIsTooLate, NativeFixture)
{
    status = 200;
    network.faults.minDelay = 50ms;
    network.faults.maxDelay = 60ms;
    for (auto n = 0; n < 8; ++n) {
        ask("POST /mute", key + "Pistachio-Request-Id: r-" + std::to_string(n) + "\r\n");
    }
    BOOST_TEST(calls == 8);
    const auto response = ask("POST /mute", key + "Pistachio-Request-Id: late\r\nPistachio-Deadline-Ms: 80\r\n");
    BOOST_TEST(response.starts_with("HTTP/1.1 503"), response);
    BOOST_TEST(response.find("too-late") != std::string::npos, response);
    BOOST_TEST(response.find("Retry-After") == std::string::npos, response);
    BOOST_TEST(calls == 8);
    BOOST_TEST(rates.taken == 8);
    BOOST_TEST(claims.claimed == 8);
}

BOOST_FIXTURE_TEST_CASE(nothingIsRefusedWhereTheSettingIsOff, NativeFixture)
{
    settings.outlook = false;
    askUntilRefused();
    BOOST_TEST(calls == 20);
    BOOST_TEST(endpoint.outlook().trackedCount() == 0U);
    BOOST_TEST(log.count(Event::RouteOutlookChanged) == 0);
}

/// A nested call is part of a request that has started: refusing it would fail that request.
BOOST_FIXTURE_TEST_CASE(nestedCallsAreNeverRefused, PlatformFixture)
{
    for (auto n = 0; n < 20; ++n) {
        const auto response = ask("GET /lookup", "Pistachiowheel-Request-Id: r-" + std::to_string(n) + "\r\n");
        BOOST_TEST(response.starts_with("HTTP/1.1 500"), response);
    }
    BOOST_TEST(calls == 20);
    BOOST_TEST(endpoint.outlook().trackedCount() == 0U);
}

/// Guards against an answer whose status is none, which a caller would take for the backend server's.
BOOST_DATA_TEST_CASE_F(PlatformFixture, anAnswerOfADaemonWithoutAFinalStatusIsAFailure, boost::unit_test::data::make({ 0, 1, 99, 100, 101, 199, 600, 999, 1000 }), odd)
{
    status = odd;
    const auto response = ask("POST /mute", "Authorization: Bearer k\r\nPistachiowheel-Request-Id: o\r\n");
    BOOST_TEST(response.starts_with("HTTP/1.1 502"), response);
    BOOST_TEST(static_cast<int>(last.refusal.verdict) == static_cast<int>(Verdict::MayHaveRun));
}

/// Guards against a repeated request whose stored answer is a refusal, and that gets an answer with the status 0.
BOOST_FIXTURE_TEST_CASE(aRefusalIsStoredWithItsResponse, NativeFixture)
{
    holds = true;
    const auto fd = connect();
    sendRequest(fd, "POST /mute", key + "Pistachio-Request-Id: o\r\n");
    runFor(10ms);
    BOOST_REQUIRE(calls == 1);
    endpoint.leave(StopSchedule(timers.now(), 6s));
    endpoint.giveUp();
    runFor(10ms);
    auto ended = false;
    const auto response = receive(fd, ended);
    ::close(fd);
    BOOST_REQUIRE(claims.stored.size() == 1U);
    const auto repeated = storedAnswerToHttp(claims.stored.front());
    BOOST_TEST(response.starts_with("HTTP/1.1 " + std::to_string(repeated.status)), response);
    BOOST_TEST(singleHeader(repeated.headers, header::verdict).value_or("") == "may-have-run");
}

/// With a key the same route is a caller's own request.
BOOST_FIXTURE_TEST_CASE(requestsOfCallersToAnOpenRouteAreRefused, PlatformFixture)
{
    for (auto n = 0; n < 20 && last.refusal.reason == Reason::None; ++n) {
        ask("GET /lookup", "Authorization: Bearer k\r\nPistachiowheel-Request-Id: r-" + std::to_string(n) + "\r\n");
    }
    BOOST_TEST(static_cast<int>(last.refusal.reason) == static_cast<int>(Reason::RouteFailing));
}

BOOST_FIXTURE_TEST_CASE(aPipeliningCallerDoesNotKeepItsConnectionThroughAStop, PlatformFixture)
{
    holds = true;
    const auto fd = connect();
    auto next = [&, n = 0]() mutable { sendRequest(fd, "GET /lookup", "Pistachiowheel-Request-Id: r-" + std::to_string(n++) + "\r\n"); };
    next();
    next();
    runFor(10ms);
    endpoint.leave(StopSchedule(timers.now(), 6s));
    std::string received;
    auto ended = false;
    for (auto n = 0; n < 100 && !ended; ++n) {
        next(); // There is always a request behind those that are answered.
        runFor(10ms);
        answerRunning();
        runFor(10ms);
        received += receive(fd, ended);
    }
    ::close(fd);
    BOOST_TEST(ended);
    BOOST_TEST(calls == 2);
    const auto closing = received.find("Connection: close");
    BOOST_REQUIRE(closing != std::string::npos);
    // The closing response is the last one.
    BOOST_TEST(received.find("HTTP/1.1", closing) == std::string::npos);
    BOOST_TEST(endpoint.pending() == 0U);
}

BOOST_FIXTURE_TEST_CASE(aRequestThatCannotEndBeforeTheStopIsNotTaken, PlatformFixture)
{
    const auto orderFor = [this](const char* id, const char* deadline) {
        return ask("POST /mute", "Authorization: Bearer k\r\nPistachiowheel-Request-Id: " + std::string(id) + "\r\nPistachiowheel-Deadline-Ms: " + deadline + "\r\n");
    };
    endpoint.leave(StopSchedule(timers.now(), 6s));
    status = 200;
    timers.run(4s);
    auto response = orderFor("long", "2000");
    BOOST_TEST(response.starts_with("HTTP/1.1 503"), response);
    BOOST_TEST(response.find("not-run") != std::string::npos, response);
    BOOST_TEST(response.find("Connection: close") != std::string::npos, response);
    BOOST_TEST(calls == 0);
    response = orderFor("short", "1000");
    BOOST_TEST(response.starts_with("HTTP/1.1 200"), response);
    BOOST_TEST(calls == 1);
    timers.run(1500ms);
    response = orderFor("last", "100");
    BOOST_TEST(response.starts_with("HTTP/1.1 503"), response);
    BOOST_TEST(calls == 1);
}

BOOST_FIXTURE_TEST_CASE(aCallerWithoutAKeyIsNoNestedCallWhereNoBackendServerRunsARequest, PlatformFixture)
{
    endpoint.leave(StopSchedule(timers.now(), 6s));
    timers.run(4s);
    const auto response = ask("GET /lookup", "Pistachiowheel-Request-Id: n\r\nPistachiowheel-Deadline-Ms: 2000\r\n");
    BOOST_TEST(response.starts_with("HTTP/1.1 503"), response);
    BOOST_TEST(calls == 0);
}

BOOST_FIXTURE_TEST_CASE(nothingIsAcceptedOnceTheTokensAreReturned, PlatformFixture)
{
    endpoint.leave(StopSchedule(timers.now(), 6s));
    endpoint.refuseNew();
    const auto response = ask("POST /mute", "Authorization: Bearer k\r\nPistachiowheel-Request-Id: n\r\nPistachiowheel-Deadline-Ms: 100\r\n");
    BOOST_TEST(response.starts_with("HTTP/1.1 503"), response);
    BOOST_TEST(rates.taken == 0);
}

BOOST_FIXTURE_TEST_CASE(aRequestThatWaitsForItsRateIsRefusedBeforeTheStopEnds, PlatformFixture)
{
    rates.holds = true;
    const auto fd = connect();
    sendRequest(fd, "POST /mute", "Authorization: Bearer k\r\nPistachiowheel-Request-Id: w\r\n");
    runFor(10ms);
    endpoint.leave(StopSchedule(timers.now(), 6s));
    endpoint.refuseWaiting();
    runFor(10ms);
    auto ended = false;
    const auto response = receive(fd, ended);
    BOOST_TEST(response.starts_with("HTTP/1.1 503"), response);
    BOOST_TEST(ended);
    // A token that comes later starts nothing.
    BOOST_REQUIRE(rates.waiting.size() == 1U);
    rates.waiting.front()(std::nullopt);
    runFor(10ms);
    BOOST_TEST(calls == 0);
    ::close(fd);
}

BOOST_FIXTURE_TEST_CASE(aRequestThatOutlastsTheStopGetsALastAnswer, PlatformFixture)
{
    holds = true;
    const auto order = connect();
    sendRequest(order, "POST /mute", "Authorization: Bearer k\r\nPistachiowheel-Request-Id: o\r\n");
    const auto lookup = connect();
    sendRequest(lookup, "GET /lookup", "Pistachiowheel-Request-Id: l\r\n");
    runFor(10ms);
    BOOST_TEST(calls == 2);
    endpoint.leave(StopSchedule(timers.now(), 6s));
    endpoint.giveUp();
    runFor(10ms);
    for (const auto fd : { order, lookup }) {
        auto ended = false;
        const auto response = receive(fd, ended);
        BOOST_TEST(response.starts_with("HTTP/1.1 502"), response);
        BOOST_TEST(response.find("may-have-run") != std::string::npos, response);
        BOOST_TEST(ended);
        ::close(fd);
    }
    BOOST_TEST(log.count(Event::RequestGivenUp) == 2);
    // Only the idempotent one is cancelled.
    BOOST_TEST(cancels == 1);
    // Answers that come later change nothing.
    answerRunning();
    runFor(10ms);
    BOOST_TEST(log.count(Event::RequestRefused) == 2);
}

BOOST_AUTO_TEST_SUITE_END()
