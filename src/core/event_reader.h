#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace pw {

/// An event line as EventLineFormatter writes it, taken apart.
struct EventRecord {
    std::string time; ///< Wall-clock time as written; sorts as text.
    std::string level;
    std::uint32_t number = 0;
    std::string name;
    std::vector<std::pair<std::string, std::string>> fields; ///< In the order of the line, values without their escapes.

    /// \returns the value of \p field, empty when there is none.
    std::string_view value(std::string_view field) const;
};

/// \returns the event of \p line, or nothing when it is no whole event line.
std::optional<EventRecord> readEventLine(std::string_view line);

} // namespace pw
