#include "support/process_usage.h"

#include "support/fleet.h"
#include "support/load_run.h"
#include "support/raw_http.h"

#include <chrono>
#include <cstdio>
#include <iostream>
#include <memory>
#include <optional>
#include <string>
#include <vector>

/// Measures what the system adds to a call: time, processor time and memory.
namespace {

using namespace pw;
using std::chrono::milliseconds;

constexpr double targetAddedMillis = 0.73;
constexpr double targetResidentMegabytes = 32;
constexpr int connectionCount = 1000;
constexpr double lightRate = 100; ///< Calls a second.
constexpr double probeRate = 1000; ///< Calls a second at which the cost of a call is taken.
constexpr double highShare = 0.8;
constexpr double probeShare = 0.1; ///< Of the load at 80%, the part whose time is taken by a client of its own.

const std::string configuration = R"(services:
  - { name: echo, slotsPerServer: 512, connectionsPerServer: 1024 }
routes:
  - { name: echo, method: GET, pathPrefix: /echo, service: echo }
workspaces:
  - { name: measure, rate: 100000, burst: 100000 }
)";

void print(const std::string& name, double value, const char* unit, std::optional<double> target = {})
{
    if (target) {
        std::printf(R"({"measure":"overhead","case":"%s","value":%.4g,"unit":"%s","target":%g,"met":%s})", name.c_str(), value, unit, *target, value <= *target ? "true" : "false");
    } else {
        std::printf(R"({"measure":"overhead","case":"%s","value":%.4g,"unit":"%s","target":null,"met":null})", name.c_str(), value, unit);
    }
    std::printf("\n");
    (void)std::fflush(stdout);
}

/// Latency quantiles of one load run.
struct Latency {
    double p50Millis;
    double p99Millis;
};

class Overhead {
public:
    explicit Overhead(milliseconds length);

    void run();

private:
    std::unique_ptr<test::LoadRun> load(const std::string& name, const std::string& target, double rate);
    Latency finish(test::LoadRun& run, double rate);
    void memory();
    void costOfACall();
    void light();
    void atHighLoad();
    void compare(const std::string& name, const Latency& direct, const Latency& through);

    milliseconds m_length;
    test::Fleet m_fleet;
    test::Daemon& m_entry; ///< Two daemons: this one and the one beside the backend server.
    test::Server& m_server;
    test::IssuedKey m_key;
    double m_callsPerCore = 0; ///< Of the daemon beside the backend server when it takes callers' requests.
    int m_runs = 0;
};

Overhead::Overhead(milliseconds length)
    : m_length(length)
    , m_entry(m_fleet.addEntry())
    , m_server(m_fleet.addServer("echo", { "--slots", "512", "--connections", "1024", "--service-time-us", "0" }))
{
    m_fleet.configure(configuration);
    m_key = m_fleet.operators().issueKey("measure");
    m_fleet.waitForRoute(m_entry, "/echo?marker=ready", m_key.key);
    m_fleet.waitForRoute(m_server.daemon, "/echo?marker=ready", m_key.key);
}

std::unique_ptr<test::LoadRun> Overhead::load(const std::string& name, const std::string& target, double rate)
{
    const std::string mix = "name=" + name + ";path=/echo;key=" + m_key.key + ";rate=" + std::to_string(rate);
    const auto seed = static_cast<std::uint64_t>(++m_runs);
    return std::make_unique<test::LoadRun>(m_fleet.folder(), name + std::to_string(m_runs), std::vector { target }, std::vector { mix }, m_length, seed);
}

Latency Overhead::finish(test::LoadRun& run, double rate)
{
    run.finish();
    const auto whole = static_cast<double>(run.number({ "all", "whole" }));
    const auto all = static_cast<double>(run.number({ "all", "requests" }));
    if (whole < all) {
        std::cerr << "at " << rate << "/s " << all - whole << " of " << all << " calls had no whole answer: " << run.text();
    }
    return { static_cast<double>(run.number({ "all", "p50us" })) / 1000, static_cast<double>(run.number({ "all", "p99us" })) / 1000 };
}

void Overhead::compare(const std::string& name, const Latency& direct, const Latency& through)
{
    print(name + "/added-p50", through.p50Millis - direct.p50Millis, "ms");
    print(name + "/added-p99", through.p99Millis - direct.p99Millis, "ms", targetAddedMillis);
}

void Overhead::memory()
{
    constexpr double megabyte = 1024 * 1024;
    print("resident/entry-idle", static_cast<double>(measure::residentBytes(m_entry.process().id())) / megabyte, "MB", targetResidentMegabytes);
    print("resident/control-idle", static_cast<double>(measure::residentBytes(m_fleet.controls().front().process().id())) / megabyte, "MB", targetResidentMegabytes);
    std::vector<std::unique_ptr<test::RawConnection>> connections;
    for (int n = 0; n < connectionCount; ++n) {
        connections.push_back(std::make_unique<test::RawConnection>(m_entry.spec().caller));
        (void)connections.back()->send("GET /echo?marker=held HTTP/1.1\r\nHost: x\r\nPistachio-Key: " + m_key.key + "\r\n\r\n");
        (void)connections.back()->readAnswer(milliseconds(2000));
    }
    print("resident/entry-1000-connections", static_cast<double>(measure::residentBytes(m_entry.process().id())) / megabyte, "MB", targetResidentMegabytes);
}

void Overhead::costOfACall()
{
    const auto id = m_server.daemon.process().id();
    const auto entryId = m_entry.process().id();
    const auto perCall = [&](const std::string& name, const std::string& target, pid_t process) {
        const auto before = measure::processorTime(process);
        const auto run = load(name, target, probeRate);
        (void)finish(*run, probeRate);
        const auto used = measure::processorTime(process) - before;
        return static_cast<double>(run->number({ "all", "whole" })) / std::chrono::duration<double>(used).count();
    };
    m_callsPerCore = perCall("one", m_server.daemon.spec().caller, id);
    print("calls-per-core/entry-and-server", m_callsPerCore, "1/s");
    print("calls-per-core/entry-only", perCall("two", m_entry.spec().caller, entryId), "1/s");
}

void Overhead::light()
{
    // The three run side by side, so that each sees the same machine.
    const auto direct = load("direct", m_server.standin.address(), lightRate);
    const auto one = load("one", m_server.daemon.spec().caller, lightRate);
    const auto two = load("two", m_entry.spec().caller, lightRate);
    const Latency base = finish(*direct, lightRate);
    print("light/direct-p99", base.p99Millis, "ms");
    compare("light/one-daemon", base, finish(*one, lightRate));
    compare("light/two-daemons", base, finish(*two, lightRate));
}

void Overhead::atHighLoad()
{
    const double rate = m_callsPerCore * highShare;
    print("high/calls-per-second", rate, "1/s");
    const auto background = load("background", m_server.daemon.spec().caller, rate * (1 - probeShare));
    const auto direct = load("direct", m_server.standin.address(), rate * probeShare);
    const auto one = load("one", m_server.daemon.spec().caller, rate * probeShare);
    (void)finish(*background, rate);
    compare("high/one-daemon", finish(*direct, rate), finish(*one, rate));
    const auto backgroundOfTwo = load("background", m_entry.spec().caller, rate * (1 - probeShare));
    const auto directOfTwo = load("direct", m_server.standin.address(), rate * probeShare);
    const auto two = load("two", m_entry.spec().caller, rate * probeShare);
    (void)finish(*backgroundOfTwo, rate);
    compare("high/two-daemons", finish(*directOfTwo, rate), finish(*two, rate));
}

void Overhead::run()
{
    memory();
    light();
    costOfACall();
    atHighLoad();
}

} // namespace

int main(int argc, char** argv)
{
    const bool quick = argc > 1 && std::string(argv[1]) == "--quick";
    try {
        Overhead(milliseconds(quick ? 2000 : 6000)).run();
        return 0;
    } catch (const std::exception& error) {
        std::cerr << "measure-overhead: " << error.what() << '\n';
        return 1;
    }
}
