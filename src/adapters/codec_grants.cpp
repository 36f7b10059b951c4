#include "adapters/codec_grants.h"

#include "adapters/codec_packed.h"
#include "grants.capnp.h"

namespace pw {
namespace {

    using detail::fromText;
    using detail::toText;

    void writeAsk(proto::GrantAsk::Builder message, const GrantRequest& ask)
    {
        message.setWorkspace(toText(ask.workspace));
        message.setSequence(ask.sequence);
        message.setGeneration(ask.generation);
        message.setGranted(ask.granted);
        message.setSpent(ask.spent);
        message.setWant(ask.want);
        message.setWaiting(ask.waiting);
    }

    GrantRequest readAsk(proto::GrantAsk::Reader message)
    {
        GrantRequest ask;
        ask.workspace = fromText(message.getWorkspace());
        ask.sequence = message.getSequence();
        ask.generation = message.getGeneration();
        ask.granted = message.getGranted();
        ask.spent = message.getSpent();
        ask.want = message.getWant();
        ask.waiting = message.getWaiting();
        return ask;
    }

    void writeReply(proto::GrantReply::Builder message, const GrantReply& reply)
    {
        message.setWorkspace(toText(reply.workspace));
        message.setSequence(reply.sequence);
        message.setGeneration(reply.generation);
        message.setGranted(reply.granted);
        message.setScarce(reply.scarce);
        message.setWaitMillis(static_cast<std::uint32_t>(reply.wait.count()));
    }

    GrantReply readReply(proto::GrantReply::Reader message)
    {
        GrantReply reply;
        reply.workspace = fromText(message.getWorkspace());
        reply.sequence = message.getSequence();
        reply.generation = message.getGeneration();
        reply.granted = message.getGranted();
        reply.scarce = message.getScarce();
        reply.wait = std::chrono::milliseconds(message.getWaitMillis());
        return reply;
    }

    GrantRequestBatch readAskBatch(proto::GrantAskBatch::Reader message)
    {
        GrantRequestBatch batch;
        batch.incarnation = message.getIncarnation();
        for (auto ask : message.getAsks()) {
            batch.requests.push_back(readAsk(ask));
        }
        return batch;
    }

    GrantReplyBatch readReplyBatch(proto::GrantReplyBatch::Reader message)
    {
        GrantReplyBatch batch;
        batch.owner = message.getOwner();
        batch.leader = fromText(message.getLeader());
        for (auto reply : message.getReplies()) {
            batch.replies.push_back(readReply(reply));
        }
        return batch;
    }

} // namespace

Bytes encodeGrantAsk(const GrantRequestBatch& batch)
{
    capnp::MallocMessageBuilder builder;
    auto message = builder.initRoot<proto::GrantAskBatch>();
    message.setIncarnation(batch.incarnation);
    auto list = message.initAsks(static_cast<unsigned>(batch.requests.size()));
    for (unsigned n = 0; n < batch.requests.size(); ++n) {
        writeAsk(list[n], batch.requests[n]);
    }
    return detail::toPackedBytes(builder);
}

Bytes encodeGrantReply(const GrantReplyBatch& batch)
{
    capnp::MallocMessageBuilder builder;
    auto message = builder.initRoot<proto::GrantReplyBatch>();
    message.setOwner(batch.owner);
    message.setLeader(toText(batch.leader));
    auto list = message.initReplies(static_cast<unsigned>(batch.replies.size()));
    for (unsigned n = 0; n < batch.replies.size(); ++n) {
        writeReply(list[n], batch.replies[n]);
    }
    return detail::toPackedBytes(builder);
}

std::optional<GrantRequestBatch> decodeGrantAsk(std::span<const std::byte> bytes)
{
    return detail::fromPackedBytes<proto::GrantAskBatch>(bytes, readAskBatch);
}

std::optional<GrantReplyBatch> decodeGrantReply(std::span<const std::byte> bytes)
{
    return detail::fromPackedBytes<proto::GrantReplyBatch>(bytes, readReplyBatch);
}

} // namespace pw
