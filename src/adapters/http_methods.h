#pragma once

#include <event2/http.h>

#include <algorithm>
#include <array>
#include <string_view>

namespace pw {
namespace detail {

    struct HttpMethod {
        evhttp_cmd_type type;
        std::string_view name;
    };

    inline constexpr std::array<HttpMethod, 7> httpMethods { {
        { EVHTTP_REQ_GET, "GET" },
        { EVHTTP_REQ_POST, "POST" },
        { EVHTTP_REQ_PUT, "PUT" },
        { EVHTTP_REQ_DELETE, "DELETE" },
        { EVHTTP_REQ_PATCH, "PATCH" },
        { EVHTTP_REQ_HEAD, "HEAD" },
        { EVHTTP_REQ_OPTIONS, "OPTIONS" },
    } };

} // namespace detail

/// \returns the name of a libevent method, or an empty string if the method is not supported.
inline std::string_view methodName(evhttp_cmd_type type)
{
    const auto* it = std::ranges::find(detail::httpMethods, type, &detail::HttpMethod::type);
    return it == detail::httpMethods.end() ? std::string_view() : it->name;
}

/// \returns the libevent method called \p name, or GET if there is none.
inline evhttp_cmd_type methodType(std::string_view name)
{
    const auto* it = std::ranges::find(detail::httpMethods, name, &detail::HttpMethod::name);
    return it == detail::httpMethods.end() ? EVHTTP_REQ_GET : it->type;
}

/// \returns the bit mask of supported methods in libevent's form.
inline ev_uint16_t allowedMethods()
{
    ev_uint16_t result = 0;
    std::ranges::for_each(detail::httpMethods, [&](const detail::HttpMethod& it) { result |= static_cast<ev_uint16_t>(it.type); });
    return result;
}

} // namespace pw
