#include "adapters/http_reader.h"

#include "core/header_rules.h"

#include <boost/beast/http/basic_parser.hpp>
#include <boost/beast/http/error.hpp>

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

    /// \returns whether the headers give the length of the body in one way at most, and one that is supported.
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

    /// The library's parser with the parts of a message collected in our types.
    template <bool isRequest, typename Message>
    class MessageParser : public http::basic_parser<isRequest> {
    public:
        explicit MessageParser(HttpSizeLimits limits)
        {
            this->header_limit(static_cast<std::uint32_t>(limits.headerBytes));
            this->body_limit(limits.bodyBytes);
            this->eager(true);
        }

        std::size_t take(std::string_view bytes)
        {
            std::size_t used = 0;
            // The library stops after the header and after each part of a body.
            while (!this->is_done() && !m_error && used < bytes.size()) {
                error_code ec;
                const auto n = this->put(boost::asio::const_buffer(bytes.data() + used, bytes.size() - used), ec);
                used += n;
                if (ec == http::error::need_more || (!ec && n == 0)) {
                    break;
                }
                m_error = ec;
            }
            return used;
        }

        void takeEnd()
        {
            if (this->is_done() || m_error) {
                return;
            }
            if (!this->got_some()) {
                m_error = http::error::end_of_stream;
                return;
            }
            this->put_eof(m_error);
        }

        HttpFault fault() const { return faultOf(m_error); }
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

        void on_response_impl(int status, beast::string_view, int version, error_code&) override
        {
            m_version = static_cast<unsigned>(version);
            if constexpr (!isRequest) {
                m_message.status = status;
            }
        }

        void on_field_impl(http::field, beast::string_view name, beast::string_view value, error_code&) override
        {
            // Fields after a chunked body concern only the connection.
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
            }
        }

        void on_body_init_impl(const boost::optional<std::uint64_t>&, error_code&) override { }

        std::size_t on_body_impl(beast::string_view bytes, error_code&) override
        {
            m_message.body.append(bytes.data(), bytes.size());
            return bytes.size();
        }

        void on_chunk_header_impl(std::uint64_t, beast::string_view, error_code&) override { }

        std::size_t on_chunk_body_impl(std::uint64_t, beast::string_view bytes, error_code&) override
        {
            m_message.body.append(bytes.data(), bytes.size());
            return bytes.size();
        }

        void on_finish_impl(error_code&) override { }

    private:
        Message m_message;
        error_code m_error;
        unsigned m_version = 0;
        bool m_headerDone = false;
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
    return m_parser->got_some();
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

class HttpAnswerReader::Parser final : public MessageParser<false, HttpResponse> {
public:
    using MessageParser::MessageParser;
};

HttpAnswerReader::HttpAnswerReader(HttpSizeLimits limits)
    : m_limits(limits)
    , m_parser(std::make_unique<Parser>(limits))
{
}

HttpAnswerReader::~HttpAnswerReader() = default;

void HttpAnswerReader::begin(bool bodiless)
{
    m_parser = std::make_unique<Parser>(m_limits);
    m_parser->skip(bodiless);
}

std::size_t HttpAnswerReader::take(std::string_view bytes)
{
    return m_parser->take(bytes);
}

void HttpAnswerReader::takeEnd()
{
    m_parser->takeEnd();
}

bool HttpAnswerReader::complete() const
{
    return m_parser->is_done() && m_parser->fault() == HttpFault::None;
}

HttpFault HttpAnswerReader::fault() const
{
    return m_parser->fault();
}

bool HttpAnswerReader::keepsAlive() const
{
    return m_parser->keep_alive();
}

HttpResponse HttpAnswerReader::finish()
{
    return std::move(m_parser->message());
}

} // namespace pw
