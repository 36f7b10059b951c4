#include "app/cluster_join.h"

#include "adapters/codec_control.h"

#include <algorithm>
#include <iterator>

namespace pw {

ClusterJoin::ClusterJoin(const Settings& settings, PeerNetwork& network, Timers& timers, Raft& raft)
    : m_network(network)
    , m_timers(timers)
    , m_raft(raft)
    , m_name(settings.name)
{
    std::ranges::transform(settings.controlMembers, std::back_inserter(m_others), &ControlMember::peerAddress);
    std::erase(m_others, network.self());
}

void ClusterJoin::work()
{
    const auto now = m_timers.now();
    if (!m_raft.members().empty() || now < m_askDue) {
        return;
    }
    m_askDue = now + config::joinInterval;
    const auto ask = encodeRaftMessage({ 0, m_raft.identity(), 0, m_raft.term(), JoinAsk { m_name } });
    std::ranges::for_each(m_others, [&](const PeerAddress& it) { m_network.send(it, MessageKind::Raft, ask); });
}

bool ClusterJoin::receive(const PeerAddress& from, const RaftMessage& message)
{
    if (const auto* ask = std::get_if<JoinAsk>(&message.body)) {
        answer(from, message, *ask);
        return true;
    }
    const auto* reply = std::get_if<JoinReply>(&message.body);
    if (!reply) {
        return false;
    }
    if (reply->empty) {
        m_emptyMembers[from] = m_timers.now();
    } else {
        m_emptyMembers.erase(from);
    }
    return true;
}

void ClusterJoin::answer(const PeerAddress& from, const RaftMessage& message, const JoinAsk& ask)
{
    if (m_raft.leading(m_timers.now())) {
        m_raft.addLearner(message.from, ask.name, from, m_timers.now());
    }
    const JoinReply reply { m_raft.members().empty(), m_raft.leaderAddress() };
    const RaftMessage answer { m_raft.cluster(), m_raft.identity(), message.from, m_raft.term(), reply };
    m_network.send(from, MessageKind::Raft, encodeRaftMessage(answer));
}

std::optional<std::string> ClusterJoin::whyNotFound() const
{
    if (m_raft.halted() || !m_raft.members().empty()) {
        return "this member is stopped or belongs to a cluster already";
    }
    const auto freshFrom = m_timers.now() - 3 * config::joinInterval;
    for (const auto& address : m_others) {
        const auto it = m_emptyMembers.find(address);
        if (it == m_emptyMembers.end() || it->second <= freshFrom) {
            return "control member " + address + " has not said lately that it is empty too";
        }
    }
    return std::nullopt;
}

} // namespace pw
