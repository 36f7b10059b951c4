#include "rates_case.h"
#include "view_case.h"

#include <cxxopts.hpp>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <iostream>
#include <limits>
#include <optional>
#include <string>
#include <vector>

/// Measures the fleet-wide rates, the claims of request ids and the membership view in simulated time.
namespace {

using namespace pw::measure;
using namespace std::chrono_literals;

/// Budget of all control traffic of one daemon, bytes a second.
constexpr double daemonBytesTarget = 7000;
/// Budget of all control work of one daemon, part of a core.
constexpr double daemonProcessorTarget = 0.04;
/// Time in which a leave reaches every daemon, milliseconds.
constexpr double leaveTarget = 2000;

/// Prints one figure. \param target what it may be at most; none for a figure that is only reported.
void print(const std::string& name, double value, const std::string& unit, std::optional<double> target = std::nullopt)
{
    std::cout << R"({"measure":"rates","case":")" << name << R"(","value":)" << value << R"(,"unit":")" << unit << R"(","target":)";
    if (target) {
        std::cout << *target << R"(,"met":)" << (value <= *target ? "true" : "false") << "}\n";
    } else {
        std::cout << R"(null,"met":null})" << '\n';
    }
    std::cout.flush();
}

std::vector<RatesCase> ratesCases(bool quick)
{
    const auto large = quick ? 3s : 10s;
    std::vector<RatesCase> cases;
    for (const std::size_t daemons : { 1, 3, 12, 1200 }) {
        // The 1,200 share larger rates, as their fleet does.
        const double rate = daemons < 100 ? 100 : 2000;
        const auto time = daemons < 100 ? 20s : large;
        const auto name = std::to_string(daemons);
        cases.push_back({ name + "/even", daemons, 8, rate, rate, 0.8, 0.8, Spread::Even, 0ms, time });
        cases.push_back({ name + "/skewed", daemons, 8, rate, rate, 0.8, 0.8, Spread::Skewed, 0ms, time });
        cases.push_back({ name + "/moving", daemons, 8, rate, rate, 0.8, 0.8, Spread::Moving, 0ms, time });
        cases.push_back({ name + "/one-workspace-at-5", daemons, 8, rate, rate, 0.8, 5, Spread::Even, 0ms, time });
    }
    cases.push_back({ "1200/200-workspaces", 1200, 200, 100, 100, 0.8, 0.8, Spread::Even, 0ms, large });
    cases.push_back({ "12/leader-gap-1s/demand-0.4/burst-1s", 12, 8, 100, 100, 0.4, 0.4, Spread::Even, 1000ms, 40s });
    cases.push_back({ "12/leader-gap-1s/demand-0.4/burst-4s", 12, 8, 100, 400, 0.4, 0.4, Spread::Even, 1000ms, 40s });
    cases.push_back({ "12/leader-gap-1s/demand-0.8/burst-4s", 12, 8, 100, 400, 0.8, 0.8, Spread::Even, 1000ms, 40s });
    return cases;
}

void measureRates(bool quick)
{
    for (const auto& it : ratesCases(quick)) {
        const auto result = runRates(it);
        const auto asked = static_cast<double>(std::max<std::size_t>(1, result.asked));
        print(it.name + "/wrongful-refusals", static_cast<double>(result.wrongful) / asked, "share", 0);
        print(it.name + "/bound", result.worstFill, "fill of burst", 1);
        print(it.name + "/daemon-bytes", result.daemonBytes, "B/s", daemonBytesTarget);
        print(it.name + "/daemon-messages", result.daemonMessages, "1/s");
        print(it.name + "/daemon-processor", result.daemonProcessor, "core", daemonProcessorTarget);
        print(it.name + "/owner-processor", result.ownerProcessor, "core");
        print(it.name + "/wait-p99", result.waitMillis99, "ms");
        if (it.greedyDemand > 1) {
            print(it.name + "/greedy-share", result.greedyShare, "of rate");
        }
    }
}

void measureView(bool quick)
{
    const std::vector<std::size_t> sizes = quick ? std::vector<std::size_t> { 12, 120 } : std::vector<std::size_t> { 12, 120, 1200 };
    for (const auto daemons : sizes) {
        const auto result = runView(daemons);
        const auto name = "view/" + std::to_string(daemons);
        print(name + "/bytes-per-change-and-daemon", result.changeBytes, "B");
        print(name + "/idle-daemon-bytes", result.idleBytes, "B/s", daemonBytesTarget);
        print(name + "/idle-daemon-messages", result.idleMessages, "1/s");
        print(name + "/idle-daemon-processor", result.daemonProcessor, "core", daemonProcessorTarget);
        print(name + "/idle-member-bytes", result.memberBytes, "B/s");
        print(name + "/idle-member-processor", result.memberProcessor, "core");
        print(name + "/member-processor-per-change", result.changeProcessor, "s");
        print(name + "/leave-to-last-daemon", result.leaveMillis, "ms", leaveTarget);
    }
}

void measureClaims(bool quick)
{
    const auto result = runClaims(quick ? 100000 : 500000);
    print("claims/table-bytes", result.bytesPerClaim, "B");
    print("claims/per-core", result.claimsPerCore, "1/s");
    print("claims/daemon-wire-bytes", result.wireBytes, "B");
}

} // namespace

int main(int argc, char** argv)
{
    cxxopts::Options options("measure-rates", "Measures fleet-wide rates, claims and the membership view in simulated time.");
    options.add_options()("quick", "Shorter runs")("help", "Show this text");
    try {
        const auto parsed = options.parse(argc, argv);
        if (parsed.count("help")) {
            std::cout << options.help();
            return EXIT_SUCCESS;
        }
        const bool quick = parsed.count("quick") > 0;
        measureRates(quick);
        measureView(quick);
        measureClaims(quick);
        return EXIT_SUCCESS;
    } catch (const std::exception& error) {
        std::cerr << "measure-rates: " << error.what() << "\n";
        return EXIT_FAILURE;
    }
}
