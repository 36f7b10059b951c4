#pragma once

#include "ports/peer_network.h"

#include <memory>
#include <optional>
#include <span>

namespace pw {

/// Tells messages on a link by what they differ in from the message of their kind before: calls of one route, and the
/// headers of their answers, are much alike.
class FrameDifference {
public:
    FrameDifference();
    ~FrameDifference();
    FrameDifference(const FrameDifference&) = delete;
    FrameDifference& operator=(const FrameDifference&) = delete;

    /// \returns \p message as its difference from \p before, with a checksum; nothing when that saves no bytes.
    std::optional<Bytes> make(std::span<const std::byte> message, std::span<const std::byte> before);

    /// \returns the message that \p difference from \p before tells, or nothing when it is damaged, belongs to another one
    /// before, or is larger than any message that is told so.
    std::optional<Bytes> apply(std::span<const std::byte> difference, std::span<const std::byte> before);

private:
    struct Contexts;

    std::unique_ptr<Contexts> m_contexts;
};

/// The last message of one kind in one direction of a link, kept alike at both ends.
class FrameHistory {
public:
    /// \returns whether messages of this size are told by their difference.
    static bool holds(std::size_t bytes);

    void note(std::span<const std::byte> message);
    std::span<const std::byte> last() const { return m_last; }

private:
    Bytes m_last;
};

} // namespace pw
