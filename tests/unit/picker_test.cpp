#include "core/picker.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <map>

namespace data = boost::unit_test::data;
using namespace std::chrono_literals;
using pw::RunOutcome;
using pw::TimePoint;

namespace {

const pw::PickContext here { "d0", "west", {}, {} };

/// Six servers, two in each of three failure domains, and the picker of a daemon in the first of these.
struct Fleet {
    explicit Fleet(std::uint64_t seed)
        : picker(seed)
    {
        for (auto n = 0; n < 6; ++n) {
            pw::ServerEntry entry;
            entry.name = "s" + std::to_string(n);
            entry.failureDomain = "d" + std::to_string(n / 2);
            entry.region = "west";
            entry.slots = entry.connections = 10;
            servers.push_back(entry);
        }
    }

    std::string pick(const pw::PickContext& context = here)
    {
        auto n = picker.pick(servers, context, now);
        return n ? servers[*n].name : "";
    }

    void call(const std::string& name, RunOutcome outcome, pw::Duration latency = 10ms, std::uint32_t limit = 10)
    {
        picker.started(name, now);
        now += 1ms;
        pw::LoadHint hint { 0, 0, limit, {}, false };
        picker.finished(name, outcome, latency, outcome == RunOutcome::Ok ? &hint : nullptr, now);
    }

    /// Reports an answer of every server, so that the limits are known.
    void reportLimits()
    {
        for (const auto& server : servers) {
            call(server.name, RunOutcome::Ok);
        }
    }

    std::map<std::string, int> count(int picks, const pw::PickContext& context = here)
    {
        std::map<std::string, int> counts;
        for (auto n = 0; n < picks; ++n) {
            ++counts[pick(context)];
        }
        return counts;
    }

    pw::Picker picker;
    std::vector<pw::ServerEntry> servers;
    TimePoint now { 100s };
};

} // namespace

BOOST_AUTO_TEST_SUITE(Pickers)

BOOST_DATA_TEST_CASE(usesTheOwnFailureDomainUntilItIsLoaded, data::xrange(1, 4), seed)
{
    Fleet fleet(static_cast<std::uint64_t>(seed));
    fleet.reportLimits();
    std::map<std::string, int> counts;
    for (auto n = 0; n < 50; ++n) {
        auto name = fleet.pick();
        fleet.picker.started(name, fleet.now);
        ++counts[name];
    }
    BOOST_TEST(counts["s0"] >= 7);
    BOOST_TEST(counts["s1"] >= 7);
    for (const auto& [name, count] : counts) {
        BOOST_TEST(count <= 13, name << " has " << count);
    }
    BOOST_TEST(counts.size() == 6U);
}

BOOST_AUTO_TEST_CASE(neverPicksExcludedOrLeavingServers)
{
    Fleet fleet(1);
    fleet.reportLimits();
    fleet.servers[1].leaving = true;
    auto counts = fleet.count(200, { "d0", "west", { "s0", "s2" } });
    BOOST_TEST(counts.count("s0") + counts.count("s1") + counts.count("s2") == 0U);
    auto none = fleet.count(1, { "d0", "west", { "s0", "s1", "s2", "s3", "s4", "s5" } });
    BOOST_TEST(none.count("") == 1U);
    BOOST_TEST(!fleet.picker.pick({}, here, fleet.now).has_value());
}

/// Guards against using an evacuated failure domain because it is the nearest or because the servers elsewhere fail.
BOOST_DATA_TEST_CASE(neverPicksServersInEvacuatedDomains, data::make({ false, true }), othersFail)
{
    Fleet fleet(1);
    fleet.reportLimits();
    for (auto n = 0; othersFail && n < 5; ++n) {
        for (const auto& server : fleet.servers) {
            fleet.call(server.name, server.failureDomain == "d0" ? RunOutcome::Ok : RunOutcome::Failed);
        }
    }
    auto context = here;
    context.isEvacuated = [](const std::string& failureDomain) { return failureDomain == "d0"; };
    auto counts = fleet.count(200, context);
    BOOST_TEST(counts.count("s0") + counts.count("s1") + counts.count("") == 0U);
    context.isEvacuated = [](const std::string&) { return true; };
    BOOST_TEST(fleet.count(1, context).count("") == 1U);
}

BOOST_AUTO_TEST_CASE(avoidsAFailingServerAndProbesItOnceInAWhile)
{
    Fleet fleet(1);
    fleet.reportLimits();
    for (auto n = 0; n < 5; ++n) {
        fleet.call("s0", RunOutcome::Failed);
    }
    BOOST_TEST(fleet.count(200).count("s0") == 0U);
    fleet.now += 2s;
    auto probes = 0;
    for (auto n = 0; n < 100; ++n) {
        auto name = fleet.pick();
        probes += name == "s0" ? 1 : 0;
        if (name == "s0") {
            fleet.picker.started(name, fleet.now);
        }
    }
    BOOST_TEST(probes == 1);
    pw::LoadHint hint { 0, 0, 10, {}, false };
    fleet.picker.finished("s0", RunOutcome::Ok, 10ms, &hint, fleet.now);
    BOOST_TEST(fleet.count(200)["s0"] > 50);
}

BOOST_AUTO_TEST_CASE(usesWhatThereIsWhenEveryServerFails)
{
    Fleet fleet(1);
    for (auto n = 0; n < 6; ++n) {
        for (const auto& server : fleet.servers) {
            fleet.call(server.name, RunOutcome::Failed);
        }
    }
    BOOST_TEST(fleet.count(10).count("") == 0U);
}

BOOST_AUTO_TEST_CASE(givesASlowServerLessAndForgivesItInTime)
{
    Fleet fleet(1);
    fleet.reportLimits();
    for (auto n = 0; n < 50; ++n) {
        fleet.call("s0", RunOutcome::Ok, 500ms);
        fleet.call("s1", RunOutcome::Ok, 20ms);
    }
    BOOST_TEST(fleet.count(200)["s0"] == 0);
    fleet.now += 10s;
    BOOST_TEST(fleet.count(200)["s0"] > 0);
}

BOOST_AUTO_TEST_CASE(aNewServerGetsLittleUntilItAnswers)
{
    Fleet fleet(1);
    fleet.reportLimits();
    fleet.servers[0].name = "new";
    auto sent = 0;
    for (auto n = 0; n < 30; ++n) {
        auto name = fleet.pick();
        fleet.picker.started(name, fleet.now);
        sent += name == "new" ? 1 : 0;
    }
    BOOST_TEST(sent <= 3);
    fleet.picker.retain({ "s1" });
    BOOST_TEST(fleet.picker.outstanding("new") == static_cast<std::uint32_t>(sent));
}

/// Guards against starving a new server: without a first answer its limit stays low, so nearly idle servers would always
/// be preferred.
BOOST_AUTO_TEST_CASE(aNewServerGetsARequestAlthoughOthersAreIdle)
{
    Fleet fleet(1);
    fleet.reportLimits();
    fleet.servers[0].name = "new";
    auto picked = 0;
    for (auto n = 0; n < 20; ++n) {
        const auto name = fleet.pick();
        picked += name == "new" ? 1 : 0;
        fleet.call(name, RunOutcome::Ok);
    }
    BOOST_TEST(picked > 0);
}

/// Guards against requests for a server that has left, listed again by a restarted daemon that does not know it.
BOOST_AUTO_TEST_CASE(aStartThatHasLeftIsNotUsedAgain)
{
    Fleet fleet(1);
    fleet.servers.resize(2);
    fleet.servers[0].backendIncarnation = 7;
    fleet.reportLimits();
    fleet.picker.started("s0", fleet.now);
    pw::LoadHint hint { .limit = 10, .leaving = true, .backendStart = 7, .departed = true };
    fleet.picker.finished("s0", RunOutcome::Ok, 10ms, &hint, fleet.now);
    fleet.now += 60s;
    BOOST_TEST(fleet.count(50)["s0"] == 0);
    fleet.servers[0].backendIncarnation = 8;
    BOOST_TEST(fleet.count(50)["s0"] > 0);
}

struct RateRow {
    const char* name;
    double limit;
    double offered; ///< Requests per second for the limited server.
    pw::Duration age; ///< Of its load hint.
    bool avoided;
};

std::ostream& operator<<(std::ostream& out, const RateRow& row)
{
    return out << row.name;
}

const std::vector<RateRow> rateRows {
    { "at its limit", 10, 10, 0s, true },
    { "above its limit", 10, 200, 1s, true },
    { "far below its limit", 10, 0.5, 0s, false },
    { "avoided for some time", 10, 10, 5s, false },
    { "a limit of zero", 0, 1, 0s, true },
    { "a limit of zero, avoided for some time", 0, 1, 10s, false },
};

/// Guards against overloading a server with a rate limit, and against never asking it again whether the limit still holds.
BOOST_DATA_TEST_CASE(aServerAtItsRateLimitIsAvoidedForAWhile, data::make(rateRows), row)
{
    Fleet fleet(1);
    fleet.servers.resize(2);
    fleet.reportLimits();
    fleet.picker.started("s0", fleet.now);
    pw::LoadHint hint { .limit = 10, .requestsPerSecond = row.limit, .offeredPerSecond = row.offered };
    fleet.picker.finished("s0", RunOutcome::Ok, 10ms, &hint, fleet.now);
    fleet.now += row.age;
    BOOST_TEST((fleet.count(50)["s0"] == 0) == row.avoided);
}

/// Which of a warming server and another one are used.
struct WarmUpRow {
    const char* name;
    double entryRate; ///< In the membership view.
    std::optional<double> hintRate; ///< In a load hint of the warming server; empty if it has sent none.
    pw::Duration age; ///< Of that hint.
    double offered; ///< Requests per second for the warming server.
    std::uint32_t running; ///< At the other server, of ten.
    bool usesWarming;
    bool usesOther;
};

std::ostream& operator<<(std::ostream& out, const WarmUpRow& row)
{
    return out << row.name;
}

const std::vector<WarmUpRow> warmUpRows {
    { "known from the view, the other idle", 13, {}, 0s, 0, 0, false, true },
    { "known from the view, the other below the threshold", 13, {}, 0s, 0, 6, false, true },
    { "known from the view, the other loaded", 13, {}, 0s, 0, 8, true, false },
    { "known from a hint, the other idle", 0, 13, 0s, 1, 0, false, true },
    { "known from a hint, the other loaded", 0, 13, 0s, 1, 8, true, false },
    { "exhausted, the other loaded", 0, 13, 0s, 13, 8, false, true },
    { "exhausted, the other overloaded", 0, 13, 0s, 13, 30, false, true },
    { "the view is later than the end", 13, 0, 0s, 0, 0, true, true },
    { "the hint is old, the view says warm", 0, 13, 3s, 1, 0, true, true },
    { "the hint is old, the view says cold", 13, 0, 3s, 0, 0, false, true },
};

/// Guards against load on cold servers that the others could take, and against leaving it out where they can not.
BOOST_DATA_TEST_CASE(aWarmingServerTakesOnlyTheRest, data::make(warmUpRows), row)
{
    Fleet fleet(1);
    fleet.servers.resize(2);
    fleet.servers[0].warmUpRate = row.entryRate;
    if (row.hintRate) {
        fleet.picker.started("s0", fleet.now);
        pw::LoadHint hint { .limit = 10, .offeredPerSecond = row.offered, .warmUpRate = *row.hintRate };
        fleet.picker.finished("s0", RunOutcome::Ok, 10ms, &hint, fleet.now);
        fleet.now += row.age;
    }
    fleet.picker.started("s1", fleet.now);
    pw::LoadHint hint { .running = row.running, .limit = 10 };
    fleet.picker.finished("s1", RunOutcome::Ok, 10ms, &hint, fleet.now);
    auto counts = fleet.count(50);
    BOOST_TEST((counts["s0"] > 0) == row.usesWarming);
    BOOST_TEST((counts["s1"] > 0) == row.usesOther);
}

/// Guards against many requests to a cold server before its first answer tells how many others send, and against none at all
/// where every server is cold.
BOOST_AUTO_TEST_CASE(whereAllServersAreColdEachGetsFewRequestsBeforeItsFirstAnswer)
{
    Fleet fleet(1);
    std::ranges::for_each(fleet.servers, [](pw::ServerEntry& it) { it.warmUpRate = 13; });
    for (auto n = 0; n < 12; ++n) {
        const auto server = fleet.pick();
        BOOST_REQUIRE(!server.empty());
        fleet.picker.started(server, fleet.now);
    }
    for (const auto& server : fleet.servers) {
        BOOST_TEST(fleet.picker.outstanding(server.name) == 2U);
        BOOST_TEST(!fleet.picker.hasCapacity(server, fleet.now));
    }
    BOOST_TEST(!fleet.pick().empty()); // The daemon beside the server states when to retry.
}

BOOST_AUTO_TEST_SUITE_END()
