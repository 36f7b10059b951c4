#include "core/raft.h"

namespace pw {

void Raft::compact(std::string state)
{
    if (m_halted || m_applied == m_log.snapshot().index) {
        return;
    }
    const LogSnapshot snapshot { m_applied, m_log.termAt(m_applied), m_log.membersAt(m_applied), std::move(state) };
    if (!m_storage.saveSnapshot(snapshot, m_log.after(m_applied))) {
        halt();
        return;
    }
    m_log.restore(snapshot);
}

void Raft::sendSnapshot(const ControlMemberRecord& to, Progress& progress, TimePoint now)
{
    if (progress.snapshotSent && now < *progress.snapshotSent + m_options.snapshotResend) {
        return;
    }
    progress.snapshotSent = now;
    send(to.address, to.id, InstallSnapshotRequest { m_log.snapshot(), now.time_since_epoch() });
}

void Raft::handle(const PeerAddress& from, const RaftMessage& message, const InstallSnapshotRequest& ask, TimePoint now)
{
    AppendReply reply { false, 0, ask.sentAt };
    if (message.term < term()) {
        send(from, message.from, reply);
        return;
    }
    noteLeaderContact(message, now);
    if (m_halted) {
        return;
    }
    const auto& snapshot = ask.snapshot;
    if (snapshot.index > m_commit) {
        auto log = m_log;
        log.restore(snapshot);
        if (!m_storage.saveSnapshot(snapshot, log.after(snapshot.index))) {
            halt();
            return;
        }
        m_log = std::move(log);
        m_commit = snapshot.index;
        m_applied = snapshot.index;
        m_snapshotPending = true;
        refreshMembers();
        completeReads();
    }
    reply.accepted = true;
    reply.match = m_commit;
    send(from, message.from, reply);
}

} // namespace pw
