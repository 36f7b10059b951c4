#include "clients.h"

#include <algorithm>
#include <cstdio>
#include <exception>

/// A server falls silent, and its address goes to a server of another service, which tells so to the daemon beside it. Does the
/// new server run requests that were meant for the service of the old one?
namespace {

using rig::Milliseconds;

constexpr auto configuration = R"({"config_version":1,"routes":{)"
                               R"("r-orders":{"host":"orders.example","path_prefix":"/orders/","kind":"non_idempotent","timeout_s":5,"target_latency_s":1.5,"priority":0,"service":"orders","max_attempts":2,"public":false},)"
                               R"("r-status":{"host":"orders.example","path_prefix":"/status/","kind":"idempotent","timeout_s":3,"target_latency_s":1,"priority":2,"service":"orders","max_attempts":2,"public":false},)"
                               R"("r-stock":{"host":"stock.example","path_prefix":"/stock/","kind":"idempotent","timeout_s":6,"target_latency_s":1.5,"priority":2,"service":"stock","max_attempts":2,"public":false}},)"
                               R"("services":{"orders":{"health_path":"/healthz","max_connections":200,"protocol":"h1","tls":false},"stock":{"health_path":"/healthz","max_connections":200,"protocol":"h1","tls":false}},)"
                               R"("limits":{"max_header_bytes":16384,"max_body_bytes":1048576,"header_timeout_s":3,"idle_timeout_s":15},)"
                               R"("tenants":{"shop":{"api_keys":["key-of-the-shop"],"priority":1,"rate_per_s":0,"burst":0}}})";

/// Bound `addr_reuse_s` of the pages is 2 s.
constexpr Milliseconds addressReused { 2100 };
constexpr Milliseconds orderWork { 300 };

int run(const rig::Script& script)
{
    rig::Record record(script.recordPath);
    rig::Fleet fleet(record, script.folder, { "orders", "orders", "orders", "stock" });
    std::vector<std::unique_ptr<rig::Server>> servers;
    for (std::size_t n = 0; n < fleet.besides(); ++n) {
        servers.push_back(std::make_unique<rig::Server>(record, fleet.beside(n).ip(), fleet.ports()));
    }
    fleet.startAll();
    rig::sleepFor(Milliseconds(1000));
    servers[0]->start({ "i-orders-1", "orders", 40, orderWork });
    servers[1]->start({ "i-orders-2", "orders", 40, orderWork });
    servers[2]->start({ "i-orders-3", "orders", 40, orderWork });
    servers[3]->start({ "i-stock-1", "stock", 40, Milliseconds(50) });
    if (!fleet.submit("0", configuration, Milliseconds(20000))) {
        return rig::couldNotRun;
    }
    rig::sleepFor(Milliseconds(4000));
    if (!fleet.isReady(0) || !fleet.isReady(1) || !fleet.isReady(2) || !fleet.isReady(3)) {
        return rig::couldNotRun;
    }
    const auto load = [&](std::size_t n, const char* method, const char* path, Milliseconds deadline, Milliseconds pause) {
        return rig::Load { fleet.beside(n).ip(), fleet.ports().outbound, "orders.example", method, path, "key-of-the-shop", deadline, pause, 60 };
    };
    std::vector<std::unique_ptr<rig::Clients>> orders;
    std::vector<std::unique_ptr<rig::Clients>> reads;
    for (std::size_t n = 0; n < 3; ++n) {
        const auto name = std::to_string(n + 1);
        orders.push_back(std::make_unique<rig::Clients>(record, load(n, "POST", "/orders/", Milliseconds(5000), Milliseconds(5000)), "order-" + name));
        reads.push_back(std::make_unique<rig::Clients>(record, load(n, "GET", "/status/", Milliseconds(3000), Milliseconds(0)), "status-" + name));
    }
    rig::sleepFor(Milliseconds(5000));
    if (script.trouble) {
        servers[0]->fallSilent();
        rig::sleepFor(addressReused);
        servers[0]->start({ "i-stock-2", "stock", 40, Milliseconds(50) });
        fleet.changeService(0, "stock");
    } else {
        rig::sleepFor(addressReused);
    }
    rig::sleepFor(Milliseconds(8000));
    const auto stop = [](const auto& it) { it->stop(); };
    std::ranges::for_each(orders, stop);
    std::ranges::for_each(reads, stop);
    const auto runs = servers[0]->runs();
    const auto misplaced = std::ranges::count_if(runs, [](const rig::Run& it) { return it.service == "stock" && !it.target.starts_with("/stock/"); });
    std::size_t served = 0;
    std::ranges::for_each(orders, [&](const auto& it) { served += it->answered(200); });
    record.line(std::to_string(served) + " orders were served; a server of service stock ran " + std::to_string(misplaced) + " requests for service orders");
    record.line(misplaced > 0 ? "ROUTE is broken" : "ROUTE held");
    std::printf("%zu orders were served; a server of service stock ran %zd requests for service orders\n", served, static_cast<std::ptrdiff_t>(misplaced));
    if (served == 0) {
        return rig::couldNotRun;
    }
    return misplaced > 0 ? rig::broken : rig::held;
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
