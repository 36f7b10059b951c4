#include "support/fleet.h"
#include "support/http_client.h"
#include "support/process_usage.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdio>
#include <iostream>
#include <map>
#include <optional>
#include <sstream>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

/// Measures what control costs each daemon of an idle fleet of real processes, at growing numbers of daemons: processor
/// time, memory, and bytes between daemons by kind of message. The slope over the number of daemons is what
/// docs/CAPACITY.md multiplies.
namespace {

using namespace pw;
using std::chrono::milliseconds;

constexpr double targetCorePercent = 4;
constexpr double targetMegabytes = 32;
constexpr double targetBytesPerSecond = 7000;
constexpr std::size_t megabyte = 1'000'000;

const std::string configuration = R"(services:
  - { name: echo, slotsPerServer: 64, connectionsPerServer: 256 }
routes:
  - { name: echo, method: GET, pathPrefix: /echo, service: echo }
workspaces:
  - { name: measure, rate: 1000, burst: 1000 }
)";

void print(const std::string& name, double value, const char* unit, std::optional<double> target = {})
{
    std::printf(R"({"measure":"fleet","case":"%s","value":%.4g,"unit":"%s",)", name.c_str(), value, unit);
    if (target) {
        std::printf("\"target\":%g,\"met\":%s}\n", *target, value <= *target ? "true" : "false");
    } else {
        std::printf("\"target\":null,\"met\":null}\n");
    }
    (void)std::fflush(stdout);
}

/// Bytes that a daemon has sent and received, by kind of message.
using Traffic = std::map<std::string, double>;

Traffic trafficOf(const test::Daemon& daemon)
{
    support::HttpRequest request;
    request.target = "/metrics";
    auto result = support::fetch(*support::parseAddress(daemon.spec().operators), request, milliseconds(5000));
    std::istringstream lines(result.body);
    Traffic traffic;
    for (std::string line; std::getline(lines, line);) {
        auto isBytes = line.starts_with("pistachiowheel_link_sent_bytes{") || line.starts_with("pistachiowheel_link_received_bytes{");
        auto from = line.find("kind=\"");
        if (isBytes && from != std::string::npos) {
            from += std::string_view("kind=\"").size();
            auto kind = line.substr(from, line.find('"', from) - from);
            traffic[kind] += std::stod(line.substr(line.rfind(' ')));
        }
    }
    return traffic;
}

/// What one process had used at one moment.
struct Usage {
    std::chrono::microseconds processor { 0 };
    Traffic traffic;
};

Usage usageOf(test::Daemon& daemon)
{
    return { measure::processorTime(daemon.process().id()), trafficOf(daemon) };
}

/// Mean cost of a role's daemons over a window.
struct Cost {
    double corePercent = 0;
    double megabytes = 0;
    double bytesPerSecond = 0;
    Traffic byKind; ///< Bytes a second.
};

class Window {
public:
    explicit Window(std::vector<test::Daemon*> daemons)
        : m_daemons(std::move(daemons))
        , m_began(std::chrono::steady_clock::now())
    {
        std::ranges::transform(m_daemons, std::back_inserter(m_before), [](test::Daemon* it) { return usageOf(*it); });
    }

    Cost end() const
    {
        const std::chrono::duration<double> length = std::chrono::steady_clock::now() - m_began;
        Cost cost;
        for (std::size_t n = 0; n < m_daemons.size(); ++n) {
            add(cost, m_before[n], usageOf(*m_daemons[n]), length.count());
            cost.megabytes += static_cast<double>(measure::residentBytes(m_daemons[n]->process().id())) / static_cast<double>(megabyte);
        }
        divide(cost, static_cast<double>(m_daemons.size()));
        return cost;
    }

private:
    static void add(Cost& cost, const Usage& before, const Usage& after, double seconds)
    {
        const std::chrono::duration<double> processor = after.processor - before.processor;
        cost.corePercent += 100 * processor.count() / seconds;
        for (const auto& [kind, bytes] : after.traffic) {
            const auto it = before.traffic.find(kind);
            const auto perSecond = (bytes - (it == before.traffic.end() ? 0 : it->second)) / seconds;
            cost.byKind[kind] += perSecond;
            cost.bytesPerSecond += perSecond;
        }
    }

    static void divide(Cost& cost, double count)
    {
        cost.corePercent /= count;
        cost.megabytes /= count;
        cost.bytesPerSecond /= count;
        std::ranges::for_each(cost.byKind, [count](auto& it) { it.second /= count; });
    }

    std::vector<test::Daemon*> m_daemons;
    std::vector<Usage> m_before;
    std::chrono::steady_clock::time_point m_began;
};

void report(const std::string& prefix, const Cost& cost, bool bounded)
{
    const auto target = [bounded](double value) { return bounded ? std::optional(value) : std::nullopt; };
    print(prefix + "/core", cost.corePercent, "%", target(targetCorePercent));
    print(prefix + "/resident", cost.megabytes, "MB", target(targetMegabytes));
    print(prefix + "/link-bytes", cost.bytesPerSecond, "B/s", target(targetBytesPerSecond));
    for (const auto& [kind, bytes] : cost.byKind) {
        if (bytes > 0) {
            auto name = prefix;
            name.append("/link-bytes/").append(kind);
            print(name, bytes, "B/s");
        }
    }
}

/// Grows one fleet and measures it at each size.
class FleetCost {
public:
    FleetCost(milliseconds settle, milliseconds window)
        : m_settle(settle)
        , m_window(window)
    {
        m_fleet.configure(configuration);
    }

    void measure(std::size_t daemons)
    {
        grow(daemons);
        std::this_thread::sleep_for(m_settle);
        const Window servers(m_servers);
        const Window controls(controlDaemons());
        std::this_thread::sleep_for(m_window);
        const auto size = std::to_string(daemons) + "-daemons";
        report(size + "/daemon", servers.end(), true);
        report(size + "/control", controls.end(), false);
    }

    /// Changes keys all the while: one key a second is issued, which every daemon learns.
    void measureChanges(std::size_t daemons)
    {
        const Window servers(m_servers);
        const auto until = std::chrono::steady_clock::now() + m_window;
        int changes = 0;
        for (; std::chrono::steady_clock::now() < until; ++changes) {
            (void)m_fleet.operators().issueKey("measure");
            std::this_thread::sleep_for(milliseconds(200));
        }
        const auto cost = servers.end();
        const auto perSecond = static_cast<double>(changes) / std::chrono::duration<double>(m_window).count();
        const auto prefix = std::to_string(daemons) + "-daemons-with-key-changes/";
        print(prefix + "changes", perSecond, "1/s");
        report(prefix + "daemon", cost, true);
    }

private:
    void grow(std::size_t daemons)
    {
        while (m_servers.size() < daemons) {
            constexpr std::array<const char*, 3> failureDomains { "d1", "d2", "d3" };
            const auto* domain = failureDomains.at(m_servers.size() % failureDomains.size());
            m_servers.push_back(&m_fleet.addServer("echo", {}, domain).daemon);
        }
    }

    std::vector<test::Daemon*> controlDaemons()
    {
        std::vector<test::Daemon*> result;
        std::ranges::transform(m_fleet.controls(), std::back_inserter(result), [](test::Daemon& it) { return &it; });
        return result;
    }

    milliseconds m_settle;
    milliseconds m_window;
    test::Fleet m_fleet;
    std::vector<test::Daemon*> m_servers;
};

} // namespace

int main(int argc, char** argv)
{
    const auto quick = argc > 1 && std::string_view(argv[1]) == "--quick";
    const std::vector<std::size_t> sizes = quick ? std::vector<std::size_t> { 10, 40 } : std::vector<std::size_t> { 10, 30, 60, 100 };
    try {
        FleetCost cost(milliseconds(quick ? 3000 : 5000), milliseconds(quick ? 8000 : 20000));
        std::ranges::for_each(sizes, [&](std::size_t daemons) { cost.measure(daemons); });
        cost.measureChanges(sizes.back());
    } catch (const std::exception& error) {
        std::cerr << "measure-fleet: " << error.what() << '\n';
        return 1;
    }
    return 0;
}
