#include "mix.h"

#include <algorithm>
#include <array>
#include <cstdlib>
#include <ranges>
#include <string_view>

namespace pw::load {
namespace {

    std::chrono::milliseconds toTime(const std::string& text)
    {
        return std::chrono::milliseconds(std::strtoll(text.c_str(), nullptr, 10));
    }

    struct Member {
        std::string_view name;
        void (*set)(Mix&, const std::string&);
    };

    constexpr std::array<Member, 12> members { {
        { "name", [](Mix& mix, const std::string& text) { mix.name = text; } },
        { "workspace", [](Mix& mix, const std::string& text) { mix.workspace = text; } },
        { "key", [](Mix& mix, const std::string& text) { mix.key = text; } },
        { "method", [](Mix& mix, const std::string& text) { mix.method = text; } },
        { "path", [](Mix& mix, const std::string& text) { mix.path = text; } },
        { "rate", [](Mix& mix, const std::string& text) { mix.rate = std::strtod(text.c_str(), nullptr); } },
        { "from-ms", [](Mix& mix, const std::string& text) { mix.from = toTime(text); } },
        { "to-ms", [](Mix& mix, const std::string& text) { mix.to = toTime(text); } },
        { "timeout-ms", [](Mix& mix, const std::string& text) { mix.timeout = toTime(text); } },
        { "retries", [](Mix& mix, const std::string& text) { mix.retries = static_cast<std::uint32_t>(std::strtoul(text.c_str(), nullptr, 10)); } },
        { "obey-retry-after", [](Mix& mix, const std::string& text) { mix.obeyRetryAfter = text != "0"; } },
        { "request-id", [](Mix& mix, const std::string& text) { mix.requestId = text != "0"; } },
    } };

} // namespace

std::optional<Mix> parseMix(const std::string& text, std::string& reason)
{
    Mix mix;
    for (const auto part : text | std::views::split(';')) {
        const std::string pair(part.begin(), part.end());
        const auto equals = pair.find('=');
        const std::string name = pair.substr(0, equals);
        const auto* it = std::ranges::find(members, name, &Member::name);
        if (equals == std::string::npos || it == members.end()) {
            reason = "unknown member " + pair;
            return std::nullopt;
        }
        it->set(mix, pair.substr(equals + 1));
    }
    if (mix.name.empty() || mix.rate <= 0) {
        reason = "a name and a rate above zero are needed in " + text;
        return std::nullopt;
    }
    return mix;
}

} // namespace pw::load
