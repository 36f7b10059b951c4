#include "server.h"

#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <utility>

namespace review {
namespace {

    constexpr double beatSeconds = 1.5;
    constexpr double maxWorkSeconds = 3;

    std::uint64_t wallMillis()
    {
        return static_cast<std::uint64_t>(std::chrono::system_clock::now().time_since_epoch() / std::chrono::milliseconds(1));
    }

} // namespace

Server::Server(Record& record, const Machine& machine, std::string instance, int slots, double workSeconds)
    : m_record(record)
    , m_machine(machine)
    , m_instance(std::move(instance))
    , m_slots(slots)
    , m_work(workSeconds)
    , m_born(wallMillis())
{
}

Server::~Server()
{
    stop(false);
}

void Server::stop(bool isCrash)
{
    m_stopping = true;
    if (m_listener >= 0) {
        close(m_listener.exchange(-1));
    }
    if (isCrash) {
        const std::scoped_lock lock(m_mutex);
        for (const int fd : m_open) {
            const linger atOnce { 1, 0 };
            setsockopt(fd, SOL_SOCKET, SO_LINGER, &atOnce, sizeof atOnce);
            shutdown(fd, SHUT_RDWR);
        }
    }
    for (auto* it : { &m_acceptor, &m_beater }) {
        if (it->joinable()) {
            it->join();
        }
    }
    for (auto& it : m_connections) {
        it.join();
    }
    m_connections.clear();
}

void Server::crash()
{
    m_record.line("server " + m_instance + " crashes");
    stop(true);
}

bool Server::restart(const std::string& instance)
{
    m_record.line("server " + m_instance + " starts again as " + instance);
    m_instance = instance;
    m_born = wallMillis();
    m_sequence = 0;
    m_running = 0;
    m_stopping = false;
    m_draining = false;
    m_drainAcknowledged = 0;
    return start();
}

void Server::setWork(const std::string& suffix, double seconds)
{
    const std::scoped_lock lock(m_mutex);
    m_workBySuffix[suffix] = seconds;
}

bool Server::start()
{
    m_listener = listenOn(m_machine.app());
    if (m_listener < 0) {
        return false;
    }
    m_acceptor = std::thread([this] { accept(); });
    m_beater = std::thread([this] { beat(); });
    return true;
}

void Server::accept()
{
    while (!m_stopping) {
        const int listener = m_listener;
        pollfd wait { listener, POLLIN, 0 };
        if (poll(&wait, 1, 20) != 1) {
            continue;
        }
        const int fd = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (fd >= 0) {
            m_connections.emplace_back([this, fd] { serve(fd); });
        }
    }
}

void Server::serve(int fd)
{
    Connection connection(fd);
    {
        const std::scoped_lock lock(m_mutex);
        m_open.insert(fd);
    }
    while (!m_stopping) {
        const auto request = connection.read(now() + 0.1);
        if (!request) {
            if (connection.timedOut()) {
                continue;
            }
            break;
        }
        const auto answer = answerTo(*request, connection);
        if (answer.status == 0 || !connection.send(renderAnswer(answer.status, answer.headers, answer.body))) {
            break;
        }
    }
    const std::scoped_lock lock(m_mutex);
    m_open.erase(fd);
    connection.close();
}

double Server::drawWork(const std::string& target)
{
    const std::scoped_lock lock(m_mutex);
    for (const auto& [suffix, seconds] : m_workBySuffix) {
        if (target.ends_with(suffix)) {
            return seconds;
        }
    }
    const auto sigma = m_spread.load();
    const auto factor = sigma > 0 ? std::lognormal_distribution<double>(-sigma * sigma / 2, sigma)(m_random) : 1;
    return std::min(m_work * factor, maxWorkSeconds) * m_slowness;
}

/// \returns the answer; status 0 if the request was dropped because its connection closed.
Message Server::answerTo(const Message& request, Connection& connection)
{
    const auto id = request.header("Pistachiowheel-Request-Id");
    Message answer;
    answer.status = 200;
    answer.headers = { { "Pistachiowheel-Request-Id", id } };
    if (request.target == "/healthz") {
        answer.headers = { { "Pistachiowheel-Instance-Id", m_instance } };
        return answer;
    }
    const auto expected = request.header("Pistachiowheel-Expect-Instance");
    if (!expected.empty() && expected != m_instance) {
        answer.status = 421;
        answer.headers.emplace_back("Pistachiowheel-Instance-Id", m_instance);
        return answer;
    }
    if (++m_running > m_slots) {
        --m_running;
        answer.status = 503;
        answer.headers.emplace_back("Pistachiowheel-Not-Executed", "1");
        return answer;
    }
    const Run run { now(), id, m_instance, request.target, request.header("Pistachiowheel-Caller-Service") };
    {
        const std::scoped_lock lock(m_mutex);
        m_runs.push_back(run);
    }
    m_record.line("server " + m_instance + " runs " + id + " " + request.method + " " + request.target + " body " + std::to_string(request.body.size()));
    const auto end = now() + drawWork(request.target);
    bool isDropped = false;
    while (now() < end && !m_stopping && !isDropped) {
        isDropped = connection.peerClosed();
        sleepUntil(std::min(end, now() + 0.005));
    }
    --m_running;
    if (m_stopping) {
        answer.status = 0;
        return answer;
    }
    if (isDropped) {
        m_record.line("server " + m_instance + " drops " + id);
        answer.status = 0;
        return answer;
    }
    answer.body = "answer to " + id + " of " + m_instance + "\n";
    answer.headers.emplace_back("Pistachiowheel-Response-Signature", m_instance + "." + id + "." + std::to_string(answer.body.size()));
    m_record.line("server " + m_instance + " answers " + id);
    return answer;
}

std::string Server::beatBody(const std::string& state)
{
    return R"({"born":)" + std::to_string(m_born) + R"(,"address":")" + m_machine.app().text() + R"(","info":{"service":")" + m_machine.service
        + R"(","config_version":"v1","zone":"zone-1","max_concurrency":)" + std::to_string(m_slots) + R"(},"status":{"state":")" + state
        + R"(","seq":)" + std::to_string(++m_sequence) + R"(,"cold_remaining_s":0}})";
}

int Server::post(const std::string& verb, const std::string& body)
{
    const auto to = m_machine.control();
    const auto text = render("POST", "/v1/instances/" + m_instance + "/" + verb, { { "Host", to.text() }, { "Content-Type", "application/json" } }, body);
    const auto answer = exchange(to, text, now() + 1);
    return answer ? answer->status : 0;
}

void Server::beat()
{
    while (!m_stopping) {
        const bool isDraining = m_draining;
        const auto status = post("heartbeat", beatBody(isDraining ? "draining" : "ready"));
        if (isDraining && status == 200 && m_drainAcknowledged == 0) {
            m_drainAcknowledged = now();
            m_record.line("draining of " + m_instance + " is acknowledged");
        }
        const auto next = now() + beatSeconds;
        while (now() < next && !m_stopping) {
            sleepUntil(now() + 0.02);
        }
    }
}

double Server::drain()
{
    m_draining = true;
    const auto end = now() + 4 * beatSeconds;
    while (m_drainAcknowledged == 0 && now() < end) {
        sleepUntil(now() + 0.005);
    }
    return m_drainAcknowledged;
}

std::vector<Run> Server::runs() const
{
    const std::scoped_lock lock(m_mutex);
    return m_runs;
}

} // namespace review
