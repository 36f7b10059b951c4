#include "adapters/codec_call.h"
#include "adapters/codec_view.h"
#include "config.h"
#include "core/admission.h"
#include "core/warm_up.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <functional>
#include <limits>
#include <map>
#include <ostream>
#include <vector>

namespace {

using namespace pw;
using namespace std::chrono_literals;

namespace data = boost::unit_test::data;

constexpr WarmUpSettings platformSettings { 13, 1.5, 8 };
constexpr TimePoint begin { 100s };

/// Events of a backend server that is first known to be warm, and what is assumed of it at the end.
struct StateRow {
    const char* name;
    std::function<void(WarmUp&)> play;
    Duration at; ///< Since begin.
    bool limiting;
    bool unknown;
};

std::ostream& operator<<(std::ostream& out, const StateRow& row)
{
    return out << row.name;
}

void probe(WarmUp& warmUp, Duration askedAt, std::optional<Duration> left, Duration answeredAt)
{
    warmUp.onProbeSent(begin + askedAt);
    warmUp.onProbed(left, begin + askedAt, begin + answeredAt);
}

const std::vector<StateRow> stateRows {
    { "no event", [](WarmUp&) {}, 1s, false, false },
    { "announced warm", [](WarmUp& it) { it.onAnnounced(0s, begin); }, 0s, false, false },
    { "announced cold", [](WarmUp& it) { it.onAnnounced(3s, begin); }, 3s, true, false },
    { "announced cold, ended", [](WarmUp& it) { it.onAnnounced(3s, begin); }, 3100ms, false, false },
    { "a shorter announcement does not shorten",
        [](WarmUp& it) {
            it.onAnnounced(3s, begin);
            it.onAnnounced(1s, begin + 500ms);
            it.onAnnounced(0s, begin + 600ms);
        },
        2900ms, true, false },
    { "a longer one lengthens",
        [](WarmUp& it) {
            it.onAnnounced(1s, begin);
            it.onAnnounced(3s, begin + 500ms);
        },
        3400ms, true, false },
    { "unknown does not end by itself", [](WarmUp& it) { it.onStateUnknown(begin); }, 60s, true, true },
    { "unknown, announced warm: may have been sent before",
        [](WarmUp& it) {
            it.onStateUnknown(begin);
            it.onAnnounced(0s, begin + 1s);
        },
        2s, true, true },
    { "unknown, announced cold: only a probe ends it",
        [](WarmUp& it) {
            it.onStateUnknown(begin);
            it.onAnnounced(1s, begin);
        },
        2s, true, true },
    { "probed warm",
        [](WarmUp& it) {
            it.onStateUnknown(begin);
            probe(it, 0s, 0s, 10ms);
        },
        20ms, false, false },
    { "probed cold",
        [](WarmUp& it) {
            it.onStateUnknown(begin);
            probe(it, 0s, 2s, 10ms);
        },
        2s, true, false },
    { "probed cold, ended",
        [](WarmUp& it) {
            it.onStateUnknown(begin);
            probe(it, 0s, 2s, 10ms);
        },
        2100ms, false, false },
    { "the probe failed",
        [](WarmUp& it) {
            it.onStateUnknown(begin);
            probe(it, 0s, std::nullopt, 10ms);
        },
        5s, true, true },
    { "asked before the event",
        [](WarmUp& it) {
            it.onProbeSent(begin);
            it.onStateUnknown(begin + 5ms);
            it.onProbed(0s, begin, begin + 10ms);
        },
        1s, true, true },
    { "a late heartbeat during the probe tells of a warm-up that began after the probe was answered",
        [](WarmUp& it) {
            it.onStateUnknown(begin);
            it.onProbeSent(begin);
            it.onAnnounced(3s, begin + 5ms);
            it.onProbed(0s, begin, begin + 10ms);
        },
        2900ms, true, false },
    { "a heartbeat from before the probe is corrected by it",
        [](WarmUp& it) {
            it.onStateUnknown(begin);
            it.onAnnounced(3s, begin);
            probe(it, 5ms, 0s, 10ms);
        },
        20ms, false, false },
    { "a heartbeat after the probe lengthens",
        [](WarmUp& it) {
            it.onStateUnknown(begin);
            probe(it, 0s, 1s, 10ms);
            it.onAnnounced(3s, begin + 500ms);
        },
        3400ms, true, false },
    { "unknown while cold keeps the known time",
        [](WarmUp& it) {
            it.onAnnounced(3s, begin);
            it.onStateUnknown(begin + 1s);
            it.onProbeSent(begin + 1s);
        },
        2s, true, true },
    { "a suspension of the VM does not end an unknown state",
        [](WarmUp& it) {
            it.onStateUnknown(begin);
            it.onProbeSent(begin);
            it.onProbed(std::nullopt, begin, begin + 30s);
        },
        31s, true, true },
    { "without a rate nothing is limited",
        [](WarmUp& it) {
            it.configure({});
            it.onStateUnknown(begin);
            it.onAnnounced(3s, begin);
        },
        1s, false, false },
    { "a rate that is configured later limits a server that is known to be cold",
        [](WarmUp& it) {
            it.configure({});
            it.onAnnounced(3s, begin);
            it.configure(platformSettings);
        },
        1s, true, false },
};

/// When a probe is wanted after its events.
struct ProbeRow {
    const char* name;
    std::function<void(WarmUp&)> play;
    Duration at;
    bool wanted;
};

std::ostream& operator<<(std::ostream& out, const ProbeRow& row)
{
    return out << row.name;
}

const std::vector<ProbeRow> probeRows {
    { "warm", [](WarmUp&) {}, 1s, false },
    { "cold", [](WarmUp& it) { it.onAnnounced(3s, begin); }, 1s, false },
    { "unknown", [](WarmUp& it) { it.onStateUnknown(begin); }, 0s, true },
    { "in progress",
        [](WarmUp& it) {
            it.onStateUnknown(begin);
            it.onProbeSent(begin);
        },
        400ms, false },
    { "never reported",
        [](WarmUp& it) {
            it.onStateUnknown(begin);
            it.onProbeSent(begin);
        },
        1s, true },
    { "just failed",
        [](WarmUp& it) {
            it.onStateUnknown(begin);
            probe(it, 0s, std::nullopt, 10ms);
        },
        199ms, false },
    { "failed some time ago",
        [](WarmUp& it) {
            it.onStateUnknown(begin);
            probe(it, 0s, std::nullopt, 10ms);
        },
        210ms, true },
    { "another event just after a probe",
        [](WarmUp& it) {
            it.onStateUnknown(begin);
            probe(it, 0s, 0s, 10ms);
            it.onStateUnknown(begin + 20ms);
        },
        100ms, false },
    { "another event, some time after the probe",
        [](WarmUp& it) {
            it.onStateUnknown(begin);
            probe(it, 0s, 0s, 10ms);
            it.onStateUnknown(begin + 20ms);
        },
        200ms, true },
    { "an event during the probe",
        [](WarmUp& it) {
            it.onProbeSent(begin);
            it.onStateUnknown(begin + 5ms);
            it.onProbed(0s, begin, begin + 10ms);
        },
        200ms, true },
    { "without a rate",
        [](WarmUp& it) {
            it.configure({});
            it.onStateUnknown(begin);
        },
        1s, false },
};

/// Rounds of responses of a cold server, and the rate after them.
struct RiseRow {
    const char* name;
    WarmUpSettings settings;
    std::vector<Duration> rounds; ///< Average service time of each round.
    std::optional<RunOutcome> last; ///< Outcome of one more run, if any.
    double expected;
};

std::ostream& operator<<(std::ostream& out, const RiseRow& row)
{
    return out << row.name;
}

constexpr WarmUpSettings risingSettings { 13, 1.5, 8, true };

const std::vector<RiseRow> riseRows {
    { "no response", risingSettings, {}, {}, 13 },
    { "one fast round", risingSettings, { 100ms }, {}, 13 * 1.15 },
    { "fast rounds", risingSettings, { 100ms, 110ms, 90ms, 120ms, 100ms, 100ms }, {}, 19.5 },
    { "a slow round", risingSettings, { 100ms, 100ms, 160ms }, {}, 13 },
    { "fast again after a slow round", risingSettings, { 100ms, 100ms, 160ms, 100ms }, {}, 13 * 1.15 },
    { "slower than the fastest round, not than the last", risingSettings, { 100ms, 140ms, 200ms }, {}, 13 },
    { "a failure", risingSettings, { 100ms, 100ms }, RunOutcome::Failed, 13 },
    { "a timeout", risingSettings, { 100ms, 100ms }, RunOutcome::Timeout, 13 },
    { "a refusal", risingSettings, { 100ms, 100ms }, RunOutcome::Refused, 13 },
    { "a cancelled run says nothing", risingSettings, { 100ms }, RunOutcome::Cancelled, 13 * 1.15 },
    { "not enabled", platformSettings, { 100ms, 100ms }, {}, 13 },
    { "no overage", { 13, 1, 8, true }, { 100ms, 100ms }, {}, 13 },
};

} // namespace

BOOST_AUTO_TEST_SUITE(WarmUps)

/// Guards against a rate that rises while the server slows down, or beyond what the settings allow.
BOOST_DATA_TEST_CASE(theRateRisesWhileRoundsStayFast, data::make(riseRows), row)
{
    WarmUp warmUp;
    warmUp.configure(row.settings);
    warmUp.onAnnounced(30s, begin);
    const auto sample = [&](Duration time, RunOutcome outcome) { warmUp.onSample({ time, 0s, 1, outcome }, begin + 1s, begin + 2s); };
    for (const auto average : row.rounds) {
        for (std::uint32_t n = 0; n < config::warmUpRoundResponses; ++n) {
            sample(average + (n % 2 == 0 ? 1 : -1) * average / 2, RunOutcome::Ok); // Work varies by route.
        }
    }
    if (row.last) {
        sample(100ms, *row.last);
    }
    BOOST_TEST(warmUp.rate(begin + 2s).value() == row.expected, boost::test_tools::tolerance(1e-9));
}

/// Guards against a risen rate, or service times, that are kept for another cold time.
BOOST_AUTO_TEST_CASE(anotherColdTimeBeginsAtTheToleratedRate)
{
    WarmUp warmUp;
    warmUp.configure(risingSettings);
    warmUp.onAnnounced(3s, begin);
    const auto round = [&](Duration startedAt) {
        for (std::uint32_t n = 0; n < config::warmUpRoundResponses; ++n) {
            warmUp.onSample({ 100ms, 0s, 1, RunOutcome::Ok }, begin + startedAt, begin + startedAt + 100ms);
        }
    };
    round(-1s); // Runs from before it became cold.
    BOOST_TEST(warmUp.rate(begin + 1s).value() == 13);
    round(1s);
    BOOST_TEST(warmUp.rate(begin + 2s).value() > 13);
    warmUp.onStateUnknown(begin + 2s);
    BOOST_TEST(warmUp.rate(begin + 2s).value() == 13);
    round(2s); // The state is unknown.
    BOOST_TEST(warmUp.rate(begin + 3s).value() == 13);
    warmUp.onProbed(0s, begin + 3s, begin + 3s);
    warmUp.onAnnounced(3s, begin + 10s);
    BOOST_TEST(warmUp.rate(begin + 11s).value() == 13);
}

/// Guards against a server that is taken for warm because of what it announced or was asked before it became cold.
BOOST_DATA_TEST_CASE(onlyAProbeAfterTheEventEndsTheUnknownState, data::make(stateRows), row)
{
    WarmUp warmUp;
    warmUp.configure(platformSettings);
    row.play(warmUp);
    BOOST_TEST(warmUp.isLimiting(begin + row.at) == row.limiting);
    BOOST_TEST(warmUp.isUnknown() == row.unknown);
    BOOST_TEST(warmUp.rate(begin + row.at).has_value() == row.limiting);
    BOOST_TEST(warmUp.nextToken(begin + row.at).has_value() == row.limiting);
    BOOST_TEST((warmUp.timeToSend(100, begin + row.at) > 0s) == row.limiting);
}

/// Guards against probes that are missing, so that a server stays limited, and against more probes than necessary.
BOOST_DATA_TEST_CASE(aProbeIsWantedOnlyWhileTheStateIsUnknown, data::make(probeRows), row)
{
    WarmUp warmUp;
    warmUp.configure(platformSettings);
    row.play(warmUp);
    BOOST_TEST(warmUp.wantsProbe(begin + row.at) == row.wanted);
}

/// Guards against tokens that are gained by repeated events, for instance by a server that resets its connections again and again.
BOOST_AUTO_TEST_CASE(noEventAddsTokens)
{
    WarmUp warmUp;
    warmUp.configure(platformSettings);
    warmUp.onStateUnknown(begin);
    BOOST_TEST(!warmUp.hasToken(begin));
    int sent = 0;
    for (auto now = begin; now < begin + 10s; now += 1ms) {
        warmUp.onStateUnknown(now);
        warmUp.onAnnounced(3s, now);
        for (; warmUp.hasToken(now); ++sent) {
            warmUp.takeToken(now);
        }
    }
    BOOST_TEST(sent <= 130);
    BOOST_TEST(sent >= 128);
}

/// Guards against a wait that ignores the rate or the end of the warm-up time, from which the Retry-After time is computed.
BOOST_AUTO_TEST_CASE(theWaitFollowsTheRateAndTheEndOfTheWarmUp)
{
    WarmUp warmUp;
    warmUp.configure({ 10, 1.5, 8 });
    warmUp.onAnnounced(3s, begin);
    BOOST_TEST((warmUp.timeToSend(5, begin) == 500ms));
    BOOST_TEST((warmUp.timeToSend(1000, begin) == 3s + config::warmUpEndMargin));
    BOOST_TEST((warmUp.nextToken(begin) == begin + 100ms));
    warmUp.onStateUnknown(begin);
    BOOST_TEST((warmUp.timeToSend(1000, begin) == 100s));
}

/// Guards against an admission that takes the wait, the capacity or the hint from the slots of a cold server.
BOOST_AUTO_TEST_CASE(admissionFollowsTheSmallerRate)
{
    Admission admission(makeLimit("static", { 100, 100, false }));
    admission.warmUp().configure({ 10, 1.5, 8 });
    admission.warmUp().onStateUnknown(begin);
    admission.rate().learn(20, begin, begin);
    std::uint64_t id = 0;
    OfferResult last;
    while (last.outcome != AdmissionOutcome::Refused) {
        last = admission.offer({ ++id, Importance::Normal, false, "a", begin + 10s }, begin);
        BOOST_REQUIRE(id < 100U);
    }
    admission.poll(begin);
    BOOST_TEST(admission.running() == 0U);
    BOOST_TEST(admission.queued() == 5U); // As many as in half a second.
    BOOST_TEST((last.refusal.verdict == Verdict::NotRun));
    BOOST_TEST((last.refusal.retryAfter == admission.queued() * 100ms + 100ms));
    BOOST_TEST((admission.nextWake() == begin + 100ms));
    BOOST_TEST(admission.capacity(begin) == 1);
    BOOST_TEST(admission.loadHint(begin).warmUpRate == 10);
    BOOST_TEST((admission.loadHint(begin).requestsPerSecond == 20.0)); // A stated limit is not mixed with the warm-up rate.
    BOOST_TEST(admission.poll(begin + 100ms).start.size() == 1U);
    admission.rate().learn(2, begin + 100ms, begin + 100ms);
    BOOST_TEST((admission.nextWake() == begin + 200ms));
    BOOST_TEST(admission.poll(begin + 200ms).start.size() == 1U);
    BOOST_TEST((admission.nextWake() == begin + 700ms)); // The stated limit is the smaller one now.
    admission.warmUp().onProbed(0s, begin + 200ms, begin + 210ms);
    BOOST_TEST(admission.loadHint(begin + 210ms).warmUpRate == 0);
}

/// Guards against queued requests that wait for the rate although the server has become warm.
BOOST_AUTO_TEST_CASE(queuedRequestsStartWhenTheWarmUpEnds)
{
    Admission admission(makeLimit("static", { 100, 100, false }));
    admission.warmUp().configure({ 2, 1.5, 8 });
    admission.warmUp().onAnnounced(300ms, begin);
    admission.offer({ 1, Importance::Normal, true, "a", begin + 10s }, begin);
    admission.offer({ 2, Importance::Normal, true, "a", begin + 10s }, begin);
    admission.poll(begin);
    const auto end = begin + 300ms + config::warmUpEndMargin;
    BOOST_TEST((admission.nextWake() == end));
    BOOST_TEST(admission.poll(end).start.size() == 2U);
}

/// Guards against a rate that is lost on the way to the entry daemons.
BOOST_AUTO_TEST_CASE(theRateIsEncoded)
{
    Answer answer;
    answer.load.warmUpRate = 13;
    const auto decoded = decodeAnswer(encodeAnswer(answer));
    BOOST_REQUIRE(decoded.has_value());
    BOOST_TEST(decoded->load.warmUpRate == 13);
    BOOST_TEST(!decoded->load.requestsPerSecond.has_value());
    for (const auto& [sent, received] : std::map<double, double> { { 13, 13 }, { 0, 0 }, { -1, 0 }, { std::numeric_limits<double>::infinity(), 0 } }) {
        ViewDelta delta;
        delta.changes.push_back({ ServerEntry { .name = "s", .warmUpRate = sent }, false });
        const auto view = decodeViewDelta(encodeViewDelta(delta));
        BOOST_REQUIRE(view.has_value());
        BOOST_TEST(view->changes.at(0).entry.warmUpRate == received);
    }
}

BOOST_AUTO_TEST_SUITE_END()
