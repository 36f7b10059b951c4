#include "app/connection_limiter.h"
#include "support/fake_network.h"
#include "support/fleet_fakes.h"

#include <boost/test/unit_test.hpp>

#include <filesystem>
#include <fstream>
#include <iterator>
#include <vector>

BOOST_AUTO_TEST_SUITE(ConnectionBounds)

BOOST_AUTO_TEST_CASE(callersWaitOnlyWhileTooManyFilesAreOpen)
{
    pw::test::FakeTimers timers;
    pw::test::NullEventLog log;
    std::size_t open = 9;
    std::vector<bool> pauses;
    pw::ConnectionLimiter limiter(
        timers, log, 10, [&] { return open; }, [&](bool pause) { pauses.push_back(pause); });
    timers.run(std::chrono::seconds(1));
    BOOST_TEST(pauses.empty());
    open = 10;
    timers.run(std::chrono::seconds(1));
    open = 3;
    timers.run(std::chrono::seconds(1));
    BOOST_TEST((pauses == std::vector { true, false }));
}

BOOST_AUTO_TEST_CASE(thisProcessHasOpenFiles)
{
    BOOST_TEST(pw::countOpenFiles() >= 3U);
}

/// Guards against a count that differs from the listing of the open files, which kernels before Linux 6.2 need.
BOOST_AUTO_TEST_CASE(theCountOfOpenFilesIsThatOfTheirListing)
{
    // The listing is closed before the other count, and each counts one descriptor of a listing.
    const auto listed = [] {
        std::filesystem::directory_iterator listing("/proc/self/fd");
        return static_cast<std::size_t>(std::distance(begin(listing), end(listing)));
    };
    std::vector<std::ifstream> files;
    for (auto n = 0; n < 20; ++n) {
        BOOST_TEST(pw::countOpenFiles() == listed());
        files.emplace_back("/proc/self/status");
    }
}

BOOST_AUTO_TEST_SUITE_END()
