#pragma once

#include "ports/events.h"

#include <chrono>
#include <initializer_list>
#include <string>
#include <string_view>

namespace pw {

/// Longest value of an event line, in bytes; the rest is cut off.
inline constexpr std::size_t maxEventValueBytes = 256;

/// \returns the name of \p level in event lines and settings.
std::string_view levelName(Level level);

/// \returns the level with \p name; Level::Count when there is none.
Level levelFromName(std::string_view name);

/// Formats event lines: "2026-01-31T12:00:00.123Z info 302 route-decision key=value key=\"quoted value\"".
/// Values are escaped, so that nothing a caller sends begins a line or a field of its own.
class EventLineFormatter {
public:
    /// \param now wall-clock time, for people only.
    /// \returns the line without its end; valid until the next call.
    const std::string& format(std::chrono::system_clock::time_point now, Event event, std::initializer_list<EventField> fields);

private:
    void appendTime(std::chrono::system_clock::time_point now);

    std::string m_line;
    std::chrono::sys_seconds m_second {}; ///< Second that m_secondText stands for.
    std::string m_secondText;
};

} // namespace pw
