#include "app/connection_limiter.h"

#include "config.h"

#include <sys/resource.h>

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
    std::error_code ec;
    std::filesystem::directory_iterator files("/proc/self/fd", ec);
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
