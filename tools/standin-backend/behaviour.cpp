#include "behaviour.h"

#include <algorithm>
#include <array>

namespace pw::standin {
namespace {

    constexpr std::array<const char*, static_cast<std::size_t>(Mode::Count)> modeNames {
        "normal", "slow", "silent", "truncate", "late", "refuse", "close", "duplicate"
    };

} // namespace

std::optional<Behaviour> Behaviour::parse(const support::ControlRequest& request)
{
    const std::string name = request.text("mode", "normal");
    const auto* it = std::ranges::find_if(modeNames, [&](const char* candidate) { return name == candidate; });
    if (it == modeNames.end()) {
        return std::nullopt;
    }
    Behaviour behaviour;
    behaviour.mode = static_cast<Mode>(it - modeNames.begin());
    behaviour.factor = request.number("factor", 1);
    behaviour.delay = std::chrono::milliseconds(static_cast<std::int64_t>(request.number("delay-ms", 0)));
    behaviour.prefix = request.text("path", "/");
    behaviour.remaining = static_cast<std::uint64_t>(request.number("count", 0));
    return behaviour;
}

Mode Behaviour::take(const std::string& path)
{
    if (mode == Mode::Normal || !path.starts_with(prefix)) {
        return Mode::Normal;
    }
    const Mode taken = mode;
    if (remaining && !--remaining) {
        mode = Mode::Normal;
    }
    return taken;
}

} // namespace pw::standin
