#include "config.h"
#include "core/context_table.h"
#include "core/retry.h"

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
    result.importance = pw::Importance::High;
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
    BOOST_TEST((result.grant->importance == pw::Importance::High));
    BOOST_TEST((result.grant->deadline == now + 1s));
    BOOST_TEST(result.grant->depth == 1);
    BOOST_TEST(result.grant->parent == 7U);
}

struct RefusedRow {
    const char* name;
    const char* token; ///< Null: the true one.
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

namespace {

/// A chain of services, each calling the next once, in which every attempt may fail at every hop.
class Chain {
public:
    Chain(std::uint64_t seed, double failure, std::size_t depth)
        : m_random(seed)
        , m_failure(failure)
        , m_policies(depth)
    {
        for (std::size_t n = 0; n < depth; ++n) {
            m_tables.emplace_back(seeded(seed + n));
        }
    }

    /// Calls hop \p depth with \p attempts, the first one included. \returns whether the answer is whole.
    bool callHop(std::uint8_t depth, std::uint32_t attempts, std::uint32_t& unused)
    {
        auto left = attempts;
        for (std::uint32_t tries = 1;; ++tries) {
            --left;
            auto whole = attempt(depth, left);
            if (whole) {
                m_policies[depth].onWhole();
            }
            pw::RetryQuestion question { { pw::Verdict::NotRun, Reason::Unreachable, {} }, true, left, 1s, tries };
            if (whole || !m_policies[depth].next(question, m_random)) {
                unused = left;
                return whole;
            }
        }
    }

    std::uint64_t runs() const { return m_runs; }

private:
    bool attempt(std::uint8_t depth, std::uint32_t& left)
    {
        ++m_runs;
        if (pw::uniform(m_random) < m_failure) {
            return false;
        }
        if (depth + 1U == m_tables.size()) {
            return true;
        }
        auto& table = m_tables[depth];
        auto token = table.open(call(left, depth), now);
        auto nested = table.beginNested(token, now);
        auto whole = false;
        if (nested.grant) {
            std::uint32_t unused = 0;
            whole = callHop(static_cast<std::uint8_t>(depth + 1), nested.grant->attempts, unused);
            table.endNested(token, unused, "next", nullptr, now);
        }
        left = table.close(token, now).attemptsUnused;
        return whole;
    }

    pw::Random m_random;
    double m_failure;
    std::vector<pw::RetryPolicy> m_policies;
    std::vector<pw::ContextTable> m_tables;
    std::uint64_t m_runs = 0;
};

} // namespace

BOOST_DATA_TEST_CASE(aChainEightDeepStaysWithinTheBudgetOfItsRoot, data::xrange(0, 10) * data::make({ 0.0, 0.05, 0.3, 0.9 }), seed, failure)
{
    constexpr std::uint32_t budget = pw::config::defaultAttemptBudget;
    Chain chain(static_cast<std::uint64_t>(seed), failure, 8);
    auto whole = 0;
    for (auto n = 0; n < 500; ++n) {
        auto before = chain.runs();
        std::uint32_t unused = 0;
        whole += chain.callHop(0, budget, unused) ? 1 : 0;
        BOOST_TEST(chain.runs() - before <= budget);
        BOOST_TEST(chain.runs() - before + unused == budget);
    }
    BOOST_TEST((failure > 0 || whole == 500));
}

BOOST_AUTO_TEST_SUITE_END()
