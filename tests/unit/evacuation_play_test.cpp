#include "app/call_transport.h"
#include "app/dispatcher.h"
#include "app/native_protocol.h"
#include "app/server_role.h"
#include "config.h"
#include "support/fake_network.h"
#include "support/fleet_fakes.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <event2/event.h>

#include <array>
#include <memory>
#include <numeric>
#include <ostream>

namespace {

using namespace pw;
using namespace pw::test;
using namespace std::chrono_literals;

namespace data = boost::unit_test::data;

constexpr std::size_t domainCount = 3;
/// More than config::maxDaemonsOffered, so that offering a request to each server of one domain in turn would not be enough.
constexpr std::size_t serversPerDomain = 5;
/// Below config::backendConnectTimeout: the backend servers never answer, so that every call that has reached one runs there
/// until the end.
constexpr auto playTime = 400ms;
constexpr auto callInterval = 5ms;
/// Time for the calls under way when a daemon learns of an evacuation.
constexpr auto settleTime = 10ms;

std::string domainName(std::size_t n)
{
    return "d" + std::to_string(n);
}

/// Directory with all servers of the fleet.
class FleetDirectory : public ServerDirectory {
public:
    const std::vector<ServerEntry>& servers(const std::string&) const override { return m_entries; }
    std::size_t serverCount() const override { return m_entries.size(); }
    void publish(const ServerEntry& entry) override { m_entries.push_back(entry); }
    void onChanged(std::function<void(const std::string&)>) override { }

private:
    std::vector<ServerEntry> m_entries;
};

/// Which daemons know that a failure domain is evacuated.
struct Knowledge {
    bool entry = false;
    bool servers = false;
};

/// A change of what the daemons know.
struct Step {
    Duration at;
    std::size_t domain;
    Knowledge knowledge;
    std::vector<std::size_t> closed; ///< Failure domains that no call may reach from now on.
};

/// An entry daemon in the first failure domain, and daemons beside backend servers in all of them.
class Fleet {
public:
    explicit Fleet(std::uint64_t seed)
        : m_network(m_timers, seed)
    {
        m_entrySettings.peerAddress = "entry";
        m_entrySettings.failureDomain = domainName(0);
        m_entrySettings.region = "west";
        for (std::size_t n = 0; n < domainCount * serversPerDomain; ++n) {
            m_servers.push_back(std::make_unique<Server>(*this, n));
        }
        m_dispatcher = std::make_unique<Dispatcher>(m_entrySettings, m_transport, m_timers, m_log, m_directory, m_entryFleet, seed);
    }

    void apply(std::size_t domain, const Knowledge& knowledge)
    {
        m_entryFleet.evacuate(domainName(domain), knowledge.entry);
        for (auto n = domain * serversPerDomain; n < (domain + 1) * serversPerDomain; ++n) {
            m_servers[n]->fleet.evacuate(domainName(domain), knowledge.servers);
        }
    }

    /// Starts a non-idempotent request that may make a single attempt.
    void start()
    {
        DispatchRequest request;
        request.call.service = "tides";
        request.call.idempotent = false;
        request.attempts = 1;
        request.deadline = m_timers.now() + 10s;
        m_dispatcher->start(request, [this](const Answer& answer) { refusals.push_back(answer.refusal); });
    }

    void run(Duration time) { m_timers.run(time); }

    /// \returns the number of calls that have reached the backend servers of each failure domain.
    std::array<std::size_t, domainCount> reached() const
    {
        std::array<std::size_t, domainCount> result {};
        for (std::size_t n = 0; n < m_servers.size(); ++n) {
            result.at(n / serversPerDomain) += m_servers[n]->role.load().running;
        }
        return result;
    }

    std::size_t offersRefused = 0; ///< Calls that the servers' daemons have refused.
    std::vector<Refusal> refusals; ///< Of the requests that have ended.

private:
    struct Server {
        Server(Fleet& fleetOfAll, std::size_t n)
            : settings(settingsOf(n))
            , peer(fleetOfAll.m_network, settings.peerAddress)
            , role(fleetOfAll.m_loop, settings, peer, fleetOfAll.m_timers, fleetOfAll.m_log, fleetOfAll.m_directory, fleet,
                  fleetOfAll.m_protocol, fleetOfAll.m_board)
        {
            Announcement announcement;
            announcement.service = "tides";
            announcement.address = "127.0.0.1:9";
            announcement.slots = announcement.connections = 100;
            announcement.warmUpTime = 0ms;
            std::string reason;
            BOOST_REQUIRE(role.announce(announcement, reason));
            role.evacuationRefused().connect([&fleetOfAll](const std::string&) { ++fleetOfAll.offersRefused; });
        }

        static Settings settingsOf(std::size_t n)
        {
            Settings settings;
            settings.name = settings.peerAddress = "s" + std::to_string(n);
            settings.failureDomain = domainName(n / serversPerDomain);
            settings.region = "west";
            return settings;
        }

        Settings settings;
        FakePeer peer;
        FakeFleet fleet;
        ServerRole role;
    };

    std::unique_ptr<event_base, decltype(&event_base_free)> m_base { event_base_new(), &event_base_free };
    StreamLoop m_loop { m_base.get() };
    FakeTimers m_timers;
    FakeNetwork m_network;
    NullEventLog m_log;
    NativeBackendProtocol m_protocol;
    DemandCache m_board;
    FleetDirectory m_directory;
    Settings m_entrySettings;
    FakePeer m_entryPeer { m_network, "entry" };
    FakeFleet m_entryFleet;
    std::vector<std::unique_ptr<Server>> m_servers;
    CallTransport m_transport { m_entryPeer, m_timers, m_log, nullptr, 1000 };
    std::unique_ptr<Dispatcher> m_dispatcher;
};

struct Scenario {
    const char* name;
    std::vector<Step> steps; ///< In the order of their times.
};

std::ostream& operator<<(std::ostream& out, const Scenario& row)
{
    return out << row.name;
}

const std::vector<Scenario> scenarios {
    { "nothing is evacuated", { { 0ms, 0, {}, {} } } },
    { "all daemons know from the start", { { 0ms, 0, { true, true }, { 0 } } } },
    { "all daemons learn at once", { { 0ms, 0, {}, {} }, { 200ms, 0, { true, true }, { 0 } } } },
    { "the entry daemon is late", { { 0ms, 0, {}, {} }, { 100ms, 0, { false, true }, { 0 } } } },
    { "the servers' daemons are late", { { 0ms, 0, {}, {} }, { 100ms, 0, { true, false }, { 0 } } } },
    { "both are late, the servers' daemons learn first",
        { { 0ms, 0, {}, {} }, { 100ms, 0, { false, true }, { 0 } }, { 200ms, 0, { true, true }, { 0 } } } },
    { "both are late, the entry daemon learns first",
        { { 0ms, 0, {}, {} }, { 100ms, 0, { true, false }, { 0 } }, { 200ms, 0, { true, true }, { 0 } } } },
    { "another domain is evacuated", { { 0ms, 1, { true, true }, { 1 } } } },
    { "two domains, the entry daemon is late",
        { { 0ms, 1, { false, true }, { 1 } }, { 100ms, 0, { false, true }, { 0, 1 } }, { 200ms, 0, {}, { 1 } } } },
    { "the evacuation is finished", { { 0ms, 0, { true, true }, { 0 } }, { 200ms, 0, {}, {} } } },
    { "it is finished, the entry daemon is late",
        { { 0ms, 0, { true, true }, { 0 } }, { 100ms, 0, { true, false }, { 0 } }, { 200ms, 0, {}, {} } } },
    { "it is finished, the servers' daemons are late",
        { { 0ms, 0, { true, true }, { 0 } }, { 100ms, 0, { false, true }, { 0 } }, { 200ms, 0, {}, {} } } },
};

constexpr std::uint64_t seeds = 5;

} // namespace

BOOST_AUTO_TEST_SUITE(EvacuationPlays)

/// Guards against requests that reach a backend server in an evacuated failure domain although either daemon on their way
/// knows of it, and against refusing requests that servers elsewhere could run.
BOOST_DATA_TEST_CASE(noRequestReachesAnEvacuatedDomainAndNoneIsRefused, data::make(scenarios) * data::xrange(seeds), row, seed)
{
    Fleet fleet(seed + 1);
    std::size_t started = 0;
    for (std::size_t n = 0; n < row.steps.size(); ++n) {
        const auto& step = row.steps[n];
        const auto end = n + 1 < row.steps.size() ? row.steps[n + 1].at : playTime;
        fleet.apply(step.domain, step.knowledge);
        fleet.run(settleTime);
        const auto before = fleet.reached();
        const auto startedBefore = started;
        const auto refusedBefore = fleet.offersRefused;
        for (Duration at = step.at + settleTime; at < end; at += callInterval) {
            fleet.start();
            ++started;
            fleet.run(callInterval);
        }
        const auto after = fleet.reached();
        const auto isClosed = [&step](std::size_t domain) { return std::ranges::find(step.closed, domain) != step.closed.end(); };
        for (std::size_t domain = 0; domain < domainCount; ++domain) {
            BOOST_TEST((!isClosed(domain) || after[domain] == before[domain]), domainName(domain) << " is reached after step " << n);
        }
        // A refusal by one server's daemon tells of the whole failure domain.
        BOOST_TEST(fleet.offersRefused - refusedBefore <= (started - startedBefore) * step.closed.size());
        // It is the entry daemon's own failure domain, which is preferred.
        BOOST_TEST((after[0] > before[0]) == !isClosed(0));
    }
    fleet.run(settleTime);
    const auto total = fleet.reached();
    BOOST_TEST(std::accumulate(total.begin(), total.end(), std::size_t(0)) == started);
    BOOST_TEST(fleet.refusals.empty());
}

/// Guards against a caller that waits, or is told anything but when to ask again, while no server is left in use.
BOOST_DATA_TEST_CASE(aRequestIsRefusedAtOnceWhenAllDomainsAreEvacuated, data::make({ false, true }) * data::make({ false, true }), entry, servers)
{
    Fleet fleet(1);
    for (std::size_t domain = 0; domain < domainCount; ++domain) {
        fleet.apply(domain, { entry, servers });
    }
    fleet.start();
    fleet.run(Duration::zero());
    BOOST_TEST(fleet.refusals.size() == (entry ? 1U : 0U));
    fleet.run(domainCount * 2 * settleTime);
    if (!entry && !servers) {
        BOOST_TEST(fleet.refusals.empty()); // No daemon knows.
        return;
    }
    BOOST_TEST_REQUIRE(fleet.refusals.size() == 1U);
    BOOST_TEST((fleet.refusals.front().verdict == Verdict::NotRun));
    BOOST_TEST((fleet.refusals.front().reason == Reason::Evacuated));
    BOOST_TEST((fleet.refusals.front().retryAfter == 1000ms));
    BOOST_TEST((fleet.reached() == std::array<std::size_t, domainCount> {}));
}

BOOST_AUTO_TEST_SUITE_END()
