#pragma once

#include "adapters/libevent_util.h"
#include "app/native_protocol.h"
#include "app/server_role.h"
#include "config.h"
#include "fake_network.h"
#include "fleet_fakes.h"

#include <boost/test/unit_test.hpp>

#include <event2/event.h>
#include <event2/http.h>
#include <netinet/in.h>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace pw::test {

using namespace std::chrono_literals;

/// Records the last published entry.
class RecordingDirectory : public ServerDirectory {
public:
    const std::vector<ServerEntry>& servers(const std::string&) const override { return m_none; }
    std::size_t serverCount() const override { return 0; }
    void publish(const ServerEntry& entry) override { last = entry; }
    void onChanged(std::function<void(const std::string&)>) override { }

    ServerEntry last;

private:
    std::vector<ServerEntry> m_none;
};

/// Records the events written.
class RecordingEventLog : public EventLog {
public:
    bool shouldWrite(Event /*event*/) override { return true; }
    void write(Event event, std::initializer_list<EventField> /*fields*/) override { events.push_back(event); }

    std::vector<Event> events;
};

/// Backend server on loopback that answers its requests when the test says so.
class ManualServer {
public:
    explicit ManualServer(event_base* base)
        : m_base(base)
        , m_http(evhttp_new(base))
    {
        auto* socket = evhttp_bind_socket_with_handle(m_http.get(), "127.0.0.1", 0);
        BOOST_REQUIRE(socket);
        sockaddr_in bound {};
        socklen_t length = sizeof(bound);
        getsockname(evhttp_bound_socket_get_fd(socket), reinterpret_cast<sockaddr*>(&bound), &length);
        m_port = ntohs(bound.sin_port);
        evhttp_set_gencb(
            m_http.get(), [](evhttp_request* request, void* self) { static_cast<ManualServer*>(self)->onRequest(request); }, this);
    }

    std::string address() const { return "127.0.0.1:" + std::to_string(m_port); }

    /// Answers the last request.
    void reply(int status = 200) { evhttp_send_reply(std::exchange(m_request, nullptr), status, "", nullptr); }

    /// Runs the event loop until \p done returns true, for a few seconds at most.
    void runUntil(const std::function<bool()>& done) const
    {
        const auto end = MonotonicClock::now() + 5s;
        while (!done() && MonotonicClock::now() < end) {
            event_base_loop(m_base, EVLOOP_NONBLOCK);
        }
    }

    int requests = 0;

private:
    void onRequest(evhttp_request* request)
    {
        ++requests;
        m_request = request;
    }

    event_base* m_base;
    detail::HttpPtr m_http;
    std::uint16_t m_port = 0;
    evhttp_request* m_request = nullptr;
};

/// A server role on a fake clock, with a backend server that announces itself when the test says so.
struct ServerRoleFixture {
    static constexpr std::uint32_t attempts = 5;

    explicit ServerRoleFixture(const std::string& limitStart = {}, PickBy pickBy = PickBy::Load)
        : settings { .failureDomain = "d1", .limitStart = limitStart, .pickBy = pickBy }
    {
    }

    /// Runs a call of \p route. \returns its answer, which is filled in when it ends.
    std::shared_ptr<std::optional<Answer>> run(const std::string& route)
    {
        Call call;
        call.id = ++lastCall;
        call.route = route;
        call.service = "tides";
        call.method = "GET";
        call.target = "/";
        call.host = "h";
        call.attempts = attempts;
        call.timeLeft = 4s;
        auto answer = std::make_shared<std::optional<Answer>>();
        role.run("entry", call, [answer](Answer it) { *answer = std::move(it); });
        return answer;
    }

    Announcement announcement(std::uint64_t started, bool leaving = false)
    {
        Announcement result;
        result.service = "tides";
        result.address = address;
        result.slots = slots;
        result.connections = 20;
        result.instance = "i-1";
        result.started = started;
        result.sequence = ++sequence;
        result.leaving = leaving;
        return result;
    }

    void announce(std::uint64_t started, bool leaving = false)
    {
        std::string reason;
        BOOST_REQUIRE(role.announce(announcement(started, leaving), reason));
    }

    std::unique_ptr<event_base, decltype(&event_base_free)> base { event_base_new(), &event_base_free };
    StreamLoop loop { base.get() };
    Settings settings;
    FakeTimers timers;
    FakeNetwork network { timers, 1 };
    FakePeer peer { network, "d" };
    RecordingEventLog log;
    RecordingDirectory directory;
    FakeFleet fleet;
    NativeBackendProtocol protocol;
    DemandCache board;
    ServerRole role { loop, settings, peer, timers, log, directory, fleet, protocol, board };
    std::uint64_t sequence = 0;
    std::uint64_t lastCall = 0;
    std::string address = "127.0.0.1:9";
    std::uint32_t slots = 10;
};

} // namespace pw::test
