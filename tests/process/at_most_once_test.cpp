#include "support/http_names.h"
#include "support/loop.h"
#include "support/mesh.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <csignal>
#include <memory>
#include <numeric>
#include <vector>

using namespace pw::test;
namespace http = pw::support::http;
using pw::support::HttpClient;
using pw::support::HttpRequest;
using pw::support::HttpResult;

namespace {

constexpr milliseconds requestTimeout { 4000 };

std::size_t orderRuns(const Mesh& mesh, const std::string& marker)
{
    return std::accumulate(mesh.orders.begin(), mesh.orders.end(), std::size_t(0),
        [&](std::size_t sum, const Server* it) { return sum + it->standin.runs(marker); });
}

HttpRequest order(const Mesh& mesh, const std::string& marker)
{
    HttpRequest request;
    request.method = "POST";
    request.target = "/order?marker=" + marker;
    request.headers = { { http::keyHeader, mesh.key.key }, { http::requestIdHeader, "id-" + marker } };
    return request;
}

/// Sends the same request to several daemons concurrently. \returns the results in the order of \p daemons.
std::vector<HttpResult> sendConcurrently(const std::vector<const Daemon*>& daemons, const HttpRequest& request)
{
    const auto base = pw::support::makeBase();
    std::vector<HttpResult> results(daemons.size());
    std::vector<std::unique_ptr<HttpClient>> clients;
    std::size_t ended = 0;
    for (std::size_t n = 0; n < daemons.size(); ++n) {
        clients.push_back(std::make_unique<HttpClient>(base.get(), *pw::support::parseAddress(daemons[n]->spec().caller)));
        clients.back()->send(request, requestTimeout, [&, n](const HttpResult& result) {
            results[n] = result;
            if (++ended == daemons.size()) {
                event_base_loopexit(base.get(), nullptr);
            }
        });
    }
    event_base_dispatch(base.get());
    clients.clear();
    event_base_loop(base.get(), EVLOOP_NONBLOCK);
    return results;
}

/// Checks the answer to a request that was sent again: it repeats the first answer, or does not claim that the request has not
/// run.
void checkRepeatedAnswer(const HttpResult& result, const std::string& marker)
{
    if (result.status == 200) {
        BOOST_TEST(result.body.starts_with("marker=" + marker + "\n"));
    } else {
        BOOST_TEST(result.header(http::verdictHeader) != "not-run", result.status << " " << result.header(http::reasonHeader));
    }
}

} // namespace

BOOST_AUTO_TEST_SUITE(AtMostOnce)

BOOST_AUTO_TEST_CASE(theSameIdAtTwoDaemonsAtOnceRunsOnce)
{
    Mesh mesh;
    for (int n = 0; n < 20; ++n) {
        const std::string marker = "twice-" + std::to_string(n) + "x";
        const std::vector<const Daemon*> daemons { &mesh.entry, &mesh.shares.front()->daemon, &mesh.orders.front()->daemon };
        const auto results = sendConcurrently(daemons, order(mesh, marker));
        BOOST_TEST(orderRuns(mesh, marker) == 1U);
        BOOST_TEST(std::ranges::count(results, 200, &HttpResult::status) >= 1);
        for (const auto& it : results) {
            checkRepeatedAnswer(it, marker);
        }
    }
}

BOOST_AUTO_TEST_CASE(aResendAfterTheAnswerGetsTheFirstAnswerAgain)
{
    Mesh mesh;
    const auto first = mesh.fleet.ask(mesh.entry, order(mesh, "again"));
    BOOST_TEST(first.status == 200);
    const auto second = mesh.fleet.ask(mesh.shares.front()->daemon, order(mesh, "again"));
    BOOST_TEST(orderRuns(mesh, "again") == 1U);
    BOOST_TEST(second.status == 200);
    BOOST_TEST(second.body == first.body);
}

BOOST_AUTO_TEST_CASE(aResendAfterATimeOutDoesNotRunAgain)
{
    Mesh mesh;
    for (const Server* it : mesh.orders) {
        it->standin.mode("mode=late&delay-ms=1500");
    }
    const auto first = mesh.fleet.ask(mesh.entry, order(mesh, "late"));
    BOOST_TEST(first.status == 504);
    BOOST_TEST(first.header(http::verdictHeader) == "may-have-run");
    for (const Server* it : mesh.orders) {
        it->standin.mode("mode=normal");
    }
    for (const Daemon* it : { &mesh.entry, &mesh.shares.front()->daemon }) {
        checkRepeatedAnswer(mesh.fleet.ask(*it, order(mesh, "late")), "late");
    }
    BOOST_TEST(orderRuns(mesh, "late") == 1U);
}

BOOST_AUTO_TEST_CASE(aResendAfterTheEntryDaemonCrashedDoesNotRunAgain)
{
    Mesh mesh;
    BOOST_TEST(mesh.fleet.ask(mesh.entry, order(mesh, "restart")).status == 200);
    mesh.entry.crash();
    checkRepeatedAnswer(mesh.fleet.ask(mesh.shares.front()->daemon, order(mesh, "restart")), "restart");
    mesh.entry.start();
    mesh.fleet.waitForRoute(mesh.entry, "/tides?marker=ready", mesh.key.key);
    checkRepeatedAnswer(mesh.fleet.ask(mesh.entry, order(mesh, "restart")), "restart");
    BOOST_TEST(orderRuns(mesh, "restart") == 1U);
}

BOOST_AUTO_TEST_CASE(aServerDaemonThatCrashesWithARunningRequestDoesNotLeadToASecondRun)
{
    Mesh mesh;
    for (const Server* it : mesh.orders) {
        it->standin.mode("mode=late&delay-ms=800");
    }
    const auto base = pw::support::makeBase();
    HttpResult first;
    {
        HttpClient client(base.get(), *pw::support::parseAddress(mesh.entry.spec().caller));
        client.send(order(mesh, "crash"), requestTimeout, [&](const HttpResult& result) {
            first = result;
            event_base_loopexit(base.get(), nullptr);
        });
        // Kills the daemon once its backend server has started the request.
        const pw::support::Ticker poll(base.get(), milliseconds(5), [&] {
            for (Server* it : mesh.orders) {
                if (it->daemon.process().running() && it->standin.runs("crash")) {
                    it->daemon.process().signal(SIGKILL);
                }
            }
        });
        event_base_dispatch(base.get());
    }
    event_base_loop(base.get(), EVLOOP_NONBLOCK);
    BOOST_TEST(first.status != 200);
    BOOST_TEST(first.header(http::verdictHeader) == "may-have-run");
    checkRepeatedAnswer(mesh.fleet.ask(mesh.entry, order(mesh, "crash")), "crash");
    checkRepeatedAnswer(mesh.fleet.ask(mesh.shares.front()->daemon, order(mesh, "crash")), "crash");
    BOOST_TEST(orderRuns(mesh, "crash") == 1U);
}

BOOST_AUTO_TEST_CASE(aRequestRefusedAsNotRunMayBeSentAgain)
{
    Mesh mesh;
    for (const Server* it : mesh.orders) {
        it->standin.mode("mode=refuse");
    }
    const auto refused = mesh.fleet.ask(mesh.entry, order(mesh, "retry"));
    BOOST_TEST(refused.status == 503);
    BOOST_TEST(refused.header(http::verdictHeader) == "not-run");
    for (const Server* it : mesh.orders) {
        it->standin.mode("mode=normal");
    }
    HttpResult result;
    BOOST_TEST(eventually(requestTimeout, [&] {
        result = mesh.fleet.ask(mesh.shares.front()->daemon, order(mesh, "retry"));
        return result.status == 200;
    }),
        result.status << " " << result.header(http::reasonHeader));
    BOOST_TEST(orderRuns(mesh, "retry") == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
