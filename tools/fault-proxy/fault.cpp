#include "fault.h"

#include <algorithm>
#include <array>

namespace pw::proxy {
namespace {

    constexpr std::array<const char*, static_cast<std::size_t>(Fault::Count)> faultNames {
        "none", "delay", "drop", "reset", "half-close", "truncate", "duplicate"
    };

    std::chrono::milliseconds timeOf(const support::ControlRequest& request, const std::string& name)
    {
        return std::chrono::milliseconds(static_cast<std::int64_t>(request.number(name, 0)));
    }

} // namespace

std::optional<Rule> Rule::parse(const support::ControlRequest& request)
{
    const std::string name = request.text("fault", "none");
    const auto* it = std::ranges::find_if(faultNames, [&](const char* candidate) { return name == candidate; });
    if (it == faultNames.end()) {
        return std::nullopt;
    }
    Rule rule;
    rule.fault = static_cast<Fault>(it - faultNames.begin());
    rule.delay = timeOf(request, "delay-ms");
    rule.jitter = timeOf(request, "jitter-ms");
    rule.bytes = static_cast<std::uint64_t>(request.number("bytes", 0));
    return rule;
}

} // namespace pw::proxy
