#include "support/http_names.h"
#include "support/mesh.h"
#include "support/raw_http.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <vector>

using namespace pw::test;
namespace http = pw::support::http;

namespace {

constexpr milliseconds answerBound { 3000 };

/// A request that must be refused, and the statuses that tell so. Zero: the connection is closed without an answer.
struct BadRequest {
    const char* what;
    std::string text;
    std::vector<int> statuses;
};

std::string get(const std::string& target, const std::string& headers)
{
    return "GET " + target + " HTTP/1.1\r\nHost: x\r\n" + headers + "\r\n";
}

std::vector<BadRequest> badRequests(const std::string& key)
{
    const std::string keyLine = std::string(http::keyHeader) + ": " + key + "\r\n";
    const std::string post = "POST /order?marker=bad HTTP/1.1\r\nHost: x\r\n" + keyLine;
    return {
        { "both lengths", post + "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", { 400 } },
        { "two different lengths", post + "Content-Length: 4\r\nContent-Length: 5\r\n\r\nabcde", { 400 } },
        { "negative length", post + "Content-Length: -1\r\n\r\n", { 400 } },
        { "length that is no number", post + "Content-Length: four\r\n\r\nabcd", { 400 } },
        { "unknown transfer coding", post + "Transfer-Encoding: gzip\r\n\r\nabcd", { 400, 501 } },
        { "bad chunk size", post + "Transfer-Encoding: chunked\r\n\r\nzz\r\nabcd\r\n0\r\n\r\n", { 400 } },
        { "oversized header", get("/tides?marker=bad", keyLine + "X-Large: " + std::string(64 * 1024, 'a') + "\r\n"), { 400, 413, 431 } },
        { "many headers",
            get("/tides?marker=bad",
                [&] {
                    std::string lines = keyLine;
                    for (int n = 0; n < 4000; ++n) {
                        lines += "X-" + std::to_string(n) + ": value\r\n";
                    }
                    return lines;
                }()),
            { 400, 413, 431 } },
        { "oversized body", post + "Content-Length: 104857600\r\n\r\n", { 413 } },
        { "space before the colon", get("/tides?marker=bad", std::string(http::keyHeader) + " : " + key + "\r\n"), { 400, 401 } },
        { "header without a colon", get("/tides?marker=bad", keyLine + "nonsense\r\n"), { 400 } },
        { "key in the query", get("/tides?marker=bad&key=" + key, ""), { 400, 401 } },
        { "key in the query beside the header", get("/tides?marker=bad&key=" + key, keyLine), { 400 } },
        { "key in another header", get("/tides?marker=bad", keyLine + "Authorization: Bearer " + key + "\r\n"), { 400 } },
        { "key twice", get("/tides?marker=bad", keyLine + keyLine), { 400, 401 } },
        { "context token of a caller", get("/tides?marker=bad", keyLine + std::string(http::contextHeader) + ": abc\r\n"), { 400, 403 } },
        { "deadline that is no number", get("/tides?marker=bad", keyLine + std::string(http::deadlineHeader) + ": soon\r\n"), { 400 } },
        { "impossible deadline", get("/tides?marker=bad", keyLine + std::string(http::deadlineHeader) + ": -5\r\n"), { 400 } },
        { "request id too long",
            "POST /order?marker=bad HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n" + keyLine + http::requestIdHeader + ": " + std::string(1000, 'i') + "\r\n\r\n", { 400 } },
        { "no HTTP at all", std::string("\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03\r\n\r\n", 15), { 400, 0 } },
        { "unknown method", "BREW /tides?marker=bad HTTP/1.1\r\nHost: x\r\n" + keyLine + "\r\n", { 400, 404, 405, 501 } },
        { "unknown version", "GET /tides?marker=bad HTTP/9.9\r\nHost: x\r\n" + keyLine + "\r\n", { 400, 505, 0 } },
        { "line feed in the target", "GET /tides?marker=bad\nX-Evil: 1 HTTP/1.1\r\nHost: x\r\n" + keyLine + "\r\n", { 400, 0 } },
    };
}

} // namespace

BOOST_AUTO_TEST_SUITE(MalformedInput)

BOOST_AUTO_TEST_CASE(eachIsRefusedClearlyAndTheDaemonGoesOn)
{
    Mesh mesh;
    const std::string& caller = mesh.entry.spec().caller;
    for (const auto& it : badRequests(mesh.key.key)) {
        const RawConnection connection(caller);
        (void)connection.send(it.text);
        const std::string answer = connection.readAnswer(answerBound);
        BOOST_TEST((std::ranges::find(it.statuses, statusIn(answer)) != it.statuses.end()), it.what << ": answered " << answer.substr(0, 200));
        BOOST_TEST(mesh.fleet.get(mesh.entry, "/tides?marker=after", mesh.key.key).status == 200, it.what << ": the daemon does not go on");
    }
    for (const Standin* it : mesh.fleet.standins()) {
        BOOST_TEST(it->runs("bad") == 0U);
        BOOST_TEST(it->bytes().find(mesh.key.key) == std::string::npos);
    }
}

BOOST_AUTO_TEST_CASE(hopByHopAndOwnHeadersAreNotForwarded)
{
    Mesh mesh;
    const RawConnection connection(mesh.entry.spec().caller);
    (void)connection.send("GET /tides?marker=hop HTTP/1.1\r\nHost: x\r\nConnection: keep-alive, X-Private\r\nX-Private: private-value\r\n"
                          "TE: trailers-value\r\nProxy-Authorization: proxy-value\r\nX-Public: public-value\r\nPistachio-Workspace: menai-value\r\n"
        + std::string(http::keyHeader) + ": " + mesh.key.key + "\r\n\r\n");
    BOOST_TEST(statusIn(connection.readAnswer(answerBound)) == 200);
    std::string bytes;
    for (const Server* it : mesh.tides) {
        bytes += it->standin.bytes();
    }
    BOOST_TEST(bytes.find("public-value") != std::string::npos);
    for (const char* it : { "private-value", "trailers-value", "proxy-value", "menai-value" }) {
        BOOST_TEST(bytes.find(it) == std::string::npos, it << " was forwarded");
    }
}

BOOST_AUTO_TEST_CASE(aPipelinedSecondRequestGetsItsOwnAnswer)
{
    Mesh mesh;
    const std::string keyLine = std::string(http::keyHeader) + ": " + mesh.key.key + "\r\n";
    const RawConnection connection(mesh.entry.spec().caller);
    (void)connection.send(get("/tides?marker=first", keyLine) + get("/tides?marker=second", keyLine + "Connection: close\r\n"));
    bool closed = false;
    const std::string answers = connection.readAll(answerBound, closed);
    const auto first = answers.find("marker=first\n");
    const auto second = answers.find("marker=second\n");
    BOOST_TEST(first != std::string::npos);
    BOOST_TEST(second != std::string::npos);
    BOOST_TEST(first < second);
}

BOOST_AUTO_TEST_CASE(slowHeadersDoNotHoldAConnectionForEver)
{
    Mesh mesh;
    const RawConnection connection(mesh.entry.spec().caller);
    (void)connection.send("GET /tides?marker=slow HTTP/1.1\r\nHost: x\r\nX-Slow: ");
    // A byte now and then must not keep the connection open past the time a caller has for a whole request.
    const bool ended = eventually(std::chrono::seconds(35), [&] {
        bool closed = false;
        (void)connection.readAll(milliseconds(200), closed);
        return closed || !connection.send("a");
    });
    BOOST_TEST(ended);
    BOOST_TEST(mesh.fleet.get(mesh.entry, "/tides?marker=after", mesh.key.key).status == 200);
}

BOOST_AUTO_TEST_SUITE_END()
