#include "support/server_role_fixture.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <ostream>
#include <string>
#include <vector>

namespace {

using namespace pw;
using namespace pw::test;
using namespace std::chrono_literals;

/// A message of the backend server, some time after the one before.
struct Message {
    Duration after;
    std::string instance;
    std::uint64_t started = 0;
    std::uint64_t sequence = 0; ///< Zero: a leave notice instead of an announcement.
};

/// Messages that follow the announcements of the start "i-1", 5 with the sequence numbers 1 to 10.
struct OrderRow {
    const char* name;
    std::vector<Message> messages;
    bool inUse; ///< A server is offered to the fleet at the end.
    std::string current; ///< Instance and start time of that server.
};

std::ostream& operator<<(std::ostream& out, const OrderRow& row)
{
    return out << row.name;
}

const std::vector<OrderRow> orderRows {
    { "nothing", {}, true, "i-1 5" },
    { "a late announcement of the same start", { { 0s, "i-1", 5, 3 } }, true, "i-1 5" },
    { "a later start", { { 1s, "i-1", 6, 1 } }, true, "i-1 6" },
    { "a late announcement of an earlier start", { { 1s, "i-1", 4, 8 } }, true, "i-1 5" },
    { "late announcements of an earlier start, together", { { 1s, "i-1", 4, 8 }, { 300ms, "i-1", 4, 9 } }, true, "i-1 5" },
    { "late announcements of an earlier start, between those of the current one", { { 1s, "i-1", 4, 8 }, { 500ms, "i-1", 5, 11 }, { 1s, "i-1", 4, 9 } }, true,
        "i-1 5" },
    { "the same late announcement twice", { { 1s, "i-1", 4, 8 }, { 1500ms, "i-1", 4, 8 } }, true, "i-1 5" },
    { "a start after the clock has stepped back", { { 1s, "i-1", 4, 1 }, { 1500ms, "i-1", 4, 2 } }, true, "i-1 4" },
    { "a start under another name after the clock has stepped back", { { 1s, "i-2", 4, 1 }, { 1500ms, "i-2", 4, 2 } }, true, "i-2 4" },
    { "a late announcement of the start before that one", { { 1s, "i-1", 4, 1 }, { 1500ms, "i-1", 4, 2 }, { 1s, "i-1", 5, 11 } }, true, "i-1 4" },
    { "the start before that one is alive after all",
        { { 1s, "i-1", 4, 1 }, { 1500ms, "i-1", 4, 2 }, { 500ms, "i-1", 5, 11 }, { 1500ms, "i-1", 5, 12 } }, true, "i-1 5" },
    { "a later start, and a late announcement of the one before", { { 1s, "i-1", 6, 1 }, { 500ms, "i-1", 5, 11 } }, true, "i-1 6" },
    { "leave after the clock has stepped back", { { 1s, "i-1", 4, 1 }, { 1500ms, "i-1", 4, 2 }, { 1s, "i-1", 4, 0 } }, false, "" },
    { "leave at once after the clock has stepped back", { { 1s, "i-1", 4, 1 }, { 500ms, "i-1", 4, 0 } }, false, "" },
    { "leave as the first message after the clock has stepped back", { { 1s, "i-1", 4, 0 } }, false, "" },
    { "leave as the first message of a later start", { { 1s, "i-1", 6, 0 } }, false, "" },
    { "leave, and a late announcement of the start before", { { 1s, "i-1", 4, 0 }, { 500ms, "i-1", 5, 11 } }, false, "" },
    { "late leave of the start before", { { 1s, "i-1", 6, 1 }, { 500ms, "i-1", 5, 0 } }, true, "i-1 6" },
    { "late leave of an unknown start, while the current one is alive", { { 1s, "i-1", 4, 0 }, { 500ms, "i-1", 5, 11 }, { 1500ms, "i-1", 5, 12 } }, true, "i-1 5" },
    { "leave of another server", { { 1s, "i-0", 4, 0 } }, true, "i-1 5" },
};

} // namespace

BOOST_AUTO_TEST_SUITE(StartOrders)

/// Guards against a server whose messages are acknowledged and ignored because its clock has stepped back between two starts, and
/// against late messages of another start that are taken for those of the current one.
BOOST_DATA_TEST_CASE(theStartThatAnnouncesItselfIsTheCurrentOne, boost::unit_test::data::make(orderRows), row)
{
    ServerRoleFixture fixture;
    fixture.settings.announcementLease = 10s;
    const auto announce = [&fixture](const std::string& instance, std::uint64_t started, std::uint64_t sequence) {
        auto announcement = fixture.announcement(started);
        announcement.instance = instance;
        announcement.sequence = sequence;
        std::string reason;
        BOOST_REQUIRE(fixture.role.announce(announcement, reason));
        return fixture.directory.last;
    };
    for (std::uint64_t sequence = 1; sequence <= 10; ++sequence) {
        announce("i-1", 5, sequence);
    }
    for (const auto& it : row.messages) {
        fixture.timers.run(it.after);
        if (it.sequence > 0) {
            announce(it.instance, it.started, it.sequence);
        } else {
            fixture.role.onServerLeaving(it.instance, it.started);
        }
    }
    const auto& entry = fixture.directory.last;
    BOOST_TEST(!entry.leaving == row.inUse);
    if (row.inUse) {
        // Another daemon shows by which incarnation the fleet knows the expected start.
        ServerRoleFixture other;
        auto announcement = other.announcement(static_cast<std::uint64_t>(row.current.back() - '0'));
        announcement.instance = row.current.substr(0, row.current.find(' '));
        std::string reason;
        BOOST_REQUIRE(other.role.announce(announcement, reason));
        BOOST_TEST(entry.backendIncarnation == other.directory.last.backendIncarnation);
    }
}

BOOST_AUTO_TEST_SUITE_END()
