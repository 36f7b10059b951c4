#include "adapters/crypto.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>

#include <charconv>
#include <cstdlib>
#include <cstring>

namespace pw::crypto {
namespace {

    const unsigned char* unsignedBytes(std::string_view text)
    {
        return reinterpret_cast<const unsigned char*>(text.data());
    }

} // namespace

KeyDigest digest(std::string_view text)
{
    KeyDigest result {};
    unsigned length = 0;
    EVP_Digest(text.data(), text.size(), reinterpret_cast<unsigned char*>(result.data()), &length, EVP_sha256(), nullptr);
    return result;
}

Mac mac(std::string_view secret, std::string_view message)
{
    Mac result {};
    unsigned length = 0;
    HMAC(EVP_sha256(), secret.data(), static_cast<int>(secret.size()), unsignedBytes(message), message.size(),
        reinterpret_cast<unsigned char*>(result.data()), &length);
    return result;
}

bool sameMac(std::span<const std::byte> a, std::span<const std::byte> b)
{
    return a.size() == b.size() && CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

std::string randomBytes(std::size_t count)
{
    std::string result(count, '\0');
    if (RAND_bytes(reinterpret_cast<unsigned char*>(result.data()), static_cast<int>(count)) != 1) {
        std::abort(); // Tokens and nonces would be predictable without random numbers.
    }
    return result;
}

std::uint64_t randomNumber()
{
    auto bytes = randomBytes(sizeof(std::uint64_t));
    std::uint64_t result = 0;
    std::memcpy(&result, bytes.data(), sizeof(result));
    return result;
}

std::string toHex(std::string_view bytes)
{
    constexpr std::string_view digits = "0123456789abcdef";
    std::string result;
    result.reserve(bytes.size() * 2);
    for (auto c : bytes) {
        auto value = static_cast<unsigned char>(c);
        result.push_back(digits[value >> 4]);
        result.push_back(digits[value & 15]);
    }
    return result;
}

std::string toHex(const KeyDigest& digest)
{
    return toHex(std::string_view(reinterpret_cast<const char*>(digest.data()), digest.size()));
}

std::optional<KeyDigest> parseDigest(std::string_view hex)
{
    KeyDigest digest {};
    if (hex.size() != 2 * digest.size()) {
        return std::nullopt;
    }
    for (std::size_t n = 0; n < digest.size(); ++n) {
        unsigned value = 0;
        const auto* begin = hex.data() + 2 * n;
        const auto [stop, ec] = std::from_chars(begin, begin + 2, value, 16);
        if (ec != std::errc() || stop != begin + 2) {
            return std::nullopt;
        }
        digest.at(n) = static_cast<std::byte>(value);
    }
    return digest;
}

} // namespace pw::crypto
