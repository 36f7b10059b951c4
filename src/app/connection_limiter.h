#pragma once

#include "ports/events.h"
#include "ports/timers.h"

#include <cstddef>
#include <functional>

namespace pw {

/// Limits the connections of a daemon, and thereby its memory: while too many files are open, no new caller connection is
/// accepted. The HTTP library reports new connections but not closed ones, so open files are counted periodically.
class ConnectionLimiter {
public:
    /// \param limit number of open files at which new callers have to wait.
    /// \param countOpen returns the number of open files of this process.
    /// \param pause called with true when the limit is reached and with false when the count is below it again.
    ConnectionLimiter(Timers& timers, EventLog& log, std::size_t limit, std::function<std::size_t()> countOpen, std::function<void(bool)> pause);
    ~ConnectionLimiter();
    ConnectionLimiter(const ConnectionLimiter&) = delete;
    ConnectionLimiter& operator=(const ConnectionLimiter&) = delete;

private:
    void check();

    Timers& m_timers;
    EventLog& m_log;
    std::size_t m_limit;
    std::function<std::size_t()> m_countOpen;
    std::function<void(bool)> m_pause;
    bool m_paused = false;
    TimerId m_timer = 0;
};

/// \returns the number of open files of this process.
std::size_t countOpenFiles();

/// Raises this process's soft limit of open files to \p wanted, at most to the hard limit.
/// \returns the resulting soft limit.
std::size_t raiseOpenFileLimit(std::size_t wanted);

} // namespace pw
