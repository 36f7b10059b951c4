#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace pw {

/// \returns \p text as one Zstandard frame with a checksum, compressed with \p base as the dictionary.
std::string compressText(std::string_view text, std::string_view base = {});

/// \param base the text that was passed to compressText().
/// \param limit maximum size of the text, in bytes.
/// \returns the text, or nothing if the frame is corrupt, was made with another base, or expands to more than \p limit.
std::optional<std::string> decompressText(std::string_view frame, std::string_view base, std::size_t limit);

} // namespace pw
