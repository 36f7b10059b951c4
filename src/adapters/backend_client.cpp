#include "adapters/backend_client.h"

#include "adapters/http_methods.h"
#include "config.h"
#include "core/header_rules.h"

#include <event2/http_struct.h>
#include <event2/keyvalq_struct.h>

#include <algorithm>
#include <utility>

namespace pw {
namespace {

    constexpr Refusal whole { Verdict::Ran, Reason::None, {} };
    constexpr Refusal neverConnected { Verdict::NotRun, Reason::Unreachable, {} };
    constexpr Refusal brokenOff { Verdict::MayHaveRun, Reason::BackendFailed, {} };
    constexpr Refusal timedOut { Verdict::MayHaveRun, Reason::DeadlineExceeded, {} };

    std::vector<HeaderLine> readHeaders(evhttp_request* raw)
    {
        std::vector<HeaderLine> result;
        for (auto* it = evhttp_request_get_input_headers(raw)->tqh_first; it; it = it->next.tqe_next) {
            result.push_back({ it->key, it->value });
        }
        return result;
    }

    bool hasNoBody(const evhttp_request* raw)
    {
        auto code = raw->response_code;
        return raw->type == EVHTTP_REQ_HEAD || code == 204 || code == 304;
    }

    /// An answer whose end only the closing of the connection marks may have been cut short.
    bool endIsKnown(const evhttp_request* raw, const std::vector<HeaderLine>& headers)
    {
        auto lengths = countHeader(headers, "Content-Length");
        auto codings = countHeader(headers, "Transfer-Encoding");
        return hasNoBody(raw) ? lengths <= 1 : lengths + codings == 1;
    }

    bool echoesAnother(const std::vector<HeaderLine>& headers, const std::string& exchangeId)
    {
        return std::ranges::any_of(headers, [&](const HeaderLine& it) {
            return sameHeader(it.name, header::exchange) && it.value != exchangeId;
        });
    }

    BackendResult readResult(evhttp_request* raw, const std::string& exchangeId)
    {
        BackendResult result { whole, raw->response_code, readHeaders(raw), {} };
        if (!endIsKnown(raw, result.headers) || echoesAnother(result.headers, exchangeId)) {
            return { brokenOff, 0, {}, {} };
        }
        if (raw->response_code == 503 && countHeader(result.headers, header::notRun)) {
            return { { Verdict::NotRun, Reason::BackendRefused, {} }, 0, {}, {} };
        }
        result.body = detail::drain(evhttp_request_get_input_buffer(raw));
        return result;
    }

} // namespace

struct BackendClient::Running {
    BackendClient* owner;
    std::uint64_t id;
    std::string exchangeId;
    detail::HttpConnectionPtr connection;
    Done done;
    TimerId timer = 0;
};

BackendClient::BackendClient(event_base* base, Timers& timers)
    : m_base(base)
    , m_timers(timers)
{
}

BackendClient::~BackendClient()
{
    std::ranges::for_each(m_running, [this](auto& it) { m_timers.cancel(it.second->timer); });
    std::ranges::for_each(m_idle, [](auto& it) { evhttp_connection_set_closecb(it.get(), nullptr, nullptr); });
    m_timers.cancel(m_sweepTimer);
}

bool BackendClient::setAddress(const std::string& address)
{
    std::string host;
    std::uint16_t port = 0;
    detail::SocketAddress parsed;
    if (!detail::splitAddress(address, host, port) || !detail::parseAddress(address, parsed)) {
        return false;
    }
    if (host != m_host || port != m_port) {
        m_host = host;
        m_port = port;
        std::ranges::for_each(std::exchange(m_idle, {}), [this](auto& it) { discard(std::move(it)); });
    }
    return true;
}

detail::HttpConnectionPtr BackendClient::takeConnection()
{
    while (!m_idle.empty()) {
        auto connection = std::move(m_idle.back());
        m_idle.pop_back();
        evhttp_connection_set_closecb(connection.get(), nullptr, nullptr);
        auto* input = bufferevent_get_input(evhttp_connection_get_bufferevent(connection.get()));
        if (evbuffer_get_length(input) == 0) {
            return connection;
        }
        discard(std::move(connection)); // Bytes that nobody asked for: perhaps a second answer to an earlier request.
    }
    detail::HttpConnectionPtr connection(evhttp_connection_base_bufferevent_new(m_base, nullptr, nullptr, m_host.c_str(), m_port));
    evhttp_connection_set_max_headers_size(connection.get(), config::maxHeaderBytes);
    evhttp_connection_set_max_body_size(connection.get(), config::maxBodyBytes);
    return connection;
}

std::uint64_t BackendClient::start(const BackendRequest& request, Done done)
{
    auto id = ++m_lastId;
    auto running = std::make_unique<Running>(this, id, request.exchangeId, takeConnection(), std::move(done));
    auto* state = running.get();
    auto* raw = evhttp_request_new(onAnswer, state);
    evhttp_request_set_error_cb(raw, onRequestError);
    auto* headers = evhttp_request_get_output_headers(raw);
    std::ranges::for_each(request.headers, [&](const HeaderLine& it) { evhttp_add_header(headers, it.name.c_str(), it.value.c_str()); });
    evhttp_add_header(headers, "Host", (m_host + ":" + std::to_string(m_port)).c_str());
    evhttp_add_header(headers, header::exchange.data(), request.exchangeId.c_str());
    if (!request.body.empty()) {
        evhttp_add_header(headers, "Content-Length", std::to_string(request.body.size()).c_str());
        evbuffer_add(evhttp_request_get_output_buffer(raw), request.body.data(), request.body.size());
    }
    running->timer = m_timers.after(request.timeout, [this, id] { fail(id, timedOut); });
    m_running.emplace(id, std::move(running));
    if (evhttp_make_request(state->connection.get(), raw, methodType(request.method), request.target.c_str()) != 0) {
        // The library has released the request; the caller learns of it from the loop, as of every other end.
        auto& timer = m_running.at(id)->timer;
        m_timers.cancel(timer);
        timer = m_timers.after(Duration::zero(), [this, id] { fail(id, neverConnected); });
    }
    return id;
}

void BackendClient::cancel(std::uint64_t id)
{
    auto node = m_running.extract(id);
    if (!node.empty()) {
        m_timers.cancel(node.mapped()->timer);
        discard(std::move(node.mapped()->connection));
    }
}

void BackendClient::onRequestError(evhttp_request_error, void*)
{
    // onAnswer follows with no request; setting this handler keeps the library from reporting twice.
}

void BackendClient::onAnswer(evhttp_request* raw, void* argument)
{
    auto* running = static_cast<Running*>(argument);
    running->owner->finish(running->id, raw);
}

void BackendClient::finish(std::uint64_t id, evhttp_request* raw)
{
    if (!raw) {
        fail(id, brokenOff);
        return;
    }
    if (raw->response_code == 0) {
        fail(id, neverConnected);
        return;
    }
    auto result = readResult(raw, m_running.at(id)->exchangeId);
    if (result.refusal.verdict == Verdict::MayHaveRun) {
        fail(id, result.refusal);
        return;
    }
    auto node = m_running.extract(id);
    m_timers.cancel(node.mapped()->timer);
    // Without the echo, a second answer to this request could pass for the answer to the next one.
    auto echoed = countHeader(result.headers, header::exchange) > 0;
    echoed ? keep(std::move(node.mapped()->connection)) : discard(std::move(node.mapped()->connection));
    node.mapped()->done(std::move(result));
}

void BackendClient::fail(std::uint64_t id, Refusal refusal)
{
    auto node = m_running.extract(id);
    if (node.empty()) {
        return;
    }
    m_timers.cancel(node.mapped()->timer);
    discard(std::move(node.mapped()->connection));
    node.mapped()->done({ refusal, 0, {}, {} });
}

void BackendClient::keep(detail::HttpConnectionPtr connection)
{
    evhttp_connection_set_closecb(connection.get(), onIdleClosed, this);
    m_idle.push_back(std::move(connection));
}

void BackendClient::onIdleClosed(evhttp_connection* connection, void* argument)
{
    auto* client = static_cast<BackendClient*>(argument);
    auto it = std::ranges::find(client->m_idle, connection, &detail::HttpConnectionPtr::get);
    if (it != client->m_idle.end()) {
        auto dead = std::move(*it);
        client->m_idle.erase(it);
        client->discard(std::move(dead));
    }
}

void BackendClient::discard(detail::HttpConnectionPtr connection)
{
    evhttp_connection_set_closecb(connection.get(), nullptr, nullptr);
    m_discarded.push_back(std::move(connection));
    if (!m_sweepTimer) {
        m_sweepTimer = m_timers.after(Duration::zero(), [this] {
            m_sweepTimer = 0;
            m_discarded.clear();
        });
    }
}

} // namespace pw
