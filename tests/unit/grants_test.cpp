#include "adapters/codec_grants.h"
#include "core/grant_holder.h"
#include "core/ledger.h"

#include <boost/test/unit_test.hpp>

namespace {

using namespace pw;
using namespace std::chrono_literals;

constexpr Duration lifetime = 1500ms;
const TimePoint start { 1h };
const GrantHolderId holderId { "d1", 7 };

/// \returns an account with a full bucket.
LedgerAccount fullAccount(RateLimits limits)
{
    LedgerAccount account(limits, lifetime, start);
    account.configure(limits, start + 1h);
    return account;
}

const TimePoint whenFull = start + 1h;

GrantRequest makeRequest(std::uint64_t sequence, std::uint64_t generation, std::uint64_t granted, std::uint64_t spent, std::uint32_t want)
{
    return { "w", sequence, generation, granted, spent, want, 0 };
}

GrantHolder makeHolder()
{
    GrantHolder holder({ lifetime, 2s, 1s, 10ms, 150ms, 150ms, 400ms });
    holder.configure(100, 100);
    return holder;
}

GrantReply makeReply(std::uint64_t sequence, std::uint64_t generation, std::uint64_t granted)
{
    return { "w", sequence, generation, granted, false, 0ms };
}

} // namespace

BOOST_AUTO_TEST_SUITE(grants)

/// A duplicated request may reach both the old and the new owner of the rates, and both reply. The holder must apply the
/// reply of only one of them, or tokens would be granted twice.
BOOST_AUTO_TEST_CASE(onlyTheFirstOfTwoOwnersThatAnswerAnAskIsHeard)
{
    auto holder = makeHolder();
    holder.makeRequest(1, 3, start);
    holder.applyReply(makeReply(1, 11, 3), start);
    for (auto n = 0; n < 3; ++n) {
        BOOST_TEST(holder.takeToken(start));
    }
    holder.makeRequest(2, 3, start);
    holder.applyReply(makeReply(2, 21, 0), start);
    holder.applyReply(makeReply(2, 11, 3), start);
    BOOST_TEST(holder.held(start) == 0U);
    BOOST_TEST(!holder.takeToken(start));
    holder.applyReply(makeReply(2, 21, 2), start);
    BOOST_TEST(holder.held(start) == 2U);
}

BOOST_AUTO_TEST_CASE(lateRepetitionOfAnAskChangesNothing)
{
    auto account = fullAccount({ 1, 40 });
    GrantReply reply;
    BOOST_TEST(account.handleRequest(holderId, makeRequest(1, 0, 0, 0, 5), 11, whenFull, reply));
    BOOST_TEST(account.handleRequest(holderId, makeRequest(2, reply.generation, reply.granted, 3, 5), 12, whenFull, reply));
    const auto outstanding = account.outstanding();
    const auto level = account.level();
    BOOST_TEST(!account.handleRequest(holderId, makeRequest(1, 0, 0, 0, 5), 13, whenFull, reply));
    BOOST_TEST(!account.handleRequest(holderId, makeRequest(2, 11, 5, 0, 5), 14, whenFull, reply));
    BOOST_TEST(account.outstanding() == outstanding);
    BOOST_TEST(account.level() == level);
}

BOOST_AUTO_TEST_CASE(grantWhoseReplyWasLostIsReclaimed)
{
    auto account = fullAccount({ 1, 40 });
    GrantReply first;
    GrantReply second;
    BOOST_TEST(account.handleRequest(holderId, makeRequest(1, 0, 0, 0, 5), 11, whenFull, first));
    BOOST_TEST(account.handleRequest(holderId, makeRequest(2, 0, 0, 0, 5), 12, whenFull, second));
    BOOST_TEST(first.generation != second.generation);
    BOOST_TEST(account.outstanding() == 5U);
    BOOST_TEST(account.level() == 35);
}

BOOST_AUTO_TEST_CASE(silentHolderHasSpentItsTokens)
{
    auto account = fullAccount({ 1, 40 });
    GrantReply reply;
    BOOST_TEST(account.handleRequest(holderId, makeRequest(1, 0, 0, 0, 5), 11, whenFull, reply));
    GrantReply other;
    BOOST_TEST(account.handleRequest({ "d2", 1 }, makeRequest(1, 0, 0, 0, 1), 12, whenFull + lifetime, other));
    BOOST_TEST(account.outstanding() == 1U);
    BOOST_TEST(account.level() == 34); // No tokens accrued in between, because the account was full.
}

BOOST_AUTO_TEST_CASE(newOwnerLeavesRoomForGrantsOfTheOldOne)
{
    LedgerAccount account({ 1000, 100 }, lifetime, start);
    account.configure({ 1000, 100 }, start + lifetime);
    BOOST_TEST(account.level() <= 50);
    account.configure({ 1000, 100 }, start + lifetime + 50ms);
    BOOST_TEST(account.level() > 99);
}

BOOST_AUTO_TEST_CASE(lifetimeCountsFromTheAsk)
{
    auto holder = makeHolder();
    holder.makeRequest(1, 1, start);
    holder.applyReply(makeReply(1, 11, 5), start + 500ms);
    BOOST_TEST(holder.held(start + lifetime - 1ms) == 5U);
    BOOST_TEST(holder.held(start + lifetime) == 0U);
    BOOST_TEST(!holder.takeToken(start + lifetime));
}

BOOST_AUTO_TEST_CASE(replyToAnEarlierAskIsIgnored)
{
    auto holder = makeHolder();
    holder.makeRequest(1, 1, start);
    holder.makeRequest(2, 1, start + 200ms);
    holder.applyReply(makeReply(1, 11, 5), start + 201ms);
    BOOST_TEST(holder.held(start + 201ms) == 0U);
    holder.applyReply(makeReply(2, 12, 3), start + 202ms);
    holder.applyReply(makeReply(2, 12, 3), start + 203ms);
    BOOST_TEST(holder.held(start + 203ms) == 3U);
}

BOOST_AUTO_TEST_CASE(tokensOfTheOldOwnerStayUsableAndAreNotReportedToTheNewOne)
{
    auto holder = makeHolder();
    for (int n = 0; n < 4; ++n) {
        holder.addDemand(start);
    }
    holder.makeRequest(1, 2, start);
    holder.applyReply(makeReply(1, 11, 4), start);
    BOOST_TEST(holder.takeToken(start));
    holder.makeRequest(2, 0, start + 100ms);
    holder.applyReply(makeReply(2, 21, 2), start + 100ms);
    BOOST_TEST(holder.held(start + 100ms) == 5U);
    BOOST_TEST(holder.takeToken(start + 100ms));
    const auto ask = holder.makeRequest(3, 0, start + 200ms);
    BOOST_TEST(ask.generation == 21U);
    BOOST_TEST(ask.spent == 0U);
    BOOST_TEST(holder.held(start + lifetime) == 2U);
}

BOOST_AUTO_TEST_CASE(codecKeepsEveryField)
{
    const GrantRequestBatch batch { 9, { { "w", 1, 2, 3, 4, 5, 6 }, { "v", 7, 8, 9, 10, 11, 12 } } };
    const auto ask = decodeGrantAsk(encodeGrantAsk(batch));
    BOOST_REQUIRE(ask);
    BOOST_TEST(ask->incarnation == 9U);
    BOOST_REQUIRE(ask->requests.size() == 2U);
    BOOST_TEST(ask->requests[1].workspace == "v");
    BOOST_TEST(ask->requests[1].granted == 9U);
    BOOST_TEST(ask->requests[1].waiting == 12U);
    const auto reply = decodeGrantReply(encodeGrantReply({ false, "c2", { { "w", 1, 2, 3, true, 40ms } } }));
    BOOST_REQUIRE(reply);
    BOOST_TEST(!reply->owner);
    BOOST_TEST(reply->leader == "c2");
    BOOST_REQUIRE(reply->replies.size() == 1U);
    BOOST_TEST(reply->replies[0].scarce);
    BOOST_TEST((reply->replies[0].wait == 40ms));
    BOOST_TEST(!decodeGrantAsk({}));
}

BOOST_AUTO_TEST_SUITE_END()
