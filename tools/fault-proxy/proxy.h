#pragma once

#include "fault.h"

#include "support/address.h"
#include "support/loop.h"

#include <array>
#include <cstdint>
#include <list>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

struct bufferevent;
struct evconnlistener;
struct sockaddr;

namespace pw::proxy {

/// Forwards TCP connections from listening addresses to targets and applies faults on the way.
/// Faults are chosen by the mapping and by the IP number that the connection comes from.
class Proxy {
public:
    Proxy(event_base* base, std::uint64_t seed);
    ~Proxy();
    Proxy(const Proxy&) = delete;
    Proxy& operator=(const Proxy&) = delete;

    /// Adds a mapping. \returns whether the proxy listens at \p listen.
    bool add(const std::string& name, const support::Address& listen, const support::Address& target);

    /// Sets the fault of connections, running ones included, through mappings called \p name ("*": all) that come
    /// from \p source ("*": anywhere).
    void setRule(const std::string& name, const std::string& source, Direction direction, const Rule& rule);

    /// Takes back every fault.
    void clear();

    /// \returns counts of bytes and connections as one JSON object.
    std::string stats() const;

private:
    struct Mapping;
    struct Pair;
    struct Side;

    struct RuleEntry {
        std::string name;
        std::string source;
        Direction direction = Direction::Forward;
        Rule rule;
    };
    using Step = void (Proxy::*)(Side&, const Rule&, const std::string&);

    static void accepted(evconnlistener* listener, int fd, sockaddr* from, int size, void* mapping);
    static void arrived(bufferevent* from, void* side);
    static void ended(bufferevent* from, short what, void* side);

    Rule ruleOf(const Side& side) const;
    Pair* find(std::uint64_t id);
    void pass(Side& side, const Rule& rule, const std::string& chunk);
    void delay(Side& side, const Rule& rule, const std::string& chunk);
    void drop(Side& side, const Rule& rule, const std::string& chunk);
    void reset(Side& side, const Rule& rule, const std::string& chunk);
    void halfClose(Side& side, const Rule& rule, const std::string& chunk);
    void truncate(Side& side, const Rule& rule, const std::string& chunk);
    void duplicate(Side& side, const Rule& rule, const std::string& chunk);
    void sendLater(const Side& side, std::chrono::microseconds delay, const std::string& chunk);
    void sideEnded(Side& side, bool failed);
    void endWriting(std::uint64_t id, Direction direction, bool both);
    void resetHealed();
    void close(std::uint64_t id);

    event_base* m_base;
    std::mt19937_64 m_random;
    std::vector<RuleEntry> m_rules;
    std::list<Mapping> m_mappings;
    std::map<std::uint64_t, std::unique_ptr<Pair>> m_pairs;
    std::uint64_t m_nextId = 1;
    std::array<std::uint64_t, 2> m_bytes {}; ///< Forwarded, by direction.
    std::uint64_t m_droppedBytes = 0;
};

} // namespace pw::proxy
