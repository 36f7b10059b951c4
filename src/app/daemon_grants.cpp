#include "app/daemon_grants.h"

#include "adapters/codec_grants.h"
#include "config.h"
#include "core/grant_holder.h"
#include "core/member_selector.h"

#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <ranges>
#include <utility>

namespace pw {
namespace {

    /// Requests that are due this soon after another are sent together with it.
    constexpr std::chrono::milliseconds batchWindow { 200 };

    constexpr GrantTimes grantTimes {
        config::grantLifetime - config::grantExpiryMargin,
        config::grantHorizon,
        config::grantDemandWindow,
        config::grantRequestSpacing,
        config::grantPrefetchSpacing,
        config::grantRequestRetry,
        config::grantReportInterval,
    };

} // namespace

class DaemonGrants::Impl {
public:
    using Done = std::function<void(std::optional<Refusal>)>;

    Impl(const Settings& settings, PeerNetwork& network, Timers& timers, std::uint64_t seed, EventLog& events, FleetView& fleet)
        : m_network(network)
        , m_timers(timers)
        , m_events(events)
        , m_fleet(fleet)
        , m_incarnation(seed)
        , m_sequence(seed / 2)
        , m_name(settings.name)
        , m_owner(rendezvousOrder(controlPeerAddresses(settings), settings.name))
    {
        m_network.onMessage(MessageKind::GrantReply, [this](const PeerAddress& from, std::span<const std::byte> message) { handleReply(from, message); });
        m_fleet.onChanged([this, alive = std::weak_ptr(m_alive)] {
            if (!alive.expired()) {
                configure();
            }
        });
        configure();
    }

    Impl(const Impl&) = delete;
    Impl& operator=(const Impl&) = delete;

    ~Impl()
    {
        m_network.onMessage(MessageKind::GrantReply, {});
        m_timers.cancel(m_timer);
    }

    void take(const std::string& workspace, TimePoint deadline, Done done)
    {
        const auto limits = m_workspaces.find(workspace);
        if (limits == m_workspaces.end()) {
            done(Refusal { Verdict::NotRun, Reason::RateExceeded, {} });
            return;
        }
        if (!limits->second.limited) {
            done(std::nullopt);
            return;
        }
        const auto now = m_timers.now();
        const auto [it, added] = m_tokens.try_emplace(workspace);
        auto& tokens = it->second;
        if (added) {
            tokens.holder.configure(limits->second.rate, limits->second.burst);
        }
        tokens.holder.addDemand(now);
        if (tokens.waiters.empty() && tokens.holder.takeToken(now)) {
            scheduleRequest(tokens, now);
            done(std::nullopt);
            return;
        }
        if (tokens.waiters.size() >= config::maxRateWaiters || deadline <= now) {
            refuse(workspace, tokens, done);
            return;
        }
        // Waiting may use half of the time left; the other half is for running the request.
        const auto latestEnd = now + std::min<Duration>(config::maxRateWaitWithoutOwner, (deadline - now) / 2);
        tokens.waiters.push_back({ std::min(deadline, now + config::maxRateWait), latestEnd, std::move(done) });
        scheduleAt(tokens.waiters.back().end);
        scheduleRequest(tokens, now);
    }

    void setMembers(std::vector<PeerAddress> members) { m_owner.update(rendezvousOrder(std::move(members), m_name)); }

    void returnTokens()
    {
        const auto now = m_timers.now();
        GrantRequestBatch batch { m_incarnation, {} };
        for (auto& [workspace, tokens] : m_tokens) {
            batch.requests.push_back(tokens.holder.makeReturnRequest(++m_sequence, now));
            batch.requests.back().workspace = workspace;
        }
        m_closed = true;
        if (!batch.requests.empty()) {
            m_network.send(m_owner.current(), MessageKind::GrantAsk, encodeGrantAsk(batch));
        }
    }

private:
    struct Waiter {
        TimePoint end; ///< When the request is refused.
        TimePoint latestEnd; ///< Latest value of end, to which it is extended while no owner of the rates replies.
        Done done;
    };

    /// Tokens of one workspace and the requests that wait for a token.
    struct WorkspaceTokens {
        GrantHolder holder { grantTimes };
        std::deque<Waiter> waiters;

        std::uint32_t waiting() const { return static_cast<std::uint32_t>(waiters.size()); }
    };

    void configure()
    {
        m_workspaces.clear();
        for (const auto& it : m_fleet.deployment().workspaces) {
            m_workspaces[it.name] = it;
        }
        for (auto& [workspace, tokens] : m_tokens) {
            const auto limits = m_workspaces.find(workspace);
            if (limits != m_workspaces.end()) {
                tokens.holder.configure(limits->second.rate, limits->second.burst);
            }
        }
    }

    void scheduleRequest(const WorkspaceTokens& tokens, TimePoint now)
    {
        if (const auto due = tokens.holder.requestDue(now, tokens.waiting())) {
            scheduleAt(*due);
        }
    }

    void scheduleAt(TimePoint due)
    {
        if (m_timer && m_timerDue <= due) {
            return;
        }
        m_timers.cancel(m_timer);
        m_timerDue = due;
        m_timer = m_timers.after(std::max(due - m_timers.now(), Duration::zero()), [this] { onTimer(); });
    }

    void onTimer()
    {
        m_timer = 0;
        const auto now = m_timers.now();
        refuseExpired(now);
        if (!m_closed) {
            skipUnresponsiveOwner(now);
            sendDueRequests(now);
        }
        std::erase_if(m_tokens, [now](const auto& entry) { return entry.second.waiters.empty() && entry.second.holder.idle(now); });
        for (const auto& [workspace, tokens] : m_tokens) {
            scheduleNext(tokens, now);
        }
    }

    void scheduleNext(const WorkspaceTokens& tokens, TimePoint now)
    {
        if (!m_closed) {
            scheduleRequest(tokens, now);
        }
        const auto earliest = std::ranges::min_element(tokens.waiters, {}, &Waiter::end);
        if (earliest != tokens.waiters.end()) {
            scheduleAt(earliest->end);
        }
    }

    void skipUnresponsiveOwner(TimePoint now)
    {
        const bool unresponsive = std::ranges::any_of(m_tokens, [now](const auto& entry) { return entry.second.holder.overdue(now); });
        if (unresponsive) {
            PW_EVENT(m_events, Event::RateOwnerSilent, { "member", m_owner.current() });
            m_owner.next();
        }
    }

    void sendDueRequests(TimePoint now)
    {
        const auto isDue = [now](const WorkspaceTokens& tokens, Duration window) {
            const auto due = tokens.holder.requestDue(now, tokens.waiting());
            return due && *due <= now + window;
        };
        const bool any = std::ranges::any_of(m_tokens, [&](const auto& entry) { return isDue(entry.second, {}); });
        if (any) {
            sendRequests([&](const WorkspaceTokens& tokens) { return isDue(tokens, {}) || (!tokens.holder.unanswered() && isDue(tokens, batchWindow)); });
        }
    }

    template <typename Predicate>
    void sendRequests(Predicate&& predicate)
    {
        const auto now = m_timers.now();
        GrantRequestBatch batch { m_incarnation, {} };
        for (auto& [workspace, tokens] : m_tokens) {
            if (predicate(tokens)) {
                batch.requests.push_back(tokens.holder.makeRequest(++m_sequence, tokens.waiting(), now));
                batch.requests.back().workspace = workspace;
            }
        }
        if (!batch.requests.empty()) {
            m_network.send(m_owner.current(), MessageKind::GrantAsk, encodeGrantAsk(batch));
        }
    }

    void handleReply(const PeerAddress& from, std::span<const std::byte> message)
    {
        const auto batch = decodeGrantReply(message);
        if (!batch) {
            PW_EVENT(m_events, Event::FrameRefused, { "from", from }, { "kind", "grant-reply" });
            return;
        }
        if (!batch->owner) {
            followLeader(from, batch->leader);
            return;
        }
        const auto now = m_timers.now();
        if (now - m_ownerLastContact >= config::maxRateWait) {
            m_ownerRecovered = now;
        }
        m_ownerLastContact = now;
        for (const auto& reply : batch->replies) {
            const auto it = m_tokens.find(reply.workspace);
            if (it != m_tokens.end()) {
                it->second.holder.applyReply(reply, now);
                admitWaiters(it->first, now);
            }
        }
    }

    /// Repeats unanswered requests to the owner that \p from named. If it named itself or none, the retry goes to the next member.
    void followLeader(const PeerAddress& from, const PeerAddress& leader)
    {
        if (m_closed || from != m_owner.current() || leader == from || !m_owner.select(leader)) {
            return;
        }
        sendRequests([](const WorkspaceTokens& tokens) { return tokens.holder.unanswered(); });
    }

    /// Admits waiting requests as far as tokens are held.
    void admitWaiters(const std::string& workspace, TimePoint now)
    {
        std::vector<Done> admitted;
        auto& tokens = m_tokens.at(workspace);
        while (!tokens.waiters.empty() && tokens.holder.takeToken(now)) {
            admitted.push_back(std::move(tokens.waiters.front().done));
            tokens.waiters.pop_front();
        }
        scheduleRequest(tokens, now);
        std::ranges::for_each(admitted, [](const Done& done) { done(std::nullopt); });
    }

    /// A missing reply while a new owner is being elected does not mean that the rate is exceeded. Extends the waits until the
    /// new owner replies, and for one grant lifetime more, in which it grants to the waiting requests.
    void extendWaits(TimePoint now)
    {
        if (now - m_ownerLastContact < config::maxRateWait && now - m_ownerRecovered >= config::grantLifetime) {
            return;
        }
        for (auto& [workspace, tokens] : m_tokens) {
            for (auto& waiter : tokens.waiters) {
                const auto longer = std::min(waiter.latestEnd, now + config::grantRequestRetry);
                waiter.end = waiter.end <= now ? std::max(waiter.end, longer) : waiter.end;
            }
        }
    }

    void refuseExpired(TimePoint now)
    {
        extendWaits(now);
        std::vector<std::pair<std::string, Done>> refused;
        for (auto& [workspace, tokens] : m_tokens) {
            for (auto& waiter : tokens.waiters) {
                if (waiter.end <= now) {
                    refused.emplace_back(workspace, std::move(waiter.done));
                }
            }
            std::erase_if(tokens.waiters, [now](const Waiter& waiter) { return waiter.end <= now; });
        }
        for (const auto& [workspace, done] : refused) {
            refuse(workspace, m_tokens.at(workspace), done);
        }
    }

    void refuse(const std::string& workspace, const WorkspaceTokens& tokens, const Done& done)
    {
        const auto now = m_timers.now();
        const auto& limits = m_workspaces[workspace];
        const auto oneToken = limits.rate > 0 ? std::chrono::milliseconds(static_cast<std::int64_t>(1000 / limits.rate) + 1) : config::ownerUnreachableRetryAfter;
        const auto expected = std::max(tokens.holder.expectedWait(), oneToken);
        const auto retryAfter = tokens.holder.overdue(now) ? std::max(expected, config::ownerUnreachableRetryAfter) : expected;
        PW_EVENT(m_events, Event::RateRefused, { "workspace", workspace }, { "held", tokens.holder.held(now) }, { "waiting", tokens.waiters.size() }, { "retry_ms", retryAfter.count() });
        done(Refusal { Verdict::NotRun, Reason::RateExceeded, retryAfter });
    }

    PeerNetwork& m_network;
    Timers& m_timers;
    EventLog& m_events;
    FleetView& m_fleet;
    std::uint64_t m_incarnation;
    /// Starts at a random number, so that a late reply to an earlier process of this daemon matches no request of this one.
    std::uint64_t m_sequence;
    TimePoint m_ownerLastContact {}; ///< Last contact: time of the last reply of an owner of the rates.
    TimePoint m_ownerRecovered {}; ///< Time of the first reply after a period without replies.
    std::string m_name; ///< Name of this daemon.
    MemberSelector m_owner; ///< Member that is assumed to own the rates.
    std::map<std::string, Workspace> m_workspaces;
    std::map<std::string, WorkspaceTokens> m_tokens; ///< Workspaces that are in use here.
    TimerId m_timer = 0;
    TimePoint m_timerDue;
    bool m_closed = false; ///< Tokens were returned; no further requests are sent.
    std::shared_ptr<int> m_alive = std::make_shared<int>();
};

DaemonGrants::DaemonGrants(const Settings& settings, PeerNetwork& network, Timers& timers, std::uint64_t seed, EventLog& events, FleetView& fleet)
    : m_impl(std::make_unique<Impl>(settings, network, timers, seed, events, fleet))
{
}

DaemonGrants::~DaemonGrants() = default;

void DaemonGrants::takeToken(const std::string& workspace, TimePoint deadline, std::function<void(std::optional<Refusal>)> done)
{
    m_impl->take(workspace, deadline, std::move(done));
}

void DaemonGrants::setMembers(std::vector<PeerAddress> members)
{
    m_impl->setMembers(std::move(members));
}

void DaemonGrants::returnTokens()
{
    m_impl->returnTokens();
}

} // namespace pw
