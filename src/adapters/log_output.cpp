#include "adapters/log_output.h"

#include <fcntl.h>
#include <poll.h>
#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstdio>
#include <cstring>
#include <utility>

namespace pw {
namespace {

    /// Number of bytes that a pipe reported as writable accepts without blocking (PIPE_BUF).
    constexpr std::size_t pipeBytes = 4096;

} // namespace

LogOutput::LogOutput(std::string file, std::size_t fileBytes, bool toOutput)
    : m_file(std::move(file))
    , m_fileBytes(fileBytes)
    , m_toOutput(toOutput)
{
}

LogOutput::~LogOutput()
{
    flush();
    if (!m_file.empty() && m_fd >= 0) {
        close(m_fd);
    }
}

bool LogOutput::open(std::string& reason)
{
    if (m_file.empty()) {
        m_fd = m_toOutput ? STDOUT_FILENO : STDERR_FILENO;
        return true;
    }
    m_fd = ::open(m_file.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, S_IRUSR | S_IWUSR | S_IRGRP);
    if (m_fd < 0) {
        reason = m_file + ": " + std::strerror(errno);
        return false;
    }
    struct stat info { };
    m_written = fstat(m_fd, &info) == 0 ? static_cast<std::size_t>(info.st_size) : 0;
    return true;
}

void LogOutput::append(std::string_view line)
{
    if (m_buf.size() + line.size() >= maxBufferBytes) {
        ++m_lost;
        return;
    }
    m_buf += line;
    m_buf += '\n';
    if (m_buf.size() >= flushBytes) {
        flush();
    }
}

void LogOutput::flush()
{
    if (!m_file.empty() && m_written > 0 && m_written + m_buf.size() > m_fileBytes) {
        rotate();
    }
    std::size_t done = 0;
    while (done < m_buf.size()) {
        const auto n = writeSome(std::string_view(m_buf).substr(done));
        if (n == 0) {
            break;
        }
        done += n;
    }
    m_written += done;
    m_buf.erase(0, done);
}

std::uint64_t LogOutput::takeLost()
{
    return std::exchange(m_lost, 0);
}

void LogOutput::rotate()
{
    const auto older = [&](int n) { return m_file + "." + std::to_string(n); };
    for (int n = keptFiles; n > 1; --n) {
        std::rename(older(n - 1).c_str(), older(n).c_str());
    }
    std::rename(m_file.c_str(), older(1).c_str());
    const int previous = m_fd;
    std::string reason;
    if (!open(reason)) {
        m_fd = previous;
        return;
    }
    close(previous);
}

std::size_t LogOutput::writeSome(std::string_view bytes) const
{
    if (m_fd < 0) {
        return 0;
    }
    pollfd poller { m_fd, POLLOUT, 0 };
    const bool regular = !m_file.empty();
    if (!regular && poll(&poller, 1, 0) != 1) {
        return 0;
    }
    const auto n = write(m_fd, bytes.data(), regular ? bytes.size() : std::min(bytes.size(), pipeBytes));
    return n > 0 ? static_cast<std::size_t>(n) : 0;
}

} // namespace pw
