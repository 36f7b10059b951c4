#include "adapters/codec_control_parts.h"

#include "adapters/compressed_text.h"
#include "config.h"

#include <algorithm>
#include <ranges>
#include <utility>

namespace pw::detail {
namespace {

    /// Minimum size of compressed texts, in bytes; shorter ones hardly shrink.
    constexpr std::size_t leastCompressedBytes = 256;

    void writeNumbers(capnp::List<std::uint64_t>::Builder list, const std::vector<std::uint64_t>& numbers)
    {
        for (unsigned n = 0; n < numbers.size(); ++n) {
            list.set(n, numbers[n]);
        }
    }

    std::vector<std::uint64_t> readNumbers(capnp::List<std::uint64_t>::Reader list)
    {
        std::vector<std::uint64_t> numbers;
        numbers.reserve(list.size());
        for (const auto it : list) {
            numbers.push_back(it);
        }
        return numbers;
    }

    void writeSuspect(proto::Suspect::Builder builder, const SuspectRecord& record)
    {
        builder.setDigest(record.digest);
        builder.setService(toText(record.service));
        builder.setCrashes(record.crashes);
        builder.setConcurrency(record.concurrency);
        builder.setRevision(record.revision);
        builder.setTrials(record.trials);
        writeNumbers(builder.initServers(static_cast<unsigned>(record.servers.size())), record.servers);
    }

    SuspectRecord readSuspect(proto::Suspect::Reader reader)
    {
        return { reader.getDigest(), fromText(reader.getService()), reader.getCrashes(), reader.getConcurrency(),
            readNumbers(reader.getServers()), reader.getRevision(), reader.getTrials() };
    }

    ReportCrash readCrashReport(proto::CrashReport::Reader reader)
    {
        return { fromText(reader.getService()), reader.getServer(), reader.getConcurrency(), readNumbers(reader.getRunning()),
            readNumbers(reader.getIsolated()) };
    }

    SuspectRevision readSuspectRevision(proto::SuspectRevision::Reader reader)
    {
        return { reader.getDigest(), reader.getRevision() };
    }

    /// Writes one alternative of a delta.
    struct DeltaWriter {
        proto::FleetDelta::Builder builder;

        void operator()(const ConfigurationRecord& record) { writeConfiguration(builder.initConfiguration(), record); }
        void operator()(const KeyRecord& record) { writeKey(builder.initKey(), record); }
        void operator()(const std::vector<ControlMemberRecord>& members)
        {
            writeList(builder.initMembers(static_cast<unsigned>(members.size())), members, writeMember);
        }
        void operator()(const EvacuationRecord& record) { writeEvacuation(builder.initEvacuation(), record); }
        void operator()(const std::vector<SuspectRecord>& records)
        {
            writeList(builder.initSuspects(static_cast<unsigned>(records.size())), records, writeSuspect);
        }
        void operator()(const DepartureRecord& record) { builder.setDeparture(record.start); }
    };

    /// Writes one alternative of a change.
    struct ChangeWriter {
        proto::Change::Builder builder;

        void operator()(const SubmitConfiguration& change)
        {
            auto message = builder.initSubmit();
            writeConfiguration(message, { change.version, change.text });
            message.setBaseVersion(change.baseVersion);
        }
        void operator()(const IssueKey& change)
        {
            writeKey(builder.initIssue(), { change.keyId, change.workspace, change.label, change.digest, false });
        }
        void operator()(const WithdrawKey& change) { builder.setWithdraw(toText(change.keyId)); }
        void operator()(const SetEvacuation& change)
        {
            auto message = builder.initSetEvacuation();
            message.setFailureDomain(toText(change.failureDomain));
            message.setEvacuated(change.evacuated);
            message.setHasBaseRevision(change.baseRevision.has_value());
            message.setBaseRevision(change.baseRevision.value_or(0));
        }
        void operator()(const ReportCrash& change)
        {
            auto message = builder.initReportCrash();
            message.setService(toText(change.service));
            message.setServer(change.server);
            message.setConcurrency(change.concurrency);
            writeNumbers(message.initRunning(static_cast<unsigned>(change.running.size())), change.running);
            writeNumbers(message.initIsolated(static_cast<unsigned>(change.isolated.size())), change.isolated);
        }
        void operator()(const ClaimTrial& change)
        {
            auto message = builder.initClaimTrial();
            message.setDigest(change.digest);
            message.setRevision(change.revision);
            message.setTrials(change.trials);
        }
        void operator()(const ClearSuspects& change)
        {
            const auto write = [](proto::SuspectRevision::Builder message, const SuspectRevision& it) {
                message.setDigest(it.digest);
                message.setRevision(it.revision);
            };
            writeList(builder.initClearSuspects(static_cast<unsigned>(change.suspects.size())), change.suspects, write);
        }
        void operator()(const RecordDeparture& change) { builder.setRecordDeparture(change.start); }
    };

} // namespace

void writeMember(proto::ControlMember::Builder builder, const ControlMemberRecord& member)
{
    builder.setId(member.id);
    builder.setName(toText(member.name));
    builder.setAddress(toText(member.address));
    builder.setVoter(member.voter);
    builder.setFailureDomain(toText(member.failureDomain));
}

ControlMemberRecord readMember(proto::ControlMember::Reader reader)
{
    return { reader.getId(), fromText(reader.getName()), fromText(reader.getAddress()), reader.getVoter(),
        fromText(reader.getFailureDomain()) };
}

void writeEntry(proto::LogEntry::Builder builder, const LogEntry& entry)
{
    builder.setIndex(entry.index);
    builder.setTerm(entry.term);
    builder.setKind(static_cast<std::uint8_t>(entry.kind));
    builder.setData(toData(entry.data));
    writeList(builder.initMembers(static_cast<unsigned>(entry.members.size())), entry.members, writeMember);
}

LogEntry readEntry(proto::LogEntry::Reader reader)
{
    const auto kind = toEnum<EntryKind>(reader.getKind());
    require(kind.has_value(), "unknown kind of log entry");
    return { reader.getIndex(), reader.getTerm(), *kind, fromData(reader.getData()), readList(reader.getMembers(), readMember) };
}

void writeSnapshot(proto::LogSnapshot::Builder builder, const LogSnapshot& snapshot)
{
    builder.setIndex(snapshot.index);
    builder.setTerm(snapshot.term);
    writeList(builder.initMembers(static_cast<unsigned>(snapshot.members.size())), snapshot.members, writeMember);
    builder.setData(toData(snapshot.data));
}

LogSnapshot readSnapshot(proto::LogSnapshot::Reader reader)
{
    return { reader.getIndex(), reader.getTerm(), readList(reader.getMembers(), readMember), fromData(reader.getData()) };
}

void writeKey(proto::Key::Builder builder, const KeyRecord& key)
{
    builder.setKeyId(toText(key.keyId));
    builder.setWorkspace(toText(key.workspace));
    builder.setLabel(toText(key.label));
    builder.setDigest({ reinterpret_cast<const kj::byte*>(key.digest.data()), key.digest.size() });
    builder.setWithdrawn(key.withdrawn);
}

KeyRecord readKey(proto::Key::Reader reader)
{
    KeyRecord key { fromText(reader.getKeyId()), fromText(reader.getWorkspace()), fromText(reader.getLabel()), {},
        reader.getWithdrawn() };
    const auto digest = reader.getDigest();
    require(digest.size() == key.digest.size(), "digest of another size");
    std::memcpy(key.digest.data(), digest.begin(), digest.size());
    return key;
}

void writeConfiguration(proto::Configuration::Builder builder, const ConfigurationRecord& record)
{
    builder.setVersion(record.version);
    if (record.text.size() < leastCompressedBytes) {
        builder.setText(toText(record.text));
    } else {
        builder.setCompressedText(toData(compressText(record.text)));
    }
}

ConfigurationRecord readConfiguration(proto::Configuration::Reader reader)
{
    if (!reader.hasCompressedText()) {
        return { reader.getVersion(), fromText(reader.getText()) };
    }
    auto text = decompressText(fromData(reader.getCompressedText()), {}, config::maxFrameBytes);
    require(text.has_value(), "configuration text is corrupt");
    return { reader.getVersion(), std::move(*text) };
}

void writeEvacuation(proto::Evacuation::Builder builder, const EvacuationRecord& record)
{
    builder.setFailureDomain(toText(record.failureDomain));
    builder.setEvacuated(record.evacuated);
    builder.setRevision(record.revision);
}

EvacuationRecord readEvacuation(proto::Evacuation::Reader reader)
{
    return { fromText(reader.getFailureDomain()), reader.getEvacuated(), reader.getRevision() };
}

void writeDelta(proto::FleetDelta::Builder builder, const FleetDelta& delta)
{
    builder.setIndex(delta.index);
    std::visit(DeltaWriter { builder }, delta.change);
}

FleetDelta readDelta(proto::FleetDelta::Reader reader)
{
    switch (reader.which()) {
    case proto::FleetDelta::CONFIGURATION:
        return { reader.getIndex(), readConfiguration(reader.getConfiguration()) };
    case proto::FleetDelta::KEY:
        return { reader.getIndex(), readKey(reader.getKey()) };
    case proto::FleetDelta::MEMBERS:
        return { reader.getIndex(), readList(reader.getMembers(), readMember) };
    case proto::FleetDelta::EVACUATION:
        return { reader.getIndex(), readEvacuation(reader.getEvacuation()) };
    case proto::FleetDelta::SUSPECTS:
        return { reader.getIndex(), readList(reader.getSuspects(), readSuspect) };
    case proto::FleetDelta::DEPARTURE:
        return { reader.getIndex(), DepartureRecord { reader.getDeparture() } };
    }
    require(false, "unknown kind of delta");
    return {};
}

void writeImage(proto::FleetImage::Builder builder, const FleetImage& image)
{
    builder.setIndex(image.index());
    writeConfiguration(builder.initConfiguration(), image.configuration());
    writeList(builder.initKeys(static_cast<unsigned>(image.keys().size())), image.keys() | std::views::values, writeKey);
    writeList(builder.initMembers(static_cast<unsigned>(image.members().size())), image.members(), writeMember);
    if (!image.evacuations().empty()) {
        writeList(builder.initEvacuations(static_cast<unsigned>(image.evacuations().size())), image.evacuations() | std::views::values,
            writeEvacuation);
    }
    if (!image.suspects().empty()) {
        writeList(builder.initSuspects(static_cast<unsigned>(image.suspects().size())), image.suspects() | std::views::values, writeSuspect);
    }
    if (!image.departures().empty()) {
        writeNumbers(builder.initDepartures(static_cast<unsigned>(image.departures().size())), image.departures());
    }
}

FleetImage readImage(proto::FleetImage::Reader reader)
{
    return { reader.getIndex(), readConfiguration(reader.getConfiguration()), readList(reader.getKeys(), readKey),
        readList(reader.getMembers(), readMember), readList(reader.getEvacuations(), readEvacuation),
        readList(reader.getSuspects(), readSuspect), readNumbers(reader.getDepartures()) };
}

void writeResult(proto::ChangeResult::Builder builder, const ChangeResult& result)
{
    builder.setOutcome(static_cast<std::uint8_t>(result.outcome));
    builder.setVersion(result.version);
    builder.setIndex(result.index);
    builder.setReason(toText(result.reason));
}

ChangeResult readResult(proto::ChangeResult::Reader reader)
{
    const auto outcome = toEnum<ChangeOutcome>(reader.getOutcome());
    require(outcome.has_value(), "unknown outcome of a change");
    return { *outcome, reader.getVersion(), reader.getIndex(), fromText(reader.getReason()) };
}

void writeChange(proto::Change::Builder builder, const Change& change)
{
    builder.setId(toText(change.id));
    std::visit(ChangeWriter { builder }, change.operation);
}

Change readChange(proto::Change::Reader reader)
{
    const auto id = fromText(reader.getId());
    switch (reader.which()) {
    case proto::Change::SUBMIT: {
        auto record = readConfiguration(reader.getSubmit());
        return { id, SubmitConfiguration { reader.getSubmit().getBaseVersion(), std::move(record.text), record.version } };
    }
    case proto::Change::ISSUE: {
        const auto key = readKey(reader.getIssue());
        return { id, IssueKey { key.keyId, key.workspace, key.label, key.digest } };
    }
    case proto::Change::WITHDRAW:
        return { id, WithdrawKey { fromText(reader.getWithdraw()) } };
    case proto::Change::SET_EVACUATION: {
        const auto order = reader.getSetEvacuation();
        const auto base = order.getHasBaseRevision() ? std::optional(order.getBaseRevision()) : std::nullopt;
        return { id, SetEvacuation { fromText(order.getFailureDomain()), order.getEvacuated(), base } };
    }
    case proto::Change::REPORT_CRASH:
        return { id, readCrashReport(reader.getReportCrash()) };
    case proto::Change::CLAIM_TRIAL: {
        const auto claim = reader.getClaimTrial();
        return { id, ClaimTrial { claim.getDigest(), claim.getRevision(), claim.getTrials() } };
    }
    case proto::Change::CLEAR_SUSPECTS:
        return { id, ClearSuspects { readList(reader.getClearSuspects(), readSuspectRevision) } };
    case proto::Change::RECORD_DEPARTURE:
        return { id, RecordDeparture { reader.getRecordDeparture() } };
    }
    require(false, "unknown kind of change");
    return {};
}

} // namespace pw::detail
