#pragma once

#include <sys/types.h>

#include <chrono>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace pw::test {

using std::chrono::milliseconds;

/// A child process of the test. It is killed and collected at the end of its life.
class Process {
public:
    /// Starts \p program from the build folder, or by its absolute path; its output goes to \p logFile.
    Process(const std::string& program, const std::vector<std::string>& arguments, const std::string& logFile);
    ~Process();
    Process(Process&& other) noexcept;
    Process& operator=(Process&& other) noexcept;
    Process(const Process&) = delete;
    Process& operator=(const Process&) = delete;

    void signal(int number) const;

    /// \returns whether the process has not ended.
    bool running();

    /// Waits until the process has ended, \p bound at the longest.
    /// \returns its exit status (128 plus the signal that ended it), or nothing when it still runs.
    std::optional<int> wait(milliseconds bound);

    pid_t id() const { return m_id; }
    const std::string& logFile() const { return m_logFile; }
    /// \returns what the process has written so far.
    std::string log() const;

private:
    void kill();

    pid_t m_id = -1;
    std::optional<int> m_status;
    std::string m_logFile;
};

/// Result of a program that ran to its end.
struct Ran {
    int status = -1; ///< -1: ended by force at the bound.
    std::string output;
};

/// Runs \p program to its end, \p bound at the longest.
Ran runToEnd(const std::string& program, const std::vector<std::string>& arguments, const std::string& logFile, milliseconds bound);

namespace detail {
    inline constexpr milliseconds pollInterval { 5 };
} // namespace detail

/// Polls \p condition until it holds. \returns whether it did within \p bound.
template <typename Condition>
bool eventually(milliseconds bound, Condition&& condition)
{
    const auto end = std::chrono::steady_clock::now() + bound;
    while (!condition()) {
        if (std::chrono::steady_clock::now() >= end) {
            return false;
        }
        std::this_thread::sleep_for(detail::pollInterval);
    }
    return true;
}

} // namespace pw::test
