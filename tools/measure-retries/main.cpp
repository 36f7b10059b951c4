#include "chain.h"

#include <array>
#include <cstdio>
#include <cxxopts.hpp>
#include <iostream>

/// Measures how far retries multiply along a chain eight deep, with the root's budget and with retries at each hop.
namespace {

using namespace pw::measure;

constexpr std::size_t depth = 8;
constexpr std::uint64_t seed = 20260401;

/// Where attempts fail.
struct FailureCase {
    const char* name;
    double everywhere; ///< Share of attempts that fail at each hop.
    double deepest; ///< The same at the last hop.
};

constexpr std::array failureCases {
    FailureCase { "every-hop-1%", 0.01, 0.01 },
    FailureCase { "every-hop-10%", 0.1, 0.1 },
    FailureCase { "every-hop-50%", 0.5, 0.5 },
    FailureCase { "deepest-50%", 0, 0.5 },
    FailureCase { "deepest-100%", 0, 1 },
};

struct RetriesRow {
    const char* name;
    ChainRetries retries;
};

constexpr std::array retriesRows {
    RetriesRow { "each-hop", ChainRetries::EachHop },
    RetriesRow { "budget", ChainRetries::Budget },
};

void print(const char* figure, const RetriesRow& row, const FailureCase& failure, double value, const char* unit, double target)
{
    auto none = target <= 0;
    std::printf(R"({"measure":"retries.%s","case":"chain%zu/%s/%s","value":%.4f,"unit":"%s","target":%s,"met":%s})"
                "\n",
        figure, depth, row.name, failure.name, value, unit, none ? "null" : std::to_string(target).c_str(),
        none                  ? "null"
            : value <= target ? "true"
                              : "false");
}

void measure(const RetriesRow& row, const FailureCase& failure, int roots)
{
    std::vector<double> failures(depth, failure.everywhere);
    failures.back() = failure.deepest;
    Chain chain(seed, failures, row.retries);
    std::uint64_t attempts = 0;
    std::uint64_t calls = 0;
    std::uint64_t most = 0;
    auto whole = 0;
    for (auto n = 0; n < roots; ++n) {
        auto result = chain.send(pw::config::defaultAttemptBudget);
        attempts += result.attempts;
        calls += result.calls;
        most = std::max(most, result.attempts);
        whole += result.whole ? 1 : 0;
    }
    auto perRoot = static_cast<double>(attempts) / roots;
    print("amplification", row, failure, static_cast<double>(attempts) / static_cast<double>(calls), "ratio", 1.1);
    print("attempts-per-root", row, failure, perRoot / depth, "ratio to the chain's length", 0);
    print("worst-root", row, failure, static_cast<double>(most) / pw::config::defaultAttemptBudget, "ratio to the budget", 1);
    print("whole", row, failure, static_cast<double>(whole) / roots, "ratio", 0);
}

} // namespace

int main(int argc, char** argv)
{
    cxxopts::Options options("measure-retries", "Amplification of retries along a chain of nested calls.");
    options.add_options()("quick", "fewer requests")("help", "print this help");
    auto parsed = options.parse(argc, argv);
    if (parsed.count("help")) {
        std::cout << options.help();
        return 0;
    }
    auto roots = parsed.count("quick") ? 1000 : 10000;
    for (const auto& failure : failureCases) {
        for (const auto& row : retriesRows) {
            measure(row, failure, roots);
        }
    }
    return 0;
}
