#include "config_outlook.h"
#include "core/route_outlook.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <ostream>
#include <vector>

namespace {

using namespace pw;
using namespace std::chrono_literals;
namespace data = boost::unit_test::data;

Answer answerWith(int status, Reason reason = Reason::None)
{
    Answer answer;
    answer.status = status;
    answer.refusal.reason = reason;
    return answer;
}

/// One route and a clock.
struct Fixture {
    /// Ends \p count requests, \p gap apart.
    void end(int count, const Answer& answer, Duration took = 100ms, Duration gap = 10ms)
    {
        for (auto n = 0; n < count; ++n) {
            now += gap;
            outlook.started(route, now);
            outlook.ended(route, answer, took, now);
        }
    }

    /// \returns the refusal of the first request that is refused, of up to ten.
    std::optional<Refusal> firstRefusal(Duration timeLeft = 5s)
    {
        for (auto n = 0; n < 10; ++n) {
            if (const auto refusal = outlook.check(route, timeLeft, now)) {
                return refusal;
            }
        }
        return std::nullopt;
    }

    Route route { .name = "mute", .idempotent = false };
    RouteOutlook outlook { 1 };
    TimePoint now { 1h };
};

/// Results of a route and whether requests are refused.
struct ResultCase {
    const char* name;
    int before; ///< Successes.
    int count;
    Answer answer; ///< Of the requests after them.
    bool idempotent;
    bool refuses;
};

std::ostream& operator<<(std::ostream& out, const ResultCase& it)
{
    return out << it.name;
}

const std::vector<ResultCase> resultCases {
    { "too few results", 0, 7, answerWith(500), false, false },
    { "eight failures", 0, 8, answerWith(500), false, true },
    { "eight time-outs of the server", 0, 8, answerWith(504), false, true },
    { "sixteen failures, idempotent", 0, 16, answerWith(500), true, false },
    { "seventeen failures, idempotent", 0, 17, answerWith(500), true, true },
    { "half of the results", 8, 8, answerWith(500), false, false },
    { "three quarters", 6, 18, answerWith(500), false, true },
    { "three quarters, idempotent", 6, 18, answerWith(500), true, false },
    { "answers without a server error", 0, 8, answerWith(404), false, false },
    { "other server errors", 0, 8, answerWith(502), false, false },
    { "refused by the daemon beside the server", 0, 8, answerWith(0, Reason::Overloaded), false, false },
    { "time-outs without a response", 0, 8, answerWith(0, Reason::DeadlineExceeded), false, false },
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(RouteOutlooks, Fixture)

BOOST_DATA_TEST_CASE(onlyARouteThatMostlyFailsIsRefused, data::make(resultCases), it)
{
    route.idempotent = it.idempotent;
    end(it.before, answerWith(200));
    end(it.count, it.answer);
    const auto refusal = firstRefusal();
    BOOST_TEST(refusal.has_value() == it.refuses);
    if (refusal) {
        BOOST_TEST(static_cast<int>(refusal->reason) == static_cast<int>(Reason::RouteFailing));
        BOOST_TEST(static_cast<int>(refusal->verdict) == static_cast<int>(Verdict::NotRun));
    }
}

/// Guards against decisions on old results: the route may have recovered without a request.
BOOST_AUTO_TEST_CASE(oldResultsDoNotCount)
{
    end(7, answerWith(500));
    now += config::outlookWindow;
    end(7, answerWith(500));
    BOOST_TEST(!firstRefusal().has_value());
    end(1, answerWith(500));
    BOOST_TEST(firstRefusal().has_value());
}

/// Without test requests nobody would notice that the route works again.
BOOST_AUTO_TEST_CASE(oneRequestInHalfASecondIsAlwaysAdmitted)
{
    end(20, answerWith(500));
    while (!firstRefusal()) {
        end(1, answerWith(500));
    }
    now += config::outlookTestInterval;
    BOOST_TEST(!outlook.check(route, 5s, now).has_value());
    // The admitted request was refused for lack of rate: the next one is the test.
    BOOST_TEST(!outlook.check(route, 5s, now).has_value());
}

/// Floor and step-by-step reduction of the admitted share.
BOOST_AUTO_TEST_CASE(theShareFallsStepByStepToItsFloor)
{
    end(8, answerWith(500));
    BOOST_TEST(outlook.admittedShare("mute") == 0.5);
    end(1, answerWith(500));
    BOOST_TEST(outlook.admittedShare("mute") == 0.25);
    end(20, answerWith(500));
    BOOST_TEST(outlook.admittedShare("mute") == config::minOutlookShare);
    auto admitted = 0;
    for (auto n = 0; n < 1000; ++n) {
        admitted += outlook.check(route, 5s, now) ? 0 : 1;
    }
    BOOST_TEST(admitted >= 49);
    BOOST_TEST(admitted <= 51);
}

BOOST_AUTO_TEST_CASE(successesRestoreTheShareAtOnce)
{
    end(32, answerWith(500));
    BOOST_TEST(outlook.loweredCount() == 1U);
    end(2, answerWith(200));
    BOOST_TEST(outlook.admittedShare("mute") == 1);
    BOOST_TEST(outlook.loweredCount() == 0U);
    // Late failures of requests that were started during the trouble.
    end(3, answerWith(500));
    BOOST_TEST(!firstRefusal().has_value());
}

/// A lowered share must not outlive the results that caused it, also when test requests are never answered.
BOOST_AUTO_TEST_CASE(aLoweredShareEndsWithItsResults)
{
    end(20, answerWith(500));
    now += config::outlookLoweredWindow - 1s;
    outlook.started(route, now);
    BOOST_TEST(firstRefusal().has_value());
    now += 1s + 200ms;
    outlook.started(route, now);
    BOOST_TEST(!firstRefusal().has_value());
}

/// Retry-After for trouble that has lasted for some time.
struct RetryCase {
    Duration lasted;
    Duration min;
    Duration max;
};

std::ostream& operator<<(std::ostream& out, const RetryCase& it)
{
    return out << std::chrono::duration_cast<std::chrono::milliseconds>(it.lasted).count() << " ms";
}

const std::vector<RetryCase> retryCases {
    { 0ms, 270ms, 330ms },
    { 1s, 900ms, 1100ms },
    { 8s, 1800ms, 2200ms },
};

BOOST_DATA_TEST_CASE(retryAfterGrowsWithTheTrouble, data::make(retryCases), it)
{
    end(8, answerWith(500));
    const auto began = now;
    while (now - began < it.lasted) {
        end(1, answerWith(500), 100ms, 100ms);
    }
    for (auto n = 0; n < 100; ++n) {
        if (const auto refusal = outlook.check(route, 5s, now)) {
            BOOST_TEST(refusal->retryAfter >= it.min);
            BOOST_TEST(refusal->retryAfter <= it.max);
        }
    }
}

/// A caller that comes back too late to be served should not be told to come back.
BOOST_AUTO_TEST_CASE(retryAfterLeavesTheUsualResponseTime)
{
    end(1, answerWith(200), 500ms);
    end(12, answerWith(500));
    const auto refusal = firstRefusal(769ms);
    BOOST_REQUIRE(refusal.has_value());
    BOOST_TEST(refusal->retryAfter.count() == 0);
    BOOST_TEST(firstRefusal(831ms)->retryAfter.count() > 0);
}

/// Response times of a route and the time that a caller waits.
struct TimeCase {
    const char* name;
    int fast; ///< Responses of 100 ms.
    int slow; ///< Responses of 1 s, before them.
    Duration timeLeft;
    bool refuses;
};

std::ostream& operator<<(std::ostream& out, const TimeCase& it)
{
    return out << it.name;
}

const std::vector<TimeCase> timeCases {
    { "enough time", 0, 20, 1s, false },
    { "less time than any response takes", 0, 20, 999ms, true },
    { "too few responses", 0, 7, 10ms, false },
    { "a single fast response", 1, 20, 500ms, false },
    { "no time left", 20, 0, 0ms, true },
};

BOOST_DATA_TEST_CASE(onlyARequestThatCannotCompleteIsTooLate, data::make(timeCases), it)
{
    end(it.slow, answerWith(200), 1s);
    end(it.fast, answerWith(200), 100ms);
    const auto refusal = outlook.check(route, it.timeLeft, now);
    BOOST_TEST(refusal.has_value() == it.refuses);
    if (refusal) {
        BOOST_TEST(static_cast<int>(refusal->reason) == static_cast<int>(Reason::TooLate));
        BOOST_TEST(static_cast<int>(refusal->verdict) == static_cast<int>(Verdict::NotRun));
        BOOST_TEST(refusal->retryAfter.count() == 0);
    }
}

/// Changes are reported for the log, with at most one line per second for each route.
BOOST_AUTO_TEST_CASE(changesAreReportedOnce)
{
    std::vector<OutlookChange> changes;
    const auto endOne = [&](int status) {
        now += 100ms;
        outlook.started(route, now);
        if (const auto change = outlook.ended(route, answerWith(status), 100ms, now)) {
            changes.push_back(*change);
        }
    };
    for (auto n = 0; n < 20; ++n) {
        endOne(500);
    }
    BOOST_TEST_REQUIRE(changes.size() == 1U);
    BOOST_TEST(changes[0].lowered);
    BOOST_TEST(changes[0].failedShare == 1);
    BOOST_TEST(changes[0].results == 8U);
    for (auto n = 0; n < 20; ++n) {
        endOne(200);
    }
    BOOST_TEST_REQUIRE(changes.size() == 2U);
    BOOST_TEST(!changes[1].lowered);
    BOOST_TEST((changes[1].lasted == 1400ms));
}

/// State of routes that a new configuration does not contain must be removed.
BOOST_AUTO_TEST_CASE(routesThatTheConfigurationLacksAreForgotten)
{
    end(8, answerWith(500));
    outlook.configure({ route });
    BOOST_TEST(outlook.trackedCount() == 1U);
    BOOST_TEST(firstRefusal().has_value());
    outlook.configure({});
    BOOST_TEST(outlook.trackedCount() == 0U);
    BOOST_TEST(!firstRefusal().has_value());
}

BOOST_AUTO_TEST_SUITE_END()
