#pragma once

#include "support/address.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace pw::standin {

/// Nested calls made while a request with a path prefix is worked on.
struct Chain {
    std::string prefix;
    std::vector<std::string> paths;
};

/// Shape of the service time distribution.
enum class Spread : std::uint8_t {
    Fixed,
    Exponential,
    LogNormal
};

/// Command line of the stand-in backend server.
struct Options {
    std::string name;
    std::string service;
    support::Address listen;
    support::Address control;
    std::optional<support::Address> daemon; ///< Backend-side address of the daemon beside; none: nothing is announced.
    std::uint32_t slots = 64;
    std::uint32_t connections = 256;
    std::chrono::microseconds serviceTime { 5000 };
    Spread spread = Spread::Fixed;
    std::uint64_t seed = 1;
    std::size_t bodyBytes = 0; ///< Least size of an answer's body.
    std::vector<Chain> chains;
    bool parallel = false; ///< Nested calls of one request run at once.
    std::uint32_t nestedAttempts = 1; ///< Attempts at each nested call, whatever its verdict.
    std::chrono::milliseconds nestedTimeout { 5000 };
    std::string journalFile;
    bool recordBytes = false;
};

/// Reads the command line; ends the program with a message when it is wrong.
Options parseOptions(int argc, char** argv);

} // namespace pw::standin
