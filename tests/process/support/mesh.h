#pragma once

#include "support/fleet.h"

#include <string>

namespace pw::test {

/// Configuration of the small mesh that the tests run: a share read needs tides and rotors, orders are not idempotent.
extern const std::string meshConfiguration;

inline constexpr const char* meshWorkspace = "anglesey";

/// A fleet with the small mesh: two servers of each service, one entry daemon, one key.
struct Mesh {
    explicit Mesh(const FleetShape& shape = {}, const std::vector<std::string>& shareOptions = {});

    Fleet fleet;
    Daemon& entry;
    std::vector<Server*> shares;
    std::vector<Server*> tides;
    std::vector<Server*> orders;
    IssuedKey key;
};

} // namespace pw::test
