#include "clients.h"

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <exception>

/// Orders arrive while the queue of new connections of a server is full for 0.6 s. The daemon beside it freezes meanwhile and wakes
/// again. Does each order run once at most?
namespace {

using rig::Milliseconds;

constexpr auto configuration = R"({"config_version":1,"routes":{)"
                               R"("r-orders":{"host":"orders.example","path_prefix":"/orders/","kind":"non_idempotent","timeout_s":6,"target_latency_s":1.5,"priority":0,"service":"orders","max_attempts":2,"public":false}},)"
                               R"("services":{"orders":{"health_path":"/healthz","max_connections":200,"protocol":"h1","tls":false}},)"
                               R"("limits":{"max_header_bytes":16384,"max_body_bytes":1048576,"header_timeout_s":3,"idle_timeout_s":15},)"
                               R"("tenants":{"shop":{"api_keys":["key-of-the-shop"],"priority":1,"rate_per_s":0,"burst":0}}})";

constexpr int orders = 30;
constexpr int listenQueue = 8;
constexpr Milliseconds queueFull { 600 };
constexpr Milliseconds freezesAfter { 250 }; ///< After the orders were sent.
constexpr Milliseconds frozen { 2000 };

int run(const rig::Script& script)
{
    rig::Record record(script.recordPath);
    rig::Fleet fleet(record, script.folder, { "orders", "orders" });
    rig::Server near(record, fleet.beside(0).ip(), fleet.ports());
    rig::Server far(record, fleet.beside(1).ip(), fleet.ports());
    fleet.startAll();
    rig::sleepFor(Milliseconds(1000));
    near.start({ .id = "i-near", .service = "orders", .slots = 60, .work = Milliseconds(100), .backlog = listenQueue });
    far.start({ "i-far", "orders", 60, Milliseconds(100) });
    if (!fleet.submit("0", configuration, Milliseconds(20000))) {
        return rig::couldNotRun;
    }
    rig::sleepFor(Milliseconds(4000));
    if (!fleet.isReady(0) || !fleet.isReady(1)) {
        return rig::couldNotRun;
    }
    {
        // The first orders after its start let the server get more at a time.
        rig::Clients before(record, { fleet.beside(0).ip(), fleet.ports().outbound, "orders.example", "POST", "/orders/", "key-of-the-shop", Milliseconds(6000), Milliseconds(0), 20 }, "before");
        rig::sleepFor(Milliseconds(3000));
    }
    rig::sleepFor(Milliseconds(2000));

    near.pauseAccepting(true);
    record.line("server i-near accepts no connections for a while");
    std::vector<std::thread> clients;
    std::atomic<int> served = 0;
    for (int n = 0; n < orders; ++n) {
        clients.emplace_back([&, n] {
            const auto id = "order-" + std::to_string(n);
            record.line("client sends request " + id);
            const auto bytes = rig::request("POST", "/orders/" + id, rig::clientHeaders("orders.example", id, Milliseconds(6000), "key-of-the-shop"), "");
            const auto reply = rig::call(fleet.beside(0).ip(), fleet.ports().outbound, bytes, Milliseconds(6000));
            record.line("client of request " + id + " gets " + std::to_string(reply ? reply->status() : 0));
            served += reply && reply->status() == 200 ? 1 : 0;
        });
    }
    const auto sent = rig::elapsed();
    if (script.trouble) {
        rig::sleepUntil(sent + freezesAfter);
        fleet.beside(0).signal(SIGSTOP);
        record.line("daemon " + fleet.beside(0).name() + " freezes");
    }
    rig::sleepUntil(sent + queueFull);
    near.pauseAccepting(false);
    record.line("server i-near accepts connections again");
    if (script.trouble) {
        rig::sleepUntil(sent + freezesAfter + frozen);
        fleet.beside(0).signal(SIGCONT);
        record.line("daemon " + fleet.beside(0).name() + " wakes");
    }
    std::ranges::for_each(clients, [](std::thread& it) { it.join(); });
    rig::sleepFor(Milliseconds(500));

    std::map<std::string, int> times;
    for (const auto* server : { &near, &far }) {
        for (const auto& it : server->runs()) {
            ++times[it.requestId];
        }
    }
    const auto twice = std::ranges::count_if(times, [](const auto& it) { return it.second > 1; });
    for (const auto& [id, count] : times) {
        if (count > 1) {
            record.line("request " + id + " has run " + std::to_string(count) + " times");
        }
    }
    record.line(twice > 0 ? "TWICE is broken" : "TWICE held");
    std::printf("%d of %d orders were served, %zd ran more than once\n", served.load(), orders, static_cast<std::ptrdiff_t>(twice));
    if (served == 0) {
        return rig::couldNotRun;
    }
    return twice > 0 ? rig::broken : rig::held;
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
