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

    detail::BasePtr base { event_base_new() };
    StreamLoop loop { base.get() };
    FakeTimers timers;
    FakeTimers serverTimers;
    NativeBackendProtocol protocol;
    int lastExchange = 0;
    int received = 0; ///< Requests that have reached the server.
    std::unique_ptr<HttpServer> server = std::make_unique<HttpServer>(loop, serverTimers, [this](const std::shared_ptr<HttpExchange>& exchange) {
        ++received;
        const auto id = singleHeader(exchange->request().headers, exchangeIdHeader).value();
        exchange->reply({ 200, { { exchangeIdHeader, std::string(id) } }, "ok" });
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
    Duration suspended; ///< For how long the loop does not run.
    bool isCancelled;
};

std::ostream& operator<<(std::ostream& out, const EndBeforeSendRow& row)
{
    return out << row.name;
}

const std::vector<EndBeforeSendRow> endBeforeSendRows {
    { "connection timed out", 5s, config::backendConnectTimeout, false },
    { "response timed out", 100ms, 100ms, false },
    { "both timed out", 5s, 6s, false },
    { "cancelled", 5s, 0s, true },
};

} // namespace

BOOST_AUTO_TEST_SUITE(BackendClients)

/// Guards against a request that is reported as not sent, and sent after all once its connection is noticed to be open.
BOOST_DATA_TEST_CASE(anExchangeThatEndsWhileItConnectsIsNeverSent, boost::unit_test::data::make(endBeforeSendRows), row)
{
    Fixture fixture;
    // The operating system opens the connection at once; the client does not see that until the loop runs.
    const auto exchange = fixture.start(row.timeout);
    fixture.timers.suspend(row.suspended);
    if (row.isCancelled) {
        fixture.client.cancel(exchange);
    } else {
        fixture.timers.runExpired();
        BOOST_REQUIRE(fixture.result.has_value());
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

BOOST_AUTO_TEST_SUITE_END()
