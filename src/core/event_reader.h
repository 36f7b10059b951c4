#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace pw {

/// A parsed event line, as written by EventLineFormatter.
struct EventRecord {
    std::string time; ///< Wall-clock time as written; lexicographic order is chronological.
    std::string level;
    std::uint32_t number = 0;
    std::string name;
    std::vector<std::pair<std::string, std::string>> fields; ///< In the order of the line, with unescaped values.

    /// \returns the value of \p field, or an empty string if there is none.
    std::string_view value(std::string_view field) const;
};

/// Parses an event line. \returns nothing if \p line is not a complete event line.
std::optional<EventRecord> readEventLine(std::string_view line);

} // namespace pw
