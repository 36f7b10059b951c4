#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace pw::support {

/// An IPv4 address and port.
struct Address {
    std::string host;
    std::uint16_t port = 0;

    /// \returns "ip:port".
    std::string text() const;
};

/// Reads "ip:port".
std::optional<Address> parseAddress(const std::string& text);

} // namespace pw::support
