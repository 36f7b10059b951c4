#include "app/control_log_impl.h"

#include "adapters/codec_control.h"

#include <algorithm>
#include <array>
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

} // namespace

bool ControlLog::Impl::start(std::string& reason)
{
    if (openStorage()) {
        return true;
    }
    reason = m_storageError;
    if (!m_storage.mayRecover()) {
        return false;
    }
    retryStart();
    return true;
}

/// Opens the storage again after a while, until it succeeds.
void ControlLog::Impl::retryStart()
{
    m_tick = m_timers.after(config::storageRetryInterval, [this] {
        if (!openStorage()) {
            retryStart();
        }
    });
}

/// Opens the storage and starts the Raft member with its contents. \returns false if the storage cannot be opened now.
bool ControlLog::Impl::openStorage()
{
    const auto stored = m_storage.open(m_random);
    if (!stored) {
        if (std::exchange(m_storageError, m_storage.lastReason()) != m_storage.lastReason()) {
            PW_EVENT(m_events, Event::ControlStopped, { "reason", m_storageError });
        }
        return false;
    }
    m_storageError.clear();
    if (stored->tornBytes > 0) {
        PW_EVENT(m_events, Event::LogTailRepaired, { "bytes", stored->tornBytes });
    }
    RaftOptions options;
    const auto seeded = m_settings.controlMembers.empty();
    options.voters = seeded ? 2 * m_settings.toleratedLosses + 1 : m_settings.controlMembers.size();
    options.minSyncedCopies = m_settings.toleratedLosses + 1;
    options.waitsForVoters = seeded;
    options.failureDomain = m_settings.failureDomain;
    m_raft = std::make_unique<Raft>(options, m_storage, *stored, m_settings.name, m_network.self(), m_random(), m_timers.now());
    m_join = std::make_unique<ClusterJoin>(m_settings, m_network, m_timers, *m_raft);
    m_operatorRequests = std::make_unique<OperatorRequestHandler>(m_network, m_timers, *m_raft, m_parser);
    loadSnapshot();
    listen();
    tick();
    return true;
}

/// Resumes a halted Raft member once its storage can be read and written again.
void ControlLog::Impl::reopenStorage()
{
    const auto now = m_timers.now();
    if (!m_raft->mayResume() || now < m_nextReopen) {
        return;
    }
    m_nextReopen = now + config::storageRetryInterval;
    const auto stored = m_storage.open(m_random);
    if (!stored) {
        if (!m_storage.mayRecover()) {
            PW_EVENT(m_events, Event::ControlStopped, { "reason", m_storage.lastReason() });
        }
        return;
    }
    if (!m_raft->resume(*stored, now)) {
        PW_EVENT(m_events, Event::ControlStopped, { "reason", m_raft->haltReason() });
        return;
    }
    PW_EVENT(m_events, Event::ControlResumed, { "epoch", epoch() }, { "lastIndex", m_raft->lastIndex() }, { "applied", m_raft->appliedIndex() });
}

void ControlLog::Impl::listen()
{
    m_network.onMessage(MessageKind::Raft, [this](const PeerAddress& from, std::span<const std::byte> bytes) {
        if (const auto message = decodeRaftMessage(bytes)) {
            receiveRaft(from, *message);
            processPending();
        }
    });
    m_network.onMessage(MessageKind::SessionRequest, [this](const PeerAddress& from, std::span<const std::byte> bytes) {
        if (const auto ask = decodeSessionAsk(bytes)) {
            m_sessions.handle(from, *ask, m_state.image(), completeness(), m_timers.now());
            processPending();
        }
    });
    m_network.onMessage(MessageKind::OperatorForwardRequest, [this](const PeerAddress& from, std::span<const std::byte> bytes) {
        if (const auto ask = decodeOperatorAsk(bytes)) {
            m_operatorRequests->handle(from, *ask);
            processPending();
        }
    });
    m_network.onMessage(MessageKind::DaemonChange, [this](const PeerAddress& from, std::span<const std::byte> bytes) {
        if (auto ask = decodeOperatorAsk(bytes)) {
            submitDaemonChange(from, std::move(*ask));
        }
    });
    m_network.onMessage(MessageKind::OperatorForwardReply, [this](const PeerAddress&, std::span<const std::byte> bytes) {
        if (const auto reply = decodeOperatorReply(bytes)) {
            m_operatorRequests->handle(*reply);
            processPending();
        }
    });
}

void ControlLog::Impl::tick()
{
    m_tick = m_timers.after(config::raftTickInterval, [this] { tick(); });
    reopenStorage();
    m_raft->tick(m_timers.now());
    if (m_join->poll()) {
        PW_EVENT(m_events, Event::ClusterFounded, { "cluster", m_raft->cluster() });
    }
    m_operatorRequests->processPending();
    processPending();
    completeLeadershipTransfer();
}

void ControlLog::Impl::processPending()
{
    if (m_processing) {
        return;
    }
    m_processing = true;
    do {
        applyCommitted();
        const auto now = m_timers.now();
        m_sessions.push(m_state.image(), m_raft->cluster(), now);
        m_raft->setDaemonAppliedIndex(m_sessions.minAppliedIndex(m_raft->appliedIndex(), now), now);
        m_operatorRequests->processPending();
        sendMessages();
    } while (!m_raft->halted() && m_raft->commitIndex() > m_raft->appliedIndex());
    handleRoleChange();
    completeReads();
    m_processing = false;
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
    if (!m_join->receive(from, message)) {
        m_raft->receive(from, message, m_timers.now());
    }
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
    m_operatorRequests->onEntryApplied(entry, result);
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
    if (m_raft->entriesSinceSnapshot() < config::raftSnapshotEntries) {
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

void ControlLog::Impl::handleRoleChange()
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
    const auto obstacle = m_raft ? m_join->bootstrapObstacle() : m_storageError;
    if (obstacle) {
        reason = *obstacle;
        return false;
    }
    const auto bootstrapped = m_raft->bootstrap(m_timers.now());
    reason = bootstrapped ? "" : m_raft->haltReason();
    if (bootstrapped) {
        PW_EVENT(m_events, Event::ClusterFounded, { "cluster", m_raft->cluster() });
    }
    processPending();
    return bootstrapped;
}

void ControlLog::Impl::submit(decltype(OperatorForwardRequest::operation) what, OperatorRequestHandler::Done done)
{
    if (!m_operatorRequests) {
        done({ ChangeOutcome::Unavailable, 0, 0, m_storageError });
        return;
    }
    if (auto* change = std::get_if<Change>(&what)) {
        if (auto* order = std::get_if<SetEvacuation>(&change->operation)) {
            done = prepareOrder(change->id, *order, std::move(done));
        }
    }
    m_operatorRequests->submit(std::move(what), std::move(done));
    processPending();
}

/// Submits a daemon's change of the suspects or departures; it may make no other change.
void ControlLog::Impl::submitDaemonChange(const PeerAddress& from, OperatorForwardRequest request)
{
    const auto* change = std::get_if<Change>(&request.operation);
    const auto isAllowed = change
        && (std::holds_alternative<ReportCrash>(change->operation) || std::holds_alternative<ClearSuspects>(change->operation)
            || std::holds_alternative<ClaimTrial>(change->operation) || std::holds_alternative<RecordDeparture>(change->operation));
    if (!isAllowed) {
        return;
    }
    const std::pair origin(from, request.token);
    if (!m_daemonChanges.insert(origin).second) {
        return; // Sent again while it is in progress.
    }
    submit(std::move(request.operation), [this, from, origin, token = request.token](const ChangeResult& result) {
        m_daemonChanges.erase(origin);
        m_network.send(from, MessageKind::DaemonChangeReply, encodeOperatorReply({ token, result }));
    });
}

/// Bases \p order on the revision known here now, unless the operator named one. Whatever is accepted after this call has a
/// higher revision, so the order cannot take effect after a later one, however long it is under way.
/// \returns \p done with a log event.
OperatorRequestHandler::Done ControlLog::Impl::prepareOrder(
    const std::string& changeId, SetEvacuation& order, OperatorRequestHandler::Done done)
{
    if (!order.baseRevision) {
        const auto acknowledged = m_acknowledgedOrders.find(order.failureDomain);
        order.baseRevision = std::max(m_state.image().evacuationRevision(order.failureDomain),
            acknowledged == m_acknowledgedOrders.end() ? 0 : acknowledged->second);
    }
    return [this, changeId, order, receivedAt = m_timers.now(), done = std::move(done)](const ChangeResult& result) {
        const auto took = std::chrono::duration_cast<std::chrono::milliseconds>(m_timers.now() - receivedAt);
        PW_EVENT(m_events, Event::EvacuationOrdered, { "failureDomain", order.failureDomain }, { "evacuated", order.evacuated },
            { "change", changeId }, { "base", *order.baseRevision }, { "outcome", changeOutcomeName(result.outcome) },
            { "index", result.index }, { "took_ms", took.count() }, { "reason", result.reason });
        if (result.outcome == ChangeOutcome::Accepted) {
            auto& revision = m_acknowledgedOrders[order.failureDomain];
            revision = std::max(revision, result.index);
        }
        done(result);
    };
}

void ControlLog::Impl::readLatest(std::function<void(const ConfigurationRecord*)> done)
{
    if (!m_raft) {
        done(nullptr);
        return;
    }
    m_reads.push_back({ m_timers.now(), std::move(done) });
    m_raft->startReadConfirmation(m_timers.now());
    processPending();
}

void ControlLog::Impl::completeReads()
{
    const auto now = m_timers.now();
    const auto confirmed = m_raft->members().empty() ? std::nullopt : m_raft->confirmedAsOf(now);
    auto waiting = std::exchange(m_reads, {});
    for (auto& read : waiting) {
        if (confirmed && *confirmed >= read.startedAt) {
            read.done(&m_state.image().configuration());
        } else if (m_raft->halted() || now >= read.startedAt + config::readTimeout) {
            read.done(nullptr);
        } else {
            m_reads.push_back(std::move(read));
        }
    }
}

void ControlLog::Impl::transferLeadership(std::function<void()> done)
{
    if (!m_raft) {
        done();
        return;
    }
    m_transferHandlers.push_back(std::move(done));
    m_transferDeadline = m_timers.now() + config::leadershipTransferTimeout;
    m_sessions.stopServing(m_raft->cluster());
    m_raft->transferLeadership(m_timers.now());
    processPending();
}

void ControlLog::Impl::completeLeadershipTransfer()
{
    if (m_transferHandlers.empty() || (m_raft->role() == RaftRole::Leader && m_timers.now() < m_transferDeadline)) {
        return;
    }
    const auto done = std::exchange(m_transferHandlers, {});
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
    result.reason = m_raft ? (m_raft->halted() ? m_raft->haltReason() : "") : m_storageError;
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

} // namespace pw
