#include "../../tools/measure-retries/chain.h"
#include "config.h"
#include "core/context_table.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <memory>

namespace data = boost::unit_test::data;
using namespace std::chrono_literals;
using pw::Reason;
using pw::TimePoint;

namespace {

constexpr TimePoint now { 100s };

pw::ContextTable::TokenSource seeded(std::uint64_t seed)
{
    auto random = std::make_shared<pw::Random>(seed);
    return [random] {
        pw::ContextTable::Token token;
        std::ranges::generate(token, [&] { return static_cast<std::byte>((*random)()); });
        return token;
    };
}

pw::Call call(std::uint32_t attempts, std::uint8_t depth = 0)
{
    pw::Call result;
    result.id = 7;
    result.route = "r";
    result.workspace = "a";
    result.rank = pw::Importance::High;
    result.attempts = attempts;
    result.depth = depth;
    result.timeLeft = 1s;
    return result;
}

} // namespace

BOOST_AUTO_TEST_SUITE(ContextTables)

BOOST_AUTO_TEST_CASE(nestedCallsInheritFromTheRunningRequest)
{
    pw::ContextTable table(seeded(1));
    auto token = table.open(call(10), now);
    BOOST_TEST(token.size() == 32U);
    auto result = table.beginNested(token, now + 10ms);
    BOOST_REQUIRE(result.grant.has_value());
    BOOST_TEST(result.grant->workspace == "a");
    BOOST_TEST((result.grant->rank == pw::Rank(pw::Importance::High)));
    BOOST_TEST((result.grant->deadline == now + 1s));
    BOOST_TEST(result.grant->depth == 1);
    BOOST_TEST(result.grant->parent == 7U);
}

struct RefusedRow {
    const char* name;
    const char* token; ///< Null for the valid token.
    std::uint32_t attempts;
    std::uint8_t depth;
    pw::Duration later;
    bool closed;
    Reason reason;
};

std::ostream& operator<<(std::ostream& out, const RefusedRow& row)
{
    return out << row.name;
}

constexpr std::array refusedTable {
    RefusedRow { "empty", "", 9, 0, 0s, false, Reason::BadToken },
    RefusedRow { "forged", "00000000000000000000000000000000", 9, 0, 0s, false, Reason::BadToken },
    RefusedRow { "not a token", "\n\x01", 9, 0, 0s, false, Reason::BadToken },
    RefusedRow { "replayed after the end", nullptr, 9, 0, 0s, true, Reason::BadToken },
    RefusedRow { "deadline passed", nullptr, 9, 0, 1s, false, Reason::DeadlineExceeded },
    RefusedRow { "too deep", nullptr, 9, pw::config::maxCallDepth - 1, 0s, false, Reason::TooDeep },
    RefusedRow { "no budget", nullptr, 0, 0, 0s, false, Reason::BudgetExhausted },
};

BOOST_DATA_TEST_CASE(refusesWithATrueVerdict, data::make(refusedTable), row)
{
    pw::ContextTable table(seeded(1));
    auto token = table.open(call(row.attempts, row.depth), now);
    if (row.closed) {
        table.close(token, now);
    }
    auto result = table.beginNested(row.token ? row.token : token, now + row.later);
    BOOST_TEST(!result.grant.has_value());
    BOOST_TEST((result.refusal.verdict == pw::Verdict::NotRun));
    BOOST_TEST((result.refusal.reason == row.reason));
}

BOOST_AUTO_TEST_CASE(parallelChildrenShareTheBudgetAndReturnWhatIsUnused)
{
    pw::ContextTable table(seeded(1));
    auto token = table.open(call(12), now);
    auto first = table.beginNested(token, now);
    auto second = table.beginNested(token, now);
    BOOST_REQUIRE((first.grant && second.grant));
    BOOST_TEST(first.grant->attempts + second.grant->attempts <= 12U);
    pw::Answer answer;
    answer.downstream = { "deeper" };
    table.endNested(token, first.grant->attempts - 1, "x", &answer, now + 20ms);
    answer.downstream.clear();
    answer.refusal = { pw::Verdict::NotRun, Reason::Overloaded, {} };
    table.endNested(token, second.grant->attempts - 1, "y", &answer, now + 50ms);
    auto closed = table.close(token, now + 100ms);
    BOOST_TEST(closed.attemptsUnused == 10U);
    BOOST_TEST(closed.saturated == "y");
    std::vector<std::string> expected { "deeper", "x", "y" };
    BOOST_TEST(closed.downstream == expected, boost::test_tools::per_element());
    BOOST_TEST((closed.nestedTime == 50ms));
    BOOST_TEST(table.size() == 0U);
}

BOOST_AUTO_TEST_CASE(learnsHowManyChildrenARouteHas)
{
    pw::ContextTable table(seeded(1));
    for (auto round = 0; round < 2; ++round) {
        auto token = table.open(call(16), now);
        std::vector<std::uint32_t> shares;
        for (auto n = 0; n < 4; ++n) {
            if (auto result = table.beginNested(token, now); result.grant) {
                shares.push_back(result.grant->attempts);
            }
        }
        BOOST_TEST((round == 0 || shares.size() == 4U));
        BOOST_TEST((round == 0 || *std::ranges::min_element(shares) >= 2U));
        table.close(token, now);
    }
}

BOOST_AUTO_TEST_CASE(returningMoreThanWasGrantedDoesNotRaiseTheBudget)
{
    pw::ContextTable table(seeded(1));
    auto token = table.open(call(5), now);
    table.beginNested(token, now);
    table.endNested(token, 1000, "x", nullptr, now);
    table.endNested(token, 1000, "x", nullptr, now);
    BOOST_TEST(table.close(token, now).attemptsUnused == 5U);
}

BOOST_DATA_TEST_CASE(aChainEightDeepStaysWithinTheBudgetOfItsRoot, data::xrange(0, 10) * data::make({ 0.0, 0.05, 0.3, 0.9 }), seed, failure)
{
    constexpr std::uint32_t budget = pw::config::defaultAttemptBudget;
    pw::measure::Chain chain(static_cast<std::uint64_t>(seed), std::vector<double>(8, failure), pw::measure::ChainRetries::Budget);
    auto whole = 0;
    std::uint64_t calls = 0;
    std::uint64_t attempts = 0;
    for (auto n = 0; n < 500; ++n) {
        auto result = chain.send(budget);
        whole += result.whole ? 1 : 0;
        calls += result.calls;
        attempts += result.attempts;
        BOOST_TEST(result.attempts <= budget);
        BOOST_TEST(result.attempts + result.unused == budget);
    }
    BOOST_TEST((failure > 0 || whole == 500));
    BOOST_TEST(static_cast<double>(attempts) <= 1.1 * static_cast<double>(calls));
}

BOOST_AUTO_TEST_SUITE_END()
