#include "support/mesh.h"

namespace pw::test {

const std::string meshConfiguration = R"(services:
  - { name: share, slotsPerServer: 40, connectionsPerServer: 330 }
  - { name: tides, slotsPerServer: 40, connectionsPerServer: 330 }
  - { name: orders, slotsPerServer: 40, connectionsPerServer: 330 }
routes:
  - { name: share, method: GET, pathPrefix: /share, service: share, importance: normal, deadline: 2000ms, attempts: 8 }
  - { name: tides, method: GET, pathPrefix: /tides, service: tides, importance: low, deadline: 2000ms }
  - { name: rotors, method: GET, pathPrefix: /rotors, service: tides, nestedOnly: true, deadline: 2000ms }
  - { name: order, method: POST, pathPrefix: /order, service: orders, importance: critical, idempotent: false, deadline: 1000ms }
  - { name: notices, method: GET, pathPrefix: /notices, service: orders, open: true, deadline: 1000ms }
workspaces:
  - { name: anglesey, rate: 2000, burst: 2000 }
  - { name: menai, rate: 20, burst: 20 }
)";

Mesh::Mesh(const FleetShape& shape, const std::vector<std::string>& shareOptions)
    : fleet(shape)
    , entry(fleet.addEntry())
{
    constexpr int serversOfEach = 2;
    std::vector<std::string> options { "--call", "/share=/tides+/rotors", "--record-bytes" };
    options.insert(options.end(), shareOptions.begin(), shareOptions.end());
    for (int n = 0; n < serversOfEach; ++n) {
        const std::string domain = "d" + std::to_string(n + 1);
        shares.push_back(&fleet.addServer("share", options, domain));
        tides.push_back(&fleet.addServer("tides", { "--record-bytes" }, domain));
        orders.push_back(&fleet.addServer("orders", { "--record-bytes" }, domain));
    }
    fleet.configure(meshConfiguration);
    key = fleet.operators().issueKey(meshWorkspace);
    fleet.waitForRoute(entry, "/share?marker=ready", key.key);
    fleet.waitForRoute(entry, "/notices?marker=ready");
}

} // namespace pw::test
