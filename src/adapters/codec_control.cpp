#include "adapters/codec_control.h"

#include "adapters/codec_control_parts.h"

namespace pw {

using namespace detail; // NOLINT(google-build-using-namespace): this file is the codec itself

namespace {

    /// Writes one alternative of an operator's request.
    struct OperatorWriter {
        proto::OperatorAsk::Builder builder;

        void operator()(const Change& change) { writeChange(builder.initChange(), change); }
        void operator()(const RemoveMember& order) { builder.setRemoveMember(toText(order.name)); }
        void operator()(const AwaitInForce& wait) { builder.setAwaitInForce(wait.index); }
    };

    decltype(OperatorForwardRequest::operation) readOperatorAsk(proto::OperatorAsk::Reader message)
    {
        switch (message.which()) {
        case proto::OperatorAsk::CHANGE:
            return readChange(message.getChange());
        case proto::OperatorAsk::REMOVE_MEMBER:
            return RemoveMember { fromText(message.getRemoveMember()) };
        case proto::OperatorAsk::AWAIT_IN_FORCE:
            return AwaitInForce { message.getAwaitInForce() };
        }
        require(false, "unknown kind of operator request");
        return {};
    }

    void writeKept(proto::KeptChange::Builder builder, const StoredChangeResult& kept)
    {
        builder.setId(toText(kept.id));
        builder.setChecksum(kept.checksum);
        writeResult(builder.initResult(), kept.result);
    }

    StoredChangeResult readKept(proto::KeptChange::Reader reader)
    {
        return { fromText(reader.getId()), reader.getChecksum(), readResult(reader.getResult()) };
    }

    void writeStep(proto::ConfigurationStep::Builder builder, const ConfigurationRevision& step)
    {
        builder.setVersion(step.version);
        builder.setIndex(step.index);
        builder.setChangeId(toText(step.changeId));
    }

    ConfigurationRevision readStep(proto::ConfigurationStep::Reader reader)
    {
        return { reader.getVersion(), reader.getIndex(), fromText(reader.getChangeId()) };
    }

    SessionReply readSessionReply(proto::SessionReply::Reader message)
    {
        SessionReply reply;
        reply.cluster = message.getCluster();
        reply.serving = message.getServing();
        reply.sentAt = Duration(message.getSentAtNanos());
        if (message.getAgeNanos() >= 0) {
            reply.age = Duration(message.getAgeNanos());
        }
        reply.baseIndex = message.getBaseIndex();
        reply.index = message.getIndex();
        if (message.hasImage()) {
            reply.image = readImage(message.getImage());
        }
        reply.deltas = readList(message.getDeltas(), readDelta);
        if (message.hasConfiguration()) {
            const auto it = message.getConfiguration();
            reply.configuration = ConfigurationDelta { it.getIndex(), it.getVersion(), it.getBaseVersion(), fromData(it.getDifference()) };
        }
        return reply;
    }

} // namespace

Bytes encodeSessionAsk(const SessionRequest& ask)
{
    capnp::MallocMessageBuilder builder;
    auto message = builder.initRoot<proto::SessionAsk>();
    message.setCluster(ask.cluster);
    message.setName(toText(ask.name));
    message.setAppliedIndex(ask.appliedIndex);
    message.setVersion(ask.version);
    message.setSentAtNanos(ask.sentAt.count());
    return toBytes(builder);
}

Bytes encodeSessionReply(const SessionReply& reply)
{
    capnp::MallocMessageBuilder builder;
    auto message = builder.initRoot<proto::SessionReply>();
    message.setCluster(reply.cluster);
    message.setServing(reply.serving);
    message.setSentAtNanos(reply.sentAt.count());
    message.setAgeNanos(reply.age ? reply.age->count() : -1);
    message.setBaseIndex(reply.baseIndex);
    message.setIndex(reply.index);
    if (reply.image) {
        writeImage(message.initImage(), *reply.image);
    }
    if (!reply.deltas.empty()) {
        writeList(message.initDeltas(static_cast<unsigned>(reply.deltas.size())), reply.deltas, writeDelta);
    }
    if (reply.configuration) {
        auto difference = message.initConfiguration();
        difference.setIndex(reply.configuration->index);
        difference.setVersion(reply.configuration->version);
        difference.setBaseVersion(reply.configuration->baseVersion);
        difference.setDifference(toData(reply.configuration->encodedDelta));
    }
    return toBytes(builder);
}

Bytes encodeOperatorAsk(const OperatorForwardRequest& ask)
{
    capnp::MallocMessageBuilder builder;
    auto message = builder.initRoot<proto::OperatorAsk>();
    message.setToken(ask.token);
    std::visit(OperatorWriter { message }, ask.operation);
    return toBytes(builder);
}

Bytes encodeOperatorReply(const OperatorForwardReply& reply)
{
    capnp::MallocMessageBuilder builder;
    auto message = builder.initRoot<proto::OperatorReply>();
    message.setToken(reply.token);
    writeResult(message.initResult(), reply.result);
    return toBytes(builder);
}

Bytes encodeChange(const Change& change)
{
    capnp::MallocMessageBuilder builder;
    writeChange(builder.initRoot<proto::Change>(), change);
    return toBytes(builder);
}

Bytes encodeFleetState(const FleetState& state)
{
    capnp::MallocMessageBuilder builder;
    auto message = builder.initRoot<proto::FleetState>();
    writeImage(message.initImage(), state.image());
    writeList(message.initKept(static_cast<unsigned>(state.storedAnswers().size())), state.storedAnswers(), writeKept);
    writeList(message.initHistory(static_cast<unsigned>(state.history().size())), state.history(), writeStep);
    return toBytes(builder);
}

Bytes encodeEntries(std::span<const LogEntry> entries)
{
    capnp::MallocMessageBuilder builder;
    auto message = builder.initRoot<proto::LogBatch>();
    writeList(message.initEntries(static_cast<unsigned>(entries.size())), entries, writeEntry);
    return toBytes(builder);
}

Bytes encodeSnapshot(const LogSnapshot& snapshot)
{
    capnp::MallocMessageBuilder builder;
    writeSnapshot(builder.initRoot<proto::LogSnapshot>(), snapshot);
    return toBytes(builder);
}

Bytes encodeVoteRecord(const VoteRecord& vote)
{
    capnp::MallocMessageBuilder builder;
    auto message = builder.initRoot<proto::VoteRecord>();
    message.setIdentity(vote.identity);
    message.setCluster(vote.cluster);
    message.setTerm(vote.term);
    message.setVotedFor(vote.votedFor);
    return toBytes(builder);
}

std::optional<SessionRequest> decodeSessionAsk(std::span<const std::byte> bytes)
{
    return fromBytes<proto::SessionAsk>(bytes, [](proto::SessionAsk::Reader message) {
        return SessionRequest { message.getCluster(), fromText(message.getName()), message.getAppliedIndex(),
            message.getVersion(), Duration(message.getSentAtNanos()) };
    });
}

std::optional<SessionReply> decodeSessionReply(std::span<const std::byte> bytes)
{
    return fromBytes<proto::SessionReply>(bytes, readSessionReply);
}

std::optional<OperatorForwardRequest> decodeOperatorAsk(std::span<const std::byte> bytes)
{
    return fromBytes<proto::OperatorAsk>(bytes, [](proto::OperatorAsk::Reader message) {
        return OperatorForwardRequest { message.getToken(), readOperatorAsk(message) };
    });
}

std::optional<OperatorForwardReply> decodeOperatorReply(std::span<const std::byte> bytes)
{
    return fromBytes<proto::OperatorReply>(bytes, [](proto::OperatorReply::Reader message) {
        return OperatorForwardReply { message.getToken(), readResult(message.getResult()) };
    });
}

std::optional<Change> decodeChange(std::span<const std::byte> bytes)
{
    return fromBytes<proto::Change>(bytes, readChange);
}

std::optional<FleetState> decodeFleetState(std::span<const std::byte> bytes)
{
    return fromBytes<proto::FleetState>(bytes, [](proto::FleetState::Reader message) {
        return FleetState(readImage(message.getImage()), readList(message.getKept(), readKept),
            readList(message.getHistory(), readStep));
    });
}

std::optional<std::vector<LogEntry>> decodeEntries(std::span<const std::byte> bytes)
{
    return fromBytes<proto::LogBatch>(bytes, [](proto::LogBatch::Reader message) {
        return readList(message.getEntries(), readEntry);
    });
}

std::optional<LogSnapshot> decodeSnapshot(std::span<const std::byte> bytes)
{
    return fromBytes<proto::LogSnapshot>(bytes, readSnapshot);
}

std::optional<VoteRecord> decodeVoteRecord(std::span<const std::byte> bytes)
{
    return fromBytes<proto::VoteRecord>(bytes, [](proto::VoteRecord::Reader message) {
        return VoteRecord { message.getIdentity(), message.getCluster(), message.getTerm(), message.getVotedFor() };
    });
}

} // namespace pw
