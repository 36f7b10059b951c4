#include "node.h"

#include "config.h"

#include <algorithm>

namespace pw::measure {

/// One call at the daemon nearest its hop, with all its attempts.
class Hop : public std::enable_shared_from_this<Hop> {
public:
    Hop(Node& node, const Request& request, Done done)
        : m_node(node)
        , m_request(request)
        , m_done(std::move(done))
    {
        m_request.from = &m_node.entry().name;
    }

    void start()
    {
        if (!refusedByGate()) {
            attempt();
        }
    }

    void cancel()
    {
        m_ended = true;
        if (m_server) {
            auto* server = m_server;
            auto id = m_attemptId;
            events().after(world().delayBetween(m_node, *server), [server, id] { server->cancel(id); });
            m_node.m_picker.finished(server->entry().name, RunOutcome::Cancelled, Duration(0), nullptr, events().now());
            m_server = nullptr;
        }
    }

private:
    World& world() { return m_node.m_world; }
    EventQueue& events() { return m_node.m_world.events; }
    const RouteModel& route() { return world().deployment.routes[m_request.route]; }

    bool refusedByGate()
    {
        if (m_request.nested || !world().strategy.gate) {
            return false;
        }
        const auto demands = m_node.m_board.demandsOf(route().name, events().now());
        if (m_node.m_gate.admit(route().name, m_request.workspace, m_request.rank, demands, events().now())) {
            return false;
        }
        Answer answer;
        answer.refusal = { Verdict::NotRun, Reason::DownstreamOverloaded, config::throttledRetryAfter };
        end(answer);
        return true;
    }

    void attempt()
    {
        const auto& servers = world().directory[route().service];
        std::optional<std::size_t> choice;
        if (world().strategy.balanced) {
            choice = m_node.m_picker.pick(servers, { m_node.m_entry.failureDomain, "r", m_tried }, events().now());
        } else {
            choice = world().random() % servers.size();
        }
        if (!choice) {
            Answer answer;
            answer.refusal = m_lastRefusal;
            end(answer);
            return;
        }
        world().totals.calls += m_tries == 0 ? 1 : 0;
        ++m_tries;
        ++world().totals.attempts;
        m_server = world().byName.at(servers[*choice].name);
        m_tried.push_back(servers[*choice].name);
        m_sentAt = events().now();
        m_attemptId = world().nextId++;
        m_node.m_picker.started(m_server->entry().name, events().now());
        auto* server = m_server;
        auto delay = world().delayBetween(m_node, *server);
        auto self = shared_from_this();
        events().after(delay, [self, server, delay, id = m_attemptId, request = m_request] {
            server->receive(id, request, [self, delay, id](const Answer& answer) {
                self->events().after(delay, [self, id, answer] { self->answered(id, answer); });
            });
        });
    }

    void answered(std::uint64_t id, const Answer& answer)
    {
        if (m_ended || id != m_attemptId) {
            return;
        }
        auto outcome = answer.isComplete() || answer.refusal.verdict == Verdict::Ran ? RunOutcome::Ok
            : answer.refusal.verdict == Verdict::NotRun                              ? RunOutcome::Refused
                                                                                     : RunOutcome::Timeout;
        m_node.m_picker.finished(m_server->entry().name, outcome, events().now() - m_sentAt, &answer.load, events().now());
        m_server = nullptr;
        m_request.attempts = answer.attemptsUnused;
        m_node.m_board.record(route().name, answer.demands, events().now());
        if (answer.isComplete()) {
            m_node.m_retry.onSuccess();
            end(answer);
            return;
        }
        m_lastRefusal = answer.refusal;
        auto pause = retryPause(answer);
        if (!pause) {
            end(answer);
            return;
        }
        events().after(*pause, [self = shared_from_this()] {
            if (!self->m_ended) {
                self->attempt();
            }
        });
    }

    std::optional<Duration> retryPause(const Answer& answer)
    {
        auto timeLeft = m_request.deadline - events().now();
        if (world().strategy.retryEachHop) {
            auto again = route().idempotent || answer.refusal.verdict == Verdict::NotRun;
            if (!again || m_tries >= config::maxTriesPerHop || timeLeft <= Duration(0)) {
                return std::nullopt;
            }
            m_tried.clear();
            m_request.attempts = config::defaultAttemptBudget;
            return std::chrono::milliseconds(10);
        }
        FailedAttempt question { answer.refusal, route().idempotent, m_request.attempts, timeLeft, m_tries };
        if (answer.refusal.verdict == Verdict::Ran) {
            return std::nullopt;
        }
        return m_node.m_retry.next(question, world().random);
    }

    void end(const Answer& answer)
    {
        m_ended = true;
        m_done(answer);
    }

    Node& m_node;
    Request m_request;
    Done m_done;
    std::vector<std::string> m_tried;
    Refusal m_lastRefusal { Verdict::NotRun, Reason::NoBackendServer, {} };
    Node* m_server = nullptr;
    std::uint64_t m_attemptId = 0;
    TimePoint m_sentAt {};
    std::uint32_t m_tries = 0;
    bool m_ended = false;
};

std::function<void()> Node::send(const Request& request, Done done)
{
    auto hop = std::make_shared<Hop>(*this, request, std::move(done));
    hop->start();
    return [hop] { hop->cancel(); };
}

} // namespace pw::measure
