#pragma once

#include <event2/http.h>
#include <event2/keyvalq_struct.h>

#include <charconv>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace pw {

/// Query parameters of a request target.
class HttpQuery {
public:
    explicit HttpQuery(const std::string& target)
    {
        const auto queryStart = target.find('?');
        evhttp_parse_query_str(queryStart == std::string::npos ? "" : target.c_str() + queryStart + 1, &m_values);
    }
    ~HttpQuery() { evhttp_clear_headers(&m_values); }
    HttpQuery(const HttpQuery&) = delete;
    HttpQuery& operator=(const HttpQuery&) = delete;

    /// \returns the value of \p name, empty when it is absent.
    std::string text(const char* name) const
    {
        const auto* value = evhttp_find_header(&m_values, name);
        return value ? value : "";
    }

    /// \returns the value of \p name as an unsigned integer, or nothing when it is absent or not a number.
    std::optional<std::uint64_t> number(const char* name) const
    {
        const auto value = text(name);
        std::uint64_t result = 0;
        const auto* end = value.data() + value.size();
        auto [parsed, ec] = std::from_chars(value.data(), end, result);
        return ec == std::errc() && parsed == end && !value.empty() ? std::optional(result) : std::nullopt;
    }

private:
    evkeyvalq m_values {};
};

/// \returns \p target without its query.
inline std::string_view pathOf(std::string_view target)
{
    return target.substr(0, target.find('?'));
}

} // namespace pw
