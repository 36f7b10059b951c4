#include "fault.h"
#include "proxy.h"

#include "support/address.h"
#include "support/http_server.h"
#include "support/loop.h"

#include <cxxopts.hpp>

#include <csignal>
#include <cstdio>
#include <optional>
#include <sstream>
#include <string>
#include <vector>

namespace {

using namespace pw;

constexpr int usageError = 2;

/// Adds a mapping. \returns whether both addresses are valid and the proxy listens.
bool addMapping(proxy::Proxy& proxy, const std::string& name, const std::string& listen, const std::string& target)
{
    const auto from = support::parseAddress(listen);
    const auto to = support::parseAddress(target);
    return from && to && proxy.add(name, *from, *to);
}

/// Answers the control address: /set, /clear, /map, /stats.
support::ControlAnswer control(proxy::Proxy& proxy, const support::ControlRequest& request)
{
    if (request.path == "/stats") {
        return { 200, proxy.stats() };
    }
    if (request.path == "/clear") {
        proxy.clear();
        return {};
    }
    if (request.path == "/map") {
        const bool added = addMapping(proxy, request.text("name"), request.text("listen"), request.text("target"));
        return { added ? 200 : 400, {} };
    }
    const auto rule = proxy::Rule::parse(request);
    if (request.path != "/set" || !rule) {
        return { 400, "expected /set?map=&from=&direction=&fault=\n" };
    }
    const std::string direction = request.text("direction", "both");
    if (direction != "backward") {
        proxy.setRule(request.text("map", "*"), request.text("from", "*"), proxy::Direction::Forward, *rule);
    }
    if (direction != "forward") {
        proxy.setRule(request.text("map", "*"), request.text("from", "*"), proxy::Direction::Backward, *rule);
    }
    return {};
}

/// Plays one line of a script, "MILLISECONDS QUERY", when its time has come.
void schedule(event_base* base, proxy::Proxy& proxy, const std::string& line)
{
    std::istringstream text(line);
    std::int64_t at = 0;
    std::string query;
    if (!(text >> at >> query)) {
        return;
    }
    support::after(base, std::chrono::milliseconds(at), [&proxy, query] { (void)control(proxy, support::parseTarget("/set?" + query)); });
}

/// Adds a mapping written as NAME=LISTEN>TARGET.
bool addMapping(proxy::Proxy& proxy, const std::string& text)
{
    const auto equals = text.find('=');
    const auto arrow = text.find('>');
    if (equals == std::string::npos || arrow == std::string::npos || arrow < equals) {
        return false;
    }
    return addMapping(proxy, text.substr(0, equals), text.substr(equals + 1, arrow - equals - 1), text.substr(arrow + 1));
}

cxxopts::Options describe()
{
    cxxopts::Options options("fault-proxy", "TCP proxy that delays, drops, resets, cuts or repeats what passes, on command.");
    auto add = options.add_options();
    add("help", "Show this text");
    add("control", "ip:port for switching and reading at run time", cxxopts::value<std::string>());
    add("map", "NAME=LISTEN>TARGET; may be repeated", cxxopts::value<std::vector<std::string>>());
    add("at", "Script line 'MILLISECONDS map=..&fault=..'; may be repeated", cxxopts::value<std::vector<std::string>>());
    add("seed", "Seed of the jitter", cxxopts::value<std::uint64_t>()->default_value("1"));
    return options;
}

int run(const cxxopts::ParseResult& parsed)
{
    const support::BasePtr base = support::makeBase();
    proxy::Proxy proxy(base.get(), parsed["seed"].as<std::uint64_t>());
    const auto maps = parsed.count("map") ? parsed["map"].as<std::vector<std::string>>() : std::vector<std::string>();
    for (const auto& text : maps) {
        if (!addMapping(proxy, text)) {
            (void)std::fprintf(stderr, "fault-proxy: cannot map %s\n", text.c_str());
            return 1;
        }
    }
    support::ControlServer server(base.get(), [&](const support::ControlRequest& request) { return control(proxy, request); });
    const auto address = support::parseAddress(parsed["control"].as<std::string>());
    if (!address || !server.listen(*address)) {
        (void)std::fprintf(stderr, "fault-proxy: cannot listen for control\n");
        return 1;
    }
    if (parsed.count("at")) {
        for (const auto& line : parsed["at"].as<std::vector<std::string>>()) {
            schedule(base.get(), proxy, line);
        }
    }
    const auto stop = [&] { event_base_loopbreak(base.get()); };
    const support::SignalHandler onTerm(base.get(), SIGTERM, stop);
    const support::SignalHandler onInterrupt(base.get(), SIGINT, stop);
    event_base_dispatch(base.get());
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
        (void)std::fprintf(stderr, "fault-proxy: %s\n", error.what());
        return usageError;
    }
}
