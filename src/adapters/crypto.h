#pragma once

#include "ports/fleet.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>

/// Thin wrappers around the cryptography library.
namespace pw::crypto {

using Mac = std::array<std::byte, 32>;

/// \returns the SHA-256 digest of \p text.
KeyDigest digest(std::string_view text);

/// \returns HMAC-SHA-256 of \p message under \p secret.
Mac mac(std::string_view secret, std::string_view message);

/// Compares in constant time.
bool sameMac(std::span<const std::byte> a, std::span<const std::byte> b);

/// \returns \p count cryptographically random bytes.
std::string randomBytes(std::size_t count);

/// \returns a random number, for seeds and initial ids.
std::uint64_t randomNumber();

/// \returns \p bytes as lower-case hexadecimal digits.
std::string toHex(std::string_view bytes);

/// \returns \p digest in hexadecimal.
std::string toHex(const KeyDigest& digest);

/// \returns the digest that \p hex encodes, or nothing if it is not one.
std::optional<KeyDigest> parseDigest(std::string_view hex);

} // namespace pw::crypto
