#include "summary.h"

#include "support/fleet.h"
#include "support/load_run.h"

#include <chrono>
#include <iostream>
#include <map>
#include <stdexcept>
#include <string>
#include <thread>
#include <vector>

/// The co-op's deployment on loopback: a surge on a deep chain, a withdrawn key and a drained server under traffic.
namespace {

using namespace pw;
using std::chrono::milliseconds;

constexpr milliseconds duration { 14000 };
constexpr demo::Trigger trigger { milliseconds(3000), milliseconds(6000) };
constexpr milliseconds withdrawAt { 8000 };
constexpr milliseconds withdrawBound { 3000 };
constexpr milliseconds drainAt { 9000 };
constexpr milliseconds drainBound { 2000 };
constexpr milliseconds commandBound { 10000 };

const std::string surging = "grid-trader-1";
const std::string withdrawn = "research";

/// A service of the deployment with its stand-in backend servers.
struct ServiceRow {
    const char* name;
    int servers;
    std::vector<std::string> options;
};

const std::vector<ServiceRow> services {
    { "member-forecast", 4, { "--slots", "230", "--connections", "1500", "--service-time-us", "10000", "--spread", "lognormal" } },
    { "turbine-control", 3, { "--slots", "300", "--connections", "1900", "--service-time-us", "20000", "--spread", "lognormal" } },
    { "forecast-bundle", 3, { "--slots", "300", "--connections", "1900", "--service-time-us", "20000", "--spread", "lognormal" } },
    { "member-share", 3, { "--slots", "40", "--connections", "330", "--service-time-us", "20000", "--spread", "lognormal", "--call", "/shares=/tide-tables+/rotors" } },
};

/// Demand of one workspace, at about a third of its rate.
struct Demand {
    const char* route;
    const char* workspace;
    const char* request; ///< Method and path, as the load tool takes them.
    int rate;
};

const std::vector<Demand> demands {
    { "share", "grid-trader-1", "path=/shares", 60 },
    { "bundle", "grid-trader-2", "path=/bundles", 80 },
    { "order", "turbine-control-room", "method=POST;path=/curtailments;request-id=1", 40 },
    { "share", "members-anglesey", "path=/shares", 20 },
    { "share", "members-gwynedd", "path=/shares", 20 },
    { "forecast", "members-pembroke", "path=/forecasts", 15 },
    { "forecast", "harbour-office", "path=/forecasts", 8 },
    { "forecast", "research", "path=/forecasts", 4 },
};

/// One promise that the run must have kept.
struct Check {
    std::string what;
    bool held;
};

class Demo {
public:
    /// \returns whether every invariant held.
    bool run();

private:
    void startFleet();
    void configure();
    std::vector<std::string> mixes() const;
    void waitUntil(milliseconds at) const;
    void slowDeepService(bool slow);
    void disturb();
    std::vector<Check> checks(const test::LoadRun& load) const;
    bool keyWasSeen() const;
    bool withdrawnKeyWorked(const test::LoadRun& load) const;

    test::Fleet m_fleet;
    std::map<std::string, std::vector<test::Server*>> m_servers;
    std::map<std::string, test::IssuedKey> m_keys;
    std::chrono::steady_clock::time_point m_start;
    milliseconds m_withdrawn { 0 }; ///< When the withdrawal began.
    std::size_t m_recordsAfterDrain = 0;
};

void Demo::startFleet()
{
    for (const auto& row : services) {
        for (int n = 0; n < row.servers; ++n) {
            std::vector<std::string> options = row.options;
            options.insert(options.end(), { "--record-bytes", "--seed", std::to_string(n + 1) });
            m_servers[row.name].push_back(&m_fleet.addServer(row.name, options, "west-" + std::to_string(n % 3 + 1)));
        }
    }
}

void Demo::configure()
{
    const auto example = test::runToEnd("01-llanw", {}, m_fleet.folder().path("llanw.yaml"), commandBound);
    if (example.status != 0) {
        throw std::runtime_error("the example does not print a deployment");
    }
    m_fleet.configure(example.output);
    for (const auto& it : demands) {
        m_keys[it.workspace] = m_fleet.operators().issueKey(it.workspace);
    }
    for (const auto& [name, servers] : m_servers) {
        m_fleet.waitForRoute(servers.front()->daemon, "/shares?marker=ready", m_keys[surging].key);
    }
}

std::vector<std::string> Demo::mixes() const
{
    std::vector<std::string> result;
    result.reserve(demands.size() + 1);
    const auto mixOf = [this](const Demand& it) {
        return "name=" + std::string(it.route) + "." + it.workspace + ";workspace=" + it.workspace + ";" + it.request + ";key=" + m_keys.at(it.workspace).key;
    };
    for (const auto& it : demands) {
        result.push_back(mixOf(it) + ";rate=" + std::to_string(it.rate));
    }
    // The trader asks for several times its rate, and its callers ask again at once.
    result.push_back(mixOf({ "surge", surging.c_str(), "path=/shares", 0 }) + ";rate=800;retries=3;obey-retry-after=0;from-ms="
        + std::to_string(trigger.begin.count()) + ";to-ms=" + std::to_string(trigger.end.count()));
    return result;
}

void Demo::waitUntil(milliseconds at) const
{
    std::this_thread::sleep_until(m_start + at);
}

void Demo::slowDeepService(bool slow)
{
    for (const auto* it : m_servers.at("turbine-control")) {
        it->standin.mode(slow ? "mode=slow&factor=5&path=/rotors" : "mode=normal");
    }
}

void Demo::disturb()
{
    waitUntil(trigger.begin);
    std::cout << "a trader surges, the deep service slows down 5 times" << std::endl;
    slowDeepService(true);
    waitUntil(trigger.end);
    std::cout << "both end" << std::endl;
    slowDeepService(false);
    waitUntil(withdrawAt);
    std::cout << "a key is withdrawn" << std::endl;
    m_withdrawn = withdrawAt;
    (void)m_fleet.operators().withdrawKey(m_keys.at(withdrawn).id);
    waitUntil(drainAt);
    std::cout << "a server is drained" << std::endl;
    const auto* drained = m_servers.at("member-forecast").front();
    (void)m_fleet.operators().runAt(drained->daemon.spec().operators, { "drain" });
    std::this_thread::sleep_for(drainBound);
    m_recordsAfterDrain = drained->standin.records().size();
}

bool Demo::keyWasSeen() const
{
    for (const auto* it : m_fleet.standins()) {
        const std::string bytes = it->bytes();
        for (const auto& [workspace, key] : m_keys) {
            if (bytes.find(key.key) != std::string::npos) {
                return true;
            }
        }
    }
    return false;
}

bool Demo::withdrawnKeyWorked(const test::LoadRun& load) const
{
    for (const auto& it : load.outcomes()) {
        if (it.whole && demo::workspaceOf(it.marker) == withdrawn && it.at > m_withdrawn + withdrawBound) {
            return true;
        }
    }
    return false;
}

std::vector<Check> Demo::checks(const test::LoadRun& load) const
{
    const auto breaches = test::findBreaches(load, m_fleet.standins(), { "r1-order." });
    for (const auto& it : breaches) {
        std::cout << "  breach: " << it << '\n';
    }
    const auto* drained = m_servers.at("member-forecast").front();
    std::size_t violations = 0;
    for (const auto* it : m_fleet.standins()) {
        violations += it->stat("slotViolations") + it->stat("connectionViolations");
    }
    return {
        { "no \"not run\" ran, no order ran twice, no answer crossed", breaches.empty() },
        { "no backend server saw a key", !keyWasSeen() },
        { "the withdrawn key stopped within 3 s", !withdrawnKeyWorked(load) },
        { "the drained server got no new work after 2 s", drained->standin.records().size() == m_recordsAfterDrain },
        { "no server was given more than its slots and connections", violations == 0 },
        { "whole answers were given", load.number({ "all", "whole" }) > 0 },
    };
}

bool Demo::run()
{
    std::cout << "starting 3 control daemons and 13 backend servers with their daemons" << std::endl;
    startFleet();
    configure();
    std::vector<std::string> targets;
    targets.reserve(m_servers.size());
    for (const auto& [name, servers] : m_servers) {
        targets.push_back(servers.front()->daemon.spec().caller);
    }
    // The drained server's daemon stays an entry for callers, so it is a target as well.
    std::cout << "load on " << targets.size() << " entry daemons" << std::endl;
    m_start = std::chrono::steady_clock::now();
    test::LoadRun load(m_fleet.folder(), "demo", targets, mixes(), duration);
    disturb();
    load.finish();
    demo::print(demo::summarize(load.outcomes(), { surging, withdrawn }, trigger));
    std::cout << "\nInvariants\n";
    bool held = true;
    for (const auto& it : checks(load)) {
        std::cout << "  " << (it.held ? "held    " : "BROKEN  ") << it.what << '\n';
        held = held && it.held;
    }
    return held;
}

} // namespace

int main()
{
    try {
        return Demo().run() ? 0 : 1;
    } catch (const std::exception& error) {
        std::cerr << "demo: " << error.what() << '\n';
        return 1;
    }
}
