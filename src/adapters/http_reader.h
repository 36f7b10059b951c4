#pragma once

#include "core/http_message.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string_view>

namespace pw {

/// What is wrong with an HTTP message.
enum class HttpFault : std::uint8_t {
    None,
    Malformed, ///< Not HTTP/1.1, or its length can be read in two ways.
    HeaderTooLarge,
    BodyTooLarge,
    Count
};

/// Largest message that a reader takes.
struct HttpSizeLimits {
    std::size_t headerBytes = 0;
    std::size_t bodyBytes = 0;
};

/// Reads requests from a stream of bytes, one after another.
class HttpRequestReader {
public:
    explicit HttpRequestReader(HttpSizeLimits limits);
    ~HttpRequestReader();
    HttpRequestReader(const HttpRequestReader&) = delete;
    HttpRequestReader& operator=(const HttpRequestReader&) = delete;

    /// Reads on. \returns how many of \p bytes are used up; the others must be offered again with those that follow.
    std::size_t take(std::string_view bytes);

    /// \returns whether a whole request has been read.
    bool complete() const;
    /// \returns whether any part of a request has been read.
    bool begun() const;
    /// \returns whether the header of a request has been read.
    bool headerDone() const;
    HttpFault fault() const;
    /// \returns whether the sender waits for "100 Continue" before it sends the body.
    bool awaitsContinue() const;
    /// \returns whether the sender of the complete request goes on using the connection.
    bool keepsAlive() const;

    /// \returns the complete request and begins the next one.
    HttpRequest finish();

private:
    class Parser;

    HttpSizeLimits m_limits;
    std::unique_ptr<Parser> m_parser;
};

/// Reads answers from a stream of bytes, one after another.
class HttpAnswerReader {
public:
    explicit HttpAnswerReader(HttpSizeLimits limits);
    ~HttpAnswerReader();
    HttpAnswerReader(const HttpAnswerReader&) = delete;
    HttpAnswerReader& operator=(const HttpAnswerReader&) = delete;

    /// Begins the next answer.
    /// \param bodiless the answer has no body whatever its header says, as one to HEAD.
    void begin(bool bodiless);

    /// Reads on. \returns how many of \p bytes are used up.
    std::size_t take(std::string_view bytes);
    /// Takes note that the connection ended in good order, which is the end of some answers.
    void takeEnd();

    bool complete() const;
    HttpFault fault() const;
    /// \returns whether the sender of the complete answer goes on using the connection.
    bool keepsAlive() const;

    /// \returns the complete answer; begin() comes next.
    HttpResponse finish();

private:
    class Parser;

    HttpSizeLimits m_limits;
    std::unique_ptr<Parser> m_parser;
};

} // namespace pw
