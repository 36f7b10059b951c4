#include "cases.h"

#include <cstdio>
#include <cxxopts.hpp>
#include <iostream>
#include <sstream>

/// Measures the decisions under overload with in-process fakes and prints JSON lines.
namespace {

using namespace pw::measure;
using std::chrono::milliseconds;

/// Prints figures of one case, one JSON object a line.
class Report {
public:
    explicit Report(std::string caseName)
        : m_case(std::move(caseName))
    {
    }

    void print(const char* figure, double value, const char* unit, std::optional<double> target, bool met) const
    {
        std::printf(R"({"measure":"overload.%s","case":"%s","value":%.4f,"unit":"%s","target":%s,"met":%s})"
                    "\n",
            figure, m_case.c_str(), value, unit, target ? std::to_string(*target).c_str() : "null",
            target ? (met ? "true" : "false") : "null");
    }

    void atLeast(const char* figure, double value, double target) const { print(figure, value, "ratio", target, value >= target); }
    void atMost(const char* figure, double value, double target) const { print(figure, value, "ratio", target, value <= target); }
    void plain(const char* figure, double value) const { print(figure, value, "ratio", std::nullopt, false); }

private:
    std::string m_case;
};

std::string nameOf(const DeploymentModel& deployment, const StrategyModel& strategy, const std::string& demand)
{
    return deployment.name + "/" + strategy.name + "/" + demand;
}

void reportCommon(const Report& report, const Figures& figures)
{
    report.atLeast("worst-workspace", figures.worstWorkspace, 0.95);
    if (figures.criticalWithinCapacity) {
        report.atLeast("critical-success", figures.criticalSuccess, 1.0);
    } else {
        report.plain("critical-success", figures.criticalSuccess);
    }
    report.plain("wasted-work", figures.wastedWork);
    report.atMost("amplification", figures.amplification, 1.1);
}

void reportSteady(const Report& report, const Figures& figures, double factor)
{
    report.atLeast("goodput", figures.goodput, 0.95);
    if (factor < 1) {
        report.atMost("wrongful-refusals", figures.wrongfulRefusals, 0);
    } else {
        report.plain("wrongful-refusals", figures.wrongfulRefusals);
    }
    reportCommon(report, figures);
}

void reportSlow(const Report& report, const Figures& figures)
{
    report.plain("goodput", figures.goodput);
    report.plain("wrongful-refusals", figures.wrongfulRefusals);
    constexpr double targetSeconds = 2;
    constexpr double never = 10;
    auto seconds = figures.recovery ? std::chrono::duration<double>(*figures.recovery).count() : never;
    report.print("recovery", seconds, "s", targetSeconds, seconds <= targetSeconds);
    reportCommon(report, figures);
}

std::string textOf(double number)
{
    std::ostringstream text;
    text << number;
    return text.str();
}

} // namespace

int main(int argc, char** argv)
{
    cxxopts::Options options("measure-overload", "Goodput, recovery and fairness under overload, by strategy.");
    options.add_options()("quick", "fewer cases and shorter runs")("deployment", "only this one", cxxopts::value<std::string>()->default_value(""))(
        "strategy", "only this one", cxxopts::value<std::string>()->default_value(""))("help", "print this help");
    auto parsed = options.parse(argc, argv);
    if (parsed.count("help")) {
        std::cout << options.help();
        return 0;
    }
    auto quick = parsed.count("quick") > 0;
    auto onlyDeployment = parsed["deployment"].as<std::string>();
    auto onlyStrategy = parsed["strategy"].as<std::string>();
    auto times = quick ? CaseTimes { milliseconds(2500), milliseconds(2500) } : CaseTimes { milliseconds(4000), milliseconds(6000) };
    auto factors = quick ? std::vector<double> { 0.8, 2, 10 } : std::vector<double> { 0.8, 1, 2, 4, 10 };

    for (const auto& deployment : deployments()) {
        if (!onlyDeployment.empty() && deployment.name != onlyDeployment) {
            continue;
        }
        auto costs = calibrate(deployment, { milliseconds(2000), milliseconds(20000) });
        std::cerr << deployment.name << ": capacity " << capacityOf(deployment, costs) << " requests a second\n";
        for (const auto& strategy : strategies()) {
            if (!onlyStrategy.empty() && strategy.name != onlyStrategy) {
                continue;
            }
            for (auto factor : factors) {
                auto figures = runSteady(deployment, strategy, costs, factor, times);
                reportSteady(Report(nameOf(deployment, strategy, textOf(factor) + "x")), figures, factor);
            }
            reportSlow(Report(nameOf(deployment, strategy, "slow5x")), runSlow(deployment, strategy, costs));
            std::fflush(stdout);
        }
    }
    return 0;
}
