#pragma once

#include "config.h"
#include "core/ledger_account.h"
#include "core/pick_by.h"
#include "ports/peer_network.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace pw {

/// A control daemon as listed in the settings of every daemon.
struct ControlMember {
    std::string name;
    PeerAddress peerAddress;
    std::string operatorAddress; ///< HTTP address for operators, "ip:port".

    bool operator==(const ControlMember&) const = default;
};

/// Limit on retries per service, over the whole fleet.
struct RetryBudgetSettings {
    double ratio = 0.1; ///< Retries per request.
    double extra = 10; ///< Additional retries per window, shared by all daemons.
    std::chrono::milliseconds window { 10000 };

    bool operator==(const RetryBudgetSettings&) const = default;
};

/// How far the rate of requests to a cold backend server may exceed the rate that it tolerates, in any second.
struct WarmUpTolerance {
    double overage = 1; ///< Factor of that rate.
    double extra = 0; ///< Additional requests.

    bool operator==(const WarmUpTolerance&) const = default;
};

/// Whether requests that crash backend servers are identified and held; see docs/design/quarantine.md.
struct QuarantineSettings {
    bool enabled = false;
    std::chrono::milliseconds holdTime { std::chrono::minutes(10) }; ///< After the crash from which a request is held.

    bool operator==(const QuarantineSettings&) const = default;
};

/// How prices of scarce slots reach the daemons that receive roots; see docs/design/slot-prices.md.
enum class PriceMode : std::uint8_t {
    Chain, ///< Averaged in the demands that each daemon reports with answers.
    Direct, ///< Also passed on by every daemon with answers of any route.
    Count
};

/// The settings file of one daemon.
struct Settings {
    std::string name; ///< Unique in the fleet.
    std::string region;
    std::string failureDomain;

    bool entry = true; ///< Entry role: accepts requests from callers.
    bool server = false; ///< Server role: runs beside a backend server and limits its load.
    bool control = false; ///< Control role: stores the replicated state.

    PeerAddress peerAddress; ///< Address at which other daemons reach this one.
    std::string peerListenAddress; ///< Address to listen on for other daemons and to connect from; empty: peerAddress.
    std::string callerAddress; ///< HTTP listener for callers; entry role.
    std::string backendListenAddress; ///< HTTP listener for the backend server beside this daemon; server role.
    std::string operatorAddress; ///< HTTP listener for operators.

    std::string interfaceName = "native"; ///< HTTP interface towards callers, backend servers and operators; one of interfaceNames().
    std::string localService; ///< Service of the backend server beside this daemon; sent along with its calls to other backend servers.
    std::string readyAddress; ///< HTTP listener for readiness probes; empty: none.
    std::string metricsAddress; ///< HTTP listener that serves only metrics; empty: none.

    std::vector<ControlMember> controlMembers;
    std::vector<PeerAddress> controlSeeds; ///< Control members to contact first; the others are discovered through them.
    bool firstStart = false; ///< With controlSeeds: the fleet starts for the first time, so the first seed bootstraps the cluster.
    std::uint32_t toleratedLosses = 1; ///< Control members, including their disks, that may be lost at the same time.
    bool refuseWithoutControl = true; ///< Refuse requests with a key while no control member can be reached.
    std::string dataFolder; ///< Control role: folder of all persistent files.
    std::string fleetSecretFile; ///< Empty: daemons don't authenticate each other.
    std::string operatorSecretFile;

    std::string limitStrategy; ///< Concurrency limit algorithm of the server role; empty: the default.
    std::string limitStart; ///< How the concurrency limit rises after a start of the backend server; empty: the default.
    std::size_t callerConnectionLimit = config::maxCallerConnections; ///< Number of callers' connections above which idle ones are closed.
    std::chrono::milliseconds drainTimeout { 2000 }; ///< From the notice that a backend server leaves until it gets no new requests.
    std::chrono::milliseconds stopTimeout { 60000 }; ///< From the stop signal until the process must have exited.
    std::chrono::milliseconds announcementLease { 3000 }; ///< A backend server that doesn't renew its announcement for this long is removed.
    bool outlook = false; ///< Entry role: refuses requests that will most likely not be served, see RouteOutlook.
    PriceMode priceMode = PriceMode::Chain;
    double limitHeadroom = 0; ///< Fraction of the announced slots left unused, as some servers slow down when nearly full.
    PickBy pickBy = PickBy::Load; ///< By what the entry role compares servers; the server role reports what is needed for that.
    RetryBudgetSettings retryBudget;
    RateTolerance rateTolerance;
    WarmUpTolerance warmUp;
    QuarantineSettings quarantine;

    std::string logLevel = "info";
    std::string logFile; ///< Empty: standard error or standard output, see logToStdout.
    bool logToStdout = false; ///< Write to standard output instead of standard error.
    std::uint32_t decisionSampling = 1; ///< Logs one of this many decisions; zero: none.
};

/// Copies the settings that may change at run time from \p updated to \p settings.
/// \returns the keys of the changed settings.
std::vector<std::string_view> applyReloadableChanges(Settings& settings, const Settings& updated);

/// \returns the keys that differ in \p updated and take effect only after a restart.
std::vector<std::string_view> changesRequiringRestart(const Settings& settings, const Settings& updated);

/// \returns the peer addresses of the control members in \p settings, or its seeds when no members are listed.
std::vector<PeerAddress> controlPeerAddresses(const Settings& settings);

/// Parses and validates settings from YAML \p text.
/// \param source name of the text in messages.
/// \param reason receives "source:line: key: what is wrong; accepted: ..." when nothing is returned, one line per
///     problem.
std::optional<Settings> parseSettings(const std::string& text, const std::string& source, std::string& reason);

/// Loads, parses and validates a settings file.
/// \param reason receives "file:line: key: what is wrong; accepted: ..." when nothing is returned, one line per
///     problem.
std::optional<Settings> loadSettings(const std::string& file, std::string& reason);

} // namespace pw
