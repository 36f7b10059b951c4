#include "support/fleet.h"
#include "support/mesh.h"

#include "adapters/operator_proof.h"

#include <boost/test/unit_test.hpp>

#include <functional>

using namespace pw::test;
using pw::support::HttpRequest;
using pw::support::HttpResult;

namespace {

constexpr milliseconds replyTimeout { 5000 };
const std::string secret = "operator-secret-of-the-process-tests";

HttpResult send(const std::string& address, const HttpRequest& request)
{
    return pw::support::fetch(*pw::support::parseAddress(address), request, replyTimeout);
}

/// Sends \p request with a proof made with \p signingSecret over a new challenge.
HttpResult sendAuthenticated(const std::string& address, HttpRequest request, const std::string& signingSecret)
{
    const auto challenge = send(address, { "GET", "/v1/challenge", {}, "" }).body;
    request.headers.emplace_back(pw::header::operatorProof,
        pw::proveRequest(signingSecret, challenge, { request.method, request.target, request.body }));
    return send(address, request);
}

/// A fleet of one control daemon and one daemon with only the entry role.
struct SmallFleet {
    SmallFleet()
        : fleet({ .controls = 1, .proxied = false })
        , entry(fleet.addEntry())
    {
        fleet.configure(meshConfiguration);
    }

    const std::string& control() { return fleet.controls().front().spec().operators; }

    Fleet fleet;
    Daemon& entry;
};

} // namespace

BOOST_AUTO_TEST_SUITE(OperatorPort)

BOOST_AUTO_TEST_CASE(onlyProvenRequestsAreServed)
{
    SmallFleet small;
    BOOST_TEST(send(small.control(), { "GET", "/metrics", {}, "" }).body.find("pistachiowheel_configuration_version 1\n")
        != std::string::npos);
    BOOST_TEST(send(small.control(), { "GET", "/v1/status", {}, "" }).status == 401);
    BOOST_TEST(sendAuthenticated(small.control(), { "GET", "/v1/status", {}, "" }, "not-the-secret-of-operators").status == 401);
    const auto good = sendAuthenticated(small.control(), { "GET", "/v1/status", {}, "" }, secret);
    BOOST_TEST(good.status == 200);
    BOOST_TEST(!good.header(std::string(pw::header::answerProof)).empty());
}

BOOST_AUTO_TEST_CASE(copiedRequestDoesNotWorkTwice)
{
    SmallFleet small;
    const auto challenge = send(small.control(), { "GET", "/v1/challenge", {}, "" }).body;
    HttpRequest request { "GET", "/v1/keys", {}, "" };
    request.headers.emplace_back(pw::header::operatorProof, pw::proveRequest(secret, challenge, { "GET", "/v1/keys", "" }));
    BOOST_TEST(send(small.control(), request).status == 200);
    BOOST_TEST(send(small.control(), request).status == 401);
}

BOOST_AUTO_TEST_CASE(malformedRequestsAreExplainedAndTheDaemonGoesOn)
{
    SmallFleet small;
    const auto status = [&](const HttpRequest& request) { return sendAuthenticated(small.control(), request, secret).status; };
    BOOST_TEST(status({ "GET", "/v1/nothing", {}, "" }) == 404);
    BOOST_TEST(status({ "POST", "/v1/configuration?change=c", {}, "services: []" }) == 400);
    BOOST_TEST(status({ "POST", "/v1/configuration?base=1&change=%2F", {}, "services: []" }) == 400);
    BOOST_TEST(status({ "POST", "/v1/configuration?base=1&change=c", {}, "services: [" }) == 422);
    BOOST_TEST(status({ "POST", "/v1/keys?change=c&id=k&workspace=w&digest=00", {}, "" }) == 400);
    BOOST_TEST(status({ "POST", "/v1/keys/withdraw?change=c2&id=none", {}, "" }) == 422);
    BOOST_TEST(status({ "GET", "/v1/in-force?index=-1", {}, "" }) == 400);
    BOOST_TEST(status({ "POST", "/v1/drain", {}, "" }) == 422);
    BOOST_TEST(sendAuthenticated(small.entry.spec().operators, { "GET", "/v1/keys", {}, "" }, secret).status == 421);
    BOOST_TEST(status({ "GET", "/v1/status", {}, "" }) == 200);
}

BOOST_AUTO_TEST_CASE(exitCodesTellOutcomesApart)
{
    SmallFleet small;
    const auto& operators = small.fleet.operators();
    const std::string text = "workspaces:\n  - { name: w }\n";
    BOOST_TEST(operators.submitWithBase(text, 0, "late").status == 3);
    BOOST_TEST(operators.submitWithBase(text, 1, "next").status == 0);
    BOOST_TEST(operators.submitWithBase(text, 1, "next").status == 0);
    BOOST_TEST(operators.submitWithBase(text + "  - { name: v }\n", 1, "next").status == 1);
    BOOST_TEST(operators.version() == 2U);
    BOOST_TEST(operators.run({ "key", "withdraw", "none" }).status == 1);
    BOOST_TEST(operators.run({ "config", "destroy" }).status == 2);
    small.fleet.controls().front().crash();
    BOOST_TEST(operators.run({ "key", "withdraw", "none", "--timeout", "1" }).status == 5);
}

BOOST_AUTO_TEST_SUITE_END()
