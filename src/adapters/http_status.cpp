#include "adapters/http_status.h"

#include <algorithm>
#include <array>

namespace pw {
namespace {

    struct Phrase {
        int status;
        std::string_view text;
    };

    constexpr std::array<Phrase, 29> phrases { {
        { 200, "OK" },
        { 201, "Created" },
        { 202, "Accepted" },
        { 204, "No Content" },
        { 206, "Partial Content" },
        { 301, "Moved Permanently" },
        { 302, "Found" },
        { 304, "Not Modified" },
        { 307, "Temporary Redirect" },
        { 400, "Bad Request" },
        { 401, "Unauthorized" },
        { 403, "Forbidden" },
        { 404, "Not Found" },
        { 405, "Method Not Allowed" },
        { 408, "Request Timeout" },
        { 409, "Conflict" },
        { 410, "Gone" },
        { 411, "Length Required" },
        { 412, "Precondition Failed" },
        { 413, "Content Too Large" },
        { 421, "Misdirected Request" },
        { 422, "Unprocessable Content" },
        { 429, "Too Many Requests" },
        { 431, "Request Header Fields Too Large" },
        { 500, "Internal Server Error" },
        { 501, "Not Implemented" },
        { 502, "Bad Gateway" },
        { 503, "Service Unavailable" },
        { 504, "Gateway Timeout" },
    } };

} // namespace

std::string_view reasonPhrase(int status)
{
    const auto* it = std::ranges::find(phrases, status, &Phrase::status);
    return it == phrases.end() ? std::string_view("Status") : it->text;
}

} // namespace pw
