#include "adapters/backend_client.h"
#include "adapters/libevent_util.h"
#include "app/native_protocol.h"
#include "config.h"
#include "core/header_rules.h"
#include "support/fake_network.h"
#include "support/stub_server.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <ostream>
#include <string>
#include <utility>
#include <vector>

namespace {

using namespace pw;
using namespace pw::test;
using namespace std::chrono_literals;

const std::string exchangeIdHeader(header::exchange);
constexpr int settlingTurns = 200; ///< Loop iterations after which nothing is on its way on loopback.

struct Fixture {
    Fixture() { BOOST_REQUIRE(server->init(address, reason) && client.setAddress(address)); }

    std::uint64_t start(Duration timeout, bool repeatable = false)
    {
        return client.start({ "POST", "/order", { { "Host", "x" }, { exchangeIdHeader, std::to_string(++lastExchange) } }, "order" }, timeout, repeatable, [this](BackendResult it) { result = std::move(it); });
    }

    /// Lets both ends handle what has happened on their sockets.
    void settle() const
    {
        for (int n = 0; n < settlingTurns; ++n) {
            event_base_loop(base.get(), EVLOOP_NONBLOCK);
        }
    }

    /// Answers the last request.
    void reply()
    {
        const auto id = singleHeader(held->request().headers, exchangeIdHeader).value();
        std::exchange(held, nullptr)->reply({ 200, { { exchangeIdHeader, std::string(id) } }, "ok" });
    }

    detail::BasePtr base { event_base_new() };
    StreamLoop loop { base.get() };
    FakeTimers timers;
    FakeTimers serverTimers;
    NativeBackendProtocol protocol;
    int lastExchange = 0;
    bool answers = true; ///< Otherwise the server holds its requests.
    std::shared_ptr<HttpExchange> held;
    int received = 0; ///< Requests that have reached the server.
    std::unique_ptr<HttpServer> server = std::make_unique<HttpServer>(loop, serverTimers, [this](const std::shared_ptr<HttpExchange>& exchange) {
        ++received;
        held = exchange;
        if (answers) {
            reply();
        }
    });
    std::string address = freeAddress();
    std::string reason;
    BackendClient client { loop, timers, protocol };
    std::optional<BackendResult> result;
};

/// A way in which an exchange ends before its connection has been noticed to be open.
struct EndBeforeSendRow {
    const char* name;
    Duration timeout; ///< Of the response.
    void (*end)(Fixture& it, std::uint64_t exchange);
    bool isReported;
};

std::ostream& operator<<(std::ostream& out, const EndBeforeSendRow& row)
{
    return out << row.name;
}

/// Handles the timers that have expired while the loop did not run.
template <Duration::rep milliseconds>
void wakeAfter(Fixture& it, std::uint64_t)
{
    it.timers.suspend(std::chrono::milliseconds(milliseconds));
    it.timers.runExpired();
}

const std::vector<EndBeforeSendRow> endBeforeSendRows {
    { "connection timed out", 5s, wakeAfter<config::backendConnectTimeout.count()>, true },
    { "response timed out", 100ms, wakeAfter<100>, true },
    { "both timed out", 5s, wakeAfter<6000>, true },
    { "cancelled", 5s, [](Fixture& it, std::uint64_t exchange) { it.client.cancel(exchange); }, false },
    { "another server is at the address", 5s,
        [](Fixture& it, std::uint64_t) {
            it.client.onServerStarted();
            it.timers.runExpired();
        },
        true },
    { "the server is at another address", 5s,
        [](Fixture& it, std::uint64_t) {
            BOOST_REQUIRE(it.client.setAddress(freeAddress()));
            it.timers.runExpired();
        },
        true },
};

} // namespace

BOOST_AUTO_TEST_SUITE(BackendClients)

/// Guards against a request that is reported as not sent, and sent after all once its connection is noticed to be open.
BOOST_DATA_TEST_CASE(anExchangeThatEndsWhileItConnectsIsNeverSent, boost::unit_test::data::make(endBeforeSendRows), row)
{
    Fixture fixture;
    // The operating system opens the connection at once; the client does not see that until the loop runs.
    const auto exchange = fixture.start(row.timeout);
    row.end(fixture, exchange);
    BOOST_REQUIRE(fixture.result.has_value() == row.isReported);
    if (fixture.result) {
        BOOST_TEST((fixture.result->refusal.verdict == Verdict::NotRun));
        BOOST_TEST(!fixture.result->sent);
    }
    fixture.settle();
    BOOST_TEST(fixture.received == 0);
}

/// Guards against a request that is sent after its exchange was cancelled, because writes are collected.
BOOST_AUTO_TEST_CASE(aRequestCancelledBeforeItsWriteIsFlushedIsNeverSent)
{
    Fixture fixture;
    fixture.start(5s);
    fixture.settle();
    BOOST_REQUIRE(fixture.received == 1);
    BOOST_REQUIRE(fixture.result.has_value());
    BOOST_REQUIRE(fixture.client.connectionCount() == 1U);
    fixture.client.cancel(fixture.start(5s, true));
    fixture.settle();
    BOOST_TEST(fixture.received == 1);
}

/// Guards against a request for one start of the server that goes out on a connection to an earlier one.
BOOST_AUTO_TEST_CASE(aConnectionToAnEarlierStartCompletesItsExchangeAndIsNotReused)
{
    Fixture fixture;
    fixture.answers = false;
    fixture.start(5s);
    fixture.settle();
    BOOST_REQUIRE(fixture.received == 1);
    fixture.client.onServerStarted();
    fixture.reply();
    fixture.settle();
    BOOST_REQUIRE(fixture.result.has_value());
    BOOST_TEST((fixture.result->refusal.verdict == Verdict::Ran));
    BOOST_TEST(fixture.client.connectionCount() == 0U);
    fixture.start(5s, true);
    BOOST_TEST(fixture.client.connectionsOpened() == 2U);
}

BOOST_AUTO_TEST_SUITE_END()
