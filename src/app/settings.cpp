#include "app/settings.h"

#include "app/interface.h"
#include "app/yaml_reader.h"
#include "core/deployment_check.h"
#include "core/limit.h"

#include <event2/util.h>
#include <netinet/in.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstring>
#include <fstream>
#include <sstream>

namespace pw {
namespace {

    constexpr std::size_t maxSettingsBytes = 64 * 1024;
    constexpr std::size_t maxControlMembers = 7;
    constexpr std::uint32_t maxDecisionSampling = 1'000'000;

    constexpr std::string_view listenAddressAccepted = "IP:PORT with a numeric IP and a port from 1 to 65535";
    constexpr std::string_view daemonAddressAccepted = "IP:PORT with the numeric IP at which others reach it, and a port from 1 to 65535";
    constexpr std::string_view memberAccepted = "a list of 1 to 7 mappings with name, peer, operator";
    constexpr std::string_view pathAccepted = "an absolute path";
    constexpr std::string_view seedsAccepted = "a list of 1 to 9 IP:PORT, operators' addresses of control members";
    constexpr std::size_t maxSeeds = 9;
    constexpr std::uint32_t maxToleratedLosses = 3;
    constexpr Range<std::chrono::milliseconds> timeoutRange { std::chrono::milliseconds(100), std::chrono::minutes(10) };
    constexpr Range<std::chrono::milliseconds> holdTimeRange { std::chrono::seconds(1), std::chrono::hours(24) };
    constexpr Range<std::chrono::milliseconds> windowRange { std::chrono::seconds(1), std::chrono::minutes(10) };
    constexpr std::uint32_t minCallerConnections = 16;
    constexpr std::uint32_t maxCallerConnections = 1'000'000;
    constexpr double maxRetryRatio = 1;
    constexpr double maxRetryExtra = 1e6;
    constexpr double maxRateShare = 1;
    constexpr double maxWarmUpOverage = 100;
    constexpr double maxLimitHeadroom = 0.5;
    constexpr double maxRateExtra = 1e6;

    const std::vector<std::string_view> whenUnreachableChoices { "refuse", "continue" };
    const std::vector<std::string_view> pickByChoices { "load", "completion" }; ///< In the order of PickBy.
    const std::vector<std::string_view> proofChoices { "secret", "none" };
    /// Indexed by PriceMode.
    const std::vector<std::string_view> priceChoices { "chain", "direct" };
    const std::vector<std::string_view> outputChoices { "error", "output" };
    const std::vector<std::string_view> switchChoices { "off", "on" };

    const std::vector<std::string_view> logLevels { "debug", "info", "warning", "error" };

    /// A role and the member of Settings that enables it.
    struct RoleRow {
        std::string_view name;
        bool Settings::*member;
    };
    constexpr std::array<RoleRow, 3> roleTable { {
        { "entry", &Settings::entry },
        { "server", &Settings::server },
        { "control", &Settings::control },
    } };

    template <typename Value>
    void assignIfSet(std::optional<Value> value, Value& result)
    {
        if (value) {
            result = *value;
        }
    }

    bool isWildcard(const sockaddr_storage& address)
    {
        if (address.ss_family == AF_INET) {
            return reinterpret_cast<const sockaddr_in&>(address).sin_addr.s_addr == INADDR_ANY;
        }
        return IN6_IS_ADDR_UNSPECIFIED(&reinterpret_cast<const sockaddr_in6&>(address).sin6_addr);
    }

    bool isAddress(const std::string& text, bool wildcardAccepted)
    {
        sockaddr_storage address {};
        int n = sizeof(address);
        if (evutil_parse_sockaddr_port(text.c_str(), reinterpret_cast<sockaddr*>(&address), &n) != 0) {
            return false;
        }
        const auto port = address.ss_family == AF_INET ? reinterpret_cast<const sockaddr_in&>(address).sin_port
                                                       : reinterpret_cast<const sockaddr_in6&>(address).sin6_port;
        return port != 0 && (wildcardAccepted || !isWildcard(address));
    }

    void readName(YamlMap& map, const std::string& key, std::string& result)
    {
        if (!map.require(key, nameAccepted)) {
            return;
        }
        auto value = map.text(key);
        if (value && !isName(*value)) {
            map.addProblem(key, "not a name", nameAccepted);
        }
        result = value.value_or("");
    }

    /// Reads an address to listen on; a wildcard IP is accepted.
    void readListenAddress(YamlMap& map, const std::string& key, std::string& result)
    {
        auto value = map.text(key);
        if (value && !isAddress(*value, true)) {
            map.addProblem(key, "not an address", listenAddressAccepted);
        }
        result = value.value_or("");
    }

    /// Reads an address at which other daemons reach a daemon; a wildcard IP is rejected.
    void readDaemonAddress(YamlMap& map, const std::string& key, std::string& result)
    {
        if (!map.require(key, daemonAddressAccepted)) {
            return;
        }
        auto value = map.text(key);
        if (value && !isAddress(*value, false)) {
            map.addProblem(key, "not an address of one daemon", daemonAddressAccepted);
        }
        result = value.value_or("");
    }

    void readPath(YamlMap& map, const std::string& key, std::string& result)
    {
        auto value = map.text(key);
        if (value && !value->starts_with('/')) {
            map.addProblem(key, "not an absolute path", pathAccepted);
        }
        result = value.value_or("");
    }

    void readInterface(YamlMap& root, Settings& settings)
    {
        if (auto n = root.choice("interface", interfaceNames())) {
            settings.interfaceName = interfaceNames()[*n];
        }
    }

    void readRoles(YamlMap& root, YamlProblems& problems, Settings& settings)
    {
        constexpr std::string_view accepted = "a list of entry, server, control, at least one of them";
        if (!root.require("roles", accepted)) {
            return;
        }
        settings.entry = false;
        const auto items = root.list("roles", accepted);
        for (const auto& it : items) {
            auto row = std::ranges::find(roleTable, it.IsScalar() ? it.Scalar() : std::string(), &RoleRow::name);
            if (row == roleTable.end()) {
                problems.add(it.Mark(), "roles", "unknown role", accepted);
                continue;
            }
            settings.*(row->member) = true;
        }
        if (items.empty()) {
            root.addProblem("roles", "no role", accepted);
        }
    }

    void readMember(const YAML::Node& node, std::size_t index, YamlProblems& problems, Settings& settings)
    {
        const auto key = "control.members[" + std::to_string(index) + "]";
        if (!node.IsMap()) {
            problems.add(node.Mark(), key, "not a mapping", memberAccepted);
            return;
        }
        YamlMap map(node, key, problems);
        ControlMember member;
        readName(map, "name", member.name);
        readDaemonAddress(map, "peer", member.peerAddress);
        readDaemonAddress(map, "operator", member.operatorAddress);
        map.reportUnknownKeys();

        auto sameName = [&](const ControlMember& it) { return !it.name.empty() && it.name == member.name; };
        auto sameAddress = [&](const ControlMember& it) { return !it.peerAddress.empty() && it.peerAddress == member.peerAddress; };
        if (std::ranges::any_of(settings.controlMembers, sameName)) {
            map.addProblem("name", "given twice", "a unique name for each member");
        }
        if (std::ranges::any_of(settings.controlMembers, sameAddress)) {
            map.addProblem("peer", "given twice", "a unique address for each member");
        }
        settings.controlMembers.push_back(member);
    }

    /// Seeds are given by their operator addresses. All daemons use the same port for peer connections, so the port of a
    /// seed's peer address is that of this daemon.
    void readSeeds(YamlMap& map, Settings& settings)
    {
        const auto items = map.list("seeds", seedsAccepted);
        if (items.size() > maxSeeds) {
            map.addProblem("seeds", std::to_string(items.size()) + " seeds", seedsAccepted);
        }
        const auto port = settings.peerAddress.substr(settings.peerAddress.rfind(':') + 1);
        for (const auto& it : items) {
            const auto text = it.IsScalar() ? it.Scalar() : std::string();
            if (!isAddress(text, false)) {
                map.addProblem("seeds", "not an address", seedsAccepted);
                continue;
            }
            settings.controlSeeds.push_back(text.substr(0, text.rfind(':') + 1) + port);
        }
    }

    void readControl(YamlMap& root, YamlProblems& problems, Settings& settings)
    {
        root.require("control", "a mapping with members and, for the control role, dataFolder");
        auto map = root.map("control");
        readPath(map, "dataFolder", settings.dataFolder);
        const auto items = map.list("members", memberAccepted);
        for (std::size_t n = 0; n < items.size(); ++n) {
            readMember(items[n], n, problems, settings);
        }
        readSeeds(map, settings);
        const auto hasOnlySeeds = !settings.controlSeeds.empty() && items.empty();
        if (!hasOnlySeeds && (items.empty() || items.size() > maxControlMembers)) {
            map.addProblem("members", std::to_string(items.size()) + " members", memberAccepted);
        }
        settings.toleratedLosses = static_cast<std::uint32_t>(items.empty() ? settings.toleratedLosses : (items.size() - 1) / 2);
        assignIfSet(map.integer("toleratedLosses", { 0, maxToleratedLosses }), settings.toleratedLosses);
        assignIfSet(map.boolean("firstStart"), settings.firstStart);
        settings.refuseWithoutControl = map.choice("whenUnreachable", whenUnreachableChoices).value_or(0) == 0;
        if (settings.control) {
            map.require("dataFolder", pathAccepted);
        }
        map.reportUnknownKeys();
    }

    void readDaemon(YamlMap& root, Settings& settings)
    {
        root.require("daemon", "a mapping with name, region, failureDomain");
        auto map = root.map("daemon");
        readName(map, "name", settings.name);
        readName(map, "region", settings.region);
        readName(map, "failureDomain", settings.failureDomain);
        map.reportUnknownKeys();
    }

    void readBackend(YamlMap& map, Settings& settings)
    {
        if (map.has("service")) {
            readName(map, "service", settings.localService);
        }
        assignIfSet(map.duration("announcementLease", timeoutRange), settings.announcementLease);
    }

    /// A section of the settings file with a listen address.
    struct ListenRow {
        const char* section;
        std::string Settings::*member;
        bool Settings::*role; ///< Role that requires it; null: none.
    };
    constexpr std::array<ListenRow, 5> listenTable { {
        { "caller", &Settings::callerAddress, &Settings::entry },
        { "backend", &Settings::backendListenAddress, &Settings::server },
        { "operator", &Settings::operatorAddress, &Settings::control },
        { "ready", &Settings::readyAddress, nullptr },
        { "metrics", &Settings::metricsAddress, nullptr },
    } };

    void readListen(YamlMap& root, const ListenRow& row, Settings& settings)
    {
        if (row.role && settings.*(row.role)) {
            root.require(row.section, "a mapping with address, required by a role of this daemon");
        }
        auto map = root.map(row.section);
        if (root.has(row.section)) {
            map.require("address", listenAddressAccepted);
        }
        readListenAddress(map, "address", settings.*(row.member));
        if (row.member == &Settings::callerAddress) {
            if (auto n = map.integer("connections", { minCallerConnections, maxCallerConnections })) {
                settings.callerConnectionLimit = *n;
            }
        }
        if (row.member == &Settings::backendListenAddress) {
            readBackend(map, settings);
        }
        map.reportUnknownKeys();
    }

    void readPeer(YamlMap& root, Settings& settings, bool& peerProofEnabled)
    {
        root.require("peer", "a mapping with address");
        auto map = root.map("peer");
        readDaemonAddress(map, "address", settings.peerAddress);
        readListenAddress(map, "listen", settings.peerListenAddress);
        peerProofEnabled = map.choice("proof", proofChoices).value_or(0) == 0;
        map.reportUnknownKeys();
    }

    void readSecrets(YamlMap& root, Settings& settings, bool peerProofEnabled)
    {
        const auto native = settings.interfaceName == nativeInterfaceName;
        const auto operators = native && !settings.operatorAddress.empty();
        if (peerProofEnabled || operators) {
            root.require("secrets", "a mapping with fleet and, when operator.address is set, operator");
        }
        auto map = root.map("secrets");
        if (peerProofEnabled) {
            map.require("fleet", pathAccepted);
        }
        readPath(map, "fleet", settings.fleetSecretFile);
        if (operators) {
            map.require("operator", pathAccepted);
        }
        readPath(map, "operator", settings.operatorSecretFile);
        map.reportUnknownKeys();
    }

    void readBounds(YamlMap& root, Settings& settings)
    {
        auto map = root.map("bounds");
        assignIfSet(map.duration("drain", timeoutRange), settings.drainTimeout);
        assignIfSet(map.duration("stop", timeoutRange), settings.stopTimeout);
        map.reportUnknownKeys();
    }

    void readRetryBudget(YamlMap& root, Settings& settings)
    {
        auto map = root.map("retryBudget");
        assignIfSet(map.number("ratio", { 0, maxRetryRatio }), settings.retryBudget.ratio);
        assignIfSet(map.number("extra", { 0, maxRetryExtra }), settings.retryBudget.extra);
        assignIfSet(map.duration("window", windowRange), settings.retryBudget.window);
        map.reportUnknownKeys();
    }

    void readRateTolerance(YamlMap& root, Settings& settings)
    {
        auto map = root.map("rateTolerance");
        assignIfSet(map.duration("window", windowRange), settings.rateTolerance.window);
        assignIfSet(map.number("share", { 0, maxRateShare }), settings.rateTolerance.share);
        assignIfSet(map.number("extra", { 0, maxRateExtra }), settings.rateTolerance.extra);
        map.reportUnknownKeys();
    }

    void readWarmUp(YamlMap& root, Settings& settings)
    {
        auto map = root.map("warmUp");
        assignIfSet(map.number("overage", { 1, maxWarmUpOverage }), settings.warmUp.overage);
        assignIfSet(map.number("extra", { 0, maxRateExtra }), settings.warmUp.extra);
        map.reportUnknownKeys();
    }

    void readQuarantine(YamlMap& root, Settings& settings)
    {
        auto map = root.map("quarantine");
        settings.quarantine.enabled = map.choice("mode", switchChoices).value_or(0) == 1;
        assignIfSet(map.duration("holdTime", holdTimeRange), settings.quarantine.holdTime);
        map.reportUnknownKeys();
    }

    void readLimit(YamlMap& root, Settings& settings)
    {
        auto map = root.map("limit");
        const auto names = limitNames();
        if (auto n = map.choice("strategy", names)) {
            settings.limitStrategy = names[*n];
        }
        const auto starts = startRampNames();
        if (auto n = map.choice("start", starts)) {
            settings.limitStart = starts[*n];
        }
        assignIfSet(map.number("headroom", { 0, maxLimitHeadroom }), settings.limitHeadroom);
        map.reportUnknownKeys();
    }

    void readAdmission(YamlMap& root, Settings& settings)
    {
        auto map = root.map("admission");
        settings.outlook = map.choice("outlook", switchChoices).value_or(0) == 1;
        if (auto n = map.choice("prices", priceChoices)) {
            settings.priceMode = static_cast<PriceMode>(*n);
        }
        map.reportUnknownKeys();
    }

    void readPick(YamlMap& root, Settings& settings)
    {
        auto map = root.map("pick");
        settings.pickBy = static_cast<PickBy>(map.choice("by", pickByChoices).value_or(0));
        map.reportUnknownKeys();
    }

    void readLog(YamlMap& root, Settings& settings)
    {
        auto map = root.map("log");
        if (auto n = map.choice("level", logLevels)) {
            settings.logLevel = logLevels[*n];
        }
        readPath(map, "file", settings.logFile);
        settings.logToStdout = map.choice("stream", outputChoices).value_or(0) == 1;
        if (auto n = map.integer("decisionSampling", { 0, maxDecisionSampling })) {
            settings.decisionSampling = *n;
        }
        map.reportUnknownKeys();
    }

    /// A control daemon's own name and address must match one entry of the list of members.
    void checkIdentity(YamlMap& root, Settings& settings)
    {
        auto isInconsistent = [&](const ControlMember& it) {
            return (it.name == settings.name) != (it.peerAddress == settings.peerAddress);
        };
        if (std::ranges::any_of(settings.controlMembers, isInconsistent)) {
            root.addProblem("daemon", "name and peer.address disagree with control.members",
                "the name and address of the same member, or a name and address that no member has");
        }
    }

    std::optional<std::string> readFile(const std::string& file, std::string& reason)
    {
        std::ifstream in(file, std::ios::binary);
        std::ostringstream text;
        if (!in || !(text << in.rdbuf())) {
            reason = file + ":1: (file): cannot be read: " + std::strerror(errno) + "; accepted: a readable, non-empty file";
            return std::nullopt;
        }
        return text.str();
    }

    void readSettings(YamlMap& root, YamlProblems& problems, Settings& settings)
    {
        bool peerProofEnabled = true;
        readDaemon(root, settings);
        readInterface(root, settings);
        readRoles(root, problems, settings);
        readPeer(root, settings, peerProofEnabled);
        std::ranges::for_each(listenTable, [&](const ListenRow& row) { readListen(root, row, settings); });
        readControl(root, problems, settings);
        readSecrets(root, settings, peerProofEnabled);
        readBounds(root, settings);
        readRetryBudget(root, settings);
        readQuarantine(root, settings);
        readRateTolerance(root, settings);
        readWarmUp(root, settings);
        readLimit(root, settings);
        readAdmission(root, settings);
        readPick(root, settings);
        readLog(root, settings);
        root.reportUnknownKeys();
        checkIdentity(root, settings);
    }

} // namespace

std::optional<Settings> parseSettings(const std::string& text, const std::string& source, std::string& reason)
{
    YamlProblems problems(source);
    Settings settings;
    if (auto node = parseYamlMap(text, maxSettingsBytes, problems)) {
        YamlMap root(*node, "", problems);
        readSettings(root, problems, settings);
    }
    if (!problems.empty()) {
        reason = problems.text();
        return std::nullopt;
    }
    return settings;
}

std::vector<PeerAddress> controlPeerAddresses(const Settings& settings)
{
    if (settings.controlMembers.empty()) {
        return settings.controlSeeds;
    }
    std::vector<PeerAddress> result;
    std::ranges::transform(settings.controlMembers, std::back_inserter(result), &ControlMember::peerAddress);
    return result;
}

std::optional<Settings> loadSettings(const std::string& file, std::string& reason)
{
    auto text = readFile(file, reason);
    return text ? parseSettings(*text, file, reason) : std::nullopt;
}

} // namespace pw
