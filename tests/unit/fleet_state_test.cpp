#include "core/fleet_state.h"

#include "adapters/codec_control.h"
#include "config.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

namespace {

namespace data = boost::unit_test::data;
using pw::ChangeOutcome;

pw::IssueKey keyOf(std::uint64_t n, const std::string& label = "label")
{
    pw::IssueKey key { "key" + std::to_string(n), "workspace", label, {} };
    std::memcpy(key.digest.data(), &n, sizeof n);
    return key;
}

/// A change and its expected outcome in startState(), which has version 1, key 1 issued and key 2 withdrawn.
struct Step {
    pw::Change change;
    ChangeOutcome outcome;
};

std::ostream& operator<<(std::ostream& stream, const Step& step)
{
    return stream << step.change.id;
}

pw::IssueKey sameDigest(pw::IssueKey key)
{
    key.keyId = "other";
    return key;
}

const Step steps[] {
    { { "next version", pw::SubmitConfiguration { 1, "two" } }, ChangeOutcome::Accepted },
    { { "old version", pw::SubmitConfiguration { 0, "two" } }, ChangeOutcome::Conflict },
    { { "version ahead", pw::SubmitConfiguration { 2, "two" } }, ChangeOutcome::Conflict },
    { { "empty text", pw::SubmitConfiguration { 1, "" } }, ChangeOutcome::Invalid },
    { { "large text", pw::SubmitConfiguration { 1, std::string(pw::config::maxConfigurationBytes + 1, 'x') } }, ChangeOutcome::Invalid },
    { { "", pw::SubmitConfiguration { 1, "two" } }, ChangeOutcome::Invalid },
    { { "new key", keyOf(3) }, ChangeOutcome::Accepted },
    { { "key id in use", keyOf(1) }, ChangeOutcome::Invalid },
    { { "digest in use", sameDigest(keyOf(1)) }, ChangeOutcome::Invalid },
    { { "withdrawn digest", sameDigest(keyOf(2)) }, ChangeOutcome::Invalid },
    { { "withdraw", pw::WithdrawKey { "key1" } }, ChangeOutcome::Accepted },
    { { "withdraw again", pw::WithdrawKey { "key2" } }, ChangeOutcome::Invalid },
    { { "withdraw unknown", pw::WithdrawKey { "key9" } }, ChangeOutcome::Invalid },
};

pw::FleetState startState()
{
    pw::FleetState state;
    state.apply(1, { "c1", pw::SubmitConfiguration { 0, "one" } });
    state.apply(2, { "k1", keyOf(1) });
    state.apply(3, { "k2", keyOf(2) });
    state.apply(4, { "w2", pw::WithdrawKey { "key2" } });
    state.applyMembers(5, { { 1, "a", "a:1", true } });
    return state;
}

} // namespace

BOOST_AUTO_TEST_SUITE(FleetState)

BOOST_DATA_TEST_CASE(changesAreAcceptedOrRefused, data::make(steps))
{
    auto state = startState();
    const auto before = state.image();
    const auto applied = state.apply(6, sample.change);
    BOOST_TEST((applied.result.outcome == sample.outcome));
    BOOST_TEST(applied.delta.has_value() == (sample.outcome == ChangeOutcome::Accepted));
    BOOST_TEST(state.image().index() == 6U);
    if (applied.delta) {
        auto daemon = before;
        daemon.apply(*applied.delta);
        BOOST_TEST((daemon == state.image()));
        BOOST_TEST((state.apply(7, sample.change).result == applied.result)); // Re-sent.
        BOOST_TEST(state.image().configuration().version == applied.result.version);
    }
}

BOOST_AUTO_TEST_CASE(snapshotKeepsEverything)
{
    const auto state = startState();
    const auto read = pw::decodeFleetState(pw::encodeFleetState(state));
    BOOST_REQUIRE(read);
    BOOST_TEST((read->image() == state.image()));
    BOOST_TEST((read->storedAnswers() == state.storedAnswers()));
    BOOST_TEST((read->history() == state.history()));
    BOOST_TEST(read->image().keyOf(keyOf(1).digest) != nullptr);
    BOOST_TEST(read->image().keyOf(keyOf(2).digest) == nullptr);
}

BOOST_AUTO_TEST_CASE(largestStateFitsIntoOneMessage)
{
    const std::string field(pw::config::maxChangeFieldBytes, 'x');
    pw::FleetState state;
    state.apply(1, { "c", pw::SubmitConfiguration { 0, std::string(pw::config::maxConfigurationBytes, 'x') } });
    std::uint64_t n = 2;
    auto last = ChangeOutcome::Accepted;
    for (; last == ChangeOutcome::Accepted; ++n) {
        last = state.apply(n, { std::to_string(n) + field.substr(8), keyOf(n, {}) }).result.outcome;
    }
    for (const auto end = n + pw::config::maxStoredAnswers; n < end; ++n) {
        state.apply(n, { std::to_string(n) + field.substr(8), pw::WithdrawKey { "no such key" } });
    }
    BOOST_TEST(state.storedAnswers().size() == pw::config::maxStoredAnswers);
    BOOST_TEST(pw::encodeFleetState(state).size() < pw::config::maxFrameBytes);
}

BOOST_AUTO_TEST_CASE(damagedMessagesAreRefused)
{
    auto bytes = pw::encodeFleetState(startState());
    for (std::size_t n = 0; n < bytes.size(); ++n) {
        auto damaged = bytes;
        damaged[n] ^= std::byte { 0xff };
        pw::decodeFleetState(damaged); // Must not crash, whatever the result.
        pw::decodeRaftMessage(damaged);
        pw::decodeSessionReply(damaged);
        pw::decodeOperatorAsk(damaged);
    }
    bytes.resize(bytes.size() / 2);
    BOOST_TEST(!pw::decodeFleetState(bytes).has_value());
}

BOOST_AUTO_TEST_SUITE_END()
