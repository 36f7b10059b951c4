#include "support/address.h"

#include <charconv>

namespace pw::support {

std::string Address::text() const
{
    return host + ":" + std::to_string(port);
}

std::optional<Address> parseAddress(const std::string& text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string::npos || !colon) {
        return std::nullopt;
    }
    Address address { text.substr(0, colon), 0 };
    const char* end = text.data() + text.size();
    const auto [it, ec] = std::from_chars(text.data() + colon + 1, end, address.port);
    if (ec != std::errc {} || it != end) {
        return std::nullopt;
    }
    return address;
}

} // namespace pw::support
