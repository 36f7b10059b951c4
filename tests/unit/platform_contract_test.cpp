#include "backend_contract.h"
#include "caller_contract.h"

#include "core/header_rules.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <optional>
#include <ostream>

namespace {

namespace data = boost::unit_test::data;
using namespace std::chrono_literals;

using Headers = std::vector<pw::HeaderLine>;

const pw::platform::CallerContract callers;
const pw::platform::BackendContract backends;

struct AskRow {
    const char* name;
    Headers headers;
    bool readable;
    const char* key; ///< Empty: none.
    std::int64_t patience; ///< In ms; negative if none.
    bool nested;
};

std::ostream& operator<<(std::ostream& out, const AskRow& row)
{
    return out << row.name;
}

const pw::HeaderLine idLine { "Pistachiowheel-Request-Id", "9c41d07be2a35f68" };
const pw::HeaderLine keyLine { "Authorization", "Bearer secret-key" };

const std::vector<AskRow> askRows {
    { "with everything", { idLine, keyLine, { "Pistachiowheel-Deadline-Ms", "6000" } }, true, "secret-key", 6000, false },
    { "a call of a backend server", { idLine }, true, "", -1, true },
    { "case of names and scheme", { { "pistachiowheel-request-id", "a" }, { "authorization", "bearer k" } }, true, "k", -1, false },
    { "another scheme", { idLine, { "Authorization", "Basic eDp5" } }, true, "", -1, false },
    { "two keys", { idLine, keyLine, { "Authorization", "Bearer other" } }, true, "", -1, false },
    { "a scheme without a key", { idLine, { "Authorization", "Bearer " } }, true, "", -1, false },
    { "a deadline that is no number", { idLine, { "Pistachiowheel-Deadline-Ms", "6s" } }, true, "", -1, true },
    { "a negative deadline", { idLine, { "Pistachiowheel-Deadline-Ms", "-5" } }, true, "", -1, true },
    { "no time left", { idLine, { "Pistachiowheel-Deadline-Ms", "0" } }, true, "", 0, true },
    { "longer than any deadline", { idLine, { "Pistachiowheel-Deadline-Ms", "99999999" } }, true, "", 60000, true },
    { "without an id", { keyLine }, false, "", -1, false },
    { "an empty id", { { "Pistachiowheel-Request-Id", "" } }, false, "", -1, false },
    { "two ids", { idLine, idLine }, false, "", -1, false },
};

struct RefusalRow {
    pw::Reason reason;
    pw::Verdict verdict;
    int status;
    std::chrono::milliseconds retryAfter;
    const char* retryHeader; ///< Empty: none.
};

std::ostream& operator<<(std::ostream& out, const RefusalRow& row)
{
    return out << pw::reasonInfo(row.reason).name << ' ' << pw::verdictName(row.verdict);
}

/// Statuses 408, 421, 429 and 503 are used only if the request has not run; 502 and 504 guarantee nothing.
const std::vector<RefusalRow> refusalRows {
    { pw::Reason::Overloaded, pw::Verdict::NotRun, 503, 50ms, "0.050" },
    { pw::Reason::RateExceeded, pw::Verdict::NotRun, 429, 1250ms, "1.250" },
    { pw::Reason::DownstreamOverloaded, pw::Verdict::NotRun, 503, 300ms, "0.300" },
    { pw::Reason::TooLate, pw::Verdict::NotRun, 503, 0ms, "" },
    { pw::Reason::RouteFailing, pw::Verdict::NotRun, 503, 450ms, "0.450" },
    { pw::Reason::NoConfiguration, pw::Verdict::NotRun, 503, 1000ms, "1.000" },
    { pw::Reason::NoRoute, pw::Verdict::NotRun, 404, 0ms, "" },
    { pw::Reason::UnknownKey, pw::Verdict::NotRun, 401, 0ms, "" },
    { pw::Reason::Malformed, pw::Verdict::NotRun, 400, 0ms, "" },
    { pw::Reason::DeadlineExceeded, pw::Verdict::NotRun, 503, 0ms, "" },
    { pw::Reason::DeadlineExceeded, pw::Verdict::MayHaveRun, 504, 0ms, "" },
    { pw::Reason::Unreachable, pw::Verdict::NotRun, 503, 0ms, "" },
    { pw::Reason::Unreachable, pw::Verdict::MayHaveRun, 502, 100ms, "" },
    { pw::Reason::BackendFailed, pw::Verdict::MayHaveRun, 502, 0ms, "" },
    { pw::Reason::BackendRefused, pw::Verdict::NotRun, 503, 0ms, "" },
    { pw::Reason::Overloaded, pw::Verdict::MayHaveRun, 502, 50ms, "" },
};

struct MeaningRow {
    const char* name;
    int status;
    Headers headers;
    pw::AnswerKind meaning;
};

std::ostream& operator<<(std::ostream& out, const MeaningRow& row)
{
    return out << row.name;
}

const pw::HeaderLine signature { "Pistachiowheel-Response-Signature", "3e1b.07" };
const pw::HeaderLine otherId { "Pistachiowheel-Request-Id", "another" };
const pw::HeaderLine notRun { "Pistachiowheel-Not-Executed", "1" };

const std::vector<MeaningRow> meaningRows {
    { "a success", 200, { idLine, signature }, pw::AnswerKind::Complete },
    { "the server's own failure", 500, { idLine, signature }, pw::AnswerKind::Complete },
    { "the server's own time-out", 504, { idLine, signature }, pw::AnswerKind::Complete },
    { "a failure without a signature", 500, { idLine }, pw::AnswerKind::Complete },
    { "a success without a signature", 200, { idLine }, pw::AnswerKind::Invalid },
    { "a success with two signatures", 200, { idLine, signature, signature }, pw::AnswerKind::Invalid },
    { "a late answer to another request", 200, { otherId, signature }, pw::AnswerKind::Mismatched },
    { "two ids", 200, { idLine, otherId, signature }, pw::AnswerKind::Mismatched },
    { "no id", 200, { signature }, pw::AnswerKind::Invalid },
    { "full", 503, { idLine, notRun }, pw::AnswerKind::NotRun },
    { "full, without an id", 503, { notRun }, pw::AnswerKind::NotRun },
    { "a promise that the server did not make", 503, { idLine }, pw::AnswerKind::Invalid },
    { "another promise", 429, { idLine, signature }, pw::AnswerKind::Invalid },
    { "another server at the address", 421, { idLine }, pw::AnswerKind::WrongServer },
};

/// A response to a health request.
struct HealthRow {
    const char* name;
    int status;
    Headers headers;
    std::optional<std::chrono::milliseconds> left;
};

std::ostream& operator<<(std::ostream& out, const HealthRow& row)
{
    return out << row.name;
}

const pw::HeaderLine instanceLine { "Pistachiowheel-Instance-Id", "i-7" };

const std::vector<HealthRow> healthRows {
    { "cold", 200, { instanceLine, { "Pistachiowheel-Cold-Ms", "1500" } }, 1500ms },
    { "warm", 200, { instanceLine, { "Pistachiowheel-Cold-Ms", "0" } }, 0ms },
    { "a fraction", 200, { instanceLine, { "Pistachiowheel-Cold-Ms", "0.25" } }, 1ms },
    { "longer than any warm-up", 200, { instanceLine, { "Pistachiowheel-Cold-Ms", "1e300" } }, 600s },
    { "negative", 200, { instanceLine, { "Pistachiowheel-Cold-Ms", "-1" } }, std::nullopt },
    { "not a number", 200, { instanceLine, { "Pistachiowheel-Cold-Ms", "nan" } }, std::nullopt },
    { "with a unit", 200, { instanceLine, { "Pistachiowheel-Cold-Ms", "15ms" } }, std::nullopt },
    { "empty", 200, { instanceLine, { "Pistachiowheel-Cold-Ms", "" } }, std::nullopt },
    { "twice", 200, { instanceLine, { "Pistachiowheel-Cold-Ms", "0" }, { "Pistachiowheel-Cold-Ms", "9" } }, std::nullopt },
    { "warm, without the time", 200, { instanceLine }, 0ms },
    { "without the instance", 200, { { "Pistachiowheel-Cold-Ms", "0" } }, std::nullopt },
    { "draining", 503, { instanceLine, { "Pistachiowheel-Cold-Ms", "0" } }, std::nullopt },
    { "no content", 204, { instanceLine, { "Pistachiowheel-Cold-Ms", "0" } }, std::nullopt },
};

pw::Call call()
{
    pw::Call it;
    it.method = "POST";
    it.target = "/sale/2f?x=1";
    it.host = "h.example:80";
    it.headers = { { "Accept", "*/*" } };
    it.body = "price=3";
    it.workspace = "shop";
    it.callerService = "guide";
    it.requestId = "9c41d07be2a35f68";
    return it;
}

} // namespace

BOOST_AUTO_TEST_SUITE(PlatformContract)

BOOST_DATA_TEST_CASE(whatACallerAsksFor, data::make(askRows))
{
    pw::CallerRequest ask;
    const auto refusal = callers.read({ "GET", "/read/2f", sample.headers, {} }, ask);
    BOOST_TEST_REQUIRE(refusal.has_value() == !sample.readable);
    if (!sample.readable) {
        BOOST_TEST((refusal->reason == pw::Reason::Malformed));
        return;
    }
    BOOST_TEST(ask.key.value_or("") == sample.key);
    BOOST_TEST((ask.callerTimeout ? ask.callerTimeout->count() : -1) == sample.patience);
    BOOST_TEST(ask.nested == sample.nested);
    BOOST_TEST(!ask.requiresClaim);
}

BOOST_AUTO_TEST_CASE(neitherKeysNorSystemHeadersGoOn)
{
    const pw::HeaderLine accept { "Accept", "*/*" };
    const auto headers = callers.forwarded({ "GET", "/",
        { idLine, keyLine, accept, { "Pistachiowheel-Tenant-Id", "forged" }, { "pistachiowheel-caller-service", "forged" },
            { "Connection", "close, X-Hop" }, { "X-Hop", "1" }, { "Transfer-Encoding", "chunked" } },
        {} });
    BOOST_TEST((headers == Headers { accept }));
}

BOOST_DATA_TEST_CASE(aRefusalPromisesOnlyWhatIsTrue, data::make(refusalRows))
{
    const auto response = callers.refusal({ sample.verdict, sample.reason, sample.retryAfter });
    BOOST_TEST(response.status == sample.status);
    BOOST_TEST(pw::singleHeader(response.headers, "Retry-After").value_or("") == sample.retryHeader);
    BOOST_TEST(pw::countHeader(response.headers, "Pistachiowheel-Response-Signature") == 0U);
}

BOOST_AUTO_TEST_CASE(aWholeAnswerIsUnchanged)
{
    pw::Answer answer;
    answer.refusal = { pw::Verdict::Ran, pw::Reason::None, {} };
    answer.status = 500;
    answer.headers = { idLine, signature };
    answer.body = "no";
    const auto response = callers.answer(answer);
    BOOST_TEST(response.status == 500);
    BOOST_TEST((response.headers == answer.headers));
    BOOST_TEST(response.body == "no");
}

BOOST_AUTO_TEST_CASE(aBackendServerGetsWhatItExpects)
{
    const auto it = call();
    const auto request = backends.request({ it, "1-1", "i-7f3a91c2", "", 1234ms });
    BOOST_TEST(request.method == "POST");
    BOOST_TEST(request.target == "/sale/2f?x=1");
    BOOST_TEST(request.body == "price=3");
    const Headers expected { { "Host", "h.example:80" }, { "Accept", "*/*" }, idLine, { "Pistachiowheel-Deadline-Ms", "1234" },
        { "Pistachiowheel-Expect-Instance", "i-7f3a91c2" }, { "Pistachiowheel-Tenant-Id", "shop" },
        { "Pistachiowheel-Caller-Service", "guide" } };
    BOOST_TEST((request.headers == expected));
}

BOOST_AUTO_TEST_CASE(aCallOfABackendServerHasNoWorkspace)
{
    auto it = call();
    it.workspace.clear();
    const auto request = backends.request({ it, "1-1", "i-7f3a91c2", "", 1ms });
    BOOST_TEST(pw::countHeader(request.headers, "Pistachiowheel-Tenant-Id") == 0U);
}

/// Guards against a limit that is lifted by an answer which does not say that the server is warm.
BOOST_DATA_TEST_CASE(whatAHealthResponseTells, data::make(healthRows))
{
    const auto report = backends.healthReport({ sample.status, sample.headers, {} });
    BOOST_TEST_REQUIRE(report.has_value() == sample.left.has_value());
    if (report) {
        BOOST_TEST((report->warmUpLeft == *sample.left));
        BOOST_TEST(report->instance == "i-7");
    }
}

/// Guards against a request id that no client sent, which the platform counts as a request that was made up, and against a
/// late response to an earlier request that is taken for the answer to a probe.
BOOST_AUTO_TEST_CASE(aHealthRequestHasNoIdAndNoOtherAnswerIsTakenForItsAnswer)
{
    const auto request = backends.healthRequest("/healthz", "i-7").value();
    BOOST_TEST(request.method == "GET");
    BOOST_TEST(request.target == "/healthz");
    BOOST_TEST(pw::singleHeader(request.headers, "Pistachiowheel-Expect-Instance").value() == "i-7");
    BOOST_TEST(pw::countHeader(request.headers, "Pistachiowheel-Request-Id") == 0U);
    const pw::HttpResponse late { 200, { idLine, signature }, {} };
    BOOST_TEST((backends.classify(request, late) == pw::AnswerKind::Mismatched));
    // A second answer to the probe could not be told from that to a later one, so the connection is not used again.
    const pw::HttpResponse healthy { 200, { { "Pistachiowheel-Instance-Id", "i-7" } }, {} };
    BOOST_TEST(!backends.identifiesRequest(request, healthy));
}

BOOST_DATA_TEST_CASE(whatAnAnswerMeans, data::make(meaningRows))
{
    const auto it = call();
    const auto request = backends.request({ it, "1-1", "i-1", "", 1ms });
    BOOST_TEST((backends.classify(request, { sample.status, sample.headers, {} }) == sample.meaning));
}

BOOST_AUTO_TEST_SUITE_END()
