#include "adapters/operator_proof.h"
#include "core/json_writer.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

namespace {

namespace data = boost::unit_test::data;
using namespace std::chrono_literals;

const std::string secret = "0123456789abcdef";
const pw::ProvenRequest request { "POST", "/v1/keys?id=a", "body" };
const pw::TimePoint start { 1000s };

/// A way to tamper with an authenticated request.
struct Row {
    std::string name;
    pw::ProvenRequest sent;
    std::string provenWith;
    std::chrono::seconds age;
    bool accepted;
};

std::ostream& operator<<(std::ostream& out, const Row& row)
{
    return out << row.name;
}

const std::vector<Row> rows {
    { "untouched", request, secret, 0s, true },
    { "rotated secret", request, "fedcba9876543210", 0s, true },
    { "just in time", request, secret, 30s, true },
    { "too old", request, secret, 31s, false },
    { "wrong secret", request, "0123456789abcdeX", 0s, false },
    { "empty secret", request, "", 0s, false },
    { "other method", { "GET", request.target, request.body }, secret, 0s, false },
    { "other target", { request.method, "/v1/keys?id=b", request.body }, secret, 0s, false },
    { "other body", { request.method, request.target, "bodY" }, secret, 0s, false },
};

} // namespace

BOOST_AUTO_TEST_SUITE(OperatorProofs)

BOOST_DATA_TEST_CASE(onlyTheProvenRequestIsAccepted, data::make(rows), row)
{
    pw::OperatorAuth auth({ secret, "fedcba9876543210" });
    const auto proof = pw::proveRequest(row.provenWith, auth.challenge(start), request);
    std::string reason;
    BOOST_TEST(auth.check(proof, row.sent, start + row.age, reason).has_value() == row.accepted, reason);
}

BOOST_AUTO_TEST_CASE(proofServesOnce)
{
    pw::OperatorAuth auth({ secret });
    const auto proof = pw::proveRequest(secret, auth.challenge(start), request);
    std::string reason;
    BOOST_TEST(auth.check(proof, request, start, reason).has_value());
    BOOST_TEST(!auth.check(proof, request, start + 1s, reason).has_value());
    BOOST_TEST(reason == "the challenge was used before");
}

BOOST_AUTO_TEST_CASE(challengeOfAnotherProcessIsRefused)
{
    pw::OperatorAuth auth({ secret });
    const pw::OperatorAuth other({ secret });
    std::string reason;
    BOOST_TEST(!auth.check(pw::proveRequest(secret, other.challenge(start), request), request, start, reason).has_value());
}

const std::vector<std::string> malformedProofs { "", " ", "x", "1.2.3 4", ". .", std::string(10'000, '.') };

BOOST_DATA_TEST_CASE(malformedProofIsRefused, data::make(malformedProofs), proof)
{
    pw::OperatorAuth auth({ secret });
    std::string reason;
    BOOST_TEST(!auth.check(proof, request, start, reason).has_value());
}

BOOST_AUTO_TEST_CASE(answerProofCoversStatusBodyAndChallenge)
{
    const auto proof = pw::proveAnswer(secret, "challenge", 200, "body");
    BOOST_TEST(pw::isAnswerProof(proof, secret, "challenge", 200, "body"));
    BOOST_TEST(!pw::isAnswerProof(proof, secret, "challenge", 409, "body"));
    BOOST_TEST(!pw::isAnswerProof(proof, secret, "challenge", 200, "other"));
    BOOST_TEST(!pw::isAnswerProof(proof, secret, "another", 200, "body"));
    BOOST_TEST(!pw::isAnswerProof("", secret, "challenge", 200, "body"));
}

BOOST_AUTO_TEST_CASE(jsonIsWellFormedWhateverTheText)
{
    pw::JsonWriter json;
    json.object().field("a", "x\"\\\n\x01").field("b", "\xc5\xb5 \xff\xc5").field("n", 3).field("d", 0.5).field("t", true);
    json.array("list").item("1").item("2").endArray().array("empty").endArray().object("o").endObject().endObject();
    BOOST_TEST(json.text()
        == "{\"a\":\"x\\\"\\\\\\u000a\\u0001\",\"b\":\"\xc5\xb5 ??\",\"n\":3,\"d\":0.5,\"t\":true,"
           "\"list\":[\"1\",\"2\"],\"empty\":[],\"o\":{}}");
}

BOOST_AUTO_TEST_SUITE_END()
