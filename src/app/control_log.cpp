#include "app/control_log.h"

#include "adapters/codec_control.h"
#include "app/operator_desk.h"
#include "app/session_server.h"
#include "core/raft.h"

#include <algorithm>
#include <array>
#include <ranges>
#include <utility>

namespace pw {
namespace {

    std::span<const std::byte> asBytes(const std::string& text)
    {
        return std::as_bytes(std::span(text));
    }

    std::string asString(const Bytes& bytes)
    {
        return { reinterpret_cast<const char*>(bytes.data()), bytes.size() };
    }

    constexpr std::array<std::string_view, static_cast<std::size_t>(ControlRole::Count)> roleNames {
        "empty", "learner", "follower", "candidate", "leader", "stopped"
    };

} // namespace

std::string_view controlRoleName(ControlRole role)
{
    return roleNames.at(static_cast<std::size_t>(role));
}

/// Wires the raft member to the network, the timers, the storage and the replicated state.
class ControlLog::Impl {
public:
    Impl(const Settings& settings, PeerNetwork& network, Timers& timers, std::uint64_t seed, EventLog& events,
        LogStorage& storage, DeploymentParser parser)
        : m_settings(settings)
        , m_network(network)
        , m_timers(timers)
        , m_events(events)
        , m_storage(storage)
        , m_parser(std::move(parser))
        , m_random(seed)
        , m_sessions(network, timers.now())
    {
    }

    ~Impl() { m_timers.cancel(m_tick); }

    Impl(const Impl&) = delete;
    Impl& operator=(const Impl&) = delete;

    bool start(std::string& reason);
    bool bootstrap(std::string& reason);
    void submit(decltype(OperatorAsk::what) what, OperatorDesk::Done done);
    void handOver(std::function<void()> done);
    ControlStatus status() const;

    bool leading(TimePoint now) const { return m_raft && m_raft->leading(now); }
    std::uint64_t epoch() const { return m_raft ? m_raft->term() : 0; }
    PeerAddress leader() const { return m_raft ? m_raft->leaderAddress() : PeerAddress {}; }
    const FleetState& state() const { return m_state; }
    void onChanged(std::function<void(bool)> handler) { m_changed.push_back(std::move(handler)); }

private:
    void listen();
    void tick();
    void pump();
    void applyCommitted();
    void receiveRaft(const PeerAddress& from, const RaftMessage& message);
    void answerJoin(const PeerAddress& from, const RaftMessage& message, const JoinAsk& ask);
    void askToJoin();
    void loadSnapshot();
    void applyEntry(const LogEntry& entry);
    ChangeResult applyChange(const LogEntry& entry);
    void compactIfDue();
    void sendMessages();
    void watchRole();
    void settleHandOver();
    ControlRole role() const;
    SessionServer::Completeness completeness() const;
    std::vector<PeerAddress> otherAddresses() const;

    Settings m_settings;
    PeerNetwork& m_network;
    Timers& m_timers;
    EventLog& m_events;
    LogStorage& m_storage;
    DeploymentParser m_parser;
    Random m_random;

    std::unique_ptr<Raft> m_raft; ///< Null before start() and when the storage was refused.
    std::unique_ptr<OperatorDesk> m_desk;
    SessionServer m_sessions;
    FleetState m_state;
    std::string m_refusal;

    TimerId m_tick = 0;
    TimePoint m_joinDue {};
    std::map<PeerAddress, TimePoint> m_emptyMembers; ///< When each said that it belongs to no cluster.
    ControlRole m_role = ControlRole::Empty;
    bool m_removed = false;
    bool m_leading = false;
    bool m_pumping = false;
    TimePoint m_handOverDeadline {};
    std::vector<std::function<void()>> m_handOverDone;
    std::vector<std::function<void(bool)>> m_changed;
};

bool ControlLog::Impl::start(std::string& reason)
{
    const auto stored = m_storage.open(m_random);
    if (!stored) {
        reason = m_refusal = m_storage.lastReason();
        PW_EVENT(m_events, Event::ControlStopped, { "reason", reason });
        return false;
    }
    if (stored->tornBytes > 0) {
        PW_EVENT(m_events, Event::LogTailRepaired, { "bytes", stored->tornBytes });
    }
    RaftOptions options;
    options.voters = m_settings.controlMembers.size();
    m_raft = std::make_unique<Raft>(options, m_storage, *stored, m_settings.name, m_network.self(), m_random(), m_timers.now());
    m_desk = std::make_unique<OperatorDesk>(m_network, m_timers, *m_raft, m_parser);
    loadSnapshot();
    listen();
    m_joinDue = m_timers.now();
    tick();
    return true;
}

void ControlLog::Impl::listen()
{
    m_network.onMessage(MessageKind::Raft, [this](const PeerAddress& from, std::span<const std::byte> bytes) {
        if (const auto message = decodeRaftMessage(bytes)) {
            receiveRaft(from, *message);
            pump();
        }
    });
    m_network.onMessage(MessageKind::SessionAsk, [this](const PeerAddress& from, std::span<const std::byte> bytes) {
        if (const auto ask = decodeSessionAsk(bytes)) {
            m_sessions.handle(from, *ask, m_state.image(), completeness(), m_timers.now());
            pump();
        }
    });
    m_network.onMessage(MessageKind::OperatorAsk, [this](const PeerAddress& from, std::span<const std::byte> bytes) {
        if (const auto ask = decodeOperatorAsk(bytes)) {
            m_desk->handle(from, *ask);
            pump();
        }
    });
    m_network.onMessage(MessageKind::OperatorReply, [this](const PeerAddress&, std::span<const std::byte> bytes) {
        if (const auto reply = decodeOperatorReply(bytes)) {
            m_desk->handle(*reply);
            pump();
        }
    });
}

void ControlLog::Impl::tick()
{
    m_tick = m_timers.after(config::raftTickInterval, [this] { tick(); });
    m_raft->tick(m_timers.now());
    if (m_raft->members().empty() && m_timers.now() >= m_joinDue) {
        askToJoin();
    }
    m_desk->work();
    pump();
    settleHandOver();
}

void ControlLog::Impl::pump()
{
    if (m_pumping) {
        return;
    }
    m_pumping = true;
    do {
        applyCommitted();
        const auto now = m_timers.now();
        m_sessions.push(m_state.image(), m_raft->cluster(), now);
        m_raft->setSessionsIndex(m_sessions.index(m_raft->appliedIndex(), now), now);
        m_desk->work();
        sendMessages();
    } while (!m_raft->halted() && m_raft->commitIndex() > m_raft->appliedIndex());
    watchRole();
    m_pumping = false;
}

void ControlLog::Impl::applyCommitted()
{
    loadSnapshot();
    const auto entries = m_raft->takeCommitted();
    std::ranges::for_each(entries, [this](const LogEntry& it) { applyEntry(it); });
    if (!entries.empty()) {
        compactIfDue();
    }
}

void ControlLog::Impl::receiveRaft(const PeerAddress& from, const RaftMessage& message)
{
    if (const auto* ask = std::get_if<JoinAsk>(&message.body)) {
        answerJoin(from, message, *ask);
        return;
    }
    if (const auto* reply = std::get_if<JoinReply>(&message.body)) {
        if (reply->empty) {
            m_emptyMembers[from] = m_timers.now();
        } else {
            m_emptyMembers.erase(from);
        }
        return;
    }
    m_raft->receive(from, message, m_timers.now());
}

void ControlLog::Impl::answerJoin(const PeerAddress& from, const RaftMessage& message, const JoinAsk& ask)
{
    if (leading(m_timers.now())) {
        m_raft->addLearner(message.from, ask.name, from, m_timers.now());
    }
    const JoinReply reply { m_raft->members().empty(), m_raft->leaderAddress() };
    const RaftMessage answer { m_raft->cluster(), m_raft->identity(), message.from, m_raft->term(), reply };
    m_network.send(from, MessageKind::Raft, encodeRaftMessage(answer));
}

void ControlLog::Impl::askToJoin()
{
    m_joinDue = m_timers.now() + config::joinInterval;
    const RaftMessage ask { 0, m_raft->identity(), 0, m_raft->term(), JoinAsk { m_settings.name } };
    const auto bytes = encodeRaftMessage(ask);
    for (const auto& address : otherAddresses()) {
        m_network.send(address, MessageKind::Raft, bytes);
    }
}

std::vector<PeerAddress> ControlLog::Impl::otherAddresses() const
{
    std::vector<PeerAddress> result;
    std::ranges::transform(m_settings.controlMembers, std::back_inserter(result), &ControlMember::peerAddress);
    std::erase(result, m_network.self());
    return result;
}

void ControlLog::Impl::loadSnapshot()
{
    const auto snapshot = m_raft->takeSnapshot();
    if (!snapshot) {
        return;
    }
    if (auto state = decodeFleetState(asBytes(snapshot->data))) {
        m_state = std::move(*state);
        m_sessions.reset(m_state.image());
    }
}

void ControlLog::Impl::applyEntry(const LogEntry& entry)
{
    ChangeResult result { ChangeOutcome::Accepted, m_state.image().configuration().version, entry.index, {} };
    switch (entry.kind) {
    case EntryKind::Members:
        m_sessions.record(m_state.applyMembers(entry.index, entry.members));
        PW_EVENT(m_events, Event::ControlMembersChanged, { "index", entry.index }, { "members", entry.members.size() });
        break;
    case EntryKind::Change:
        result = applyChange(entry);
        break;
    case EntryKind::Barrier:
    case EntryKind::Count:
        m_state.advance(entry.index);
        break;
    }
    m_desk->applied(entry, result);
}

ChangeResult ControlLog::Impl::applyChange(const LogEntry& entry)
{
    const auto change = decodeChange(asBytes(entry.data));
    if (!change) {
        m_state.advance(entry.index);
        return { ChangeOutcome::Invalid, 0, 0, "the change cannot be read" };
    }
    auto applied = m_state.apply(entry.index, *change);
    if (applied.delta) {
        m_sessions.record(*applied.delta);
    }
    PW_EVENT(m_events, Event::ChangeDecided, { "index", entry.index }, { "change", change->id },
        { "outcome", changeOutcomeName(applied.result.outcome) }, { "version", applied.result.version });
    return applied.result;
}

void ControlLog::Impl::compactIfDue()
{
    if (m_raft->entriesSinceSnapshot() < config::raftSnapshotEvery) {
        return;
    }
    const auto state = asString(encodeFleetState(m_state));
    PW_EVENT(m_events, Event::LogCompacted, { "index", m_state.image().index() }, { "bytes", state.size() });
    m_raft->compact(state);
}

void ControlLog::Impl::sendMessages()
{
    for (const auto& [address, message] : m_raft->takeMessages()) {
        m_network.send(address, MessageKind::Raft, encodeRaftMessage(message));
    }
}

ControlRole ControlLog::Impl::role() const
{
    if (!m_raft || m_raft->halted()) {
        return ControlRole::Stopped;
    }
    if (m_raft->members().empty()) {
        return ControlRole::Empty;
    }
    const auto& members = m_raft->members();
    const auto self = std::ranges::find(members, m_raft->identity(), &ControlMemberRecord::id);
    if (self == members.end() || !self->voter) {
        return ControlRole::Learner;
    }
    constexpr std::array<ControlRole, static_cast<std::size_t>(RaftRole::Count)> roles {
        ControlRole::Follower, ControlRole::Candidate, ControlRole::Candidate, ControlRole::Leader
    };
    return roles.at(static_cast<std::size_t>(m_raft->role()));
}

void ControlLog::Impl::watchRole()
{
    if (const auto current = role(); current != m_role) {
        m_role = current;
        PW_EVENT(m_events, Event::ControlRoleChanged, { "role", controlRoleName(current) }, { "epoch", epoch() });
        if (current == ControlRole::Stopped) {
            PW_EVENT(m_events, Event::ControlStopped, { "reason", m_raft->haltReason() });
        }
    }
    if (m_raft->removed() && !m_removed) {
        PW_EVENT(m_events, Event::ControlMemberRemoved, { "identity", m_raft->identity() });
    }
    m_removed = m_raft->removed();
    if (const auto leads = leading(m_timers.now()); leads != m_leading) {
        m_leading = leads;
        std::ranges::for_each(m_changed, [leads](const auto& handler) { handler(leads); });
    }
}

bool ControlLog::Impl::bootstrap(std::string& reason)
{
    if (!m_raft || m_raft->halted() || !m_raft->members().empty()) {
        reason = "this member is stopped or belongs to a cluster already";
        return false;
    }
    const auto now = m_timers.now();
    for (const auto& address : otherAddresses()) {
        const auto it = m_emptyMembers.find(address);
        if (it == m_emptyMembers.end() || now >= it->second + 3 * config::joinInterval) {
            reason = "control member " + address + " has not said lately that it is empty too";
            return false;
        }
    }
    const auto founded = m_raft->found(now);
    reason = founded ? "" : m_raft->haltReason();
    if (founded) {
        PW_EVENT(m_events, Event::ClusterFounded, { "cluster", m_raft->cluster() });
    }
    pump();
    return founded;
}

void ControlLog::Impl::submit(decltype(OperatorAsk::what) what, OperatorDesk::Done done)
{
    if (!m_desk) {
        done({ ChangeOutcome::Unavailable, 0, 0, m_refusal });
        return;
    }
    m_desk->submit(std::move(what), std::move(done));
    pump();
}

void ControlLog::Impl::handOver(std::function<void()> done)
{
    if (!m_raft) {
        done();
        return;
    }
    m_handOverDone.push_back(std::move(done));
    m_handOverDeadline = m_timers.now() + config::handOverTimeout;
    m_sessions.close(m_raft->cluster());
    m_raft->handOver(m_timers.now());
    pump();
}

void ControlLog::Impl::settleHandOver()
{
    if (m_handOverDone.empty() || (m_raft->role() == RaftRole::Leader && m_timers.now() < m_handOverDeadline)) {
        return;
    }
    const auto done = std::exchange(m_handOverDone, {});
    std::ranges::for_each(done, [](const auto& handler) { handler(); });
}

SessionServer::Completeness ControlLog::Impl::completeness() const
{
    const auto now = m_timers.now();
    const auto asOf = m_raft->members().empty() ? std::nullopt : m_raft->completeAsOf(now);
    return { m_raft->cluster(), asOf ? std::optional<Duration>(now - *asOf) : std::nullopt };
}

ControlStatus ControlLog::Impl::status() const
{
    ControlStatus result;
    result.role = role();
    result.reason = m_raft ? (m_raft->halted() ? m_raft->haltReason() : "") : m_refusal;
    if (!m_raft) {
        return result;
    }
    const auto now = m_timers.now();
    result.epoch = epoch();
    result.leader = leader();
    result.commitIndex = m_raft->commitIndex();
    result.appliedIndex = m_state.image().index();
    result.version = m_state.image().configuration().version;
    result.completeAge = std::chrono::duration_cast<std::chrono::milliseconds>(completeness().age.value_or(Duration::max()));
    result.members = m_raft->members();
    result.sessions = m_sessions.status(now);
    return result;
}

ControlLog::ControlLog(const Settings& settings, PeerNetwork& network, Timers& timers, std::uint64_t seed, EventLog& events,
    LogStorage& storage, DeploymentParser parser)
    : m_impl(std::make_unique<Impl>(settings, network, timers, seed, events, storage, std::move(parser)))
{
}

ControlLog::~ControlLog() = default;

bool ControlLog::start(std::string& reason)
{
    return m_impl->start(reason);
}

bool ControlLog::bootstrap(std::string& reason)
{
    return m_impl->bootstrap(reason);
}

void ControlLog::submit(Change change, Done done)
{
    m_impl->submit(std::move(change), std::move(done));
}

void ControlLog::inForce(std::uint64_t index, std::function<void(bool)> done)
{
    m_impl->submit(AwaitInForce { index }, [done = std::move(done)](const ChangeResult& result) {
        done(result.outcome == ChangeOutcome::Accepted);
    });
}

void ControlLog::removeMember(const std::string& name, Done done)
{
    m_impl->submit(RemoveMember { name }, std::move(done));
}

void ControlLog::handOver(std::function<void()> done)
{
    m_impl->handOver(std::move(done));
}

ControlStatus ControlLog::status() const
{
    return m_impl->status();
}

const FleetImage& ControlLog::image() const
{
    return m_impl->state().image();
}

std::vector<ConfigurationStep> ControlLog::history() const
{
    const auto& history = m_impl->state().history();
    return { history.begin(), history.end() };
}

bool ControlLog::leading(TimePoint now) const
{
    return m_impl->leading(now);
}

std::uint64_t ControlLog::epoch() const
{
    return m_impl->epoch();
}

PeerAddress ControlLog::leader() const
{
    return m_impl->leader();
}

void ControlLog::onChanged(std::function<void(bool leading)> handler)
{
    m_impl->onChanged(std::move(handler));
}

} // namespace pw
