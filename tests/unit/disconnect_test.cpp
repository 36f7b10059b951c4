#include "adapters/http_server.h"
#include "config.h"
#include "support/fake_network.h"
#include "support/raw_caller.h"
#include "support/stub_server.h"

#include <boost/test/unit_test.hpp>

#include <event2/event.h>

#include <memory>
#include <string>
#include <vector>

namespace {

using namespace pw;
using namespace pw::test;
using namespace std::chrono_literals;

/// An HTTP server on loopback whose requests are answered by the test.
struct Fixture {
    Fixture()
    {
        std::string reason;
        BOOST_REQUIRE_MESSAGE(server.init(address, reason), reason);
    }

    /// Runs the event loop and the timers that are due, until \p done returns true.
    template <typename Condition>
    void runUntil(Condition&& done)
    {
        for (auto n = 0; n < 10'000 && !done(); ++n) {
            event_base_loop(base.get(), EVLOOP_NONBLOCK);
            timers.run(100us);
        }
        BOOST_REQUIRE(done());
    }

    std::unique_ptr<event_base, decltype(&event_base_free)> base { event_base_new(), &event_base_free };
    StreamLoop loop { base.get() };
    FakeTimers timers;
    std::string address = freeAddress();
    std::vector<std::shared_ptr<HttpExchange>> exchanges;
    HttpServer server { loop, timers, [this](std::shared_ptr<HttpExchange> exchange) { exchanges.push_back(std::move(exchange)); } };
};

} // namespace

BOOST_AUTO_TEST_SUITE(Disconnects)

/// Guards against a daemon that ends because the end of one request of a closed connection leads to the response to another.
BOOST_FIXTURE_TEST_CASE(aResponseToAnotherRequestOfAClosedConnectionIsDropped, Fixture)
{
    for (const auto releases : { false, true }) {
        auto notified = 0;
        RawCaller caller(address);
        caller.send("GET /1 HTTP/1.1\r\nHost: h\r\n\r\nGET /2 HTTP/1.1\r\nHost: h\r\n\r\nGET /3 HTTP/1.1\r\nHost: h\r\n\r\n");
        runUntil([this] { return exchanges.size() == 3; });
        exchanges.front()->onDisconnected([&] {
            ++notified;
            exchanges[1]->reply({ 503, {}, "" });
            if (releases) {
                exchanges[1].reset();
            }
        });
        exchanges[1]->onDisconnected([&notified] { ++notified; });
        exchanges[2]->onDisconnected([&notified] { ++notified; });
        caller.close();
        runUntil([this] { return server.connectionCount() == 0; });
        // The second request had its response before it could be notified.
        BOOST_TEST(notified == 2);
        BOOST_TEST(server.pending() == 2U);
        exchanges.clear();
        BOOST_TEST(server.pending() == 0U);
    }
}

/// Guards against a loop over requests that changes because one of them is answered.
BOOST_FIXTURE_TEST_CASE(aResponseDoesNotHandleTheNextRequest, Fixture)
{
    RawCaller caller(address);
    for (std::size_t n = 0; n <= config::maxPipelinedRequests; ++n) {
        caller.send("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
    }
    runUntil([this] { return exchanges.size() == config::maxPipelinedRequests; });
    exchanges.front()->reply({ 200, {}, "" });
    BOOST_TEST(exchanges.size() == config::maxPipelinedRequests);
    runUntil([this] { return exchanges.size() == config::maxPipelinedRequests + 1; });
}

BOOST_AUTO_TEST_SUITE_END()
