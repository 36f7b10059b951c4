#include "app/quarantine.h"
#include "config.h"
#include "support/server_role_fixture.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <optional>
#include <ostream>
#include <string>
#include <vector>

namespace {

using namespace pw;
using namespace pw::test;
using namespace std::chrono_literals;

constexpr RequestDigest digest = 7;
constexpr std::chrono::milliseconds lease { 1000 };

/// Suspects that the test sets.
class FakeSuspects : public SuspectRegistry, public ControlAttachment {
public:
    const SuspectMap& suspects() const override { return m_suspects; }
    const PeerAddress& controlMember() const override { return m_none; }
    void onSuspectsChanged(std::function<void()> handler) override { m_changed = std::move(handler); }

    void add(const SuspectRecord& record)
    {
        m_suspects.emplace(record.digest, record);
        m_changed();
    }

private:
    SuspectMap m_suspects;
    PeerAddress m_none;
    std::function<void()> m_changed;
};

/// A server with a single slot, which is in use, and a call that waits for it.
struct Fixture : ServerRoleFixture {
    Fixture()
    {
        settings.quarantine.enabled = true;
        settings.announcementLease = lease;
        role.setQuarantine(quarantine);
        address = server.address();
        slots = 1;
        announce(5);
        running = run("running");
        Call call;
        call.id = ++lastCall;
        call.route = "waiting";
        call.service = "tides";
        call.method = "POST";
        call.target = "/";
        call.host = "h";
        call.idempotent = false;
        call.digest = digest;
        call.timeLeft = 4s;
        role.run("entry", call, [this](Answer it) { waiting = std::move(it); });
        server.runUntil([this] { return server.requests == 1; });
        BOOST_REQUIRE((role.load().running == 1 && role.load().queued == 1));
    }

    void announceOther(const std::string& service, const std::string& instance, std::uint64_t started)
    {
        auto other = announcement(started);
        other.service = service;
        other.instance = instance;
        std::string reason;
        BOOST_REQUIRE(role.announce(other, reason));
    }

    ManualServer server { base.get() };
    FakeSuspects suspects;
    ChangeSubmitter changes { settings, suspects, peer, timers };
    Quarantine quarantine { settings, suspects, directory, changes, timers, log };
    std::shared_ptr<std::optional<Answer>> running;
    std::optional<Answer> waiting;
};

/// What changes while a call waits for its turn.
struct ChangeRow {
    const char* name;
    void (*change)(Fixture&);
    Reason refusal; ///< Reason::None: the call is sent when a slot is free.
    bool atOnce; ///< Refused when it changes, not only when a slot is free.
};

std::ostream& operator<<(std::ostream& out, const ChangeRow& row)
{
    return out << row.name;
}

const std::vector<ChangeRow> changeRows {
    { "nothing", [](Fixture&) {}, Reason::None, false },
    { "the server has started again", [](Fixture& it) { it.announce(6); }, Reason::None, false },
    { "a server of another service has the address", [](Fixture& it) { it.announceOther("rivers", "i-2", 6); }, Reason::NoBackendServer, true },
    { "the server has started again with another service", [](Fixture& it) { it.announceOther("rivers", "i-1", 6); }, Reason::NoBackendServer, true },
    { "the announcements have lapsed", [](Fixture& it) { it.timers.run(lease); }, Reason::NoBackendServer, true },
    { "the server leaves, and the daemon wakes after the time to stop admitting",
        [](Fixture& it) {
            it.announce(5, true);
            it.timers.suspend(it.settings.drainTimeout);
        },
        Reason::Leaving, false },
    { "the failure domain is evacuated", [](Fixture& it) { it.fleet.evacuate("d1"); }, Reason::Evacuated, true },
    { "the request has crashed servers", [](Fixture& it) { it.suspects.add({ .digest = digest, .service = "tides", .crashes = config::crashesUntilTrial, .revision = 1 }); },
        Reason::Quarantined, false },
};

} // namespace

BOOST_AUTO_TEST_SUITE(WaitingCalls)

/// Guards against a call that is sent to a server that must not get it any more, because it was checked only on arrival.
BOOST_DATA_TEST_CASE(aWaitingCallIsSentOnlyWhereItMayStillRun, boost::unit_test::data::make(changeRows), row)
{
    Fixture fixture;
    row.change(fixture);
    fixture.timers.runDue();
    BOOST_TEST(fixture.waiting.has_value() == row.atOnce);
    fixture.server.reply();
    const auto isSent = row.refusal == Reason::None;
    fixture.server.runUntil([&] {
        fixture.timers.runDue();
        return isSent ? fixture.server.requests == 2 : fixture.waiting && fixture.running->has_value();
    });
    BOOST_TEST(fixture.server.requests == (isSent ? 2 : 1));
    BOOST_REQUIRE(fixture.waiting.has_value() != isSent);
    if (fixture.waiting) {
        BOOST_TEST((fixture.waiting->refusal.verdict == Verdict::NotRun));
        BOOST_TEST((fixture.waiting->refusal.reason == row.refusal));
        BOOST_TEST(!fixture.waiting->arrived);
    }
}

BOOST_AUTO_TEST_SUITE_END()
