#include "clients.h"

#include <algorithm>
#include <cstdio>
#include <exception>

/// A server starts while the time of day of its VM is 2 s ahead. The time jumps back, the server crashes and starts again under the id
/// that it had. Later it deregisters, which is acknowledged. Does it still get requests?
namespace {

using rig::Milliseconds;

constexpr auto configuration = R"({"config_version":1,"routes":{)"
                               R"("r-prices":{"host":"prices.example","path_prefix":"/prices/","kind":"idempotent","timeout_s":3,"target_latency_s":1,"priority":1,"service":"prices","max_attempts":2,"public":false}},)"
                               R"("services":{"prices":{"health_path":"/healthz","max_connections":200,"protocol":"h1","tls":false}},)"
                               R"("limits":{"max_header_bytes":16384,"max_body_bytes":1048576,"header_timeout_s":3,"idle_timeout_s":15},)"
                               R"("tenants":{"shop":{"api_keys":["key-of-the-shop"],"priority":1,"rate_per_s":0,"burst":0}}})";

constexpr Milliseconds clockAhead { 2000 };
constexpr Milliseconds crashesAfter { 700 }; ///< After its start.
constexpr Milliseconds downTime { 300 };
constexpr Milliseconds servesFor { 2500 }; ///< From its second start until it deregisters.
constexpr Milliseconds drainTime { 2000 }; ///< Bound `drain_s`.
constexpr Milliseconds judgedFor { 8000 }; ///< After the acknowledgement.

int run(const rig::Script& script)
{
    rig::Record record(script.recordPath);
    rig::Fleet fleet(record, script.folder, { "prices", "prices" });
    rig::Server leaving(record, fleet.beside(0).ip(), fleet.ports());
    rig::Server staying(record, fleet.beside(1).ip(), fleet.ports());
    fleet.startAll();
    rig::sleepFor(Milliseconds(1000));
    staying.start({ "i-staying", "prices", 20, Milliseconds(50) });
    if (!fleet.submit("0", configuration, Milliseconds(20000))) {
        return rig::couldNotRun;
    }
    rig::sleepFor(Milliseconds(4000));
    if (!fleet.isReady(0) || !fleet.isReady(1)) {
        return rig::couldNotRun;
    }
    const auto load = [&](std::size_t n) {
        return rig::Load { fleet.beside(n).ip(), fleet.ports().outbound, "prices.example", "GET", "/prices/", "key-of-the-shop", Milliseconds(3000), Milliseconds(200), 4 };
    };
    rig::Clients first(record, load(0), "a");
    rig::Clients second(record, load(1), "b");
    rig::sleepFor(Milliseconds(2000));

    leaving.start({ .id = "i-leaving", .service = "prices", .slots = 20, .work = Milliseconds(50), .clockOffset = script.trouble ? clockAhead : Milliseconds(0) });
    rig::sleepFor(crashesAfter);
    leaving.crash();
    rig::sleepFor(downTime);
    leaving.start({ "i-leaving", "prices", 20, Milliseconds(50) });
    rig::sleepFor(servesFor);
    leaving.stopHeartbeats();
    if (leaving.deregister() != 200) {
        return rig::couldNotRun;
    }
    const auto acknowledged = rig::elapsed();
    rig::sleepUntil(acknowledged + judgedFor);
    first.stop();
    second.stop();

    const auto late = [&](const rig::Run& it) { return it.at > acknowledged + drainTime; };
    const auto leavingRuns = leaving.runs();
    const auto stayingRuns = staying.runs();
    const auto reached = std::ranges::count_if(leavingRuns, late);
    const auto served = std::ranges::count_if(stayingRuns, late);
    record.line("later than 2 s after the acknowledgement " + std::to_string(reached) + " requests reached the server that has left, "
        + std::to_string(served) + " the other one");
    record.line(reached > 0 ? "DRAIN is broken" : "DRAIN held");
    std::printf("%zd requests reached the server that has left, %zd the other one\n", static_cast<std::ptrdiff_t>(reached), static_cast<std::ptrdiff_t>(served));
    if (reached + served == 0) {
        return rig::couldNotRun;
    }
    return reached > 0 ? rig::broken : rig::held;
}

} // namespace

int main(int argc, char** argv)
{
    try {
        return run(rig::readArguments(argc, argv));
    } catch (const std::exception& error) {
        std::fprintf(stderr, "%s\n", error.what());
        return rig::couldNotRun;
    }
}
