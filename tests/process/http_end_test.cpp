#include "adapters/backend_client.h"
#include "adapters/http_server.h"
#include "adapters/timers_libevent.h"
#include "core/header_rules.h"
#include "support/http_names.h"
#include "support/loop.h"
#include "support/mesh.h"
#include "support/raw_server.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <array>
#include <atomic>
#include <memory>
#include <optional>
#include <thread>
#include <utility>
#include <vector>

using namespace pw::test;
namespace http = pw::support::http;

namespace {

constexpr std::size_t unsentBytes = 64 * 1024 * 1024; ///< More than the buffers of a connection hold.
constexpr milliseconds loopTime { 300 };
constexpr milliseconds answerBound { 3000 };
constexpr milliseconds exchangeTimeout { 1000 };
constexpr milliseconds pauseOfCaller { 2000 }; ///< Longer than a stopping daemon listens.
constexpr milliseconds stopBound { 20000 };
constexpr milliseconds pauseOfPeer { 4500 }; ///< Longer than a daemon may be silent, shorter than a caller may be idle.

/// A loop with what the adapters need, driven by the test.
struct Loop {
    Loop()
        : base(pw::support::makeBase())
        , streams(base.get())
        , timers(base.get())
    {
        pw::support::ignoreBrokenPipes();
    }

    void run(milliseconds time)
    {
        (void)timers.after(time, [this] { event_base_loopbreak(base.get()); });
        event_base_dispatch(base.get());
    }

    template <typename Condition>
    void runUntil(Condition condition)
    {
        const auto end = timers.now() + answerBound;
        while (!condition() && timers.now() < end) {
            run(milliseconds(5));
        }
    }

    pw::support::BasePtr base;
    pw::StreamLoop streams;
    pw::TimersLibevent timers;
};

/// Backend servers that name the request they answer by the header X-Name.
class NamedRequests : public pw::BackendProtocol {
public:
    bool usesContextTokens() const override { return false; }
    pw::HttpRequest request(const pw::BackendRun&) const override { return {}; }

    pw::AnswerKind classify(const pw::HttpRequest& request, const pw::HttpResponse& answer) const override
    {
        if (!identifiesRequest(request, answer)) {
            return pw::AnswerKind::Mismatched;
        }
        return answer.status == 503 ? pw::AnswerKind::NotRun : pw::AnswerKind::Complete;
    }

    bool identifiesRequest(const pw::HttpRequest& request, const pw::HttpResponse& answer) const override { return nameOf(request.headers) == nameOf(answer.headers); }
    bool haveSameIdentity(const pw::HttpRequest& earlier, const pw::HttpRequest& later) const override { return nameOf(earlier.headers) == nameOf(later.headers); }
    pw::BackendStatement statement(const pw::HttpResponse&) const override { return {}; }
    void strip(pw::HttpResponse&) const override { }

private:
    static std::optional<std::string_view> nameOf(const std::vector<pw::HeaderLine>& headers) { return pw::singleHeader(headers, "X-Name"); }
};

pw::HttpRequest named(const std::string& name)
{
    return { "GET", "/", { { "X-Name", name } }, "" };
}

std::string answerTo(const std::string& name, int status, const std::string& body)
{
    return "HTTP/1.1 " + std::to_string(status) + " X\r\nX-Name: " + name + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

struct Client {
    explicit Client(const std::string& address)
        : client(loop.streams, loop.timers, protocol)
    {
        BOOST_REQUIRE(client.setAddress(address));
    }

    explicit Client(const RawServer& server)
        : Client(server.address())
    {
    }

    pw::BackendResult ask(const std::string& name) { return ask(named(name)); }

    pw::BackendResult ask(pw::HttpRequest request)
    {
        std::optional<pw::BackendResult> result;
        client.start(std::move(request), exchangeTimeout, true, [&result](pw::BackendResult it) { result = std::move(it); });
        loop.runUntil([&result] { return result.has_value(); });
        BOOST_REQUIRE(result.has_value());
        return std::move(*result);
    }

    Loop loop;
    NamedRequests protocol;
    pw::BackendClient client;
};

} // namespace

BOOST_AUTO_TEST_SUITE(HttpEnds)

BOOST_AUTO_TEST_CASE(aSecondCopyOfARefusalIsNotTheAnswerToTheNextTry)
{
    std::atomic<int> requests = 0;
    const RawServer server(freeAddress(), [&requests](const RawConnection& connection, std::size_t number) {
        while (!connection.readAnswer(answerBound).empty()) {
            ++requests;
            // On the first connection the copy of the refusal comes when the next request is there.
            (void)connection.send(number == 0 ? answerTo("a", 503, "full") : answerTo("a", 200, "ran"));
        }
    });
    Client client(server);
    BOOST_TEST((client.ask("a").refusal.verdict == pw::Verdict::NotRun));
    const auto second = client.ask("a");
    BOOST_TEST((second.refusal.verdict == pw::Verdict::Ran));
    BOOST_TEST(second.response.body == "ran");
    BOOST_TEST(requests == 2);
}

BOOST_AUTO_TEST_CASE(aSecondCopyOfARefusalIsNotTheAnswerToALaterTryOnTheConnection)
{
    const RawServer server(freeAddress(), [](const RawConnection& connection, std::size_t number) {
        // On the first connection: a refusal, the answer to another request, then the copy of the refusal.
        const std::array<std::string, 3> first { answerTo("a", 503, "full"), answerTo("b", 200, "ran b"), answerTo("a", 503, "full") };
        for (std::size_t n = 0; !connection.readAnswer(answerBound).empty(); ++n) {
            (void)connection.send(number == 0 && n < first.size() ? first.at(n) : answerTo("a", 200, "ran a"));
        }
    });
    Client client(server);
    BOOST_TEST((client.ask("a").refusal.verdict == pw::Verdict::NotRun));
    BOOST_TEST(client.ask("b").response.body == "ran b");
    const auto second = client.ask("a");
    BOOST_TEST((second.refusal.verdict == pw::Verdict::Ran));
    BOOST_TEST(second.response.body == "ran a");
}

struct CopyRow {
    const char* name;
    std::string before; ///< Sent right after the refusal, while the connection is idle.
    std::string first; ///< Sent before the answer to the next request.
    std::string last; ///< Sent after it.
};

BOOST_AUTO_TEST_CASE(aSecondCopyOfARefusalNeverReachesAnotherRequest)
{
    const auto copy = answerTo("a", 503, "full");
    const std::vector<CopyRow> rows { { "before the next request is sent", copy, "", "" }, { "while it is sent", "", copy, "" },
        { "after it is answered", "", "", copy } };
    for (const auto& row : rows) {
        BOOST_TEST_CONTEXT(row.name)
        {
            const RawServer server(freeAddress(), [&row](const RawConnection& connection, std::size_t number) {
                for (std::size_t n = 0;; ++n) {
                    const auto request = connection.readAnswer(answerBound);
                    if (request.empty()) {
                        return;
                    }
                    const auto at = request.find("X-Name: ") + std::string_view("X-Name: ").size();
                    const auto name = request.substr(at, request.find("\r\n", at) - at);
                    const auto isRefused = number == 0 && n == 0;
                    (void)connection.send(isRefused ? answerTo("a", 503, "full") + row.before : row.first + answerTo(name, 200, "ran " + name) + row.last);
                }
            });
            Client client(server);
            BOOST_TEST((client.ask("a").refusal.verdict == pw::Verdict::NotRun));
            for (const char* it : { "b", "c", "d" }) {
                const auto result = client.ask(it);
                BOOST_TEST((result.refusal.verdict == pw::Verdict::Ran));
                BOOST_TEST(result.response.body == "ran " + std::string(it));
            }
        }
    }
}

/// An answer ends within its head, by close or by reset. What follows the head, if anything, does not come.
BOOST_AUTO_TEST_CASE(anAnswerThatEndsInItsHeadIsNeverComplete)
{
    const std::vector<std::string> heads { "HTTP/1.1 200 OK\r\nX-Name: a\r\nContent-Length: 0\r\n\r\n", "HTTP/1.1 200 OK\r\nX-Name: a\r\n\r\n",
        "HTTP/1.1 200 OK\r\nX-Name: a\r\nConnection: close\r\n\r\n", "HTTP/1.0 200 OK\r\nX-Name: a\r\n\r\n",
        "HTTP/1.1 200 OK\r\nX-Name: a\r\nTransfer-Encoding: chunked\r\n\r\n", "HTTP/1.1 503 X\r\nX-Name: a\r\nContent-Length: 0\r\n\r\n" };
    std::atomic<std::size_t> cut = 0;
    std::atomic<std::size_t> chosen = 0;
    std::atomic<bool> resets = false;
    const RawServer server(freeAddress(), [&](const RawConnection& connection, std::size_t) {
        (void)connection.readAnswer(answerBound);
        (void)connection.send(heads.at(chosen).substr(0, cut));
        if (resets) {
            connection.resetOnClose();
        }
    });
    Client client(server);
    for (chosen = 0; chosen < heads.size(); ++chosen) {
        for (cut = 0; cut < heads.at(chosen).size(); ++cut) {
            for (const auto reset : { false, true }) {
                resets = reset;
                const auto result = client.ask("a");
                BOOST_TEST((result.refusal.verdict == pw::Verdict::MayHaveRun), heads.at(chosen).substr(0, cut) << (reset ? " (reset)" : " (closed)"));
            }
        }
    }
}

struct EarlyEndRow {
    const char* name;
    bool finishes; ///< The server closes its sending side before the connection is reset.
    milliseconds silence; ///< Between the end of the answer and the reset.
    bool isComplete;
};

/// Guards against an answer without a length that a reset cuts off while a part of the request is unsent, and that looks whole.
BOOST_AUTO_TEST_CASE(anAnswerWithoutALengthThatIsResetDuringTheRequestIsNotComplete)
{
    const std::vector<EarlyEndRow> rows { { "reset at once", false, milliseconds(0), false }, { "reset later", false, milliseconds(200), false },
        { "closed, then reset", true, milliseconds(200), true } };
    for (const auto& row : rows) {
        BOOST_TEST_CONTEXT(row.name)
        {
            const RawServer server(freeAddress(), [&row](const RawConnection& connection, std::size_t) {
                (void)connection.send("HTTP/1.1 200 OK\r\nX-Name: a\r\nConnection: close\r\n\r\na part of the answer");
                if (row.finishes) {
                    connection.finishSending();
                } else {
                    connection.resetOnClose();
                }
                std::this_thread::sleep_for(row.silence);
            });
            Client client(server);
            auto request = named("a");
            request.body = std::string(unsentBytes, 'a');
            const auto result = client.ask(std::move(request));
            BOOST_TEST((result.refusal.verdict == (row.isComplete ? pw::Verdict::Ran : pw::Verdict::MayHaveRun)));
            BOOST_TEST((result.refusal.reason == (row.isComplete ? pw::Reason::None : pw::Reason::BackendFailed)));
        }
    }
}

/// Guards against reuse of a connection that failed while a part of the request was unsent.
BOOST_AUTO_TEST_CASE(aConnectionThatIsResetDuringTheRequestIsNotUsedAgain)
{
    const RawServer server(freeAddress(), [](const RawConnection& connection, std::size_t number) {
        if (number > 0) {
            (void)connection.readAnswer(answerBound);
        }
        (void)connection.send(answerTo(number == 0 ? "a" : "b", 200, "whole"));
        connection.resetOnClose();
    });
    Client client(server);
    auto request = named("a");
    request.body = std::string(unsentBytes, 'a');
    (void)client.ask(std::move(request));
    BOOST_TEST((client.ask("b").refusal.verdict == pw::Verdict::Ran));
}

BOOST_AUTO_TEST_CASE(aLateSecondCopyIsNotTheAnswerToTheNextRequest)
{
    const RawServer server(freeAddress(), [](const RawConnection& connection, std::size_t) {
        std::string last;
        for (auto request = connection.readAnswer(answerBound); !request.empty(); request = connection.readAnswer(answerBound)) {
            const auto at = request.find("X-Name: ") + std::string_view("X-Name: ").size();
            const auto name = request.substr(at, request.find("\r\n", at) - at);
            (void)connection.send((last.empty() ? "" : answerTo(last, 200, "answer to " + last)) + answerTo(name, 200, "answer to " + name));
            last = name;
        }
    });
    Client client(server);
    for (const char* it : { "a", "b", "c", "d" }) {
        BOOST_TEST(client.ask(it).response.body == "answer to " + std::string(it));
    }
}

BOOST_AUTO_TEST_CASE(aServerThatEndsIsToldFromConnectionsThatBreak)
{
    for (const auto ends : { false, true }) {
        const auto address = freeAddress();
        Client client(address);
        client.client.setDetectCrashes(true);
        std::vector<std::shared_ptr<pw::HttpExchange>> pending;
        auto server = std::make_unique<pw::HttpServer>(client.loop.streams, client.loop.timers,
            [&pending](std::shared_ptr<pw::HttpExchange> exchange) { pending.push_back(std::move(exchange)); });
        std::string reason;
        BOOST_REQUIRE(server->init(address, reason));
        std::vector<pw::BackendResult> results;
        for (const char* it : { "a", "b", "c" }) {
            client.client.start(named(it), exchangeTimeout, true, [&results](pw::BackendResult result) { results.push_back(std::move(result)); });
        }
        client.loop.runUntil([&pending] { return pending.size() == 3; });
        server.reset(); // Closes the listener and all connections.
        auto next = std::make_unique<pw::HttpServer>(client.loop.streams, client.loop.timers, [](const std::shared_ptr<pw::HttpExchange>&) {});
        BOOST_REQUIRE(ends || next->init(address, reason));
        client.loop.runUntil([&results] { return results.size() == 3; });
        BOOST_TEST(results.size() == 3U);
        for (const auto& it : results) {
            BOOST_TEST((it.refusal.verdict == pw::Verdict::MayHaveRun));
            BOOST_TEST((it.refusal.reason == (ends ? pw::Reason::BackendCrashed : pw::Reason::BackendFailed)));
        }
    }
}

/// Guards against a caller that waits for its deadline, or gets an answer that is none, because the status of its answer is odd.
BOOST_DATA_TEST_CASE(anAnswerWithoutAFinalStatusIsAFailureAtOnce, boost::unit_test::data::make({ 0, 1, 99, 101, 103, 600, 999 }), status)
{
    const RawServer server(freeAddress(), [status](const RawConnection& connection, std::size_t) {
        (void)connection.readAnswer(answerBound);
        auto answer = answerTo("a", 100 + status, "body");
        answer.replace(answer.find(std::to_string(100 + status)), 3, std::to_string(1000 + status).substr(1));
        (void)connection.send(answer);
        bool closed = false;
        (void)connection.readAll(answerBound, closed);
    });
    Client client(server);
    const auto result = client.ask("a");
    BOOST_TEST((result.refusal.verdict == pw::Verdict::MayHaveRun));
    BOOST_TEST((result.refusal.reason == pw::Reason::BackendFailed));
    BOOST_TEST(result.detail == "answer cannot be read");
}

BOOST_AUTO_TEST_CASE(interimAnswersWithoutEndAreAFailure)
{
    const RawServer server(freeAddress(), [](const RawConnection& connection, std::size_t) {
        (void)connection.readAnswer(answerBound);
        while (connection.send("HTTP/1.1 100 Continue\r\n\r\n")) { }
    });
    Client client(server);
    const auto result = client.ask("a");
    BOOST_TEST((result.refusal.verdict == pw::Verdict::MayHaveRun));
    BOOST_TEST(result.detail == "too many interim answers");
}

BOOST_AUTO_TEST_CASE(connectionsThatWaitAreServedWhenListeningStops)
{
    Loop loop;
    pw::HttpServer server(loop.streams, loop.timers, [](const std::shared_ptr<pw::HttpExchange>& exchange) { exchange->reply({ 200, {}, "ok" }); });
    const auto address = freeAddress();
    std::string reason;
    BOOST_REQUIRE(server.init(address, reason));
    server.pauseListening(true);
    const RawConnection first(address);
    const RawConnection second(address);
    for (const auto* it : { &first, &second }) {
        (void)it->send("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
    }
    server.stopListening();
    loop.run(loopTime);
    for (const auto* it : { &first, &second }) {
        BOOST_TEST(statusIn(it->readAnswer(loopTime)) == 200);
    }
}

BOOST_AUTO_TEST_CASE(aRequestInPartAndAnAnswerNotTakenAreUnfinished)
{
    Loop loop;
    constexpr std::size_t answerBytes = 16 * 1024 * 1024;
    pw::HttpServer server(loop.streams, loop.timers,
        [](const std::shared_ptr<pw::HttpExchange>& exchange) { exchange->reply({ 200, {}, std::string(answerBytes, 'a') }); });
    const auto address = freeAddress();
    std::string reason;
    BOOST_REQUIRE(server.init(address, reason));
    const RawConnection connection(address);
    loop.run(loopTime);
    BOOST_TEST(server.unfinished() == 0U);
    (void)connection.send("GET / HTTP/1.1\r\nHo");
    loop.run(loopTime);
    BOOST_TEST(server.unfinished() == 1U);
    (void)connection.send("st: x\r\n\r\n");
    loop.run(loopTime);
    BOOST_TEST(server.pending() == 0U);
    BOOST_TEST(server.unfinished() == 1U);
    std::atomic<std::size_t> taken = 0;
    std::thread reader([&] { taken = connection.readAnswer(answerBound).size(); });
    loop.runUntil([&server] { return server.unfinished() == 0; });
    BOOST_TEST(server.unfinished() == 0U);
    reader.join();
    BOOST_TEST(taken > answerBytes);
}

struct SlowReaderRow {
    const char* name;
    const char* connection; ///< Connection header of the request.
    bool leaves; ///< The server leaves while the answer is being read.
};

/// Guards against an answer that is cut off while its caller is still reading it without a pause.
BOOST_AUTO_TEST_CASE(anAnswerThatIsReadSlowlyIsNotCutOff)
{
    constexpr std::size_t answerBytes = 48 * 1024 * 1024;
    constexpr std::size_t bytesPerSecond = answerBytes / 4;
    const std::vector<SlowReaderRow> rows { { "last answer of a leaving server", "keep-alive", true },
        { "last answer of a connection", "close", false }, { "answer on a kept connection", "keep-alive", false } };
    for (const auto& row : rows) {
        BOOST_TEST_CONTEXT(row.name)
        {
            Loop loop;
            pw::HttpServer server(loop.streams, loop.timers,
                [&](const std::shared_ptr<pw::HttpExchange>& exchange) { exchange->reply({ 200, {}, std::string(answerBytes, 'a') }); });
            server.setLimits({ { pw::config::maxHeaderBytes, pw::config::maxBodyBytes }, exchangeTimeout, exchangeTimeout });
            const auto address = freeAddress();
            std::string reason;
            BOOST_REQUIRE(server.init(address, reason));
            const RawConnection connection(address);
            (void)connection.send(std::string("GET / HTTP/1.1\r\nHost: x\r\nConnection: ") + row.connection + "\r\n\r\n");
            std::atomic<std::size_t> taken = 0;
            std::atomic<bool> ended = false;
            std::thread reader([&] {
                taken = connection.readPaced(bytesPerSecond, exchangeTimeout);
                ended = true;
            });
            if (row.leaves) {
                loop.run(loopTime);
                server.leave();
            }
            for (int n = 0; n < 100 && !ended; ++n) {
                loop.run(milliseconds(100));
            }
            reader.join();
            BOOST_TEST(taken > answerBytes);
        }
    }
}

/// Guards against an answer that is cut off because its caller, whose system goes on acknowledging, reads nothing for seconds.
BOOST_DATA_TEST_CASE(anAnswerIsKeptForACallerThatPauses, boost::unit_test::data::make({ "keep-alive", "close" }), connectionHeader)
{
    Loop loop;
    pw::HttpServer server(loop.streams, loop.timers,
        [](const std::shared_ptr<pw::HttpExchange>& exchange) { exchange->reply({ 200, {}, std::string(unsentBytes, 'a') }); });
    const auto address = freeAddress();
    std::string reason;
    BOOST_REQUIRE(server.init(address, reason));
    const RawConnection connection(address);
    (void)connection.send(std::string("GET / HTTP/1.1\r\nHost: x\r\nConnection: ") + connectionHeader + "\r\n\r\n");
    loop.run(pauseOfPeer);
    BOOST_TEST(server.unfinished() == 1U);
    std::atomic<std::size_t> taken = 0;
    std::thread reader([&] { taken = connection.readAnswer(answerBound).size(); });
    loop.runUntil([&] { return server.unfinished() == 0; });
    reader.join();
    BOOST_TEST(taken > unsentBytes);
}

/// Guards against a request that is cut off because its server, whose system goes on acknowledging, reads nothing for seconds.
BOOST_AUTO_TEST_CASE(aRequestIsKeptForAServerThatPauses)
{
    const RawServer server(freeAddress(), [](const RawConnection& connection, std::size_t) {
        std::this_thread::sleep_for(pauseOfPeer);
        if (connection.readAnswer(answerBound).size() > unsentBytes) {
            (void)connection.send(answerTo("a", 200, "whole"));
        }
    });
    Client client(server);
    auto request = named("a");
    request.method = "POST";
    request.body = std::string(unsentBytes, 'a');
    std::optional<pw::BackendResult> result;
    client.client.start(std::move(request), pauseOfPeer + answerBound, false, [&result](pw::BackendResult it) { result = std::move(it); });
    client.loop.run(pauseOfPeer);
    client.loop.runUntil([&result] { return result.has_value(); });
    BOOST_REQUIRE(result.has_value());
    BOOST_TEST((result->refusal.verdict == pw::Verdict::Ran), result->detail);
    BOOST_TEST(result->response.body == "whole");
}

/// Guards against a connection that is kept for good for a caller that has stopped reading.
BOOST_AUTO_TEST_CASE(anAnswerThatIsNoLongerReadIsCutOffAfterTheIdleTimeout)
{
    Loop loop;
    pw::HttpServer server(loop.streams, loop.timers,
        [](const std::shared_ptr<pw::HttpExchange>& exchange) { exchange->reply({ 200, {}, std::string(unsentBytes, 'a') }); });
    server.setLimits({ { pw::config::maxHeaderBytes, pw::config::maxBodyBytes }, exchangeTimeout, exchangeTimeout });
    const auto address = freeAddress();
    std::string reason;
    BOOST_REQUIRE(server.init(address, reason));
    const RawConnection connection(address);
    (void)connection.send("GET / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
    loop.run(loopTime);
    BOOST_TEST(server.unfinished() == 1U);
    loop.runUntil([&server] { return server.unfinished() == 0; });
    BOOST_TEST(server.unfinished() == 0U);
}

BOOST_AUTO_TEST_CASE(aCallerThatAlwaysHasARequestOnItsWayDoesNotKeepItsConnectionThroughAStop)
{
    Loop loop;
    std::vector<std::shared_ptr<pw::HttpExchange>> pending;
    std::size_t taken = 0;
    pw::HttpServer server(loop.streams, loop.timers, [&](std::shared_ptr<pw::HttpExchange> exchange) {
        ++taken;
        pending.push_back(std::move(exchange));
    });
    const auto address = freeAddress();
    std::string reason;
    BOOST_REQUIRE(server.init(address, reason));
    const RawConnection connection(address);
    const auto sendNext = [&connection] { (void)connection.send("GET / HTTP/1.1\r\nHost: x\r\n\r\n"); };
    sendNext();
    sendNext();
    loop.runUntil([&taken] { return taken == 2; });
    server.leave();
    for (int n = 0; n < 40 && server.pending() > 0; ++n) {
        sendNext();
        loop.run(milliseconds(10));
        for (const auto& it : std::exchange(pending, {})) {
            it->reply({ 200, {}, "ok" });
        }
    }
    loop.run(milliseconds(10));
    BOOST_TEST(taken == 2U);
    BOOST_TEST(server.pending() == 0U);
    auto closed = false;
    const auto received = connection.readAll(milliseconds(100), closed);
    const auto closing = received.find("Connection: close");
    BOOST_REQUIRE(closing != std::string::npos);
    BOOST_TEST(received.find("HTTP/1.1", closing) == std::string::npos);
    BOOST_TEST(closed);
}

BOOST_AUTO_TEST_CASE(aRequestThatStopsComingIsEndedInItsTime)
{
    Loop loop;
    pw::HttpServer server(loop.streams, loop.timers, [](const std::shared_ptr<pw::HttpExchange>&) {});
    server.setLimits({ { pw::config::maxHeaderBytes, pw::config::maxBodyBytes }, answerBound, answerBound, pw::config::maxCallerConnections, loopTime });
    const auto address = freeAddress();
    std::string reason;
    BOOST_REQUIRE(server.init(address, reason));
    const RawConnection connection(address);
    (void)connection.send("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 1000\r\n\r\n");
    bool ended = false;
    for (int n = 0; n < 40 && !ended; ++n) {
        (void)connection.send("a");
        loop.run(milliseconds(25));
        ended = statusIn(connection.readAnswer(milliseconds(10))) != 0;
    }
    BOOST_TEST(ended);
}

BOOST_AUTO_TEST_CASE(aRequestInPartIsServedThroughAPlannedStop)
{
    Mesh mesh;
    const RawConnection connection(mesh.entry.spec().caller);
    const std::string head = "POST /order?marker=part HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n" + std::string(http::keyHeader) + ": " + mesh.key.key + "\r\n\r\n";
    (void)connection.send(head + "ab");
    std::atomic<bool> stopped = false;
    std::thread stopping([&] { stopped = mesh.entry.stop(stopBound).has_value(); });
    std::this_thread::sleep_for(pauseOfCaller);
    (void)connection.send("cd");
    BOOST_TEST(statusIn(connection.readAnswer(answerBound)) == 200);
    stopping.join();
    BOOST_TEST(stopped);
}

BOOST_AUTO_TEST_SUITE_END()
