#pragma once

#include "pistachiowheel/pistachiowheel.h"

#include <chrono>
#include <cstddef>
#include <string>
#include <vector>

namespace pw {

/// Limits on the values that operators configure.
namespace config {
    inline constexpr std::size_t maxNameBytes = 64;
    inline constexpr std::size_t maxPathPrefixBytes = 512;
    inline constexpr std::size_t maxServices = 1024;
    inline constexpr std::size_t maxRoutes = 4096;
    inline constexpr std::size_t maxWorkspaces = 4096;
    inline constexpr std::uint32_t maxSlotsPerServer = 100'000;
    inline constexpr std::uint32_t maxConnectionsPerServer = 1'000'000;
    inline constexpr std::uint32_t maxAttempts = 1000;
    /// Requests per second.
    inline constexpr double minRate = 0.001;
    inline constexpr double maxRate = 1e6;
    /// Requests. A burst below one would admit no request.
    inline constexpr double minBurst = 1;
    inline constexpr double maxBurst = 1e7;
    /// Requests per second of a cold backend server. A lower rate could not be told from none.
    inline constexpr double minWarmUpRate = 0.1;
    inline constexpr std::chrono::milliseconds maxWarmUpTime { 600'000 };
    inline constexpr std::uint32_t maxPriority = 65535;
    inline constexpr std::uint32_t maxWeight = 1'000'000;
    inline constexpr std::size_t maxHostBytes = 253;
    inline constexpr std::size_t digestHexBytes = 64;
    /// Range of the header and body limits, in bytes.
    inline constexpr std::uint32_t minHeaderBytes = 256;
    inline constexpr std::uint32_t maxCallerBytes = 1U << 30U;
    inline constexpr std::chrono::milliseconds minCallerTimeout { 100 };
    inline constexpr std::chrono::milliseconds maxCallerTimeout { 3'600'000 };
} // namespace config

/// One problem found in a deployment.
struct DeploymentProblem {
    std::string section; ///< "services", "routes", "workspaces" or "limits".
    std::size_t index = 0; ///< Index of the entry in the section.
    std::string field; ///< Empty if the problem concerns the whole section or entry.
    std::string wrong; ///< What is wrong.
    std::string accepted; ///< What is accepted instead.
};

/// \returns \p problem as one line of text, with \p label before what is accepted instead.
std::string problemText(const DeploymentProblem& problem, std::string_view label = "accepted");

/// \returns whether \p text is a valid name of a service, route, workspace or daemon.
bool isName(std::string_view text);

/// Description of the names that isName() accepts, for error messages.
inline constexpr std::string_view nameAccepted = "1 to 64 letters, digits, '.', '_' or '-', first a letter or a digit";

/// \returns all problems of \p deployment.
std::vector<DeploymentProblem> deploymentProblems(const Deployment& deployment);

} // namespace pw
