#include "cases.h"

#include <atomic>
#include <cxxopts.hpp>
#include <iomanip>
#include <iostream>
#include <list>
#include <sstream>
#include <thread>

/// Measures the decisions under overload with in-process fakes and prints JSON lines.
namespace {

using namespace pw::measure;
using std::chrono::milliseconds;

/// Figures of one case, one JSON object a line.
class Report {
public:
    Report(std::ostream& out, std::string caseName)
        : m_out(out)
        , m_case(std::move(caseName))
    {
    }

    void atLeast(const char* figure, double value, double target) const { line(figure, value, "ratio", target, value >= target); }
    void atMost(const char* figure, double value, double target, const char* unit = "ratio") const
    {
        line(figure, value, unit, target, value <= target);
    }
    void plain(const char* figure, double value) const { line(figure, value, "ratio", std::nullopt, false); }

private:
    void line(const char* figure, double value, const char* unit, std::optional<double> target, bool met) const
    {
        m_out << R"({"measure":"overload.)" << figure << R"(","case":")" << m_case << R"(","value":)" << std::fixed
              << std::setprecision(4) << value << R"(,"unit":")" << unit << R"(","target":)";
        if (target) {
            m_out << std::setprecision(2) << *target << R"(,"met":)" << (met ? "true" : "false") << "}\n";
        } else {
            m_out << R"(null,"met":null})"
                  << "\n";
        }
    }

    std::ostream& m_out;
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
    report.atMost("recovery", seconds, targetSeconds, "s");
    reportCommon(report, figures);
}

std::string textOf(double number)
{
    std::ostringstream text;
    text << number;
    return text.str();
}

/// Cases to run for each strategy.
struct Plan {
    CaseTimes times;
    std::vector<double> factors;
};

const Plan fullPlan { { milliseconds(4000), milliseconds(6000) }, { 0.8, 1, 2, 4, 10 } };
const Plan quickPlan { { milliseconds(2500), milliseconds(2500) }, { 0.8, 2, 10 } };

/// A strategy on a deployment: runs on a thread of its own, shares nothing with the others.
struct Job {
    const DeploymentModel& deployment;
    const StrategyModel& strategy;
    const Costs& costs;
    std::string output;

    void run(const Plan& plan)
    {
        std::ostringstream out;
        for (auto factor : plan.factors) {
            auto figures = runSteady(deployment, strategy, costs, factor, plan.times);
            reportSteady(Report(out, nameOf(deployment, strategy, textOf(factor) + "x")), figures, factor);
        }
        reportSlow(Report(out, nameOf(deployment, strategy, "slow5x")), runSlow(deployment, strategy, costs));
        auto misled = runMisled(deployment, strategy, costs, plan.times);
        reportSteady(Report(out, nameOf(deployment, strategy, "misled")), misled, 2);
        output = out.str();
    }
};

void runAll(std::vector<Job>& jobs, const Plan& plan)
{
    constexpr auto workers = 4;
    std::atomic<std::size_t> next = 0;
    std::vector<std::jthread> threads;
    for (auto n = 0; n < workers; ++n) {
        threads.emplace_back([&] { // NOLINT(performance-inefficient-vector-operation) four threads
            for (auto index = next++; index < jobs.size(); index = next++) {
                jobs[index].run(plan);
            }
        });
    }
}

} // namespace

int main(int argc, char** argv)
{
    cxxopts::Options options("measure-overload", "Goodput, recovery and fairness under overload, by strategy.");
    auto name = cxxopts::value<std::string>()->default_value("");
    options.add_options()("quick", "fewer cases and shorter runs")("deployment", "only this one", name)(
        "strategy", "only this one", name)("help", "print this help");
    auto parsed = options.parse(argc, argv);
    if (parsed.count("help")) {
        std::cout << options.help();
        return 0;
    }
    auto wanted = [&parsed](const char* option, const std::string& value) {
        auto only = parsed[option].as<std::string>();
        return only.empty() || only == value;
    };
    auto quick = parsed.count("quick") > 0;
    std::list<Costs> costs;
    std::vector<Job> jobs;
    for (const auto& deployment : deployments()) {
        if (!wanted("deployment", deployment.name)) {
            continue;
        }
        costs.push_back(calibrate(deployment, { milliseconds(2000), milliseconds(20000) }));
        std::cerr << deployment.name << ": capacity " << capacityOf(deployment, costs.back()) << " requests a second\n";
        for (const auto& strategy : strategies()) {
            if (wanted("strategy", strategy.name) && (strategy.quick || !quick)) {
                jobs.push_back({ deployment, strategy, costs.back(), {} });
            }
        }
    }
    runAll(jobs, quick ? quickPlan : fullPlan);
    for (const auto& job : jobs) {
        std::cout << job.output;
    }
    return 0;
}
