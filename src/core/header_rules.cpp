#include "core/header_rules.h"

#include <algorithm>
#include <array>
#include <iterator>

namespace pw {
namespace {

    constexpr std::array<std::string_view, 13> connectionHeaders {
        "Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
        "TE", "Trailer", "Transfer-Encoding", "Upgrade", "Host", "Content-Length", "Expect", "Date"
    };

    /// Only ASCII letters differ in case. The standard function depends on the locale and costs a call for each character.
    constexpr char lower(char c)
    {
        return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
    }

    bool startsWith(std::string_view name, std::string_view prefix)
    {
        return name.size() >= prefix.size() && sameHeader(name.substr(0, prefix.size()), prefix);
    }

    /// \returns whether a Connection header names \p name as hop-by-hop.
    bool isListedInConnection(const std::vector<HeaderLine>& headers, std::string_view name)
    {
        return std::ranges::any_of(headers, [&](const HeaderLine& it) {
            if (!sameHeader(it.name, "Connection")) {
                return false;
            }
            auto found = std::ranges::search(it.value, name, {}, lower, lower);
            return !found.empty();
        });
    }

} // namespace

bool sameHeader(std::string_view a, std::string_view b)
{
    return std::ranges::equal(a, b, {}, lower, lower);
}

std::size_t countHeader(const std::vector<HeaderLine>& headers, std::string_view name)
{
    return static_cast<std::size_t>(std::ranges::count_if(headers, [&](const HeaderLine& it) { return sameHeader(it.name, name); }));
}

std::optional<std::string_view> singleHeader(const std::vector<HeaderLine>& headers, std::string_view name)
{
    const auto isNamed = [name](const HeaderLine& it) { return sameHeader(it.name, name); };
    const auto found = std::ranges::find_if(headers, isNamed);
    if (found == headers.end() || std::any_of(std::next(found), headers.end(), isNamed)) {
        return std::nullopt;
    }
    return std::string_view(found->value);
}

std::vector<HeaderLine> forwardedHeaders(const std::vector<HeaderLine>& headers, std::string_view ownPrefix)
{
    auto hasConnection = countHeader(headers, "Connection") > 0;
    std::vector<HeaderLine> result;
    result.reserve(headers.size());
    std::ranges::copy_if(headers, std::back_inserter(result), [&](const HeaderLine& it) {
        if (!ownPrefix.empty() && startsWith(it.name, ownPrefix)) {
            return false;
        }
        if (std::ranges::any_of(connectionHeaders, [&](std::string_view name) { return sameHeader(it.name, name); })) {
            return false;
        }
        return !hasConnection || !isListedInConnection(headers, it.name);
    });
    return result;
}

bool hasExplicitFraming(const HttpResponse& answer)
{
    constexpr std::array<int, 2> statusesWithoutBody { 204, 304 };
    return std::ranges::find(statusesWithoutBody, answer.status) != statusesWithoutBody.end() || countHeader(answer.headers, "Content-Length") > 0
        || countHeader(answer.headers, "Transfer-Encoding") > 0;
}

bool hasMisplacedKey(std::string_view target, const std::vector<HeaderLine>& headers, std::string_view body)
{
    if (target.find(keyPrefix) != std::string_view::npos || body.find(keyPrefix) != std::string_view::npos) {
        return true;
    }
    return std::ranges::any_of(headers, [](const HeaderLine& it) {
        if (it.name.find(keyPrefix) != std::string::npos) {
            return true;
        }
        return it.value.find(keyPrefix) != std::string::npos && !sameHeader(it.name, header::key);
    });
}

} // namespace pw
