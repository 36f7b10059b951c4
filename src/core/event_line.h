#pragma once

#include "ports/events.h"

#include <chrono>
#include <initializer_list>
#include <string>
#include <string_view>

namespace pw {

/// Maximum length of a field value in an event line, in bytes; longer values are truncated.
inline constexpr std::size_t maxEventValueBytes = 256;

/// \returns the name of \p level as used in event lines and settings.
std::string_view levelName(Level level);

/// \returns the level named \p name, or Level::Count if there is none.
Level levelFromName(std::string_view name);

/// Formats event lines: "2026-01-31T12:00:00.123Z info 302 route-decision key=value key=\"quoted value\"".
/// Values are escaped, so that data from callers cannot inject lines or fields.
class EventLineFormatter {
public:
    /// \param now wall-clock time; informational only.
    /// \returns the line without a line terminator; valid until the next call.
    const std::string& format(std::chrono::system_clock::time_point now, Event event, std::initializer_list<EventField> fields);

private:
    void appendTime(std::chrono::system_clock::time_point now);

    std::string m_line;
    std::chrono::sys_seconds m_second {}; ///< Second that m_secondText represents.
    std::string m_secondText;
};

} // namespace pw
