#pragma once

#include "adapters/http_reader.h"

#include <cstddef>
#include <string_view>

namespace pw {

/// What stands where the line of a chunk begins.
struct ChunkLine {
    HttpFault fault = HttpFault::None; ///< Bound that is passed whatever follows.
    bool whole = false; ///< The line is there, and behind that of the last chunk the trailers.
};

/// Reads the framing of a chunked body.
/// \param text what has come from there on, the end of the chunk before included; it may break off anywhere.
/// \param first no chunk came before.
/// \param trailerBytes largest block of trailer fields.
ChunkLine readChunkLine(std::string_view text, bool first, std::size_t trailerBytes);

} // namespace pw
