#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace pw {

/// Buffered output of log lines to a file that is rotated by size, or to standard error.
/// Never blocks on a pipe: output that the pipe does not accept stays buffered; lines that exceed the buffer are dropped
/// and counted.
class LogOutput {
public:
    static constexpr std::size_t maxFileBytes = 16 * 1024 * 1024;
    static constexpr int keptFiles = 4; ///< Older files, named FILE.1 (the newest) to FILE.4.
    static constexpr std::size_t flushBytes = 32 * 1024;
    static constexpr std::size_t maxBufferBytes = 1024 * 1024;

    /// \param file if empty, lines go to standard error, or to standard output with \p toOutput.
    explicit LogOutput(std::string file, std::size_t fileBytes = maxFileBytes, bool toOutput = false);
    ~LogOutput();

    LogOutput(const LogOutput&) = delete;
    LogOutput& operator=(const LogOutput&) = delete;

    /// Opens the file. \returns false and sets \p reason if it cannot be opened for writing.
    bool open(std::string& reason);

    /// Adds one line.
    void append(std::string_view line);

    /// Writes out the buffered lines.
    void flush();

    bool empty() const { return m_buf.empty(); }

    /// \returns the number of lines dropped since the last call.
    std::uint64_t takeLost();

private:
    void rotate();
    std::size_t writeSome(std::string_view bytes) const;

    std::string m_file;
    std::size_t m_fileBytes;
    bool m_toOutput;
    int m_fd = -1;
    std::size_t m_written = 0; ///< Bytes in the current file.
    std::string m_buf;
    std::uint64_t m_lost = 0;
};

} // namespace pw
