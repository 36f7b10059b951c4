#pragma once

#include "config.h"
#include "core/ledger_account.h"
#include "ports/peer_network.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace pw {

/// A control daemon as every daemon's settings name it.
struct ControlMember {
    std::string name;
    PeerAddress peerAddress;
    std::string operatorAddress; ///< HTTP address for operators, "ip:port".

    bool operator==(const ControlMember&) const = default;
};

/// Bound of what is sent again, for each service over the whole fleet.
struct RetryBudgetSettings {
    double ratio = 0.1; ///< Repeats for each request.
    double extra = 10; ///< Repeats in each window besides, shared by all daemons.
    std::chrono::milliseconds window { 10000 };

    bool operator==(const RetryBudgetSettings&) const = default;
};

/// The settings file of one daemon.
struct Settings {
    std::string name; ///< Unique in the fleet.
    std::string region;
    std::string failureDomain;

    bool entry = true; ///< Takes callers' requests.
    bool server = false; ///< Stands beside a backend server.
    bool control = false; ///< Keeps the replicated state.

    PeerAddress peerAddress; ///< Where other daemons reach this one.
    std::string peerListenAddress; ///< Where it listens for them and dials from; empty: peerAddress.
    std::string callerAddress; ///< HTTP for callers; entry role.
    std::string backendSideAddress; ///< HTTP for the backend server beside; server role.
    std::string operatorAddress; ///< HTTP for operators.

    std::string interfaceName = "native"; ///< Outside interface; one of interfaceNames().
    std::string localService; ///< Service of the backend server beside, for the servers that its calls reach.
    std::string readyAddress; ///< HTTP that says whether callers should come; empty: none.
    std::string metricsAddress; ///< HTTP for metrics alone; empty: none.

    std::vector<ControlMember> controlMembers;
    std::vector<PeerAddress> controlSeeds; ///< Control members to begin with, where the others are learned from them.
    bool firstStart = false; ///< With seeds: the whole fleet starts for the first time.
    std::uint32_t toleratedLosses = 1; ///< Control members, disks included, that may be lost at once.
    bool refuseWithoutControl = true; ///< Refuse requests with a key while control cannot be reached.
    std::string dataFolder; ///< Control role: the one folder that files live under.
    std::string fleetSecretFile; ///< Empty: daemons do not prove themselves to each other.
    std::string operatorSecretFile;

    std::string limitStrategy; ///< Concurrency limit of the server role; empty takes the default.
    std::size_t callerConnections = config::maxCallerConnections; ///< Above which idle ones of callers are closed.
    std::chrono::milliseconds drainTime { 2000 }; ///< From the word that a backend server leaves until it gets no new work.
    std::chrono::milliseconds stopTime { 60000 }; ///< From the signal to stop until the process must have ended.
    std::chrono::milliseconds announcementLease { 3000 }; ///< Silence after which a backend server counts as gone.
    double limitHeadroom = 0; ///< Part of the announced slots that is not used, as some servers slow down when nearly full.
    RetryBudgetSettings retryBudget;
    RateTolerance rateTolerance;

    std::string logLevel = "info";
    std::string logFile; ///< Empty: standard error, or standard output.
    bool logToOutput = false; ///< Write to standard output instead of standard error.
    std::uint32_t decisionSampling = 1; ///< One decision line in this many is written; zero writes none.
};

/// Takes over into \p settings what may change while the daemon runs.
/// \returns the keys that were taken over.
std::vector<std::string_view> takeChanges(Settings& settings, const Settings& fresh);

/// \returns the keys that differ and only take effect at the next start.
std::vector<std::string_view> changesForRestart(const Settings& settings, const Settings& fresh);

/// \returns the links' addresses of the control members that \p settings name.
std::vector<PeerAddress> controlPeers(const Settings& settings);

/// Reads and checks settings from YAML \p text.
/// \param source name of the text in messages.
/// \param reason receives "source:line: key: what is wrong; accepted: ..." when nothing is returned, a line for each
///     problem.
std::optional<Settings> parseSettings(const std::string& text, const std::string& source, std::string& reason);

/// Loads and checks a settings file.
/// \param reason receives "file:line: key: what is wrong; accepted: ..." when nothing is returned, a line for each
///     problem.
std::optional<Settings> loadSettings(const std::string& file, std::string& reason);

} // namespace pw
