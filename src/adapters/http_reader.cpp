#include "adapters/http_reader.h"

#include "adapters/chunk_framing.h"
#include "adapters/http_status.h"
#include "config.h"
#include "core/header_rules.h"

#include <boost/beast/http/basic_parser.hpp>
#include <boost/beast/http/error.hpp>

#include <algorithm>
#include <string>
#include <utility>

namespace pw {
namespace {

    namespace beast = boost::beast;
    namespace http = boost::beast::http;
    using boost::system::error_code;

    constexpr unsigned http11 = 11;

    HttpFault faultOf(const error_code& ec)
    {
        if (!ec || ec == http::error::need_more) {
            return HttpFault::None;
        }
        if (ec == http::error::header_limit) {
            return HttpFault::HeaderTooLarge;
        }
        return ec == http::error::body_limit ? HttpFault::BodyTooLarge : HttpFault::Malformed;
    }

    std::string toString(beast::string_view text)
    {
        return { text.data(), text.size() };
    }

    /// \returns whether the headers define the body length at most once and in a supported way.
    bool hasPlainFraming(const std::vector<HeaderLine>& headers)
    {
        const auto lengths = countHeader(headers, "Content-Length");
        const auto codings = countHeader(headers, "Transfer-Encoding");
        if (lengths > 1 || codings > 1 || (lengths && codings)) {
            return false;
        }
        const auto length = singleHeader(headers, "Content-Length");
        const auto coding = singleHeader(headers, "Transfer-Encoding");
        return !(length && length->find(',') != std::string_view::npos) && !(coding && !sameHeader(*coding, "chunked"));
    }

    /// Beast parser that fills our message types and adds limits that Beast lacks: on the complete header, chunk-size lines,
    /// trailers and total chunk framing overhead. The limits count bytes from the start of each part, so that the result
    /// does not depend on how the input is split.
    template <bool isRequest, typename Message>
    class MessageParser : public http::basic_parser<isRequest> {
    public:
        explicit MessageParser(HttpSizeLimits limits)
            : m_headerLimit(limits.headerBytes)
        {
            // Beast applies its limit to each piece of a header; it must not be reached before m_headerLimit.
            this->header_limit(static_cast<std::uint32_t>(limits.headerBytes + config::headerTerminatorBytes));
            this->body_limit(limits.bodyBytes);
            this->eager(false);
        }

        std::size_t take(std::string_view bytes)
        {
            std::size_t used = 0;
            while (!this->is_done() && fault() == HttpFault::None && used < bytes.size()) {
                const auto rest = bytes.substr(used);
                m_begun = true;
                // Beast asserts that a partly parsed last chunk continues with at least two bytes in one call.
                if (atChunkLine() && !isChunkLineComplete(rest)) {
                    break;
                }
                const auto n = step(rest);
                used += n;
                if (n == 0) {
                    break;
                }
            }
            return used;
        }

        void takeEnd()
        {
            if (this->is_done() || m_error) {
                return;
            }
            if (!m_begun) {
                m_error = http::error::end_of_stream;
                return;
            }
            this->put_eof(m_error);
        }

        HttpFault fault() const { return m_limitFault == HttpFault::None ? faultOf(m_error) : m_limitFault; }
        bool begun() const { return m_begun; }
        /// \returns whether the header announces a body that the status rules out. It was sent, or was not: the end of the response is
        /// unknown.
        bool hasForbiddenBody() const { return m_hasForbiddenBody; }
        Message& message() { return m_message; }
        const Message& message() const { return m_message; }

    protected:
        void on_request_impl(http::verb, beast::string_view method, beast::string_view target, int version, error_code& ec) override
        {
            m_version = static_cast<unsigned>(version);
            if constexpr (isRequest) {
                m_message.method = toString(method);
                m_message.target = toString(target);
                if (!m_message.target.starts_with('/')) {
                    ec = http::error::bad_target;
                }
            }
        }

        void on_response_impl(int status, beast::string_view, int version, error_code& ec) override
        {
            m_version = static_cast<unsigned>(version);
            if constexpr (!isRequest) {
                m_message.status = status;
                if (!isInterimStatus(status) && !isFinalStatus(status)) {
                    ec = http::error::bad_status;
                }
            }
        }

        void on_field_impl(http::field, beast::string_view name, beast::string_view value, error_code&) override
        {
            // Ignore trailers; they concern only the connection.
            if (!m_headerDone) {
                m_message.headers.push_back({ toString(name), toString(value) });
            }
        }

        void on_header_impl(error_code& ec) override
        {
            m_headerDone = true;
            const auto oldChunks = m_version < http11 && countHeader(m_message.headers, "Transfer-Encoding") > 0;
            if (oldChunks || !hasPlainFraming(m_message.headers)) {
                ec = http::error::bad_transfer_encoding;
            } else if constexpr (!isRequest) {
                checkBody(ec);
            }
        }

        void on_body_init_impl(const boost::optional<std::uint64_t>&, error_code&) override { }

        std::size_t on_body_impl(beast::string_view bytes, error_code&) override
        {
            m_message.body.append(bytes.data(), bytes.size());
            return bytes.size();
        }

        void on_chunk_header_impl(std::uint64_t size, beast::string_view, error_code&) override
        {
            ++m_chunks;
            m_chunkLeft = size;
        }

        std::size_t on_chunk_body_impl(std::uint64_t, beast::string_view bytes, error_code&) override
        {
            m_message.body.append(bytes.data(), bytes.size());
            m_chunkLeft -= bytes.size();
            return bytes.size();
        }

        void on_finish_impl(error_code&) override { }

    private:
        /// A response that must not have a body and announces one all the same is malformed, except that of a request which the
        /// client has made conditional: it may state the length of what it leaves out.
        void checkBody(error_code& ec)
        {
            const auto length = singleHeader(m_message.headers, "Content-Length");
            const auto announced = countHeader(m_message.headers, "Transfer-Encoding") > 0 || (length && length->find_first_not_of('0') != std::string_view::npos);
            m_hasForbiddenBody = announced && hasNoBody(m_message.status);
            if (m_hasForbiddenBody && m_message.status != http_status::notModified) {
                ec = http::error::bad_content_length;
            }
        }

        /// \returns whether the next bytes are a chunk-size line, preceded by the line end of the previous chunk.
        bool atChunkLine() const { return m_headerDone && this->chunked() && m_chunkLeft == 0; }

        bool isChunkLineComplete(std::string_view bytes)
        {
            const auto line = readChunkLine(bytes, m_chunks == 0, m_headerLimit);
            m_limitFault = line.fault;
            return line.complete;
        }

        /// Parses one part: the header, a chunk-size line or a piece of the body.
        std::size_t step(std::string_view bytes)
        {
            const auto inHeader = !m_headerDone;
            const auto inLine = atChunkLine();
            error_code ec;
            const auto n = this->put(boost::asio::const_buffer(bytes.data(), bytes.size()), ec);
            if (ec != http::error::need_more) {
                m_error = ec;
            }
            if (inHeader) {
                checkHeaderLimit(n, bytes.size() - n);
            } else if (inLine && !this->is_done()) {
                m_framingBytes += n;
                checkFramingLimit();
            }
            return n;
        }

        void checkHeaderLimit(std::size_t taken, std::size_t left)
        {
            m_headerBytes += taken;
            // Until the header ends, unconsumed bytes belong to it, except for the end of its last line.
            const auto least = m_headerDone ? m_headerBytes : m_headerBytes + left - std::min(left, config::headerTerminatorBytes - 1);
            if (!m_error && least > m_headerLimit) {
                m_limitFault = HttpFault::HeaderTooLarge;
            }
        }

        void checkFramingLimit()
        {
            if (m_framingBytes > config::chunkFramingBytes + config::chunkFramingPerByte * m_message.body.size()) {
                m_limitFault = HttpFault::Malformed;
            }
        }

        std::size_t m_headerLimit;
        std::size_t m_headerBytes = 0;
        std::size_t m_framingBytes = 0; ///< Total size of chunk-size lines, in bytes.
        std::uint64_t m_chunks = 0;
        std::uint64_t m_chunkLeft = 0; ///< Remaining bytes of the current chunk.
        Message m_message;
        error_code m_error;
        HttpFault m_limitFault = HttpFault::None; ///< Fault of an exceeded limit.
        unsigned m_version = 0;
        bool m_headerDone = false;
        bool m_hasForbiddenBody = false;
        bool m_begun = false;
    };

} // namespace

class HttpRequestReader::Parser final : public MessageParser<true, HttpRequest> {
public:
    using MessageParser::MessageParser;
};

HttpRequestReader::HttpRequestReader(HttpSizeLimits limits)
    : m_limits(limits)
    , m_parser(std::make_unique<Parser>(limits))
{
}

HttpRequestReader::~HttpRequestReader() = default;

std::size_t HttpRequestReader::take(std::string_view bytes)
{
    return m_parser->take(bytes);
}

bool HttpRequestReader::complete() const
{
    return m_parser->is_done() && m_parser->fault() == HttpFault::None;
}

bool HttpRequestReader::begun() const
{
    return m_parser->begun();
}

bool HttpRequestReader::headerDone() const
{
    return m_parser->is_header_done();
}

HttpFault HttpRequestReader::fault() const
{
    return m_parser->fault();
}

bool HttpRequestReader::awaitsContinue() const
{
    const auto waits = m_parser->is_header_done() && !m_parser->is_done();
    const auto expect = waits ? singleHeader(m_parser->message().headers, "Expect") : std::nullopt;
    return expect && sameHeader(*expect, "100-continue");
}

bool HttpRequestReader::keepsAlive() const
{
    return m_parser->keep_alive();
}

HttpRequest HttpRequestReader::finish()
{
    auto request = std::move(m_parser->message());
    m_parser = std::make_unique<Parser>(m_limits);
    return request;
}

class HttpResponseReader::Parser final : public MessageParser<false, HttpResponse> {
public:
    using MessageParser::MessageParser;
};

HttpResponseReader::HttpResponseReader(HttpSizeLimits limits)
    : m_limits(limits)
    , m_parser(std::make_unique<Parser>(limits))
{
}

HttpResponseReader::~HttpResponseReader() = default;

void HttpResponseReader::begin(bool bodiless)
{
    m_parser = std::make_unique<Parser>(m_limits);
    m_parser->skip(bodiless);
}

std::size_t HttpResponseReader::take(std::string_view bytes)
{
    return m_parser->take(bytes);
}

std::size_t HttpResponseReader::bodyBytes() const
{
    return m_parser->message().body.size();
}

void HttpResponseReader::takeEnd()
{
    m_parser->takeEnd();
}

bool HttpResponseReader::complete() const
{
    return m_parser->is_done() && m_parser->fault() == HttpFault::None;
}

HttpFault HttpResponseReader::fault() const
{
    return m_parser->fault();
}

bool HttpResponseReader::keepsAlive() const
{
    return m_parser->keep_alive() && !m_parser->hasForbiddenBody();
}

HttpResponse HttpResponseReader::finish()
{
    return std::move(m_parser->message());
}

} // namespace pw
