#include "support/fleet.h"
#include "support/http_names.h"
#include "support/raw_server.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <atomic>
#include <ostream>
#include <string>
#include <thread>
#include <vector>

using namespace pw::test;
namespace http = pw::support::http;

namespace {

constexpr milliseconds announceInterval { 300 };
constexpr milliseconds announceTimeout { 900 };
constexpr milliseconds requestInterval { 50 };
constexpr milliseconds lateAnnouncementDelay { 2500 }; ///< After the leave.
constexpr milliseconds observed { 4000 }; ///< After the late announcement.
constexpr milliseconds readyBound { 10000 };
constexpr int noContent = 204;

const std::string configuration = R"(services:
  - { name: orders, slotsPerServer: 40, connectionsPerServer: 330 }
routes:
  - { name: read, method: GET, pathPrefix: /read, service: orders, importance: normal, open: true, deadline: 1000ms }
workspaces:
  - { name: anglesey, rate: 2000, burst: 2000 }
)";

/// A backend server that announces itself with an identity, beside a daemon of its own.
class Backend {
public:
    explicit Backend(Daemon& daemon)
        : m_daemon(daemon)
        , m_server(freeAddress(), [this](const RawConnection& connection, std::size_t) {
            for (auto request = connection.readAnswer(announceTimeout); !request.empty(); request = connection.readAnswer(announceTimeout)) {
                ++received;
                (void)connection.send("HTTP/1.1 200 OK\r\n" + exchangeLineOf(request) + "Content-Length: 2\r\n\r\nok");
            }
        })
    {
    }

    int announce(int started) const { return post(http::announcePath + identity(started) + "&service=orders&address=" + m_server.address() + "&slots=40&connections=40"); }
    int leave(int started) const { return post(http::leavePath + identity(started)); }

    std::atomic<int> received = 0;

private:
    static std::string identity(int started) { return "?instance=i-1&started=" + std::to_string(started); }

    static std::string exchangeLineOf(const std::string& request)
    {
        const auto at = request.find(http::exchangeHeader);
        return request.substr(at, request.find("\r\n", at) + 2 - at);
    }

    int post(const std::string& target) const
    {
        pw::support::HttpRequest request;
        request.method = "POST";
        request.target = target;
        return pw::support::fetch(*pw::support::parseAddress(m_daemon.spec().backend), request, announceTimeout).status;
    }

    Daemon& m_daemon;
    RawServer m_server;
};

/// Repeats an action in a thread of its own.
class Repeated {
public:
    template <typename Action>
    Repeated(milliseconds interval, Action action)
        : m_thread([this, interval, action] {
            while (!m_stopping) {
                action();
                std::this_thread::sleep_for(interval);
            }
        })
    {
    }

    ~Repeated() { stop(); }
    Repeated(const Repeated&) = delete;
    Repeated& operator=(const Repeated&) = delete;

    void stop()
    {
        m_stopping = true;
        if (m_thread.joinable()) {
            m_thread.join();
        }
    }

private:
    std::atomic<bool> m_stopping = false;
    std::thread m_thread;
};

struct KillRow {
    const char* name;
    bool controls;
    bool daemon; ///< The one beside the server.
    bool entry;
    milliseconds after; ///< The acknowledgement.
};

std::ostream& operator<<(std::ostream& out, const KillRow& row)
{
    return out << row.name;
}

const std::vector<KillRow> killRows {
    { "all processes, at once", true, true, true, milliseconds(0) },
    { "all processes, after a while", true, true, true, milliseconds(1000) },
    { "control and the daemon beside the server", true, true, false, milliseconds(0) },
    { "the daemon beside the server", false, true, false, milliseconds(0) },
    { "control", true, false, false, milliseconds(0) },
};

} // namespace

BOOST_AUTO_TEST_SUITE(Leaves)

/// Guards against a leave that is acknowledged and then forgotten with the processes that knew of it.
BOOST_DATA_TEST_CASE(anAcknowledgedLeaveOutlivesAKill, boost::unit_test::data::make(killRows), row)
{
    Fleet fleet;
    auto& entry = fleet.addEntry();
    auto& daemon = fleet.addServerDaemon();
    Backend backend(daemon);
    Repeated announcements(announceInterval, [&] { (void)backend.announce(5); });
    fleet.configure(configuration);
    fleet.waitForRoute(entry, "/read");
    announcements.stop();

    BOOST_REQUIRE(backend.leave(5) == noContent);
    const auto acknowledged = std::chrono::steady_clock::now();
    std::this_thread::sleep_for(row.after);
    std::vector<Daemon*> killed;
    for (auto& it : fleet.controls()) {
        killed.push_back(row.controls ? &it : nullptr);
    }
    killed.push_back(row.daemon ? &daemon : nullptr);
    killed.push_back(row.entry ? &entry : nullptr);
    std::erase(killed, nullptr);
    std::ranges::for_each(killed, [](Daemon* it) { it->crash(); });
    std::ranges::for_each(killed, [](Daemon* it) { it->start(); });

    std::this_thread::sleep_until(acknowledged + lateAnnouncementDelay);
    const auto before = backend.received.load();
    BOOST_TEST(backend.announce(5) == noContent);
    {
        const Repeated requests(requestInterval, [&] { (void)fleet.get(entry, "/read"); });
        std::this_thread::sleep_for(observed);
    }
    BOOST_TEST(backend.received == before);

    // A later start of the server is taken into service.
    const Repeated next(announceInterval, [&] { (void)backend.announce(6); });
    BOOST_TEST(eventually(readyBound, [&] { return fleet.get(entry, "/read").status == 200; }));
}

BOOST_AUTO_TEST_SUITE_END()
