#include "app/connection_limiter.h"

#include "config.h"

#include <sys/resource.h>
#include <sys/stat.h>

#include <algorithm>
#include <filesystem>
#include <iterator>
#include <utility>

namespace pw {

ConnectionLimiter::ConnectionLimiter(Timers& timers, EventLog& log, std::size_t limit, std::function<std::size_t()> countOpen,
    std::function<void(bool)> pause)
    : m_timers(timers)
    , m_log(log)
    , m_limit(limit)
    , m_countOpen(std::move(countOpen))
    , m_pause(std::move(pause))
{
    check();
}

ConnectionLimiter::~ConnectionLimiter()
{
    m_timers.cancel(m_timer);
}

void ConnectionLimiter::check()
{
    auto open = m_countOpen();
    auto tooMany = open >= m_limit;
    if (tooMany != std::exchange(m_paused, tooMany)) {
        m_pause(tooMany);
        if (tooMany) {
            PW_EVENT(m_log, Event::ConnectionsBounded, { "open", open }, { "limit", m_limit });
        }
    }
    m_timer = m_timers.after(config::openFilesInterval, [this] { check(); });
}

std::size_t countOpenFiles()
{
    constexpr const char* folder = "/proc/self/fd";
    // Since Linux 6.2 the size of the folder is the number of open files. Older kernels report zero, and listing the files there
    // costs time for each of them.
    struct stat info { };
    if (stat(folder, &info) == 0 && info.st_size > 0) {
        constexpr std::size_t listing = 1; // A listing counts the descriptor that it uses.
        return static_cast<std::size_t>(info.st_size) + listing;
    }
    std::error_code ec;
    std::filesystem::directory_iterator files(folder, ec);
    return ec ? 0 : static_cast<std::size_t>(std::distance(begin(files), end(files)));
}

std::size_t raiseOpenFileLimit(std::size_t wanted)
{
    rlimit limit {};
    getrlimit(RLIMIT_NOFILE, &limit);
    limit.rlim_cur = std::min<rlim_t>(std::max<rlim_t>(limit.rlim_cur, wanted), limit.rlim_max);
    setrlimit(RLIMIT_NOFILE, &limit);
    return limit.rlim_cur;
}

} // namespace pw
