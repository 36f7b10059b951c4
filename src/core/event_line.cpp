#include "core/event_line.h"

#include <algorithm>
#include <array>
#include <ctime>

namespace pw {
namespace {

    constexpr std::array<std::string_view, static_cast<std::size_t>(Level::Count)> levelNames { "debug", "info", "warning", "error" };
    constexpr std::string_view hexDigits = "0123456789abcdef";

    bool isPlain(unsigned char c)
    {
        return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9')
            || std::string_view("-._:/@+,%?&~").find(static_cast<char>(c)) != std::string_view::npos;
    }

    void appendEscaped(std::string& line, unsigned char c)
    {
        if (c == '"' || c == '\\') {
            line += '\\';
            line += static_cast<char>(c);
        } else if (c < 0x20 || c > 0x7e) {
            line += "\\x";
            line += hexDigits[c >> 4];
            line += hexDigits[c & 0xf];
        } else {
            line += static_cast<char>(c);
        }
    }

    void appendValue(std::string& line, std::string_view value)
    {
        const auto kept = value.substr(0, maxEventValueBytes);
        if (!kept.empty() && std::ranges::all_of(kept, isPlain) && kept.size() == value.size()) {
            line += kept;
            return;
        }
        line += '"';
        std::ranges::for_each(kept, [&](unsigned char c) { appendEscaped(line, c); });
        line += kept.size() < value.size() ? "...\"" : "\"";
    }

    /// Appends \p value with leading zeros to three digits.
    void appendMilliseconds(std::string& line, std::int64_t value)
    {
        line += static_cast<char>('0' + value / 100);
        line += static_cast<char>('0' + value / 10 % 10);
        line += static_cast<char>('0' + value % 10);
    }

} // namespace

std::string_view levelName(Level level)
{
    return levelNames.at(static_cast<std::size_t>(level));
}

Level levelFromName(std::string_view name)
{
    return static_cast<Level>(std::ranges::find(levelNames, name) - levelNames.begin());
}

const std::string& EventLineFormatter::format(
    std::chrono::system_clock::time_point now, Event event, std::initializer_list<EventField> fields)
{
    const auto& info = eventInfo(event);
    m_line.clear();
    appendTime(now);
    m_line += levelName(info.level);
    m_line += ' ';
    m_line += std::to_string(info.number);
    m_line += ' ';
    m_line += info.name;
    for (const auto& it : fields) {
        m_line += ' ';
        m_line += it.name;
        m_line += '=';
        appendValue(m_line, it.value);
    }
    return m_line;
}

void EventLineFormatter::appendTime(std::chrono::system_clock::time_point now)
{
    const auto second = std::chrono::floor<std::chrono::seconds>(now);
    if (second != m_second || m_secondText.empty()) {
        const auto time = std::chrono::system_clock::to_time_t(second);
        std::tm parts {};
        gmtime_r(&time, &parts);
        std::array<char, 32> buf {};
        const auto n = std::strftime(buf.data(), buf.size(), "%Y-%m-%dT%H:%M:%S.", &parts);
        m_secondText.assign(buf.data(), n);
        m_second = second;
    }
    m_line += m_secondText;
    appendMilliseconds(m_line, std::chrono::floor<std::chrono::milliseconds>(now - second).count());
    m_line += "Z ";
}

} // namespace pw
