#include "proxy.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <algorithm>
#include <utility>

namespace pw::proxy {
namespace {

    constexpr std::chrono::milliseconds flushTime { 5 };
    constexpr int listenBacklog = 512;
    constexpr std::size_t maxChunkBytes = 64 * 1024;

    sockaddr_in toSocketAddress(const support::Address& address)
    {
        sockaddr_in result {};
        result.sin_family = AF_INET;
        result.sin_port = htons(address.port);
        inet_pton(AF_INET, address.host.c_str(), &result.sin_addr);
        return result;
    }

    std::string sourceOf(const sockaddr* from)
    {
        std::array<char, INET_ADDRSTRLEN> text {};
        inet_ntop(AF_INET, &reinterpret_cast<const sockaddr_in*>(from)->sin_addr, text.data(), text.size());
        return text.data();
    }

    /// Makes the close of \p fd a reset.
    void closeByReset(int fd)
    {
        const linger now { 1, 0 };
        (void)setsockopt(fd, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
    }

    bool matches(const std::string& pattern, const std::string& value)
    {
        return pattern == "*" || pattern == value;
    }

} // namespace

struct Proxy::Mapping {
    Proxy* proxy = nullptr;
    std::string name;
    support::Address target;
    evconnlistener* listener = nullptr;
};

/// One end of a connection pair.
struct Proxy::Side {
    Pair* pair = nullptr;
    Direction direction = Direction::Forward; ///< Of the bytes that are read here.
    bufferevent* socket = nullptr;
    Side* other = nullptr;
    std::uint64_t bytesRead = 0;
    bool readEnded = false;
    bool lossy = false; ///< Bytes or the end of this direction were dropped.
    std::chrono::steady_clock::time_point lastDue {}; ///< Keeps delayed chunks in order.
};

struct Proxy::Pair {
    Proxy* proxy = nullptr;
    std::uint64_t id = 0;
    std::string mapping;
    std::string source;
    Side client;
    Side server;
};

Proxy::Proxy(event_base* base, std::uint64_t seed)
    : m_base(base)
    , m_random(seed)
{
}

Proxy::~Proxy()
{
    while (!m_pairs.empty()) {
        close(m_pairs.begin()->first);
    }
    std::ranges::for_each(m_mappings, [](const Mapping& it) { evconnlistener_free(it.listener); });
}

bool Proxy::add(const std::string& name, const support::Address& listen, const support::Address& target)
{
    const sockaddr_in address = toSocketAddress(listen);
    m_mappings.push_back({ this, name, target, nullptr });
    Mapping& mapping = m_mappings.back();
    mapping.listener = evconnlistener_new_bind(m_base, &Proxy::accepted, &mapping, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_EXEC,
        listenBacklog, reinterpret_cast<const sockaddr*>(&address), sizeof(address));
    if (!mapping.listener) {
        m_mappings.pop_back();
        return false;
    }
    return true;
}

void Proxy::setRule(const std::string& name, const std::string& source, Direction direction, const Rule& rule)
{
    const auto same = [&](const RuleEntry& it) { return it.name == name && it.source == source && it.direction == direction; };
    std::erase_if(m_rules, same);
    if (rule.fault != Fault::None) {
        m_rules.push_back({ name, source, direction, rule });
    }
    resetHealed();
}

void Proxy::clear()
{
    m_rules.clear();
    resetHealed();
}

void Proxy::resetHealed()
{
    // TCP never delivers a stream with a gap, so a pair that lost bytes cannot go on.
    const auto healed = [this](const Side& it) { return it.lossy && ruleOf(it).fault != Fault::Drop; };
    std::vector<std::uint64_t> ids;
    for (const auto& [id, pair] : m_pairs) {
        if (healed(pair->client) || healed(pair->server)) {
            ids.push_back(id);
        }
    }
    for (const auto id : ids) {
        reset(find(id)->client, {}, {});
    }
}

void Proxy::accepted(evconnlistener*, int fd, sockaddr* from, int, void* arg)
{
    const Mapping& mapping = *static_cast<Mapping*>(arg);
    Proxy& proxy = *mapping.proxy;
    auto pair = std::make_unique<Pair>();
    pair->proxy = &proxy;
    pair->id = proxy.m_nextId++;
    pair->mapping = mapping.name;
    pair->source = sourceOf(from);
    pair->client = { pair.get(), Direction::Forward, bufferevent_socket_new(proxy.m_base, fd, BEV_OPT_CLOSE_ON_FREE), &pair->server };
    pair->server = { pair.get(), Direction::Backward, bufferevent_socket_new(proxy.m_base, -1, BEV_OPT_CLOSE_ON_FREE), &pair->client };
    for (Side* side : { &pair->client, &pair->server }) {
        bufferevent_setcb(side->socket, &Proxy::arrived, nullptr, &Proxy::ended, side);
        bufferevent_enable(side->socket, EV_READ | EV_WRITE);
    }
    const std::uint64_t id = pair->id;
    bufferevent* server = pair->server.socket;
    proxy.m_pairs.emplace(id, std::move(pair));
    const sockaddr_in target = toSocketAddress(mapping.target);
    if (bufferevent_socket_connect(server, reinterpret_cast<const sockaddr*>(&target), sizeof(target)) != 0) {
        proxy.close(id);
    }
}

void Proxy::arrived(bufferevent* from, void* arg)
{
    static constexpr std::array<Step, static_cast<std::size_t>(Fault::Count)> steps {
        &Proxy::pass, &Proxy::delay, &Proxy::drop, &Proxy::reset, &Proxy::halfClose, &Proxy::truncate, &Proxy::duplicate
    };
    auto& side = *static_cast<Side*>(arg);
    Proxy& proxy = *side.pair->proxy;
    std::string chunk(std::min(evbuffer_get_length(bufferevent_get_input(from)), maxChunkBytes), '\0');
    chunk.resize(bufferevent_read(from, chunk.data(), chunk.size()));
    if (chunk.empty()) {
        return;
    }
    side.bytesRead += chunk.size();
    const Rule rule = proxy.ruleOf(side);
    (proxy.*steps.at(static_cast<std::size_t>(rule.fault)))(side, rule, chunk);
}

void Proxy::ended(bufferevent*, short what, void* arg)
{
    auto& side = *static_cast<Side*>(arg);
    if (what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) {
        side.pair->proxy->sideEnded(side, what & BEV_EVENT_ERROR);
    }
}

Rule Proxy::ruleOf(const Side& side) const
{
    const auto fits = [&](const RuleEntry& it) {
        return it.direction == side.direction && matches(it.name, side.pair->mapping) && matches(it.source, side.pair->source);
    };
    const auto it = std::ranges::find_if(m_rules, fits);
    return it == m_rules.end() ? Rule {} : it->rule;
}

Proxy::Pair* Proxy::find(std::uint64_t id)
{
    const auto it = m_pairs.find(id);
    return it == m_pairs.end() ? nullptr : it->second.get();
}

void Proxy::pass(Side& side, const Rule&, const std::string& chunk)
{
    m_bytes.at(static_cast<std::size_t>(side.direction)) += chunk.size();
    // Bytes that are still held back go first.
    const auto held = side.lastDue - std::chrono::steady_clock::now();
    if (held > std::chrono::steady_clock::duration::zero()) {
        sendLater(side, std::chrono::duration_cast<std::chrono::microseconds>(held) + std::chrono::microseconds(1), chunk);
        return;
    }
    bufferevent_write(side.other->socket, chunk.data(), chunk.size());
}

void Proxy::delay(Side& side, const Rule& rule, const std::string& chunk)
{
    m_bytes.at(static_cast<std::size_t>(side.direction)) += chunk.size();
    const auto jitter = std::uniform_int_distribution<std::int64_t>(0, rule.jitter.count())(m_random);
    const auto now = std::chrono::steady_clock::now();
    side.lastDue = std::max(side.lastDue, now + rule.delay + std::chrono::milliseconds(jitter));
    sendLater(side, std::chrono::duration_cast<std::chrono::microseconds>(side.lastDue - now), chunk);
}

void Proxy::drop(Side& side, const Rule&, const std::string& chunk)
{
    side.lossy = true;
    m_droppedBytes += chunk.size();
}

void Proxy::reset(Side& side, const Rule&, const std::string&)
{
    closeByReset(bufferevent_getfd(side.socket));
    closeByReset(bufferevent_getfd(side.other->socket));
    close(side.pair->id);
}

void Proxy::halfClose(Side& side, const Rule&, const std::string&)
{
    (void)shutdown(bufferevent_getfd(side.other->socket), SHUT_WR);
}

void Proxy::truncate(Side& side, const Rule& rule, const std::string& chunk)
{
    const std::uint64_t before = side.bytesRead - chunk.size();
    if (side.bytesRead <= rule.bytes) {
        pass(side, rule, chunk);
        return;
    }
    bufferevent_write(side.other->socket, chunk.data(), rule.bytes > before ? rule.bytes - before : 0);
    bufferevent_disable(side.socket, EV_READ);
    support::after(m_base, flushTime, [this, id = side.pair->id] { close(id); });
}

void Proxy::duplicate(Side& side, const Rule& rule, const std::string& chunk)
{
    sendLater(side, rule.delay, chunk);
    pass(side, rule, chunk);
}

void Proxy::sendLater(const Side& side, std::chrono::microseconds delay, const std::string& chunk)
{
    support::after(m_base, delay, [this, id = side.pair->id, direction = side.direction, chunk] {
        if (Pair* pair = find(id)) {
            const Side& to = direction == Direction::Forward ? pair->server : pair->client;
            bufferevent_write(to.socket, chunk.data(), chunk.size());
        }
    });
}

void Proxy::sideEnded(Side& side, bool failed)
{
    side.readEnded = true;
    const Fault fault = ruleOf(side).fault;
    // A black hole hides the end of a connection as well.
    if (fault == Fault::Drop) {
        side.lossy = true;
        return;
    }
    const auto held = std::max(side.lastDue - std::chrono::steady_clock::now(), std::chrono::steady_clock::duration(0));
    const auto delay = std::chrono::duration_cast<std::chrono::microseconds>(held) + flushTime;
    const bool both = failed || side.other->readEnded;
    support::after(m_base, delay, [this, id = side.pair->id, direction = side.direction, both] { endWriting(id, direction, both); });
}

void Proxy::endWriting(std::uint64_t id, Direction direction, bool both)
{
    Pair* pair = find(id);
    if (!pair) {
        return;
    }
    const Side& to = direction == Direction::Forward ? pair->server : pair->client;
    if (evbuffer_get_length(bufferevent_get_output(to.socket)) && !both) {
        support::after(m_base, flushTime, [this, id, direction, both] { endWriting(id, direction, both); });
        return;
    }
    if (both) {
        close(id);
    } else {
        (void)shutdown(bufferevent_getfd(to.socket), SHUT_WR);
    }
}

void Proxy::close(std::uint64_t id)
{
    const auto it = m_pairs.find(id);
    if (it == m_pairs.end()) {
        return;
    }
    bufferevent_free(it->second->client.socket);
    bufferevent_free(it->second->server.socket);
    m_pairs.erase(it);
}

std::string Proxy::stats() const
{
    return "{\"pairs\":" + std::to_string(m_pairs.size()) + ",\"forwardBytes\":" + std::to_string(m_bytes[0])
        + ",\"backwardBytes\":" + std::to_string(m_bytes[1]) + ",\"droppedBytes\":" + std::to_string(m_droppedBytes) + "}\n";
}

} // namespace pw::proxy
