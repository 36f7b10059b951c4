#include "app/operator_request_handler.h"

#include "adapters/codec_control.h"
#include "config.h"

#include <algorithm>
#include <ranges>

namespace pw {
namespace {

    constexpr Duration maxLeaseLifetime = config::validityLease + config::leaseMargin;

    std::string asString(const Bytes& bytes)
    {
        return { reinterpret_cast<const char*>(bytes.data()), bytes.size() };
    }

    Duration timeoutOf(const decltype(OperatorForwardRequest::operation)& what)
    {
        const auto* change = std::get_if<Change>(&what);
        if (change && std::holds_alternative<SetEvacuation>(change->operation)) {
            return config::evacuationOrderTimeout;
        }
        return std::holds_alternative<AwaitInForce>(what) ? config::inForceTimeout : config::changeTimeout;
    }

} // namespace

OperatorRequestHandler::OperatorRequestHandler(PeerNetwork& network, Timers& timers, Raft& raft, DeploymentParser parser)
    : m_network(network)
    , m_timers(timers)
    , m_raft(raft)
    , m_parser(std::move(parser))
    , m_lastToken(raft.identity())
    , m_unknownLeasesExpireAt(timers.now() + maxLeaseLifetime)
{
}

void OperatorRequestHandler::submit(decltype(OperatorForwardRequest::operation) what, Done done)
{
    if (const auto* change = std::get_if<Change>(&what)) {
        if (const auto reason = validationError(*change)) {
            done({ ChangeOutcome::Invalid, 0, 0, *reason });
            return;
        }
    }
    const auto now = m_timers.now();
    const auto timeout = timeoutOf(what);
    m_requests[++m_lastToken] = { std::move(what), std::move(done), now + timeout, now, false };
    processPending();
}

std::optional<std::string> OperatorRequestHandler::validationError(const Change& change) const
{
    const auto* submitted = std::get_if<SubmitConfiguration>(&change.operation);
    std::string reason;
    if (submitted && !m_parser(submitted->text, reason)) {
        return reason;
    }
    return std::nullopt;
}

void OperatorRequestHandler::processPending()
{
    updateLeadership();
    completeWaits();
    const auto now = m_timers.now();
    std::vector<std::uint64_t> expired;
    for (auto& [token, request] : m_requests) {
        if (now >= request.deadline || (m_raft.halted() && !request.sent)) {
            expired.push_back(token);
        }
    }
    for (const auto token : expired) {
        complete(token, resultWithoutAnswer(m_requests.at(token)));
    }
    const auto tokens = m_requests | std::views::keys;
    for (const auto token : std::vector(tokens.begin(), tokens.end())) {
        const auto it = m_requests.find(token);
        if (it != m_requests.end() && now >= it->second.nextAttempt) {
            it->second.nextAttempt = now + config::changeRetryInterval;
            attempt(token, it->second);
        }
    }
}

/// \returns the result of a request that no leader has answered.
ChangeResult OperatorRequestHandler::resultWithoutAnswer(const Request& request) const
{
    if (request.sent) {
        return { ChangeOutcome::Unknown, 0, 0, "the leader has not answered: ask again with the same change id" };
    }
    if (m_raft.halted()) {
        return { ChangeOutcome::Unavailable, 0, 0, "this control member has stopped: " + m_raft.haltReason() };
    }
    const auto silence = std::chrono::duration_cast<std::chrono::milliseconds>(m_timers.now() - m_raft.lastLeaderContact());
    return { ChangeOutcome::Unavailable, 0, 0, "no leader could be reached: this " + std::string(raftRoleName(m_raft.role())) + " in term " + std::to_string(m_raft.term()) + " heard one " + std::to_string(silence.count()) + " ms ago" };
}

void OperatorRequestHandler::attempt(std::uint64_t token, Request& request)
{
    if (m_raft.leading(m_timers.now())) {
        request.sent = true;
        execute({ {}, token }, decltype(OperatorForwardRequest::operation)(request.what));
        return;
    }
    const auto leader = m_raft.leaderAddress();
    if (!leader.empty() && leader != m_network.self()) {
        request.sent = m_network.send(leader, MessageKind::OperatorForwardRequest, encodeOperatorAsk({ token, request.what })) || request.sent;
    }
}

void OperatorRequestHandler::handle(const PeerAddress& from, const OperatorForwardRequest& ask)
{
    if (m_raft.leading(m_timers.now())) {
        execute({ from, ask.token }, ask.operation);
    }
}

void OperatorRequestHandler::handle(const OperatorForwardReply& reply)
{
    complete(reply.token, reply.result);
}

bool OperatorRequestHandler::isInProgress(const Origin& origin) const
{
    const auto origins = m_proposals | std::views::values | std::views::transform(&Proposal::origin);
    return m_inForceWaits.contains(origin) || std::ranges::find(origins, origin) != origins.end();
}

void OperatorRequestHandler::execute(const Origin& origin, const decltype(OperatorForwardRequest::operation)& what)
{
    if (!isInProgress(origin)) {
        std::visit([&](const auto& it) { execute(origin, it); }, what);
    }
}

void OperatorRequestHandler::execute(const Origin& origin, const Change& change)
{
    const auto next = m_raft.lastIndex() + 1;
    m_proposals[next] = { origin, m_raft.term() };
    if (!m_raft.propose(asString(encodeChange(change)), m_timers.now())) {
        m_proposals.erase(next);
    }
}

void OperatorRequestHandler::execute(const Origin& origin, const RemoveMember& removal)
{
    if (removal.name == m_raft.name()) {
        reply(origin, { ChangeOutcome::Invalid, 0, 0, "this member is the leader: stop it first, so that another one is elected" });
        return;
    }
    const auto known = std::ranges::find(m_raft.members(), removal.name, &ControlMemberRecord::name) != m_raft.members().end();
    if (!known) {
        reply(origin, { ChangeOutcome::Accepted, 0, 0, {} });
        return;
    }
    const auto next = m_raft.lastIndex() + 1;
    m_proposals[next] = { origin, m_raft.term() };
    if (!m_raft.removeMember(removal.name, m_timers.now())) {
        m_proposals.erase(next);
    }
}

void OperatorRequestHandler::execute(const Origin& origin, const AwaitInForce& wait)
{
    m_inForceWaits[origin] = { wait.index, std::nullopt, m_timers.now() + config::inForceTimeout };
    completeWaits();
}

void OperatorRequestHandler::onEntryApplied(const LogEntry& entry, const ChangeResult& result)
{
    const auto it = m_proposals.find(entry.index);
    if (it == m_proposals.end()) {
        return;
    }
    const auto proposal = it->second;
    m_proposals.erase(it);
    if (proposal.term == entry.term) {
        reply(proposal.origin, result);
    }
}

void OperatorRequestHandler::reply(const Origin& origin, const ChangeResult& result)
{
    if (origin.address.empty()) {
        complete(origin.token, result);
    } else {
        m_network.send(origin.address, MessageKind::OperatorForwardReply, encodeOperatorReply({ origin.token, result }));
    }
}

void OperatorRequestHandler::complete(std::uint64_t token, const ChangeResult& result)
{
    auto node = m_requests.extract(token);
    if (!node.empty()) {
        node.mapped().done(result);
    }
}

void OperatorRequestHandler::updateLeadership()
{
    const auto now = m_timers.now();
    if (m_raft.term() != m_term || m_raft.role() != RaftRole::Leader) {
        m_term = m_raft.term();
        m_proposals.clear(); // The members that forwarded them retry at the next leader, with the same change ids.
        m_inForceWaits.clear();
        m_members.clear();
        m_unknownLeasesExpireAt = now + maxLeaseLifetime;
        return;
    }
    const auto isStillMember = [this](const auto& it) {
        return std::ranges::find(m_raft.members(), it.id, &ControlMemberRecord::id) != m_raft.members().end();
    };
    if (!std::ranges::all_of(m_members, isStillMember)) {
        m_unknownLeasesExpireAt = now + maxLeaseLifetime;
    }
    m_members = m_raft.members();
}

bool OperatorRequestHandler::everyDaemonApplied(std::uint64_t index) const
{
    const auto now = m_timers.now();
    const auto reported = [&](const ControlMemberRecord& it) {
        const auto report = m_raft.daemonAppliedIndexOf(it.id);
        return report && report->first >= index;
    };
    return now >= m_unknownLeasesExpireAt && m_raft.leading(now) && std::ranges::all_of(m_raft.members(), reported);
}

void OperatorRequestHandler::completeWaits()
{
    const auto now = m_timers.now();
    std::vector<std::pair<Origin, ChangeResult>> completed;
    for (auto& [origin, wait] : m_inForceWaits) {
        if (!wait.appliedAt && m_raft.appliedIndex() >= wait.index) {
            wait.appliedAt = now;
        }
        const auto leasesExpired = wait.appliedAt && now >= *wait.appliedAt + maxLeaseLifetime;
        if (wait.appliedAt && (leasesExpired || everyDaemonApplied(wait.index))) {
            completed.emplace_back(origin, ChangeResult { ChangeOutcome::Accepted, 0, wait.index, {} });
        } else if (now >= wait.deadline) {
            completed.emplace_back(origin, ChangeResult { ChangeOutcome::Unknown, 0, 0, "not confirmed within the time limit" });
        }
    }
    for (const auto& [origin, result] : completed) {
        m_inForceWaits.erase(origin);
        reply(origin, result);
    }
}

} // namespace pw
