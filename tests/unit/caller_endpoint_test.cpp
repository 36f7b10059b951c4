#include "adapters/codec_call.h"
#include "app/call_transport.h"
#include "app/caller_endpoint.h"
#include "app/native_protocol.h"
#include "caller_contract.h"
#include "support/fake_network.h"
#include "support/fleet_fakes.h"
#include "support/stub_server.h"

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
        done(std::nullopt);
    }

    int taken = 0;
};

class CountingClaims : public ClaimClient {
public:
    void claim(const std::string& /*workspace*/, const std::string& /*requestId*/, TimePoint /*deadline*/, Done done) override
    {
        ++claimed;
        done(ClaimOutcome::Granted, std::nullopt);
    }

    void finish(const std::string& /*workspace*/, const std::string& /*requestId*/, StoredAnswer /*answer*/) override { }

    int claimed = 0;
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
            Answer answer;
            answer.id = decodeCall(message)->id;
            answer.status = status;
            answer.refusal = { Verdict::Ran, Reason::None, {} };
            answer.load.limit = 10;
            server.send(from, MessageKind::Answer, encodeAnswer(answer));
        });
        std::string reason;
        BOOST_REQUIRE_MESSAGE(endpoint.init(address, reason), reason);
        endpoint.finished().connect([this](const RequestRecord& record) { last = record; });
    }

    /// Sends a request on a connection of its own and waits for the end of its response. \returns the response.
    std::string ask(const std::string& methodAndPath, const std::string& headers)
    {
        sockaddr_storage to {};
        int length = sizeof(to);
        evutil_parse_sockaddr_port(address.c_str(), reinterpret_cast<sockaddr*>(&to), &length);
        const auto fd = ::socket(AF_INET, SOCK_STREAM, 0);
        BOOST_REQUIRE(::connect(fd, reinterpret_cast<const sockaddr*>(&to), static_cast<socklen_t>(length)) == 0);
        evutil_make_socket_nonblocking(fd);
        const auto text = methodAndPath + " HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n" + headers + "\r\n";
        BOOST_REQUIRE(::send(fd, text.data(), text.size(), 0) == static_cast<ssize_t>(text.size()));
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

/// With a key the same route is a caller's own request.
BOOST_FIXTURE_TEST_CASE(requestsOfCallersToAnOpenRouteAreRefused, PlatformFixture)
{
    for (auto n = 0; n < 20 && last.refusal.reason == Reason::None; ++n) {
        ask("GET /lookup", "Authorization: Bearer k\r\nPistachiowheel-Request-Id: r-" + std::to_string(n) + "\r\n");
    }
    BOOST_TEST(static_cast<int>(last.refusal.reason) == static_cast<int>(Reason::RouteFailing));
}

BOOST_AUTO_TEST_SUITE_END()
