#pragma once

#include "core/http_message.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string_view>

namespace pw {

/// Why an HTTP message is rejected.
enum class HttpFault : std::uint8_t {
    None,
    Malformed, ///< Not valid HTTP/1.1, or its body length is ambiguous.
    HeaderTooLarge,
    BodyTooLarge,
    Count
};

/// Maximum size of a message that a reader accepts.
struct HttpSizeLimits {
    std::size_t headerBytes = 0;
    std::size_t bodyBytes = 0;
};

/// Incremental parser for a stream of requests.
class HttpRequestReader {
public:
    explicit HttpRequestReader(HttpSizeLimits limits);
    ~HttpRequestReader();
    HttpRequestReader(const HttpRequestReader&) = delete;
    HttpRequestReader& operator=(const HttpRequestReader&) = delete;

    /// Parses \p bytes. \returns how many were consumed; the rest must be passed again together with the bytes that follow.
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
    /// \returns whether the connection stays open after the complete request.
    bool keepsAlive() const;

    /// \returns the complete request and resets the parser for the next one.
    HttpRequest finish();

private:
    class Parser;

    HttpSizeLimits m_limits;
    std::unique_ptr<Parser> m_parser;
};

/// Incremental parser for a stream of responses.
class HttpResponseReader {
public:
    explicit HttpResponseReader(HttpSizeLimits limits);
    ~HttpResponseReader();
    HttpResponseReader(const HttpResponseReader&) = delete;
    HttpResponseReader& operator=(const HttpResponseReader&) = delete;

    /// Starts parsing the next response.
    /// \param bodiless whether the response has no body regardless of its header, as with HEAD.
    void begin(bool bodiless);

    /// Parses \p bytes. \returns how many were consumed.
    std::size_t take(std::string_view bytes);
    /// \returns the size of the body read so far.
    std::size_t bodyBytes() const;
    /// Handles an orderly end of the stream, which delimits responses without a length.
    void takeEnd();

    bool complete() const;
    HttpFault fault() const;
    /// \returns whether the connection stays open after the complete response.
    bool keepsAlive() const;

    /// \returns the complete response. begin() must be called before the next one.
    HttpResponse finish();

private:
    class Parser;

    HttpSizeLimits m_limits;
    std::unique_ptr<Parser> m_parser;
};

} // namespace pw
