#include "adapters/chunk_framing.h"

#include "config.h"

#include <algorithm>

namespace pw {
namespace {

    constexpr std::string_view lineEnd = "\r\n";
    constexpr std::string_view blockEnd = "\r\n\r\n";

    /// \returns whether a chunk-size line has size zero, which ends the body.
    bool isLastChunk(std::string_view line)
    {
        const auto digits = line.substr(0, line.find_first_not_of("0123456789abcdefABCDEF"));
        return !digits.empty() && std::ranges::all_of(digits, [](char c) { return c == '0'; });
    }

    /// \returns the number of bytes in \p text before \p end; a lower bound if \p end has not been received completely.
    std::size_t minLengthBefore(std::string_view text, std::string_view end)
    {
        const auto at = text.find(end);
        return at != std::string_view::npos ? at : text.size() - std::min(text.size(), end.size() - 1);
    }

} // namespace

ChunkLine readChunkLine(std::string_view text, bool first, std::size_t trailerBytes)
{
    text.remove_prefix(first ? 0 : std::min(text.size(), lineEnd.size()));
    if (minLengthBefore(text, lineEnd) > config::maxChunkLineBytes) {
        return { HttpFault::Malformed };
    }
    const auto end = text.find(lineEnd);
    if (end == std::string_view::npos) {
        return {};
    }
    if (!isLastChunk(text.substr(0, end))) {
        return { HttpFault::None, true };
    }
    const auto trailers = text.substr(end);
    if (minLengthBefore(trailers, blockEnd) > trailerBytes) {
        return { HttpFault::HeaderTooLarge };
    }
    return { HttpFault::None, trailers.find(blockEnd) != std::string_view::npos };
}

} // namespace pw
