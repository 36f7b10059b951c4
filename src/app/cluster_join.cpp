#include "app/cluster_join.h"

#include "adapters/codec_control.h"

#include <algorithm>
#include <iterator>

namespace pw {

ClusterJoin::ClusterJoin(const Settings& settings, PeerNetwork& network, Timers& timers, Raft& raft)
    : m_network(network)
    , m_timers(timers)
    , m_raft(raft)
    , m_settings(settings)
    , m_usesSeeds(settings.controlMembers.empty())
    , m_bootstraps(m_usesSeeds && settings.firstStart && !settings.controlSeeds.empty() && settings.controlSeeds.front() == network.self())
{
}

/// \returns the other members that the settings name.
std::vector<PeerAddress> ClusterJoin::configured() const
{
    auto result = controlPeerAddresses(m_settings);
    std::erase(result, m_network.self());
    return result;
}

std::vector<PeerAddress> ClusterJoin::others() const
{
    auto result = configured();
    for (const auto& it : m_raft.members()) {
        if (it.address != m_network.self() && std::ranges::find(result, it.address) == result.end()) {
            result.push_back(it.address);
        }
    }
    return result;
}

bool ClusterJoin::poll()
{
    const auto now = m_timers.now();
    const auto needsToRejoin = m_usesSeeds && (!m_raft.isMember() || m_raft.removed());
    if ((!m_raft.members().empty() && !needsToRejoin) || now < m_nextRequest) {
        return false;
    }
    m_nextRequest = now + config::joinInterval;
    if (m_bootstraps && !bootstrapObstacle()) {
        return m_raft.bootstrap(now);
    }
    std::ranges::for_each(others(), [this](const PeerAddress& it) { sendRequest(it); });
    return false;
}

void ClusterJoin::sendRequest(const PeerAddress& address)
{
    m_network.send(address, MessageKind::Raft, encodeRaftMessage({ 0, m_raft.identity(), 0, m_raft.term(), JoinRequest { m_settings.name, m_settings.failureDomain } }));
}

bool ClusterJoin::receive(const PeerAddress& from, const RaftMessage& message)
{
    if (const auto* ask = std::get_if<JoinRequest>(&message.body)) {
        handleRequest(from, message, *ask);
        return true;
    }
    const auto* reply = std::get_if<JoinReply>(&message.body);
    if (!reply) {
        return false;
    }
    if (reply->empty) {
        m_emptyMembers[from] = m_timers.now();
        return true;
    }
    m_emptyMembers.erase(from);
    // Only the leader adds members, and it may not be among the configured ones.
    const auto isElsewhere = !reply->leader.empty() && reply->leader != from && reply->leader != m_network.self();
    if (isElsewhere && m_usesSeeds && !m_raft.isMember()) {
        sendRequest(reply->leader);
    }
    return true;
}

void ClusterJoin::handleRequest(const PeerAddress& from, const RaftMessage& message, const JoinRequest& ask)
{
    if (m_raft.leading(m_timers.now())) {
        m_raft.addLearner({ message.from, ask.name, from, false, ask.failureDomain }, m_timers.now());
    }
    const JoinReply reply { m_raft.members().empty(), m_raft.leaderAddress() };
    const RaftMessage response { m_raft.cluster(), m_raft.identity(), message.from, m_raft.term(), reply };
    m_network.send(from, MessageKind::Raft, encodeRaftMessage(response));
}

std::optional<std::string> ClusterJoin::bootstrapObstacle() const
{
    if (m_raft.halted() || !m_raft.members().empty()) {
        return "this member has stopped or already belongs to a cluster";
    }
    const auto freshSince = m_timers.now() - 3 * config::joinInterval;
    for (const auto& address : configured()) {
        const auto it = m_emptyMembers.find(address);
        if (it == m_emptyMembers.end() || it->second <= freshSince) {
            return "control member " + address + " has not confirmed recently that it is empty";
        }
    }
    return std::nullopt;
}

} // namespace pw
