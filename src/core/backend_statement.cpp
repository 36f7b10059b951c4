#include "core/backend_statement.h"

#include "core/header_rules.h"

#include <charconv>
#include <cmath>

namespace pw {
namespace {

    constexpr std::string_view leavingValue = "1";

    std::optional<double> parseRate(std::string_view text)
    {
        double value = 0;
        const auto* end = text.data() + text.size();
        const auto [last, ec] = std::from_chars(text.data(), end, value, std::chars_format::fixed);
        const auto isRate = ec == std::errc() && last == end && std::isfinite(value) && value >= 0;
        return isRate ? std::optional(value) : std::nullopt;
    }

} // namespace

BackendStatement readStatement(const std::vector<HeaderLine>& headers, const StatementHeaders& names)
{
    BackendStatement statement;
    statement.leaving = singleHeader(headers, names.leaving) == leavingValue;
    if (countHeader(headers, names.rateLimit) > 0) {
        statement.requestsPerSecond = parseRate(singleHeader(headers, names.rateLimit).value_or(""));
        statement.readable = statement.requestsPerSecond.has_value();
    }
    return statement;
}

} // namespace pw
