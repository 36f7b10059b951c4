#include "adapters/codec_view.h"

#include "adapters/codec_packed.h"
#include "view.capnp.h"

#include <algorithm>
#include <cmath>

namespace pw {
namespace {

    using detail::fromText;
    using detail::toText;

    void writeEntry(proto::ServerEntry::Builder builder, const ServerEntry& entry)
    {
        builder.setName(toText(entry.name));
        builder.setService(toText(entry.service));
        builder.setDaemon(toText(entry.daemon));
        builder.setFailureDomain(toText(entry.failureDomain));
        builder.setRegion(toText(entry.region));
        builder.setSlots(entry.slots);
        builder.setConnections(entry.connections);
        builder.setIncarnation(entry.incarnation);
        builder.setSequence(entry.sequence);
        builder.setLeaving(entry.leaving);
        builder.setBackend(entry.backendIncarnation);
        builder.setWarmUpRate(entry.warmUpRate);
    }

    ServerEntry readEntry(proto::ServerEntry::Reader reader)
    {
        ServerEntry entry;
        entry.name = fromText(reader.getName());
        entry.service = fromText(reader.getService());
        entry.daemon = fromText(reader.getDaemon());
        entry.failureDomain = fromText(reader.getFailureDomain());
        entry.region = fromText(reader.getRegion());
        entry.slots = reader.getSlots();
        entry.connections = reader.getConnections();
        entry.incarnation = reader.getIncarnation();
        entry.sequence = reader.getSequence();
        entry.leaving = reader.getLeaving();
        entry.backendIncarnation = reader.getBackend();
        entry.warmUpRate = std::isfinite(reader.getWarmUpRate()) ? std::max(reader.getWarmUpRate(), 0.0) : 0;
        return entry;
    }

    void write(proto::ViewMemberMessage::Builder builder, const DaemonReport& message)
    {
        auto report = builder.initReport();
        report.setAttachment(message.attachment);
        if (message.entry) {
            writeEntry(report.initEntry(), *message.entry);
        }
        report.setIncarnation(message.incarnation);
        report.setSequence(message.sequence);
        report.setStream(message.stream);
        report.setPosition(message.position);
        report.setDigest(message.digest);
    }

    DaemonReport readReport(proto::DaemonReport::Reader reader)
    {
        DaemonReport report;
        report.attachment = reader.getAttachment();
        if (reader.hasEntry()) {
            report.entry = readEntry(reader.getEntry());
        }
        report.incarnation = reader.getIncarnation();
        report.sequence = reader.getSequence();
        report.stream = reader.getStream();
        report.position = reader.getPosition();
        report.digest = reader.getDigest();
        return report;
    }

    void write(proto::ViewMemberMessage::Builder builder, const MemberRecords& message)
    {
        auto root = builder.initRecords();
        root.setAll(message.all);
        auto list = root.initRecords(static_cast<unsigned>(message.records.size()));
        for (unsigned n = 0; n < message.records.size(); ++n) {
            const auto& record = message.records[n];
            writeEntry(list[n].initEntry(), record.entry);
            list[n].setHome(toText(record.owner));
            list[n].setAttachment(record.attachment);
            list[n].setRevision(record.revision);
            list[n].setLapsed(record.lapsed);
        }
    }

    MemberRecords readRecords(proto::MemberRecords::Reader reader)
    {
        MemberRecords message;
        message.all = reader.getAll();
        for (auto record : reader.getRecords()) {
            message.records.push_back({ readEntry(record.getEntry()), fromText(record.getHome()), record.getAttachment(), record.getRevision(), record.getLapsed() });
        }
        return message;
    }

    void write(proto::ViewMemberMessage::Builder builder, const MemberDigest& message)
    {
        builder.setDigest(message.digest);
    }

    void write(proto::ViewMemberMessage::Builder builder, const MemberSyncRequest& /*message*/)
    {
        builder.setSyncAsk();
    }

    std::optional<ViewMemberMessage> readMessage(proto::ViewMemberMessage::Reader reader)
    {
        switch (reader.which()) {
        case proto::ViewMemberMessage::REPORT:
            return readReport(reader.getReport());
        case proto::ViewMemberMessage::RECORDS:
            return readRecords(reader.getRecords());
        case proto::ViewMemberMessage::DIGEST:
            return MemberDigest { reader.getDigest() };
        case proto::ViewMemberMessage::SYNC_ASK:
            return MemberSyncRequest {};
        }
        return std::nullopt;
    }

    ViewDelta readDelta(proto::ViewDelta::Reader reader)
    {
        ViewDelta delta;
        delta.stream = reader.getStream();
        delta.from = reader.getFrom();
        delta.to = reader.getTo();
        delta.fullView = reader.getWhole();
        delta.replace = reader.getReplace();
        delta.wantEntry = reader.getWantEntry();
        for (auto change : reader.getChanges()) {
            delta.changes.push_back({ readEntry(change.getEntry()), change.getGone() });
        }
        return delta;
    }

} // namespace

Bytes encodeViewMessage(const ViewMemberMessage& message)
{
    capnp::MallocMessageBuilder builder;
    auto root = builder.initRoot<proto::ViewMemberMessage>();
    std::visit([&root](const auto& it) { write(root, it); }, message);
    return detail::toPackedBytes(builder);
}

Bytes encodeViewDelta(const ViewDelta& delta)
{
    capnp::MallocMessageBuilder builder;
    auto root = builder.initRoot<proto::ViewDelta>();
    root.setStream(delta.stream);
    root.setFrom(delta.from);
    root.setTo(delta.to);
    root.setWhole(delta.fullView);
    root.setReplace(delta.replace);
    root.setWantEntry(delta.wantEntry);
    auto list = root.initChanges(static_cast<unsigned>(delta.changes.size()));
    for (unsigned n = 0; n < delta.changes.size(); ++n) {
        writeEntry(list[n].initEntry(), delta.changes[n].entry);
        list[n].setGone(delta.changes[n].removed);
    }
    return detail::toPackedBytes(builder);
}

std::optional<ViewMemberMessage> decodeViewMessage(std::span<const std::byte> bytes)
{
    const auto message = detail::fromPackedBytes<proto::ViewMemberMessage>(bytes, readMessage);
    return message ? *message : std::nullopt;
}

std::optional<ViewDelta> decodeViewDelta(std::span<const std::byte> bytes)
{
    return detail::fromPackedBytes<proto::ViewDelta>(bytes, readDelta);
}

} // namespace pw
