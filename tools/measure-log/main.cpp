#include "adapters/event_log_easylogging.h"

#include <unistd.h>

#include <algorithm>
#include <array>
#include <cstdio>
#include <filesystem>
#include <string>
#include <vector>

/// Measures what one decision costs the event log: written, sampled out, and below the level.
namespace {

using namespace pw;

/// Timers that never fire: the buffer is flushed by its size alone, as under load.
class NoTimers final : public Timers {
public:
    TimePoint now() const override { return MonotonicClock::now(); }
    TimerId after(Duration, std::function<void()>) override { return 1; }
    void cancel(TimerId) override { }
};

struct Case {
    const char* name;
    Level level;
    std::uint32_t sampling;
};

constexpr std::array<Case, 3> cases { {
    { "written", Level::Info, 1 },
    { "sampled-out", Level::Info, 0 },
    { "below-level", Level::Warning, 1 },
} };

constexpr int rounds = 21;
constexpr int decisionsPerRound = 20'000;

/// \returns the time of one decision in this round.
std::chrono::duration<double, std::nano> measureRound(EventLog& log)
{
    const std::string server = "forecast-2";
    const auto start = MonotonicClock::now();
    for (auto n = 0; n < decisionsPerRound; ++n) {
        PW_EVENT(log, Event::RouteDecision, { "id", n }, { "route", "share" }, { "service", "member-share" }, { "server", server },
            { "running", n % 40 }, { "limit", 40 });
    }
    return std::chrono::duration<double, std::nano>(MonotonicClock::now() - start) / decisionsPerRound;
}

bool measureCase(const Case& row, const std::string& file)
{
    NoTimers timers;
    EasyloggingEventLog log({ row.level, file, row.sampling }, &timers);
    std::string reason;
    if (!log.open(reason)) {
        std::fprintf(stderr, "measure-log: %s\n", reason.c_str());
        return false;
    }
    std::vector<double> times(rounds);
    std::ranges::generate(times, [&] { return measureRound(log).count(); });
    std::ranges::sort(times);
    std::printf(R"({"measure":"log","case":"%s/p50-of-rounds","value":%.1f,"unit":"ns","target":null,"met":null})"
                "\n",
        row.name, times[rounds / 2]);
    std::printf(R"({"measure":"log","case":"%s/worst-round","value":%.1f,"unit":"ns","target":null,"met":null})"
                "\n",
        row.name, times.back());
    return true;
}

} // namespace

int main()
{
    const std::string file = std::filesystem::temp_directory_path() / ("measure-log-" + std::to_string(getpid()));
    const bool good = std::ranges::all_of(cases, [&](const Case& it) { return measureCase(it, file); });
    std::filesystem::remove(file);
    for (auto n = 1; n <= LogOutput::keptFiles; ++n) {
        std::filesystem::remove(file + "." + std::to_string(n));
    }
    return good ? 0 : 1;
}
