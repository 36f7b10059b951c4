#pragma once

#include "support/process.h"

#include <string>

namespace pw::test {

/// Blocking TCP connection for requests that no HTTP library would send.
class RawConnection {
public:
    explicit RawConnection(const std::string& address);
    /// Takes over an accepted connection.
    explicit RawConnection(int fd);
    ~RawConnection();
    RawConnection(const RawConnection&) = delete;
    RawConnection& operator=(const RawConnection&) = delete;

    /// \returns false when the other side has closed, or takes nothing for a while.
    bool send(const std::string& text) const;

    /// Lets the destructor reset the connection instead of closing it.
    void resetOnClose() const;

    /// Closes the sending side.
    void finishSending() const;

    /// Reads until the other side closes, \p bound at the longest.
    /// \param closed receives whether it closed.
    std::string readAll(milliseconds bound, bool& closed) const;

    /// Reads about \p bytesPerSecond until the other side closes or sends nothing for \p bound. \returns the number of bytes read.
    std::size_t readPaced(std::size_t bytesPerSecond, milliseconds bound) const;

    /// Reads the head of one answer and the body that its Content-Length names.
    std::string readAnswer(milliseconds bound) const;

private:
    bool waitReadable(std::chrono::steady_clock::time_point end) const;

    int m_fd;
};

/// \returns the status of the HTTP answer that \p text begins with, or zero.
int statusIn(const std::string& text);

} // namespace pw::test
