#include "clients.h"

#include <algorithm>
#include <cstdio>
#include <exception>

/// Clients on kept connections fetch downloads of an ordinary size and pause for some seconds while they read them. Does each get its
/// whole answer?
namespace {

using rig::Milliseconds;

constexpr auto configuration = R"({"config_version":1,"routes":{)"
                               R"("r-bundles":{"host":"bundles.example","path_prefix":"/bundles/","kind":"download","timeout_s":6,"target_latency_s":1,"priority":1,"service":"bundles","max_attempts":2,"public":false}},)"
                               R"("services":{"bundles":{"health_path":"/healthz","max_connections":200,"protocol":"h1","tls":false}},)"
                               R"("limits":{"max_header_bytes":16384,"max_body_bytes":1048576,"header_timeout_s":3,"idle_timeout_s":15},)"
                               R"("tenants":{"shop":{"api_keys":["key-of-the-shop"],"priority":1,"rate_per_s":0,"burst":0}}})";

constexpr int clients = 10;
constexpr std::size_t answerBytes = 36000; ///< Largest answer of a download in the site files.
constexpr int window = 2304; ///< Links have small windows.
constexpr Milliseconds pauseOfReading { 4000 };
constexpr Milliseconds deadline { 12000 };
/// The rule allows this many.
constexpr int tolerated = 3;

std::string fetch(const std::string& id)
{
    return rig::request("GET", "/bundles/" + id, rig::clientHeaders("bundles.example", id, deadline, "key-of-the-shop"), "");
}

int run(const rig::Script& script)
{
    rig::Record record(script.recordPath);
    rig::Fleet fleet(record, script.folder, { "bundles", "bundles" });
    rig::Server first(record, fleet.beside(0).ip(), fleet.ports());
    rig::Server second(record, fleet.beside(1).ip(), fleet.ports());
    fleet.startAll();
    rig::sleepFor(Milliseconds(1000));
    first.start({ .id = "i-1", .service = "bundles", .slots = 40, .work = Milliseconds(50), .answerBytes = answerBytes });
    second.start({ .id = "i-2", .service = "bundles", .slots = 40, .work = Milliseconds(50), .answerBytes = answerBytes });
    if (!fleet.submit("0", configuration, Milliseconds(20000))) {
        return rig::couldNotRun;
    }
    rig::sleepFor(Milliseconds(4000));
    if (!fleet.isReady(0) || !fleet.isReady(1)) {
        return rig::couldNotRun;
    }
    std::atomic<int> whole = 0;
    std::atomic<int> cut = 0;
    std::vector<std::thread> threads;
    for (int n = 0; n < clients; ++n) {
        threads.emplace_back([&, n] {
            const auto connection = rig::Connection::dial(fleet.beside(0).ip(), fleet.ports().outbound, Milliseconds(1000), window);
            const auto before = "before-" + std::to_string(n);
            const auto id = "bundle-" + std::to_string(n);
            if (!connection || !connection->send(fetch(before)) || !connection->read(deadline) || !connection->send(fetch(id))) {
                record.line("client of request " + before + " gets no answer");
                return;
            }
            record.line("client sends request " + id + " on the same connection");
            if (script.trouble) {
                rig::sleepFor(pauseOfReading);
                record.line("client of request " + id + " reads on");
            }
            const auto reply = connection->read(deadline - pauseOfReading);
            const auto isWhole = reply && reply->status() == 200 && reply->body.size() == answerBytes;
            record.line("client of request " + id + (isWhole ? " gets its whole answer" : " finds its connection closed without a whole answer"));
            ++(isWhole ? whole : cut);
        });
    }
    std::ranges::for_each(threads, [](std::thread& it) { it.join(); });
    record.line(cut > tolerated ? "LOST is broken" : "LOST held");
    std::printf("%d whole answers, %d connections closed without one\n", whole.load(), cut.load());
    if (whole + cut < clients) {
        return rig::couldNotRun;
    }
    return cut > tolerated ? rig::broken : rig::held;
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
