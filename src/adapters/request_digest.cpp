#include "adapters/request_digest.h"

#include "adapters/crypto.h"
#include "core/header_rules.h"

#include <charconv>
#include <cstring>
#include <initializer_list>

namespace pw {
namespace {

    constexpr std::size_t digits = 2 * sizeof(RequestDigest);
    constexpr int hexadecimal = 16;

} // namespace

RequestDigest requestDigest(const HttpRequest& request, std::string_view caller)
{
    const auto host = singleHeader(request.headers, "Host").value_or("");
    std::string head;
    for (const std::string_view it : { caller, std::string_view(request.method), std::string_view(host), std::string_view(request.target) }) {
        // The length prefix makes the encoding unambiguous.
        head += std::to_string(it.size()) + ":";
        head += it;
    }
    const auto digest = crypto::digest(request.body.empty() ? head : head + request.body);
    RequestDigest result = 0;
    std::memcpy(&result, digest.data(), sizeof result);
    return result == 0 ? 1 : result;
}

std::string requestDigestText(RequestDigest digest)
{
    std::string text(digits, '0');
    char buf[digits];
    const auto [end, ec] = std::to_chars(buf, buf + digits, digest, hexadecimal);
    const auto n = static_cast<std::size_t>(end - buf);
    return text.replace(digits - n, n, buf, n);
}

RequestDigest parseRequestDigest(std::string_view text)
{
    RequestDigest digest = 0;
    const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), digest, hexadecimal);
    return text.size() == digits && ec == std::errc() && end == text.data() + text.size() ? digest : 0;
}

} // namespace pw
