#pragma once

#include "ports/peer_network.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace pw {

/// A control daemon as every daemon's settings name it.
struct ControlMember {
    std::string name;
    PeerAddress peerAddress;
    std::string operatorAddress; ///< HTTP address for operators, "ip:port".
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

    std::vector<ControlMember> controlMembers;
    std::string dataFolder; ///< Control role: the one folder that files live under.
    std::string fleetSecretFile;
    std::string operatorSecretFile;

    std::string limitStrategy; ///< Concurrency limit of the server role; empty takes the default.
    std::string logLevel = "info";
    std::string logFile; ///< Empty: standard error.
    std::uint32_t decisionSampling = 1; ///< One decision line in this many is written; zero writes none.
};

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
