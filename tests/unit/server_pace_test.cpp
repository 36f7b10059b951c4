#include "adapters/codec_call.h"
#include "config_pick.h"
#include "core/picker.h"
#include "core/server_pace.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <map>

namespace {

using namespace pw;
using namespace std::chrono_literals;

namespace data = boost::unit_test::data;

const PickContext here { "d0", "west", {}, {}, {}, "read" };

/// Three servers, two of them in the failure domain of the daemon that picks.
struct Fleet {
    explicit Fleet(PickBy pickBy)
        : picker(1, pickBy)
    {
        for (const auto* domain : { "d0", "d0", "d1" }) {
            ServerEntry entry;
            entry.name = "s" + std::to_string(servers.size());
            entry.failureDomain = domain;
            entry.region = "west";
            entry.slots = entry.connections = 10;
            servers.push_back(entry);
        }
    }

    void call(const std::string& server, std::chrono::microseconds workTime, std::uint32_t running = 0, std::string_view route = "read")
    {
        picker.started(server, now, route);
        now += 1ms;
        LoadHint hint { .running = running, .limit = 10, .workTime = workTime };
        picker.finished(server, RunOutcome::Ok, 1ms, &hint, now, route);
    }

    std::map<std::string, int> count(const PickContext& context = here)
    {
        std::map<std::string, int> counts;
        for (auto n = 0; n < 100; ++n) {
            ++counts[servers[*picker.pick(servers, context, now)].name];
        }
        return counts;
    }

    Picker picker;
    std::vector<ServerEntry> servers;
    TimePoint now { 100s };
};

struct PickRow {
    const char* name;
    std::array<std::chrono::microseconds, 3> work; ///< Reported by each server; zero: none.
    std::array<std::uint32_t, 3> running; ///< Of ten.
    Duration age; ///< Of the reports.
    const char* picked; ///< The only server that is picked; empty: more than one.
};

std::ostream& operator<<(std::ostream& out, const PickRow& row)
{
    return out << row.name;
}

const std::vector<PickRow> pickRows {
    { "the faster one", { 100ms, 50ms, 100ms }, { 2, 2, 2 }, 0s, "s1" },
    { "the faster one is busier", { 100ms, 50ms, 100ms }, { 0, 6, 0 }, 0s, "s1" },
    { "the faster one is full", { 60ms, 50ms, 1s }, { 0, 10, 0 }, 0s, "s0" },
    { "a farther one is a little faster", { 50ms, 1s, 42ms }, { 2, 2, 2 }, 0s, "s0" },
    { "a farther one is clearly faster", { 60ms, 60ms, 20ms }, { 2, 2, 2 }, 0s, "" },
    { "unknown work time: by load", { 100ms, 0ms, 0ms }, { 6, 2, 2 }, 0s, "s1" },
    { "old work times: by load, which is old too", { 100ms, 50ms, 100ms }, { 2, 2, 2 }, 11s, "" },
};

} // namespace

BOOST_AUTO_TEST_SUITE(ServerPaces)

/// Guards against picking a slow, full or distant server where a better one is known, and against estimates without data.
BOOST_DATA_TEST_CASE(picksTheEarliestExpectedCompletion, data::make(pickRows), row)
{
    Fleet fleet(PickBy::Completion);
    for (std::size_t n = 0; n < fleet.servers.size(); ++n) {
        fleet.call(fleet.servers[n].name, row.work.at(n), row.running.at(n));
    }
    fleet.now += row.age;
    const auto counts = fleet.count();
    if (*row.picked == 0) {
        BOOST_TEST(counts.size() > 1U);
    } else {
        BOOST_TEST(counts.size() == 1U);
        BOOST_TEST(counts.begin()->first == row.picked);
    }
}

/// Guards against rating a server as slow because it got the longer route.
BOOST_AUTO_TEST_CASE(comparesWorkTimesOfTheSameRoute)
{
    Fleet fleet(PickBy::Completion);
    fleet.servers.resize(2);
    fleet.call("s0", 50ms);
    fleet.call("s1", 60ms);
    fleet.call("s0", 900ms, 0, "export");
    BOOST_TEST(fleet.count()["s0"] == 100);
}

/// Guards against calls to a server that has stopped responding, which its last report does not tell.
BOOST_AUTO_TEST_CASE(avoidsAServerThatStalls)
{
    Fleet fleet(PickBy::Completion);
    fleet.servers.resize(2);
    fleet.call("s0", 50ms);
    fleet.call("s1", 60ms);
    fleet.picker.started("s0", fleet.now, "read");
    BOOST_TEST(fleet.count()["s0"] == 100);
    fleet.now += 100ms;
    BOOST_TEST(fleet.count()["s0"] == 0);
    fleet.picker.finished("s0", RunOutcome::Ok, 100ms, nullptr, fleet.now, "read");
    BOOST_TEST(fleet.count()["s0"] == 100);
}

/// Guards against a change of the picks by default.
BOOST_AUTO_TEST_CASE(loadIgnoresWorkTimes)
{
    Fleet reported(PickBy::Load);
    Fleet silent(PickBy::Load);
    for (auto n = 0; n < 300; ++n) {
        const auto picked = reported.picker.pick(reported.servers, here, reported.now);
        BOOST_REQUIRE((picked == silent.picker.pick(silent.servers, { "d0", "west" }, silent.now)));
        const auto name = reported.servers[*picked].name;
        reported.call(name, name == "s0" ? 1s : 1ms, static_cast<std::uint32_t>(n % 11));
        silent.call(name, 0ms, static_cast<std::uint32_t>(n % 11), "");
    }
}

BOOST_AUTO_TEST_CASE(averagesTheWorkTimeOfEachRoute)
{
    ServerPace pace;
    TimePoint now { 100s };
    BOOST_TEST(pace.workTime("read", now).count() == 0);
    for (auto n = 0; n < 100; ++n) {
        pace.add("read", n % 2 == 0 ? 40ms : 60ms, now);
        pace.add("export", 900ms, now);
        now += 10ms;
    }
    BOOST_TEST(pace.workTime("read", now).count() > 40'000);
    BOOST_TEST(pace.workTime("read", now).count() < 60'000);
    BOOST_TEST(pace.workTime("export", now).count() == 900'000);
    BOOST_TEST(pace.workTime("write", now).count() == 0);
    // A slow phase that has ended must not be reported, and does not count in the next average.
    now += config::workTimeSilence;
    BOOST_TEST(pace.workTime("export", now).count() == 0);
    pace.add("export", 100ms, now);
    BOOST_TEST(pace.workTime("export", now).count() == 100'000);
}

/// Guards against growth without bound where requests name ever new routes.
BOOST_AUTO_TEST_CASE(remembersABoundedNumberOfRoutes)
{
    ServerPace pace;
    TimePoint now { 100s };
    for (std::size_t n = 0; n <= config::maxWorkTimeRoutes; ++n) {
        now += 1ms;
        pace.add("r" + std::to_string(n), 10ms, now);
    }
    BOOST_TEST(pace.workTime("r0", now).count() == 0);
    BOOST_TEST(pace.workTime("r1", now).count() == 10'000);
}

BOOST_DATA_TEST_CASE(answersCarryTheWorkTime, data::make({ 0L, 1L, 250'000L, 0xffffffffL }), micros)
{
    Answer answer;
    answer.load.workTime = std::chrono::microseconds(micros);
    const auto decoded = decodeAnswer(encodeAnswer(answer));
    BOOST_REQUIRE(decoded.has_value());
    BOOST_TEST(decoded->load.workTime.count() == micros);
}

/// Guards against bytes on the wire for daemons without the setting. Packing leaves out fields that are zero.
BOOST_AUTO_TEST_CASE(anUnknownWorkTimeTakesNoSpace)
{
    Answer with;
    Answer without;
    with.load.workTime = 250ms;
    BOOST_TEST(encodeAnswer(without).size() < encodeAnswer(with).size());
}

BOOST_AUTO_TEST_SUITE_END()
