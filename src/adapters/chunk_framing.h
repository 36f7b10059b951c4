#pragma once

#include "adapters/http_reader.h"

#include <cstddef>
#include <string_view>

namespace pw {

/// Result of reading a chunk-size line of a chunked body.
struct ChunkLine {
    HttpFault fault = HttpFault::None; ///< Limit that is exceeded regardless of the bytes that follow.
    bool complete = false; ///< The line is complete; after the last chunk, the trailers are complete too.
};

/// Reads the framing of a chunked body.
/// \param text bytes received so far, starting with the line end of the previous chunk; may be truncated anywhere.
/// \param first whether this is the first chunk of the body.
/// \param trailerBytes maximum size of the trailer section, in bytes.
ChunkLine readChunkLine(std::string_view text, bool first, std::size_t trailerBytes);

} // namespace pw
