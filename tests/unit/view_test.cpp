#include "app/control_view.h"
#include "app/daemon_view.h"
#include "config.h"
#include "core/membership_view.h"
#include "support/fake_network.h"
#include "support/fleet_fakes.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace {

using namespace pw;
using namespace pw::test;
using namespace std::chrono_literals;

const std::vector<PeerAddress> members { "c0", "c1", "c2" };
const std::string service = "forecast";

/// Simulated control members and daemons, each daemon with its backend server.
class ViewFleet {
public:
    ViewFleet(std::uint64_t seed, std::size_t daemons)
        : network(timers, seed)
        , m_random(seed)
        , m_members(members.size())
        , m_daemons(daemons)
        , m_entries(daemons)
    {
        for (std::size_t n = 0; n < members.size(); ++n) {
            startMember(n);
        }
        for (std::size_t n = 0; n < daemons; ++n) {
            startDaemon(n);
        }
    }

    void startMember(std::size_t n)
    {
        stopMember(n);
        m_members[n] = std::make_unique<Member>(*this, members[n], m_random());
    }

    void stopMember(std::size_t n) { m_members[n].reset(); }

    void startDaemon(std::size_t n)
    {
        m_daemons[n].reset();
        const auto name = "d" + std::to_string(n);
        m_daemons[n] = std::make_unique<Daemon>(*this, name, m_random());
        m_entries[n] = { name, service, name, "fd1", "r1", 10, 20, m_entries[n].incarnation + 1, 1, false };
        m_daemons[n]->view.publish(m_entries[n]);
    }

    void stopDaemon(std::size_t n) { m_daemons[n].reset(); }

    void leave(std::size_t n)
    {
        if (m_daemons[n]) {
            ++m_entries[n].sequence;
            m_entries[n].leaving = true;
            m_daemons[n]->view.publish(m_entries[n]);
        }
    }

    /// \returns whether the view of daemon \p n contains the server of daemon \p server.
    bool sees(std::size_t n, std::size_t server) const
    {
        const auto& servers = m_daemons[n]->view.servers(service);
        return std::ranges::find(servers, "d" + std::to_string(server), &ServerEntry::name) != servers.end();
    }

    std::size_t seenBy(std::size_t n) const { return m_daemons[n]->view.servers(service).size(); }

    /// \returns whether for every running daemon, the presence of \p server in its view is as \p expected.
    bool allSee(std::size_t server, bool expected) const
    {
        for (std::size_t n = 0; n < m_daemons.size(); ++n) {
            if (m_daemons[n] && sees(n, server) != expected) {
                return false;
            }
        }
        return true;
    }

    /// \returns whether every running daemon sees exactly the servers of running daemons that are not leaving.
    bool converged() const
    {
        for (std::size_t server = 0; server < m_daemons.size(); ++server) {
            if (!allSee(server, m_daemons[server] && !m_entries[server].leaving)) {
                return false;
            }
        }
        return true;
    }

    std::size_t attachedTo(std::size_t member) const { return m_members[member] ? m_members[member]->view.attached() : 0; }

    FakeTimers timers;
    FakeNetwork network;

private:
    struct Member {
        Member(ViewFleet& fleet, const PeerAddress& address, std::uint64_t seed)
            : peer(fleet.network, address)
            , view(daemonSettings(address, members), peer, fleet.timers, seed, fleet.m_events)
        {
        }

        FakePeer peer;
        ControlView view;
    };

    struct Daemon {
        Daemon(ViewFleet& fleet, const PeerAddress& address, std::uint64_t seed)
            : peer(fleet.network, address)
            , view(daemonSettings(address, members), peer, fleet.timers, seed, fleet.m_events)
        {
        }

        FakePeer peer;
        DaemonView view;
    };

    NullEventLog m_events;
    Random m_random;
    std::vector<std::unique_ptr<Member>> m_members;
    std::vector<std::unique_ptr<Daemon>> m_daemons;
    std::vector<ServerEntry> m_entries;
};

constexpr std::size_t daemons = 12;

void injectRandomFault(ViewFleet& fleet, Random& random)
{
    const auto what = uniform(random);
    const auto member = random() % members.size();
    const auto daemon = random() % daemons;
    if (what < 0.1) {
        fleet.startMember(member);
    } else if (what < 0.2) {
        fleet.stopMember(member);
    } else if (what < 0.4) {
        fleet.startDaemon(daemon);
    } else if (what < 0.5) {
        fleet.stopDaemon(daemon);
    } else if (what < 0.7) {
        fleet.leave(daemon);
    } else if (what < 0.8) {
        fleet.network.cut("d" + std::to_string(daemon), members[member]);
    } else if (what < 0.85) {
        fleet.network.cut(members[member], members[random() % members.size()]);
    } else {
        fleet.network.healAll();
    }
}

} // namespace

BOOST_AUTO_TEST_SUITE(view)

BOOST_DATA_TEST_CASE(viewsConvergeAfterAnyFaults, boost::unit_test::data::xrange(1, 41), seed)
{
    ViewFleet fleet(static_cast<std::uint64_t>(seed), daemons);
    fleet.network.faults = { 1ms, 80ms, 0.15, 0.1, false };
    Random random(static_cast<std::uint64_t>(seed));
    for (int n = 0; n < 100; ++n) {
        injectRandomFault(fleet, random);
        fleet.timers.run(std::chrono::milliseconds(random() % 2000));
    }
    fleet.network.healAll();
    fleet.network.faults = {};
    for (std::size_t n = 0; n < members.size(); ++n) {
        fleet.startMember(n); // All at once: every member loses its view.
    }
    fleet.timers.run(config::viewMemberGrace + 6s);
    BOOST_TEST(fleet.converged());
}

BOOST_DATA_TEST_CASE(viewsConvergeWithLossAndWithoutRestarts, boost::unit_test::data::xrange(1, 21), seed)
{
    ViewFleet fleet(static_cast<std::uint64_t>(seed), daemons);
    fleet.network.faults = { 1ms, 80ms, 0.15, 0.1, false };
    Random random(static_cast<std::uint64_t>(seed));
    for (int n = 0; n < 60; ++n) {
        if (n % 3 == 0) {
            fleet.startDaemon(random() % daemons);
        } else {
            fleet.leave(random() % daemons);
        }
        fleet.timers.run(std::chrono::milliseconds(random() % 500));
    }
    fleet.network.faults = {};
    fleet.timers.run(4s);
    BOOST_TEST(fleet.converged());
}

BOOST_AUTO_TEST_CASE(changesReachEveryDaemonWithinTwoSeconds)
{
    ViewFleet fleet(1, daemons);
    fleet.timers.run(2s);
    BOOST_TEST(fleet.converged());
    fleet.leave(3);
    fleet.timers.run(2s);
    BOOST_TEST(fleet.allSee(3, false));
    fleet.startDaemon(3);
    fleet.timers.run(2s);
    BOOST_TEST(fleet.allSee(3, true));
}

/// Guards against a daemon without a view when it restarts twice in a row: its full view was sent recently, so the minimum
/// interval between full views would delay the next one.
BOOST_DATA_TEST_CASE(daemonThatRestartsAgainSeesTheServersWithItsFirstReport, boost::unit_test::data::xrange(1, 41), seed)
{
    ViewFleet fleet(static_cast<std::uint64_t>(seed), daemons);
    fleet.timers.run(5s);
    fleet.startDaemon(5);
    fleet.timers.run(1500ms);
    fleet.startDaemon(5);
    fleet.timers.run(config::viewReportInterval + 200ms);
    BOOST_TEST(fleet.seenBy(5) >= daemons - 1);
}

BOOST_AUTO_TEST_CASE(silentServerLapses)
{
    ViewFleet fleet(2, daemons);
    fleet.timers.run(5s);
    fleet.stopDaemon(5);
    fleet.timers.run(1s);
    BOOST_TEST(fleet.sees(0, 5));
    fleet.timers.run(config::announcementLease + 1s);
    BOOST_TEST(fleet.allSee(5, false));
}

BOOST_AUTO_TEST_CASE(deathOfAMemberHidesNoServer)
{
    ViewFleet fleet(3, daemons);
    fleet.timers.run(10s);
    const auto before = fleet.attachedTo(1);
    BOOST_TEST(before > 0U);
    fleet.stopMember(1);
    for (int n = 0; n < 200; ++n) {
        fleet.timers.run(100ms);
        BOOST_TEST(fleet.converged());
    }
    BOOST_TEST(fleet.attachedTo(0) + fleet.attachedTo(2) == daemons);
    fleet.leave(4);
    fleet.timers.run(2s);
    BOOST_TEST(fleet.allSee(4, false));
}

BOOST_AUTO_TEST_CASE(serverThatDiesWithItsMemberLapses)
{
    ViewFleet fleet(4, daemons);
    fleet.timers.run(10s);
    fleet.stopMember(1);
    for (std::size_t n = 0; n < 6; ++n) {
        fleet.stopDaemon(n);
    }
    fleet.timers.run(config::viewMemberGrace + 3s);
    BOOST_TEST(fleet.converged());
}

BOOST_AUTO_TEST_CASE(restartedMemberDoesNotEmptyTheViewOfItsDaemons)
{
    ViewFleet fleet(5, daemons);
    fleet.timers.run(10s);
    for (std::size_t n = 0; n < members.size(); ++n) {
        fleet.startMember(n);
    }
    for (int n = 0; n < 150; ++n) {
        fleet.timers.run(100ms);
        BOOST_TEST(fleet.converged());
    }
}

BOOST_AUTO_TEST_CASE(restartOfOneMemberHidesNoServer)
{
    ViewFleet fleet(9, daemons);
    fleet.timers.run(10s);
    fleet.startMember(1);
    for (int n = 0; n < 200; ++n) {
        fleet.timers.run(100ms);
        BOOST_TEST(fleet.converged());
    }
}

BOOST_AUTO_TEST_CASE(lateRecordOfAnEarlierVersionChangesNothing)
{
    const TimePoint now { 1h };
    MembershipView view("c0", { "c1", "c2" }, { config::announcementLease, config::viewMemberGrace, config::viewTombstoneRetention }, now);
    ViewRecord record { { "d1", service, "d1", "fd1", "r1", 1, 1, 1, 1, false }, "c1", 1, 0, false };
    auto leaving = record;
    leaving.entry.sequence = 2;
    leaving.entry.leaving = true;
    view.merge("c1", { false, { leaving } }, now);
    view.merge("c1", { false, { record } }, now);
    BOOST_TEST(view.find("d1")->entry.leaving);
    record.attachment = 9; // From another member, which has not yet received the leaving record.
    record.owner = "c2";
    view.merge("c2", { false, { record } }, now);
    BOOST_TEST(view.find("d1")->entry.leaving);
}

BOOST_AUTO_TEST_CASE(lossOfAllMembersLeavesTheLastView)
{
    ViewFleet fleet(6, daemons);
    fleet.timers.run(5s);
    for (std::size_t n = 0; n < members.size(); ++n) {
        fleet.stopMember(n);
    }
    fleet.timers.run(60s);
    BOOST_TEST(fleet.converged());
}

BOOST_AUTO_TEST_CASE(memberCutOffFromTheOthersKeepsShowingTheirServers)
{
    ViewFleet fleet(7, daemons);
    fleet.timers.run(10s);
    fleet.network.cut("c0", "c1");
    fleet.network.cut("c0", "c2");
    fleet.timers.run(60s);
    BOOST_TEST(fleet.seenBy(0) == daemons);
    BOOST_TEST(fleet.attachedTo(0) > 0U);
    fleet.network.healAll();
    fleet.timers.run(5s);
    BOOST_TEST(fleet.converged());
}

/// A server that left, and the announcement by a later process of its daemon.
struct LateAnnouncement {
    const char* name;
    std::uint64_t departedBackend; ///< Identity of the backend server process that left; zero if unknown.
    std::uint64_t announcedBackend; ///< Identity that is announced afterwards.
    bool staysLeaving;
};

std::ostream& operator<<(std::ostream& out, const LateAnnouncement& row)
{
    return out << row.name;
}

const std::vector<LateAnnouncement> lateAnnouncements {
    { "the same start", 7, 7, true },
    { "another start", 7, 8, false },
    { "starts without names", 0, 0, false },
};

ServerEntry entryOf(std::uint64_t incarnation, std::uint64_t backend, bool leaving)
{
    ServerEntry entry;
    entry.name = "d0";
    entry.service = service;
    entry.incarnation = incarnation;
    entry.sequence = 1;
    entry.backendIncarnation = backend;
    entry.leaving = leaving;
    return entry;
}

DaemonReport reportOf(const ServerEntry& entry)
{
    DaemonReport report;
    report.attachment = 1;
    report.entry = entry;
    report.incarnation = entry.incarnation;
    report.sequence = entry.sequence;
    return report;
}

constexpr MembershipTimeouts viewTimes { 3s, 6s, 60s };

BOOST_DATA_TEST_CASE(aServerThatLeftStaysAwayWhenItsDaemonRestarts, boost::unit_test::data::make(lateAnnouncements), row)
{
    const TimePoint start { 1h };
    MembershipView view("c0", { "c1" }, viewTimes, start);
    view.report("d0", reportOf(entryOf(1, row.departedBackend, true)), start);
    view.tick(start + 10s);
    BOOST_TEST(!view.visible("d0"));
    view.report("d0", reportOf(entryOf(2, row.announcedBackend, false)), start + 11s);
    BOOST_TEST(view.find("d0")->entry.leaving == row.staysLeaving);
}

BOOST_DATA_TEST_CASE(aServerThatLeftStaysAwayWhenItsDaemonTurnsToAnotherMember, boost::unit_test::data::make(lateAnnouncements), row)
{
    const TimePoint start { 1h };
    MembershipView view("c0", { "c1" }, viewTimes, start);
    view.merge("c1", { true, { { entryOf(1, row.departedBackend, true), "c1", 1, 0, false } } }, start);
    view.report("d0", reportOf(entryOf(2, row.announcedBackend, false)), start + 1s);
    BOOST_TEST(view.find("d0")->entry.leaving == row.staysLeaving);
}

BOOST_AUTO_TEST_CASE(refreshOfALeaseIsNotSentOn)
{
    ViewFleet fleet(8, daemons);
    fleet.timers.run(20s);
    const auto before = fleet.network.bytesSent(MessageKind::ViewDelta);
    fleet.timers.run(10s);
    const auto each = (fleet.network.bytesSent(MessageKind::ViewDelta) - before) / (10 * daemons);
    BOOST_TEST(each <= 100U); // One empty reply per second, without changes of other servers.
}

BOOST_AUTO_TEST_SUITE_END()
