#pragma once

#include "ports/peer_network.h"

#include <memory>
#include <optional>
#include <span>

namespace pw {

/// Delta encoding of messages on a link against the previous message of the same kind. It pays off because the calls of
/// one route, and the headers of their answers, are similar.
class FrameDeltaCodec {
public:
    FrameDeltaCodec();
    ~FrameDeltaCodec();
    FrameDeltaCodec(const FrameDeltaCodec&) = delete;
    FrameDeltaCodec& operator=(const FrameDeltaCodec&) = delete;

    /// \returns the delta of \p message against \p before, with a checksum, or nothing if it is not smaller.
    std::optional<Bytes> encode(std::span<const std::byte> message, std::span<const std::byte> before);

    /// \returns the message decoded from \p delta and \p before, or nothing if the delta is corrupt, was made against
    ///     another message, or expands to more than the maximum size of delta-encoded messages.
    std::optional<Bytes> decode(std::span<const std::byte> delta, std::span<const std::byte> before);

private:
    struct Contexts;

    std::unique_ptr<Contexts> m_contexts;
};

/// The last message of one kind in one direction of a link. Both ends keep the same history.
class FrameHistory {
public:
    /// \returns whether messages of this size are delta encoded.
    static bool accepts(std::size_t bytes);

    void note(std::span<const std::byte> message);
    std::span<const std::byte> last() const { return m_last; }

private:
    Bytes m_last;
};

} // namespace pw
