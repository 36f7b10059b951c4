#include "adapters/codec_call.h"
#include "adapters/libevent_util.h"
#include "app/call_transport.h"
#include "app/native_protocol.h"
#include "app/server_role.h"
#include "config.h"
#include "core/slot_price_table.h"
#include "support/fake_network.h"
#include "support/fleet_fakes.h"

#include <boost/test/unit_test.hpp>

#include <event2/event.h>

#include <memory>

namespace {

using namespace pw;
using namespace pw::test;
using namespace std::chrono_literals;

class NoServers : public ServerDirectory {
public:
    const std::vector<ServerEntry>& servers(const std::string&) const override { return m_none; }
    std::size_t serverCount() const override { return 0; }
    void publish(const ServerEntry&) override { }
    void onChanged(std::function<void(const std::string&)>) override { }

private:
    std::vector<ServerEntry> m_none;
};

const std::vector<SlotPrice> reported { { "deep", slotPriceServerId("far"), 7, 2.5, 100ms } };

/// A daemon beside a server that has not announced itself, and one that sends calls to it.
struct Fixture {
    /// Sends a call to a server that refuses it, because nothing has announced itself there.
    void call(CallTransport& transport)
    {
        Call call;
        call.service = "s";
        call.timeLeft = 1s;
        transport.start("beside", call, [](const Answer&) {});
        timers.run(10ms);
    }

    std::unique_ptr<event_base, decltype(&event_base_free)> base { event_base_new(), &event_base_free };
    StreamLoop loop { base.get() };
    Settings settings { .name = "server", .peerAddress = "beside" };
    FakeTimers timers;
    FakeNetwork network { timers, 1 };
    FakePeer beside { network, "beside" };
    FakePeer sender { network, "sender" };
    NullEventLog log;
    NoServers directory;
    FakeFleet fleet;
    NativeBackendProtocol protocol;
    DemandCache board;
    SlotPriceTable known; ///< At the daemon beside the server.
    SlotPriceTable learned; ///< At the sender.
};

} // namespace

BOOST_AUTO_TEST_SUITE(SlotPriceWiring)

/// Guards against prices that reach only callers whose requests are served, or only those of one route.
BOOST_FIXTURE_TEST_CASE(aRefusalCarriesThePricesOfOtherServers, Fixture)
{
    ServerRole role { loop, settings, beside, timers, log, directory, fleet, protocol, board, &known };
    CallTransport transport { sender, timers, log, nullptr, 1, &learned };
    known.record(reported, timers.now());
    call(transport);
    BOOST_TEST(learned.priceOf("deep", timers.now()).value_or(0) == 2.5);
    BOOST_TEST(!learned.priceOf("deep", timers.now() + config::slotPriceLifetime).has_value());
}

/// With `chain` at one of the two daemons, nothing is sent or nothing is taken.
BOOST_FIXTURE_TEST_CASE(aDaemonWithoutDirectPricesSendsAndTakesNone, Fixture)
{
    {
        ServerRole role { loop, settings, beside, timers, log, directory, fleet, protocol, board };
        CallTransport transport { sender, timers, log, nullptr, 1, &learned };
        known.record(reported, timers.now());
        call(transport);
        BOOST_TEST(learned.size() == 0U);
    }
    ServerRole role { loop, settings, beside, timers, log, directory, fleet, protocol, board, &known };
    CallTransport transport { sender, timers, log, nullptr, 100 };
    call(transport);
    BOOST_TEST(learned.size() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
