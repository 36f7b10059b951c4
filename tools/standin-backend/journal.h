#pragma once

#include <cstddef>
#include <cstdint>
#include <cstdio>
#include <memory>
#include <string>
#include <vector>

namespace pw::standin {

/// How an execution ended.
enum class Outcome : std::uint8_t {
    Running,
    Answered,
    Failed, ///< A nested call failed, so the answer is an error.
    Refused, ///< Answered "not run"; nothing ran.
    Silent, ///< Never answered.
    Truncated,
    Closed, ///< Connection closed without an answer.
    Cancelled, ///< The daemon closed the connection first.
    Count
};

/// One request that reached the backend server.
struct Execution {
    std::string method;
    std::string path;
    std::string marker;
    std::string requestId;
    Outcome outcome = Outcome::Running;
};

/// Record of everything that a backend server received and did.
class Journal {
public:
    /// \param file gets a line at the start of each execution and a line at its end; none when empty.
    explicit Journal(const std::string& file);

    /// \returns the handle of the execution for end().
    std::size_t begin(Execution execution);
    void end(std::size_t handle, Outcome outcome);

    /// \returns "METHOD PATH MARKER OUTCOME" lines of the executions whose marker begins with \p prefix.
    std::string lines(const std::string& prefix) const;

    /// \returns how many executions ended, or are, in \p outcome.
    std::size_t count(Outcome outcome) const;

    std::string bytes; ///< Every byte received on the request address, when recorded.

private:
    struct Closer {
        void operator()(std::FILE* file) const { (void)std::fclose(file); }
    };

    void writeLine(const Execution& execution);

    std::vector<Execution> m_executions;
    std::unique_ptr<std::FILE, Closer> m_file;
};

/// \returns the name of \p outcome in journal lines.
const char* outcomeName(Outcome outcome);

} // namespace pw::standin
