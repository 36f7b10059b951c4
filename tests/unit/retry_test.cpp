#include "config.h"
#include "core/retry.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <array>

namespace data = boost::unit_test::data;
using namespace std::chrono_literals;
using pw::FailedAttempt;
using pw::Reason;
using pw::Verdict;

namespace {

struct Row {
    const char* name;
    FailedAttempt question;
    bool retried;
};

std::ostream& operator<<(std::ostream& out, const Row& row)
{
    return out << row.name;
}

FailedAttempt question(Verdict verdict, Reason reason, bool idempotent, std::uint32_t attemptsLeft = 5, pw::Duration timeLeft = 1s, std::uint32_t tries = 1)
{
    return { { verdict, reason, {} }, idempotent, attemptsLeft, timeLeft, tries };
}

const std::array table {
    Row { "not run, not idempotent", question(Verdict::NotRun, Reason::Unreachable, false), true },
    Row { "may have run, not idempotent", question(Verdict::MayHaveRun, Reason::BackendFailed, false), false },
    Row { "may have run, idempotent", question(Verdict::MayHaveRun, Reason::BackendFailed, true), true },
    Row { "shed by one server", question(Verdict::NotRun, Reason::Overloaded, false), true },
    Row { "leaving", question(Verdict::NotRun, Reason::Leaving, false), true },
    Row { "no server of the service", question(Verdict::NotRun, Reason::NoBackendServer, false), true },
    Row { "another server at the address", question(Verdict::NotRun, Reason::WrongServer, false), true },
    Row { "evacuated", question(Verdict::NotRun, Reason::Evacuated, false), true },
    Row { "saturated deeper", question(Verdict::NotRun, Reason::DownstreamOverloaded, true), false },
    Row { "over its rate", question(Verdict::NotRun, Reason::RateExceeded, true), false },
    Row { "unknown key", question(Verdict::NotRun, Reason::UnknownKey, true), false },
    Row { "too late", question(Verdict::MayHaveRun, Reason::DeadlineExceeded, true), false },
    Row { "cancelled", question(Verdict::MayHaveRun, Reason::Cancelled, true), false },
    Row { "budget spent", question(Verdict::NotRun, Reason::Overloaded, true, 0), false },
    Row { "no time for a backoff", question(Verdict::NotRun, Reason::Overloaded, true, 5, 2ms), false },
    Row { "deadline passed", question(Verdict::NotRun, Reason::Overloaded, true, 5, -1s), false },
    Row { "too many tries", question(Verdict::NotRun, Reason::Overloaded, true, 5, 1s, pw::config::maxTriesPerHop), false },
};

} // namespace

BOOST_AUTO_TEST_SUITE(Retries)

BOOST_DATA_TEST_CASE(retriesOnlyWhereItIsSafeAndCanHelp, data::make(table), row)
{
    pw::RetryPolicy policy;
    pw::Random random(1);
    auto wait = policy.next(row.question, random);
    BOOST_TEST(wait.has_value() == row.retried);
    if (wait) {
        BOOST_TEST((*wait > 0ms && *wait < row.question.timeLeft));
    }
}

BOOST_AUTO_TEST_CASE(retriesStayWithinTheRatioOfWholeAnswers)
{
    pw::RetryPolicy policy;
    pw::Random random(1);
    auto ask = question(Verdict::NotRun, Reason::Overloaded, true);
    auto retries = 0;
    for (auto n = 0; n < 10000; ++n) {
        policy.onSuccess();
        for (auto m = 0; m < 10; ++m) {
            retries += policy.next(ask, random) ? 1 : 0;
        }
    }
    BOOST_TEST(retries <= 0.1 * 10000);
    BOOST_TEST(retries > 0);
}

BOOST_AUTO_TEST_CASE(withoutWholeAnswersRetriesEnd)
{
    pw::RetryPolicy policy;
    pw::Random random(1);
    auto ask = question(Verdict::NotRun, Reason::Overloaded, true);
    auto retries = 0;
    for (auto n = 0; n < 1000; ++n) {
        retries += policy.next(ask, random) ? 1 : 0;
    }
    BOOST_TEST(retries <= pw::config::maxRetryTokens);
}

BOOST_AUTO_TEST_SUITE_END()
