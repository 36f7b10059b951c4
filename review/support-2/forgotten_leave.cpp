#include "clients.h"

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <exception>

/// A server deregisters. Right after the acknowledgement all processes of the system are killed; they are back a second later. A
/// heartbeat that the server sent before it deregistered arrives late. Does the server get requests again?
namespace {

using rig::Milliseconds;

constexpr auto configuration = R"({"config_version":1,"routes":{)"
                               R"("r-prices":{"host":"prices.example","path_prefix":"/prices/","kind":"idempotent","timeout_s":3,"target_latency_s":1,"priority":1,"service":"prices","max_attempts":2,"public":false}},)"
                               R"("services":{"prices":{"health_path":"/healthz","max_connections":200,"protocol":"h1","tls":false}},)"
                               R"("limits":{"max_header_bytes":16384,"max_body_bytes":1048576,"header_timeout_s":3,"idle_timeout_s":15},)"
                               R"("tenants":{"shop":{"api_keys":["key-of-the-shop"],"priority":1,"rate_per_s":0,"burst":0}}})";

constexpr Milliseconds killedAfter { 50 }; ///< After the acknowledgement.
constexpr Milliseconds downTime { 1000 };
constexpr Milliseconds heartbeatArrives { 2500 }; ///< After the acknowledgement; it was sent just before.
/// From here on all machines are in touch again: `contact_s` is 3 s, counted from the start of the last process. It is also later
/// than `drain_s`, 2 s, after the acknowledgement.
constexpr Milliseconds judgedFrom { 5000 };
constexpr Milliseconds serverEnds { 12000 };

int run(const rig::Script& script)
{
    rig::Record record(script.recordPath);
    rig::Fleet fleet(record, script.folder, { "prices", "prices" });
    rig::Server leaving(record, fleet.beside(0).ip(), fleet.ports());
    rig::Server staying(record, fleet.beside(1).ip(), fleet.ports());
    fleet.startAll();
    rig::sleepFor(Milliseconds(1000));
    leaving.start({ "i-leaving", "prices", 20, Milliseconds(50) });
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
    rig::sleepFor(Milliseconds(3000));

    leaving.stopHeartbeats();
    const auto lateSequence = leaving.nextSequence();
    record.line("server i-leaving sends heartbeat number " + std::to_string(lateSequence) + "; it is delayed on its way");
    if (leaving.deregister() != 200) {
        return rig::couldNotRun;
    }
    const auto acknowledged = rig::elapsed();
    if (script.trouble) {
        rig::sleepUntil(acknowledged + killedAfter);
        const auto all = [&](auto&& action) {
            for (std::size_t n = 0; n < fleet.controls(); ++n) {
                action(fleet.control(n));
            }
            for (std::size_t n = 0; n < fleet.besides(); ++n) {
                action(fleet.beside(n));
            }
        };
        all([](rig::Daemon& it) { it.signal(SIGKILL); });
        all([](rig::Daemon& it) { it.awaitEnd(Milliseconds(1000)); });
        record.line("all processes of the system are killed");
        fleet.endFirstStart();
        rig::sleepUntil(acknowledged + killedAfter + downTime);
        all([](rig::Daemon& it) { it.start(); });
        record.line("all processes of the system are started again");
    }
    rig::sleepUntil(acknowledged + heartbeatArrives);
    leaving.sendHeartbeat("ready", lateSequence);
    rig::sleepUntil(acknowledged + serverEnds);
    first.stop();
    second.stop();

    const auto late = [&](const rig::Run& it) { return it.at > acknowledged + judgedFrom; };
    const auto leavingRuns = leaving.runs();
    const auto stayingRuns = staying.runs();
    const auto reached = std::ranges::count_if(leavingRuns, late);
    const auto served = std::ranges::count_if(stayingRuns, late);
    record.line("later than 5 s after the acknowledgement " + std::to_string(reached) + " requests reached the server that has left, "
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
