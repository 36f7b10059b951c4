#pragma once

#include "core/types.h"

#include <cstdint>
#include <string>
#include <vector>

namespace pw::measure {

using std::chrono::microseconds;

/// A service and the servers that answer it, one in each failure domain in turn.
struct ServiceModel {
    std::string name;
    std::uint32_t servers;
    std::uint32_t slots; ///< Of one server.
    std::uint32_t connections; ///< Of one server.
};

/// A route and what answering it takes.
struct RouteModel {
    std::string name;
    std::size_t service;
    Importance importance;
    bool idempotent;
    microseconds work; ///< Mean time of the backend server's own work.
    std::vector<std::size_t> nested; ///< Routes called at once after the own work.
    double mix; ///< Share of callers' requests; zero for routes that only backend servers call.
};

/// A deployment of the brief's sizes.
struct DeploymentModel {
    std::string name;
    std::vector<ServiceModel> services;
    std::vector<RouteModel> routes;
    std::vector<double> workspaceRates; ///< Relative.
    std::size_t greedyWorkspace; ///< Sends greedyFactor times what its rate allows.
    microseconds domainDelay; ///< One way, between failure domains.
    std::size_t slowService; ///< The deep service that is slowed.
    std::size_t misledService; ///< The service that announces twice the slots that it has in the misled case.
    microseconds deadline;
};

/// How daemons decide in one case.
struct StrategyModel {
    std::string name;
    std::string limit; ///< Empty: the backend server gets everything.
    bool importance; ///< False: first come, first served.
    bool gate;
    bool retryEachHop; ///< False: budget, ratio and only the hop nearest the failure.
    bool balanced; ///< False: servers are picked at random.
    bool quick; ///< Part of a quick run.
};

/// How callers behave.
constexpr double greedyFactor = 4;
constexpr std::uint32_t callerTries = 3;
constexpr microseconds callerRetryPause { 50000 };
constexpr microseconds callerDelay { 1000 };
constexpr microseconds sameDomainDelay { 100 };

const std::vector<DeploymentModel>& deployments();
const std::vector<StrategyModel>& strategies();

} // namespace pw::measure
