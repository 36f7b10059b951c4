#include "core/event_reader.h"

#include "core/event_line.h"

#include <algorithm>
#include <charconv>

namespace pw {
namespace {

    constexpr std::size_t timeLength = std::string_view("2026-01-31T12:00:00.123Z").size();

    /// Removes the text up to and including the next space from \p rest. \returns it without the space.
    std::string_view takeWord(std::string_view& rest)
    {
        const auto end = std::min(rest.find(' '), rest.size());
        const auto word = rest.substr(0, end);
        rest.remove_prefix(std::min(end + 1, rest.size()));
        return word;
    }

    std::optional<char> takeEscaped(std::string_view& rest)
    {
        if (rest.empty()) {
            return std::nullopt;
        }
        const auto kind = rest.front();
        rest.remove_prefix(1);
        if (kind != 'x') {
            return kind;
        }
        constexpr std::size_t digits = 2;
        unsigned code = 0;
        if (rest.size() < digits || std::from_chars(rest.data(), rest.data() + digits, code, 16).ptr != rest.data() + digits) {
            return std::nullopt;
        }
        rest.remove_prefix(digits);
        return static_cast<char>(code);
    }

    /// Removes a value in double quotes and the space after it from \p rest. \returns the unescaped value.
    std::optional<std::string> takeQuoted(std::string_view& rest)
    {
        std::string value;
        rest.remove_prefix(1);
        while (!rest.empty()) {
            const auto c = rest.front();
            rest.remove_prefix(1);
            if (c == '"') {
                rest.remove_prefix(rest.starts_with(' ') ? 1 : 0);
                return value;
            }
            const auto meant = c == '\\' ? takeEscaped(rest) : std::optional(c);
            if (!meant) {
                return std::nullopt;
            }
            value += *meant;
        }
        return std::nullopt;
    }

    bool takeFields(std::string_view rest, EventRecord& record)
    {
        while (!rest.empty()) {
            const auto equals = rest.find('=');
            if (equals == std::string_view::npos) {
                return false;
            }
            std::string name(rest.substr(0, equals));
            rest.remove_prefix(equals + 1);
            auto value = rest.starts_with('"') ? takeQuoted(rest) : std::optional(std::string(takeWord(rest)));
            if (!value) {
                return false;
            }
            record.fields.emplace_back(std::move(name), std::move(*value));
        }
        return true;
    }

} // namespace

std::string_view EventRecord::value(std::string_view field) const
{
    const auto it = std::ranges::find(fields, field, &std::pair<std::string, std::string>::first);
    return it == fields.end() ? std::string_view() : std::string_view(it->second);
}

std::optional<EventRecord> readEventLine(std::string_view line)
{
    EventRecord record;
    record.time = takeWord(line);
    record.level = takeWord(line);
    const auto number = takeWord(line);
    record.name = takeWord(line);
    const auto isRead = std::from_chars(number.data(), number.data() + number.size(), record.number).ptr == number.data() + number.size();
    if (record.time.size() != timeLength || levelFromName(record.level) == Level::Count || number.empty() || !isRead || record.name.empty()) {
        return std::nullopt;
    }
    return takeFields(line, record) ? std::optional(std::move(record)) : std::nullopt;
}

} // namespace pw
