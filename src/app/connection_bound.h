#pragma once

#include "ports/events.h"
#include "ports/timers.h"

#include <cstddef>
#include <functional>

namespace pw {

/// Bounds the connections of a daemon, and so its memory: while too many files are open, no new caller connection is
/// taken. The HTTP library tells of a new connection but not of its end, so open files are counted from time to time.
class ConnectionBound {
public:
    /// \param limit open files above which callers have to wait.
    /// \param countOpen returns the open files of this process.
    /// \param pause called with true when the bound is passed and with false when there is room again.
    ConnectionBound(Timers& timers, EventLog& log, std::size_t limit, std::function<std::size_t()> countOpen, std::function<void(bool)> pause);
    ~ConnectionBound();
    ConnectionBound(const ConnectionBound&) = delete;
    ConnectionBound& operator=(const ConnectionBound&) = delete;

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

/// \returns the open files of this process.
std::size_t countOpenFiles();

/// Raises this process's limit of open files to the hard limit, as far as \p wanted asks.
/// \returns the limit in force.
std::size_t raiseOpenFileLimit(std::size_t wanted);

} // namespace pw
