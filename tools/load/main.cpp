#include "generator.h"
#include "mix.h"
#include "report.h"

#include "support/address.h"
#include "support/loop.h"

#include <cxxopts.hpp>

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <string>
#include <vector>

namespace {

using namespace pw;

constexpr int usageError = 2;
constexpr std::chrono::milliseconds pollInterval { 10 };

[[noreturn]] void fail(const std::string& what)
{
    (void)std::fprintf(stderr, "load: %s\n", what.c_str());
    std::exit(usageError);
}

std::vector<support::Address> parseTargets(const std::vector<std::string>& texts)
{
    std::vector<support::Address> targets;
    for (const auto& text : texts) {
        const auto address = support::parseAddress(text);
        if (!address) {
            fail("--target: expected ip:port, got " + text);
        }
        targets.push_back(*address);
    }
    return targets;
}

std::vector<load::Mix> parseMixes(const std::vector<std::string>& texts)
{
    std::vector<load::Mix> mixes;
    for (const auto& text : texts) {
        std::string reason;
        const auto mix = load::parseMix(text, reason);
        if (!mix) {
            fail("--mix: " + reason);
        }
        mixes.push_back(*mix);
    }
    return mixes;
}

cxxopts::Options describe()
{
    cxxopts::Options options("load", "Open-loop load on the entry daemons; prints a JSON report.");
    auto add = options.add_options();
    add("help", "Show this text");
    add("target", "ip:port of an entry daemon; may be repeated", cxxopts::value<std::vector<std::string>>());
    add("mix", "Kind of request, name=..;path=..;rate=..;...; may be repeated", cxxopts::value<std::vector<std::string>>());
    add("duration-ms", "How long requests are made", cxxopts::value<std::uint64_t>()->default_value("1000"));
    add("seed", "Seed of the arrivals; also names the run in markers", cxxopts::value<std::uint64_t>()->default_value("1"));
    add("outcomes", "File that gets a line for each attempt", cxxopts::value<std::string>()->default_value(""));
    return options;
}

int run(const cxxopts::ParseResult& parsed)
{
    const support::BasePtr base = support::makeBase();
    load::Report report(parsed["outcomes"].as<std::string>());
    load::Generator generator(base.get(), parseTargets(parsed["target"].as<std::vector<std::string>>()),
        parseMixes(parsed["mix"].as<std::vector<std::string>>()), parsed["seed"].as<std::uint64_t>(), report);
    generator.start(std::chrono::milliseconds(parsed["duration-ms"].as<std::uint64_t>()));
    const support::SignalHandler onTerm(base.get(), SIGTERM, [&] { generator.stop(); });
    const support::Ticker poll(base.get(), pollInterval, [&] {
        if (generator.done()) {
            event_base_loopbreak(base.get());
        }
    });
    event_base_dispatch(base.get());
    (void)std::fputs(report.json().c_str(), stdout);
    return 0;
}

} // namespace

int main(int argc, char** argv)
{
    support::ignoreBrokenPipes();
    cxxopts::Options options = describe();
    try {
        const auto parsed = options.parse(argc, argv);
        if (parsed.count("help")) {
            (void)std::puts(options.help().c_str());
            return 0;
        }
        return run(parsed);
    } catch (const cxxopts::exceptions::exception& error) {
        fail(error.what());
    }
}
