#include "core/json_writer.h"

#include <array>
#include <bit>
#include <charconv>

namespace pw {
namespace {

    constexpr std::string_view hexDigits = "0123456789abcdef";

    bool isContinuation(unsigned char c)
    {
        return (c & 0xc0) == 0x80;
    }

    /// \returns the length of the UTF-8 sequence at the start of \p text, or zero if it is invalid.
    std::size_t sequenceLength(std::string_view text)
    {
        const auto first = static_cast<unsigned char>(text.front());
        if (first < 0x80) {
            return 1;
        }
        const auto n = static_cast<std::size_t>(std::countl_one(first));
        if (n < 2 || n > 4 || text.size() < n || first < 0xc2 || first > 0xf4) {
            return 0;
        }
        for (std::size_t at = 1; at < n; ++at) {
            if (!isContinuation(static_cast<unsigned char>(text[at]))) {
                return 0;
            }
        }
        return n;
    }

    void appendAscii(std::string& out, char c)
    {
        const auto code = static_cast<unsigned char>(c);
        if (c == '"' || c == '\\') {
            out += '\\';
            out += c;
        } else if (code < 0x20 || code == 0x7f) {
            out += "\\u00";
            out += hexDigits[code >> 4];
            out += hexDigits[code & 0xf];
        } else {
            out += c;
        }
    }

} // namespace

JsonWriter& JsonWriter::object()
{
    separate();
    m_text += '{';
    return *this;
}

JsonWriter& JsonWriter::object(std::string_view key)
{
    begin(key);
    m_text += '{';
    return *this;
}

JsonWriter& JsonWriter::array(std::string_view key)
{
    begin(key);
    m_text += '[';
    return *this;
}

JsonWriter& JsonWriter::endObject()
{
    m_text += '}';
    return *this;
}

JsonWriter& JsonWriter::endArray()
{
    m_text += ']';
    return *this;
}

JsonWriter& JsonWriter::field(std::string_view key, std::string_view value)
{
    begin(key);
    append(value);
    return *this;
}

JsonWriter& JsonWriter::field(std::string_view key, bool value)
{
    begin(key);
    m_text += value ? "true" : "false";
    return *this;
}

JsonWriter& JsonWriter::field(std::string_view key, double value)
{
    begin(key);
    std::array<char, 32> buf {};
    auto [end, ec] = std::to_chars(buf.data(), buf.data() + buf.size(), value);
    m_text.append(buf.data(), ec == std::errc() ? end : buf.data());
    return *this;
}

JsonWriter& JsonWriter::item(std::string_view value)
{
    separate();
    append(value);
    return *this;
}

void JsonWriter::begin(std::string_view key)
{
    separate();
    append(key);
    m_text += ':';
}

void JsonWriter::separate()
{
    if (!m_text.empty() && m_text.back() != '{' && m_text.back() != '[' && m_text.back() != ':') {
        m_text += ',';
    }
}

void JsonWriter::append(std::string_view value)
{
    m_text += '"';
    while (!value.empty()) {
        const auto n = sequenceLength(value);
        if (n == 1) {
            appendAscii(m_text, value.front());
        } else if (n == 0) {
            m_text += '?';
        } else {
            m_text += value.substr(0, n);
        }
        value.remove_prefix(n == 0 ? 1 : n);
    }
    m_text += '"';
}

} // namespace pw
