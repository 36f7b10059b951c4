#pragma once

#include "adapters/capnp_compat.h"
#include "ports/peer_network.h"

#include <capnp/message.h>
#include <capnp/serialize.h>

#include <cstring>
#include <optional>
#include <string_view>

/// Shared helpers for encoding typed messages as Cap'n Proto and decoding them.
namespace pw::detail {

/// \returns \p message serialized to bytes.
inline Bytes toBytes(capnp::MessageBuilder& message)
{
    auto words = capnp::messageToFlatArray(message);
    auto bytes = words.asBytes();
    Bytes result(bytes.size());
    std::memcpy(result.data(), bytes.begin(), bytes.size());
    return result;
}

/// Reads a root of type \p Root from untrusted bytes.
/// \param read called with the reader; its result is returned.
/// \returns nothing when the bytes hold no valid message.
template <typename Root, typename Read>
auto fromBytes(std::span<const std::byte> bytes, Read&& read) -> std::optional<decltype(read(std::declval<typename Root::Reader>()))>
{
    if (bytes.empty() || bytes.size() % sizeof(capnp::word)) {
        return std::nullopt;
    }
    try {
        auto words = kj::heapArray<capnp::word>(bytes.size() / sizeof(capnp::word));
        std::memcpy(words.begin(), bytes.data(), bytes.size());
        capnp::FlatArrayMessageReader reader(words);
        return read(reader.getRoot<Root>());
    } catch (const kj::Exception&) {
        return std::nullopt;
    }
}

/// \returns a Cap'n Proto view of \p text, which must outlive it.
inline capnp::Text::Reader toText(const std::string& text)
{
    return { text.c_str(), text.size() };
}

/// \returns \p text as a string.
inline std::string fromText(capnp::Text::Reader text)
{
    return { text.cStr(), text.size() };
}

/// \returns \p data as Cap'n Proto data.
inline capnp::Data::Reader toData(std::string_view data)
{
    return { reinterpret_cast<const kj::byte*>(data.data()), data.size() };
}

/// \returns \p data as a string of bytes.
inline std::string fromData(capnp::Data::Reader data)
{
    return { reinterpret_cast<const char*>(data.begin()), data.size() };
}

} // namespace pw::detail
