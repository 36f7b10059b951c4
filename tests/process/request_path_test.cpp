#include "invariants.h"

#include "support/http_names.h"
#include "support/mesh.h"

#include <boost/test/unit_test.hpp>

#include <numeric>

using namespace pw::test;
namespace http = pw::support::http;

namespace {

std::size_t runsAt(const std::vector<Server*>& servers, const std::string& marker)
{
    return std::accumulate(servers.begin(), servers.end(), std::size_t(0),
        [&](std::size_t sum, const Server* it) { return sum + it->standin.runs(marker); });
}

} // namespace

BOOST_AUTO_TEST_SUITE(RequestPath)

BOOST_AUTO_TEST_CASE(aRequestAndItsNestedCallsReachTheirServices)
{
    Mesh mesh;
    const auto result = mesh.fleet.get(mesh.entry, "/share?marker=one", mesh.key.key);
    BOOST_TEST(result.status == 200);
    BOOST_TEST(result.header(http::verdictHeader) == "ran");
    BOOST_TEST(result.body.starts_with("marker=one\n"));
    BOOST_TEST(result.body.find("marker=one/0\n") != std::string::npos);
    BOOST_TEST(result.body.find("marker=one/1\n") != std::string::npos);
    BOOST_TEST(runsAt(mesh.shares, "one") == 1U);
    BOOST_TEST(runsAt(mesh.tides, "one/") == 2U);
}

BOOST_AUTO_TEST_CASE(noBackendServerEverSeesTheKey)
{
    Mesh mesh;
    for (int n = 0; n < 20; ++n) {
        const auto marker = "?marker=key-" + std::to_string(n);
        BOOST_TEST(mesh.fleet.get(mesh.entry, "/share" + marker, mesh.key.key).status == 200);
        BOOST_TEST(mesh.fleet.post(mesh.entry, "/order" + marker, mesh.key.key, "id-" + std::to_string(n)).status == 200);
    }
    for (const Standin* it : mesh.fleet.standins()) {
        const std::string bytes = it->bytes();
        BOOST_TEST(bytes.find(mesh.key.key) == std::string::npos);
        BOOST_TEST(bytes.find(http::keyHeader) == std::string::npos);
    }
}

BOOST_AUTO_TEST_CASE(refusalsTellTheReasonAndThatNothingRan)
{
    struct Row {
        const char* what;
        const char* target;
        std::string key;
        int status;
        const char* reason;
    };
    Mesh mesh;
    const IssuedKey withdrawn = mesh.fleet.operators().issueKey(meshWorkspace);
    BOOST_TEST(mesh.fleet.get(mesh.entry, "/tides?marker=before", withdrawn.key).status == 200);
    BOOST_TEST(mesh.fleet.operators().withdrawKey(withdrawn.id).status == 0);
    const Row rows[] = {
        { "no key", "/tides?marker=refused", "", 401, "unknown-key" },
        { "unknown key", "/tides?marker=refused", "pwk_0123456789abcdef0123456789abcdef", 401, "unknown-key" },
        { "withdrawn key", "/tides?marker=refused", withdrawn.key, 401, "unknown-key" },
        { "no route", "/nothing?marker=refused", mesh.key.key, 404, "no-route" },
        { "prefix that ends inside a segment", "/tidesX?marker=refused", mesh.key.key, 404, "no-route" },
        { "nested route", "/rotors?marker=refused", mesh.key.key, 403, "route-not-allowed" },
    };
    for (const Row& it : rows) {
        const auto result = mesh.fleet.get(mesh.entry, it.target, it.key);
        BOOST_TEST(result.status == it.status, it.what << ": status " << result.status);
        BOOST_TEST(result.header(http::verdictHeader) == "not-run", it.what);
        BOOST_TEST(result.header(http::reasonHeader) == it.reason, it.what << ": " << result.header(http::reasonHeader));
    }
    for (const Standin* it : mesh.fleet.standins()) {
        BOOST_TEST(it->runs("refused") == 0U);
    }
}

BOOST_AUTO_TEST_CASE(nestedCallsNeedTheContextTokenOfARunningRequest)
{
    Mesh mesh;
    const auto backendSide = *pw::support::parseAddress(mesh.shares.front()->daemon.spec().backend);
    const std::vector<std::pair<std::string, std::string>> headers[] = {
        {},
        { { http::contextHeader, "forged" } },
        { { http::contextHeader, std::string(64, 'a') } },
        { { http::keyHeader, mesh.key.key } },
    };
    for (const auto& it : headers) {
        pw::support::HttpRequest request;
        request.target = "/tides?marker=forged";
        request.headers = it;
        const auto result = pw::support::fetch(backendSide, request, milliseconds(2000));
        BOOST_TEST(result.status == 403);
        BOOST_TEST(result.header(http::verdictHeader) == "not-run");
        BOOST_TEST(result.header(http::reasonHeader) == "bad-token");
    }
    BOOST_TEST(runsAt(mesh.tides, "forged") == 0U);
}

BOOST_AUTO_TEST_CASE(aBurstIsCountedOverAllDaemons)
{
    // Sends ten times the rate through every daemon at once. The admitted requests must stay within rate x time + burst.
    Mesh mesh;
    const IssuedKey key = mesh.fleet.operators().issueKey("menai");
    std::vector<std::string> targets { mesh.entry.spec().caller };
    for (const Server* it : mesh.shares) {
        targets.push_back(it->daemon.spec().caller);
    }
    const auto started = std::chrono::steady_clock::now();
    LoadRun run(mesh.fleet.folder(), "burst", targets, { "name=menai;path=/tides;rate=200;key=" + key.key }, milliseconds(3000));
    run.finish();
    const auto seconds = std::chrono::duration<double>(std::chrono::steady_clock::now() - started).count();
    const double bound = 20 * seconds + 20;
    BOOST_TEST(static_cast<double>(run.number({ "all", "whole" })) <= bound);
    BOOST_TEST(run.number({ "all", "whole" }) > 0U);
    checkInvariants(run, mesh.fleet.standins());
}

BOOST_AUTO_TEST_SUITE_END()
