#pragma once

#include "adapters/codec.h"
#include "config.h"

#include <capnp/serialize-packed.h>
#include <kj/io.h>

/// Helpers for Cap'n Proto's packed encoding, padded to whole words. Used for frequent messages of mostly small numbers.
namespace pw::detail {

/// \returns \p message in packed encoding.
inline Bytes toPackedBytes(capnp::MessageBuilder& message)
{
    kj::VectorOutputStream stream;
    capnp::writePackedMessage(stream, message);
    const auto bytes = stream.getArray();
    const auto words = (bytes.size() + sizeof(capnp::word) - 1) / sizeof(capnp::word);
    Bytes result(words * sizeof(capnp::word));
    std::memcpy(result.data(), bytes.begin(), bytes.size());
    return result;
}

/// Reads a root of type \p Root from untrusted packed bytes.
/// \returns nothing if the bytes are not a valid message or it exceeds the maximum frame size.
template <typename Root, typename Read>
auto fromPackedBytes(std::span<const std::byte> bytes, Read&& read) -> std::optional<decltype(read(std::declval<typename Root::Reader>()))>
{
    capnp::ReaderOptions options;
    options.traversalLimitInWords = config::maxFrameBytes / sizeof(capnp::word);
    try {
        kj::ArrayInputStream stream(kj::arrayPtr(reinterpret_cast<const kj::byte*>(bytes.data()), bytes.size()));
        capnp::PackedMessageReader reader(stream, options);
        return read(reader.getRoot<Root>());
    } catch (const kj::Exception&) {
        return std::nullopt;
    }
}

} // namespace pw::detail
