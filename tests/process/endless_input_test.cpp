#include "config.h"
#include "support/fleet.h"
#include "support/http_names.h"
#include "support/raw_server.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <fstream>
#include <memory>
#include <mutex>
#include <ranges>
#include <set>
#include <sstream>
#include <vector>

using namespace pw::test;
namespace http = pw::support::http;

namespace {

const std::string configuration = R"(services:
  - { name: tides, slotsPerServer: 40, connectionsPerServer: 330 }
  - { name: orders, slotsPerServer: 40, connectionsPerServer: 330 }
routes:
  - { name: tides, method: GET, pathPrefix: /tides, service: tides, importance: low, open: true, deadline: 2000ms, attempts: 1 }
  - { name: order, method: POST, pathPrefix: /order, service: orders, importance: critical, open: true, idempotent: false, deadline: 1000ms }
  - { name: notices, method: GET, pathPrefix: /notices, service: orders, importance: low, open: true, deadline: 1000ms }
workspaces:
  - { name: anglesey, rate: 2000, burst: 2000 }
)";

constexpr milliseconds routeDeadline { 2000 };
constexpr milliseconds endBound = routeDeadline + milliseconds(1000);
constexpr milliseconds slowPause { 20 };
constexpr std::size_t mostGrowthBytes = 8 * 1024 * 1024;
constexpr std::size_t pieceBytes = 64 * 1024;
constexpr std::size_t heldBytes = pw::config::maxAnswerBytes - 64 * 1024; ///< Of a body that does not end.
constexpr std::size_t heldAnswers = 80;
constexpr std::size_t slotsAtStart = 8; ///< Slots of a new server of which one is used at first.
constexpr std::size_t smallestMemoryBytes = 160 * 1024 * 1024; ///< Of the machines that a daemon has to run on.
constexpr std::size_t floodBytes = 256 * 1024 * 1024;

/// What a backend server sends without end behind a beginning.
struct Shape {
    const char* name;
    std::string begin;
    std::string again;
};

std::vector<Shape> answerShapes()
{
    const std::string chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    return {
        { "status line", "HTTP/1.1 200 ", "a" },
        { "header line", "HTTP/1.1 200 OK\r\nX: ", "a" },
        { "header lines", "HTTP/1.1 200 OK\r\n", "X: y\r\n" },
        { "garbage", "", std::string("\x01\x7f\x00\xff", 4) },
        { "empty lines", "", "\r\n" },
        { "interim answers", "", "HTTP/1.1 100 Continue\r\n\r\n" },
        { "early hints", "", "HTTP/1.1 103 Early Hints\r\nLink: </style.css>\r\n\r\n" },
        { "chunk extension", chunked + "5;", "a" },
        { "zeros of a chunk's size", chunked, "0" },
        { "digits of a chunk's size", chunked, "1" },
        { "one trailer", chunked + "0\r\nX: ", "a" },
        { "trailers", chunked + "0\r\n", "X: y\r\n" },
        { "tiny chunks with extensions", chunked, "1;" + std::string(100, 'e') + "\r\nx\r\n" },
        { "chunks", chunked, "a\r\n0123456789\r\n" },
        { "body until the end", "HTTP/1.1 200 OK\r\n\r\n", "a" },
        { "answers to nobody", "", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nPistachio-Exchange: 1-1\r\n\r\nhi" },
    };
}

std::vector<Shape> requestShapes()
{
    const std::string chunked = "POST /order?marker=endless HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n";
    return {
        { "target", "GET /", "a" },
        { "header line", "GET /notices?marker=endless HTTP/1.1\r\nX: ", "a" },
        { "header lines", "GET /notices?marker=endless HTTP/1.1\r\n", "X: y\r\n" },
        { "garbage", "", std::string("\x01\x7f\x00\xff", 4) },
        { "chunk extension", chunked + "5;", "a" },
        { "zeros of a chunk's size", chunked, "0" },
        { "one trailer", chunked + "0\r\nX: ", "a" },
        { "trailers", chunked + "0\r\n", "X: y\r\n" },
        { "tiny chunks with extensions", chunked, "1;" + std::string(100, 'e') + "\r\nx\r\n" },
        { "chunks", chunked, "a\r\n0123456789\r\n" },
    };
}

std::string repeated(const std::string& text, std::size_t bytes)
{
    std::string result;
    while (result.size() < bytes) {
        result += text;
    }
    return result;
}

/// \returns the field \p name of the status of \p process, in bytes.
std::size_t memoryOf(const Process& process, const std::string& name = "VmRSS:")
{
    std::ifstream file("/proc/" + std::to_string(process.id()) + "/status");
    std::string line;
    while (std::getline(file, line)) {
        if (line.starts_with(name)) {
            std::size_t kilobytes = 0;
            std::istringstream(line.substr(name.size())) >> kilobytes;
            return kilobytes * 1024;
        }
    }
    return 0;
}

/// One daemon with a backend server that answers "/tides?marker=fast-N" and "slow-N" with the shape N.
struct Endless {
    Endless()
        : daemon(fleet.addServerDaemon())
        , server(freeAddress(daemon.spec().ip), [this](const RawConnection& connection, std::size_t) { serve(connection); })
    {
        server.announceTo(daemon.spec().backend, "tides", heldAnswers * slotsAtStart);
        fleet.addServer("orders", {}, "d1");
        fleet.configure(configuration);
        fleet.waitForRoute(daemon, "/notices?marker=ready");
        fleet.waitForRoute(daemon, "/tides?marker=ready");
    }

    void serve(const RawConnection& connection)
    {
        const auto request = connection.readAnswer(routeDeadline);
        const auto marker = request.find("marker=");
        const auto name = marker == std::string::npos ? std::string() : request.substr(marker + 7, request.find(' ', marker) - marker - 7);
        {
            const std::lock_guard lock(seenMutex);
            seen.insert(name);
        }
        if (name.starts_with("fast-")) {
            flood(connection, shapes.at(std::stoul(name.substr(5))));
        } else if (name.starts_with("held-")) {
            (void)connection.send("HTTP/1.1 200 OK\r\n\r\n" + std::string(heldBytes, 'a'));
            while (!server.stopping() && connection.send("a")) {
                std::this_thread::sleep_for(slowPause);
            }
        } else if (name.starts_with("slow-")) {
            drip(connection, shapes.at(std::stoul(name.substr(5))));
        } else {
            const auto exchange = request.find(http::exchangeHeader);
            const auto echo = exchange == std::string::npos ? std::string() : request.substr(exchange, request.find("\r\n", exchange) - exchange + 2);
            (void)connection.send("HTTP/1.1 200 OK\r\n" + echo + "Content-Length: 2\r\nConnection: close\r\n\r\nok");
        }
    }

    void flood(const RawConnection& connection, const Shape& shape) const
    {
        const auto piece = repeated(shape.again, pieceBytes);
        auto open = connection.send(shape.begin);
        for (std::size_t sent = 0; open && sent < floodBytes && !server.stopping(); sent += piece.size()) {
            open = connection.send(piece);
        }
    }

    void drip(const RawConnection& connection, const Shape& shape) const
    {
        auto open = connection.send(shape.begin);
        while (open && !server.stopping()) {
            open = connection.send(shape.again.substr(0, shape.begin.empty() ? shape.again.size() : 1));
            std::this_thread::sleep_for(slowPause);
        }
    }

    bool hasSeen(const std::string& name)
    {
        const std::lock_guard lock(seenMutex);
        return seen.contains(name);
    }

    std::vector<Shape> shapes = answerShapes();
    std::mutex seenMutex;
    std::set<std::string> seen; ///< Markers of the requests that reached the backend server.
    Fleet fleet;
    Daemon& daemon;
    RawServer server;
};

/// Checks that a request ended by its deadline without a whole answer of the backend server, and truthfully.
void checkEnded(Endless& mesh, const RawConnection& connection, std::chrono::steady_clock::time_point since, const std::string& name, const std::string& what)
{
    const auto answer = connection.readAnswer(endBound);
    BOOST_TEST((std::chrono::steady_clock::now() - since <= endBound), what << ": not ended by its deadline");
    BOOST_TEST(statusIn(answer) >= 500, what << ": answered " << answer.substr(0, 200));
    const auto saidNotRun = answer.find("not-run") != std::string::npos;
    BOOST_TEST(saidNotRun == !mesh.hasSeen(name), what << ": answered " << answer.substr(0, 200));
}

std::string get(const std::string& target)
{
    return "GET " + target + " HTTP/1.1\r\nHost: x\r\n\r\n";
}

} // namespace

BOOST_AUTO_TEST_SUITE(EndlessInput)

BOOST_AUTO_TEST_CASE(anAnswerWithoutEndIsEndedAndOthersAreServed)
{
    Endless mesh;
    const auto& caller = mesh.daemon.spec().caller;
    const auto before = memoryOf(mesh.daemon.process());
    for (std::size_t n = 0; n < mesh.shapes.size(); ++n) {
        const std::string what = mesh.shapes[n].name;
        const auto name = "fast-" + std::to_string(n);
        const RawConnection connection(caller);
        const auto since = std::chrono::steady_clock::now();
        (void)connection.send(get("/tides?marker=" + name));
        BOOST_TEST(mesh.fleet.get(mesh.daemon, "/notices?marker=beside").status == 200, what << ": another request is not served");
        checkEnded(mesh, connection, since, name, what);
        BOOST_TEST(memoryOf(mesh.daemon.process()) <= before + mostGrowthBytes, what << ": memory grew from " << before << " to " << memoryOf(mesh.daemon.process()));
    }
    BOOST_TEST(mesh.daemon.process().running());
}

/// Guards against a faulty server that exhausts the memory of its daemon with answers that are each within their limit.
BOOST_AUTO_TEST_CASE(manyAnswersWithoutEndTogetherStayWithinTheMemory)
{
    Endless mesh;
    std::vector<std::unique_ptr<RawConnection>> connections;
    for (std::size_t n = 0; n < heldAnswers; ++n) {
        connections.push_back(std::make_unique<RawConnection>(mesh.daemon.spec().caller));
        (void)connections.back()->send(get("/tides?marker=held-" + std::to_string(n)));
    }
    for (std::size_t n = 0; n < heldAnswers; ++n) {
        BOOST_TEST(statusIn(connections[n]->readAnswer(endBound)) >= 500, "held-" << n);
    }
    BOOST_TEST(memoryOf(mesh.daemon.process(), "VmHWM:") <= smallestMemoryBytes);
    const auto held = [&mesh](std::size_t n) { return mesh.hasSeen("held-" + std::to_string(n)); };
    const auto begun = static_cast<std::size_t>(std::ranges::count_if(std::views::iota(std::size_t { 0 }, heldAnswers), held));
    BOOST_TEST(begun * heldBytes > pw::config::maxBufferedAnswerBytes); // Otherwise nothing was tested.
    BOOST_TEST(mesh.fleet.get(mesh.daemon, "/notices?marker=beside").status == 200);
    BOOST_TEST(mesh.fleet.get(mesh.daemon, "/tides?marker=afterwards").status == 200);
}

BOOST_AUTO_TEST_CASE(aSlowAnswerWithoutEndEndsAtItsDeadline)
{
    Endless mesh;
    const auto before = memoryOf(mesh.daemon.process());
    std::vector<std::unique_ptr<RawConnection>> connections;
    const auto since = std::chrono::steady_clock::now();
    for (std::size_t n = 0; n < mesh.shapes.size(); ++n) {
        connections.push_back(std::make_unique<RawConnection>(mesh.daemon.spec().caller));
        (void)connections.back()->send(get("/tides?marker=slow-" + std::to_string(n)));
    }
    BOOST_TEST(mesh.fleet.get(mesh.daemon, "/notices?marker=beside").status == 200);
    for (std::size_t n = 0; n < connections.size(); ++n) {
        checkEnded(mesh, *connections[n], since, "slow-" + std::to_string(n), mesh.shapes[n].name);
    }
    BOOST_TEST(memoryOf(mesh.daemon.process()) <= before + mostGrowthBytes);
}

BOOST_AUTO_TEST_CASE(aRequestWithoutEndIsRefusedAndItsConnectionClosed)
{
    Endless mesh;
    const auto before = memoryOf(mesh.daemon.process());
    const std::vector<int> refusals { 400, 413, 431 };
    for (const auto& it : requestShapes()) {
        const RawConnection connection(mesh.daemon.spec().caller);
        const auto piece = repeated(it.again, pieceBytes);
        auto open = connection.send(it.begin);
        const auto end = std::chrono::steady_clock::now() + endBound;
        while (open && std::chrono::steady_clock::now() < end) {
            open = connection.send(piece);
        }
        BOOST_TEST(!open, it.name << ": taken without end");
        bool closed = false;
        const auto answer = connection.readAll(endBound, closed);
        BOOST_TEST((std::ranges::find(refusals, statusIn(answer)) != refusals.end()), it.name << ": answered " << answer.substr(0, 200));
        BOOST_TEST(memoryOf(mesh.daemon.process()) <= before + mostGrowthBytes, it.name << ": memory grew");
        BOOST_TEST(mesh.fleet.get(mesh.daemon, "/notices?marker=beside").status == 200, it.name << ": another request is not served");
    }
    for (const Standin* it : mesh.fleet.standins()) {
        BOOST_TEST(it->runs("endless") == 0U);
    }
}

BOOST_AUTO_TEST_SUITE_END()
