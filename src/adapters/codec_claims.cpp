#include "adapters/codec_claims.h"

#include "adapters/codec.h"
#include "adapters/http_status.h"
#include "claims.capnp.h"

#include <algorithm>
#include <map>

namespace pw {
namespace {

    using detail::fromData;
    using detail::fromText;
    using detail::toData;
    using detail::toText;

    template <typename Enum>
    Enum readEnum(std::uint8_t value)
    {
        return static_cast<Enum>(std::min<std::uint8_t>(value, static_cast<std::uint8_t>(Enum::Count) - 1));
    }

    template <typename Builder, typename Message>
    void writeHandle(Builder builder, const Message& message)
    {
        builder.setKeyHigh(message.key.high);
        builder.setKeyLow(message.key.low);
        builder.setToken(message.token);
    }

    template <typename Reader>
    ClaimKey readKey(Reader reader)
    {
        return { reader.getKeyHigh(), reader.getKeyLow() };
    }

    /// Table of addresses: each is written once, and records refer to it by index.
    void writeRecords(proto::ClaimRefillPage::Builder builder, const std::vector<ClaimRecord>& records)
    {
        std::map<std::string, std::uint32_t> holders;
        auto list = builder.initRecords(static_cast<unsigned>(records.size()));
        for (unsigned n = 0; n < records.size(); ++n) {
            const auto& record = records[n];
            const auto it = holders.try_emplace(record.holder, static_cast<std::uint32_t>(holders.size())).first;
            writeHandle(list[n], record);
            list[n].setHolder(it->second);
            list[n].setAgeMillis(static_cast<std::uint32_t>(record.age.count()));
        }
        auto names = builder.initHolders(static_cast<unsigned>(holders.size()));
        for (const auto& [name, index] : holders) {
            names.set(index, toText(name));
        }
    }

    void write(proto::ClaimMemberMessage::Builder builder, const ClaimRequest& message)
    {
        writeHandle(builder.initRequest(), message);
    }

    void write(proto::ClaimMemberMessage::Builder builder, const ClaimRelease& message)
    {
        writeHandle(builder.initRelease(), message);
    }

    void write(proto::ClaimMemberMessage::Builder builder, const ClaimRefillRequest& message)
    {
        auto ask = builder.initRefillAsk();
        ask.setIncarnation(message.incarnation);
        ask.setCursor(message.cursor);
        ask.setSettled(message.settled);
    }

    void write(proto::ClaimMemberMessage::Builder builder, const ClaimRefillPage& message)
    {
        auto page = builder.initRefillPage();
        page.setAsker(message.requesterIncarnation);
        page.setSettled(message.settled);
        page.setIncarnation(message.incarnation);
        page.setReady(message.ready);
        page.setFirstStart(message.firstStart);
        auto initialIncarnations = page.initFounders(static_cast<unsigned>(message.initialIncarnations.size()));
        for (unsigned n = 0; n < message.initialIncarnations.size(); ++n) {
            initialIncarnations.set(n, message.initialIncarnations[n]);
        }
        page.setCursor(message.cursor);
        page.setNext(message.next);
        page.setDone(message.done);
        writeRecords(page, message.records);
    }

    ClaimRefillRequest readAsk(proto::ClaimRefillAsk::Reader reader)
    {
        return { reader.getIncarnation(), reader.getCursor(), reader.getSettled() };
    }

    ClaimRefillPage readPage(proto::ClaimRefillPage::Reader reader)
    {
        ClaimRefillPage page;
        page.requesterIncarnation = reader.getAsker();
        page.settled = reader.getSettled();
        page.incarnation = reader.getIncarnation();
        page.ready = reader.getReady();
        page.firstStart = reader.getFirstStart();
        for (const auto founder : reader.getFounders()) {
            page.initialIncarnations.push_back(founder);
        }
        page.cursor = reader.getCursor();
        page.next = reader.getNext();
        page.done = reader.getDone();
        const auto holders = reader.getHolders();
        for (auto record : reader.getRecords()) {
            const auto holder = record.getHolder() < holders.size() ? fromText(holders[record.getHolder()]) : std::string();
            page.records.push_back({ readKey(record), record.getToken(), holder, std::chrono::milliseconds(record.getAgeMillis()) });
        }
        return page;
    }

    std::optional<ClaimMemberMessage> readMessage(proto::ClaimMemberMessage::Reader reader)
    {
        switch (reader.which()) {
        case proto::ClaimMemberMessage::REQUEST:
            return ClaimRequest { readKey(reader.getRequest()), reader.getRequest().getToken() };
        case proto::ClaimMemberMessage::RELEASE:
            return ClaimRelease { readKey(reader.getRelease()), reader.getRelease().getToken() };
        case proto::ClaimMemberMessage::REFILL_ASK:
            return readAsk(reader.getRefillAsk());
        case proto::ClaimMemberMessage::REFILL_PAGE:
            return readPage(reader.getRefillPage());
        }
        return std::nullopt;
    }

    ClaimVote readVote(proto::ClaimVote::Reader reader)
    {
        return { readKey(reader), reader.getToken(), readEnum<ClaimVoteKind>(reader.getKind()), fromText(reader.getHolder()), reader.getHolderToken() };
    }

    void writeAnswer(proto::ClaimFetched::Builder builder, const StoredAnswer& answer)
    {
        builder.setStatus(static_cast<std::uint16_t>(answer.status));
        auto headers = builder.initHeaders(static_cast<unsigned>(answer.headers.size()));
        for (unsigned n = 0; n < answer.headers.size(); ++n) {
            headers[n].setName(toText(answer.headers[n].first));
            headers[n].setValue(toText(answer.headers[n].second));
        }
        builder.setBody(toData(answer.body));
        builder.setVerdict(static_cast<std::uint8_t>(answer.refusal.verdict));
        builder.setReason(static_cast<std::uint8_t>(answer.refusal.reason));
        builder.setRetryAfterMillis(static_cast<std::uint32_t>(answer.refusal.retryAfter.count()));
    }

    ClaimFetchReply readFetched(proto::ClaimFetched::Reader reader)
    {
        ClaimFetchReply fetched;
        fetched.key = readKey(reader);
        fetched.token = reader.getToken();
        fetched.state = readEnum<ClaimState>(reader.getState());
        auto& answer = fetched.answer;
        answer.status = reader.getStatus();
        for (auto header : reader.getHeaders()) {
            answer.headers.emplace_back(fromText(header.getName()), fromText(header.getValue()));
        }
        answer.body = fromData(reader.getBody());
        answer.refusal.verdict = readEnum<Verdict>(reader.getVerdict());
        answer.refusal.reason = readEnum<Reason>(reader.getReason());
        answer.refusal.retryAfter = std::chrono::milliseconds(reader.getRetryAfterMillis());
        if (fetched.state == ClaimState::Answered && !isFinalStatus(answer.status)) {
            fetched.state = ClaimState::Unknown;
        }
        return fetched;
    }

} // namespace

Bytes encodeClaimMessage(const ClaimMemberMessage& message)
{
    capnp::MallocMessageBuilder builder;
    auto root = builder.initRoot<proto::ClaimMemberMessage>();
    std::visit([&root](const auto& it) { write(root, it); }, message);
    return detail::toBytes(builder);
}

Bytes encodeClaimVote(const ClaimVote& vote)
{
    capnp::MallocMessageBuilder builder;
    auto root = builder.initRoot<proto::ClaimVote>();
    writeHandle(root, vote);
    root.setKind(static_cast<std::uint8_t>(vote.kind));
    if (!vote.holder.empty()) {
        root.setHolder(toText(vote.holder));
    }
    root.setHolderToken(vote.holderToken);
    return detail::toBytes(builder);
}

Bytes encodeClaimFetch(const ClaimFetchRequest& fetch)
{
    capnp::MallocMessageBuilder builder;
    writeHandle(builder.initRoot<proto::ClaimHandle>(), fetch);
    return detail::toBytes(builder);
}

Bytes encodeClaimFetched(const ClaimFetchReply& fetched)
{
    capnp::MallocMessageBuilder builder;
    auto root = builder.initRoot<proto::ClaimFetched>();
    writeHandle(root, fetched);
    root.setState(static_cast<std::uint8_t>(fetched.state));
    writeAnswer(root, fetched.answer);
    return detail::toBytes(builder);
}

std::optional<ClaimMemberMessage> decodeClaimMessage(std::span<const std::byte> bytes)
{
    const auto message = detail::fromBytes<proto::ClaimMemberMessage>(bytes, readMessage);
    return message ? *message : std::nullopt;
}

std::optional<ClaimVote> decodeClaimVote(std::span<const std::byte> bytes)
{
    return detail::fromBytes<proto::ClaimVote>(bytes, readVote);
}

std::optional<ClaimFetchRequest> decodeClaimFetch(std::span<const std::byte> bytes)
{
    return detail::fromBytes<proto::ClaimHandle>(bytes, [](proto::ClaimHandle::Reader reader) {
        return ClaimFetchRequest { readKey(reader), reader.getToken() };
    });
}

std::optional<ClaimFetchReply> decodeClaimFetched(std::span<const std::byte> bytes)
{
    return detail::fromBytes<proto::ClaimFetched>(bytes, readFetched);
}

} // namespace pw
