#include "options.h"

#include <cxxopts.hpp>

#include <algorithm>
#include <array>
#include <cstdio>
#include <cstdlib>
#include <ranges>

namespace pw::standin {
namespace {

    constexpr std::array<std::pair<const char*, Spread>, 3> spreads { {
        { "fixed", Spread::Fixed },
        { "exponential", Spread::Exponential },
        { "lognormal", Spread::LogNormal },
    } };

    [[noreturn]] void fail(const std::string& what)
    {
        (void)std::fprintf(stderr, "standin-backend: %s\n", what.c_str());
        std::exit(2);
    }

    std::vector<std::string> split(const std::string& text, char separator)
    {
        std::vector<std::string> parts;
        for (const auto part : text | std::views::split(separator)) {
            parts.emplace_back(part.begin(), part.end());
        }
        return parts;
    }

    Chain parseChain(const std::string& text)
    {
        const auto sides = split(text, '=');
        if (sides.size() != 2) {
            fail("--call: expected PREFIX=PATH+PATH..., got " + text);
        }
        return { sides[0], split(sides[1], '+') };
    }

    support::Address addressOption(const cxxopts::ParseResult& parsed, const char* name)
    {
        const auto address = support::parseAddress(parsed[name].as<std::string>());
        if (!address) {
            fail(std::string("--") + name + ": expected ip:port");
        }
        return *address;
    }

    Spread parseSpread(const std::string& text)
    {
        const auto* it = std::ranges::find_if(spreads, [&](const auto& row) { return text == row.first; });
        if (it == spreads.end()) {
            fail("--spread: expected fixed, exponential or lognormal, got " + text);
        }
        return it->second;
    }

    cxxopts::Options describe()
    {
        cxxopts::Options options("standin-backend", "Small stand-in backend server for tests and measurements.");
        auto add = options.add_options();
        add("help", "Show this text");
        add("name", "Name in answers", cxxopts::value<std::string>()->default_value("standin"));
        add("service", "Service announced", cxxopts::value<std::string>()->default_value("standin"));
        add("listen", "ip:port for requests", cxxopts::value<std::string>());
        add("control", "ip:port for switching and reading at run time", cxxopts::value<std::string>());
        add("daemon", "Backend-side ip:port of the daemon beside", cxxopts::value<std::string>());
        add("slots", "Slots announced", cxxopts::value<std::uint32_t>()->default_value("64"));
        add("connections", "Connections announced", cxxopts::value<std::uint32_t>()->default_value("256"));
        add("service-time-us", "Mean service time in microseconds", cxxopts::value<std::uint64_t>()->default_value("5000"));
        add("spread", "fixed, exponential or lognormal", cxxopts::value<std::string>()->default_value("fixed"));
        add("seed", "Seed of the service times", cxxopts::value<std::uint64_t>()->default_value("1"));
        add("body-bytes", "Least size of an answer", cxxopts::value<std::size_t>()->default_value("0"));
        add("call", "Nested calls: PREFIX=PATH+PATH...; may be repeated", cxxopts::value<std::vector<std::string>>()->default_value(""));
        add("parallel", "Make nested calls at once instead of one after another");
        add("nested-attempts", "Attempts at each nested call, whatever its verdict", cxxopts::value<std::uint32_t>()->default_value("1"));
        add("nested-timeout-ms", "Time-out of a nested call", cxxopts::value<std::uint64_t>()->default_value("5000"));
        add("journal", "File that gets a line for each execution", cxxopts::value<std::string>()->default_value(""));
        add("record-bytes", "Keep every byte received");
        return options;
    }

} // namespace

Options parseOptions(int argc, char** argv)
{
    cxxopts::Options description = describe();
    try {
        const auto parsed = description.parse(argc, argv);
        if (parsed.count("help")) {
            (void)std::puts(description.help().c_str());
            std::exit(0);
        }
        Options options;
        options.name = parsed["name"].as<std::string>();
        options.service = parsed["service"].as<std::string>();
        options.listen = addressOption(parsed, "listen");
        options.control = addressOption(parsed, "control");
        if (parsed.count("daemon")) {
            options.daemon = addressOption(parsed, "daemon");
        }
        options.slots = parsed["slots"].as<std::uint32_t>();
        options.connections = parsed["connections"].as<std::uint32_t>();
        options.serviceTime = std::chrono::microseconds(parsed["service-time-us"].as<std::uint64_t>());
        options.spread = parseSpread(parsed["spread"].as<std::string>());
        options.seed = parsed["seed"].as<std::uint64_t>();
        options.bodyBytes = parsed["body-bytes"].as<std::size_t>();
        for (const auto& text : parsed["call"].as<std::vector<std::string>>()) {
            if (!text.empty()) {
                options.chains.push_back(parseChain(text));
            }
        }
        options.parallel = parsed.count("parallel") > 0;
        options.nestedAttempts = parsed["nested-attempts"].as<std::uint32_t>();
        options.nestedTimeout = std::chrono::milliseconds(parsed["nested-timeout-ms"].as<std::uint64_t>());
        options.journalFile = parsed["journal"].as<std::string>();
        options.recordBytes = parsed.count("record-bytes") > 0;
        return options;
    } catch (const cxxopts::exceptions::exception& error) {
        fail(error.what());
    }
}

} // namespace pw::standin
