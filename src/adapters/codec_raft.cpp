#include "adapters/codec_control.h"
#include "adapters/codec_control_parts.h"

namespace pw {
namespace {

    using namespace detail; // NOLINT(google-build-using-namespace): this file is the codec itself

    /// Writes one alternative of a message.
    struct BodyWriter {
        proto::RaftMessage::Builder message;

        void operator()(const VoteRequest& body)
        {
            auto builder = message.initVoteAsk();
            builder.setRound(body.round);
            builder.setProposedTerm(body.proposedTerm);
            builder.setLastIndex(body.lastIndex);
            builder.setLastTerm(body.lastTerm);
            builder.setPreVote(body.preVote);
            builder.setHandOver(body.leadershipTransfer);
        }

        void operator()(const VoteReply& body)
        {
            auto builder = message.initVoteReply();
            builder.setRound(body.round);
            builder.setPreVote(body.preVote);
            builder.setGranted(body.granted);
            builder.setNotMember(body.notMember);
        }

        void operator()(const AppendRequest& body)
        {
            auto builder = message.initAppendAsk();
            builder.setPrevIndex(body.prevIndex);
            builder.setPrevTerm(body.prevTerm);
            builder.setCommit(body.commit);
            builder.setSentAtNanos(body.sentAt.count());
            writeList(builder.initEntries(static_cast<unsigned>(body.entries.size())), body.entries, writeEntry);
        }

        void operator()(const AppendReply& body)
        {
            auto builder = message.initAppendReply();
            builder.setAccepted(body.accepted);
            builder.setMatch(body.match);
            builder.setSentAtNanos(body.sentAt.count());
        }

        void operator()(const InstallSnapshotRequest& body)
        {
            auto builder = message.initSnapshotAsk();
            writeSnapshot(builder.initSnapshot(), body.snapshot);
            builder.setSentAtNanos(body.sentAt.count());
        }

        void operator()(const TimeoutNow&) { message.setHandOver(); }

        void operator()(const ReadIndexRequest& body)
        {
            auto builder = message.initReadAsk();
            builder.setSentAtNanos(body.sentAt.count());
            builder.setSessionsIndex(body.daemonAppliedIndex);
        }

        void operator()(const ReadIndexReply& body)
        {
            auto builder = message.initReadReply();
            builder.setSentAtNanos(body.sentAt.count());
            builder.setCommit(body.commit);
        }

        void operator()(const JoinRequest& body)
        {
            auto ask = message.initJoinAsk();
            ask.setName(toText(body.name));
            ask.setFailureDomain(toText(body.failureDomain));
        }

        void operator()(const JoinReply& body)
        {
            auto builder = message.initJoinReply();
            builder.setEmpty(body.empty);
            builder.setLeader(toText(body.leader));
        }
    };

    AppendRequest readAppendAsk(proto::AppendAsk::Reader reader)
    {
        AppendRequest ask { reader.getPrevIndex(), reader.getPrevTerm(), reader.getCommit(), Duration(reader.getSentAtNanos()),
            readList(reader.getEntries(), readEntry) };
        auto expected = ask.prevIndex;
        for (const auto& it : ask.entries) {
            require(it.index == ++expected, "log entries with a gap");
        }
        return ask;
    }

    decltype(RaftMessage::body) readBody(proto::RaftMessage::Reader message)
    {
        switch (message.which()) {
        case proto::RaftMessage::VOTE_ASK: {
            const auto body = message.getVoteAsk();
            return VoteRequest { body.getRound(), body.getProposedTerm(), body.getLastIndex(), body.getLastTerm(),
                body.getPreVote(), body.getHandOver() };
        }
        case proto::RaftMessage::VOTE_REPLY: {
            const auto body = message.getVoteReply();
            return VoteReply { body.getRound(), body.getPreVote(), body.getGranted(), body.getNotMember() };
        }
        case proto::RaftMessage::APPEND_ASK:
            return readAppendAsk(message.getAppendAsk());
        case proto::RaftMessage::APPEND_REPLY: {
            const auto body = message.getAppendReply();
            return AppendReply { body.getAccepted(), body.getMatch(), Duration(body.getSentAtNanos()) };
        }
        case proto::RaftMessage::SNAPSHOT_ASK: {
            const auto body = message.getSnapshotAsk();
            return InstallSnapshotRequest { readSnapshot(body.getSnapshot()), Duration(body.getSentAtNanos()) };
        }
        case proto::RaftMessage::HAND_OVER:
            return TimeoutNow {};
        case proto::RaftMessage::READ_ASK: {
            const auto body = message.getReadAsk();
            return ReadIndexRequest { Duration(body.getSentAtNanos()), body.getSessionsIndex() };
        }
        case proto::RaftMessage::READ_REPLY: {
            const auto body = message.getReadReply();
            return ReadIndexReply { Duration(body.getSentAtNanos()), body.getCommit() };
        }
        case proto::RaftMessage::JOIN_ASK:
            return JoinRequest { fromText(message.getJoinAsk().getName()), fromText(message.getJoinAsk().getFailureDomain()) };
        case proto::RaftMessage::JOIN_REPLY: {
            const auto body = message.getJoinReply();
            return JoinReply { body.getEmpty(), fromText(body.getLeader()) };
        }
        }
        require(false, "unknown kind of raft message");
        return {};
    }

} // namespace

Bytes encodeRaftMessage(const RaftMessage& message)
{
    capnp::MallocMessageBuilder builder;
    auto root = builder.initRoot<proto::RaftMessage>();
    root.setCluster(message.cluster);
    root.setFrom(message.from);
    root.setTo(message.to);
    root.setTerm(message.term);
    std::visit(BodyWriter { root }, message.body);
    return toBytes(builder);
}

std::optional<RaftMessage> decodeRaftMessage(std::span<const std::byte> bytes)
{
    return fromBytes<proto::RaftMessage>(bytes, [](proto::RaftMessage::Reader message) {
        return RaftMessage { message.getCluster(), message.getFrom(), message.getTo(), message.getTerm(), readBody(message) };
    });
}

} // namespace pw
