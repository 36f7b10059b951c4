#include "core/fleet_state.h"

#include "config.h"
#include "core/deployment_check.h"

#include <algorithm>
#include <array>
#include <boost/crc.hpp>
#include <numeric>

namespace pw {
namespace {

    /// Checksum of a change's contents, to distinguish a re-sent change from another one that reuses its id.
    struct Checksum {
        boost::crc_32_type crc;

        void add(std::string_view text)
        {
            const auto size = static_cast<std::uint64_t>(text.size());
            crc.process_bytes(&size, sizeof size);
            crc.process_bytes(text.data(), text.size());
        }

        void operator()(const SubmitConfiguration& change)
        {
            add("configuration");
            add(std::to_string(change.baseVersion));
            add(std::to_string(change.version));
            add(change.text);
        }

        void operator()(const IssueKey& change)
        {
            add("issue");
            add(change.keyId);
            add(change.workspace);
            add(change.label);
            crc.process_bytes(change.digest.data(), change.digest.size());
        }

        void operator()(const WithdrawKey& change)
        {
            add("withdraw");
            add(change.keyId);
        }

        /// Leaves out the base revision: the member that receives an order fills it in, so it may differ in a re-sent order.
        void operator()(const SetEvacuation& change)
        {
            add(change.evacuated ? "evacuate" : "finish evacuation");
            add(change.failureDomain);
        }

        void operator()(const ReportCrash& change)
        {
            add("crash");
            add(change.service);
            crc.process_bytes(&change.server, sizeof change.server);
            crc.process_bytes(change.running.data(), change.running.size() * sizeof(RequestDigest));
            crc.process_bytes(change.isolated.data(), change.isolated.size() * sizeof(RequestDigest));
        }

        void operator()(const ClaimTrial& change)
        {
            add("trial");
            crc.process_bytes(&change.digest, sizeof change.digest);
            crc.process_bytes(&change.revision, sizeof change.revision);
            crc.process_bytes(&change.trials, sizeof change.trials);
        }

        void operator()(const RecordDeparture& change)
        {
            add("departure");
            crc.process_bytes(&change.start, sizeof change.start);
        }

        void operator()(const ClearSuspects& change)
        {
            add("clear suspects");
            for (const auto& it : change.suspects) {
                crc.process_bytes(&it.digest, sizeof it.digest);
                crc.process_bytes(&it.revision, sizeof it.revision);
            }
        }
    };

    std::uint32_t checksumOf(const Change& change)
    {
        Checksum checksum;
        std::visit([&checksum](const auto& what) { checksum(what); }, change.operation);
        return checksum.crc.checksum();
    }

    /// \returns whether a re-sent change is to be applied anew. A conflict of an evacuation depends on the base revision that
    /// the receiving member filled in, so a stored one would refuse the order at members with a later state too. Clearing suspects,
    /// a departure and a trial that conflicts have no effect when applied again, and must not evict the answers to operators.
    bool mayBeRepeated(const Change& change, const ChangeResult& result)
    {
        const auto isConflict = result.outcome == ChangeOutcome::Conflict;
        return std::holds_alternative<ClearSuspects>(change.operation) || std::holds_alternative<RecordDeparture>(change.operation)
            || (isConflict && (std::holds_alternative<SetEvacuation>(change.operation) || std::holds_alternative<ClaimTrial>(change.operation)));
    }

    bool isValidField(const std::string& text)
    {
        return !text.empty() && text.size() <= config::maxChangeFieldBytes;
    }

    std::size_t keyBytes(const FleetImage& image)
    {
        const auto sizeOf = [](std::size_t sum, const auto& entry) {
            const KeyRecord& key = entry.second;
            return sum + key.keyId.size() + key.workspace.size() + key.label.size() + config::keyOverheadBytes;
        };
        return std::accumulate(image.keys().begin(), image.keys().end(), std::size_t { 0 }, sizeOf);
    }

    constexpr std::array<std::string_view, static_cast<std::size_t>(ChangeOutcome::Count)> outcomeNames {
        "accepted", "conflict", "invalid", "unknown", "unavailable"
    };

} // namespace

std::string_view changeOutcomeName(ChangeOutcome outcome)
{
    return outcomeNames.at(static_cast<std::size_t>(outcome));
}

FleetState::FleetState(FleetImage image, const std::vector<StoredChangeResult>& kept,
    const std::vector<ConfigurationRevision>& history)
    : m_image(std::move(image))
    , m_history(history.begin(), history.end())
{
    for (const auto& it : kept) {
        storeAnswer(it.id, it.checksum, it.result);
    }
}

ApplyResult FleetState::apply(std::uint64_t index, const Change& change)
{
    if (!isValidField(change.id)) {
        m_image.advance(index);
        return invalid("the change id is empty or too long");
    }
    const auto checksum = checksumOf(change);
    if (const auto* first = findAnswer(change.id)) {
        m_image.advance(index);
        return first->checksum == checksum ? ApplyResult { first->result, {} }
                                           : invalid("the change id was used for another change");
    }
    auto applied = std::visit([&](const auto& what) { return execute(index, change.id, what); }, change.operation);
    m_image.advance(index);
    if (!mayBeRepeated(change, applied.result)) {
        storeAnswer(change.id, checksum, applied.result);
    }
    return applied;
}

FleetDelta FleetState::applyMembers(std::uint64_t index, const std::vector<ControlMemberRecord>& members)
{
    FleetDelta delta { index, members };
    m_image.apply(delta);
    return delta;
}

const StoredChangeResult* FleetState::findAnswer(const std::string& id) const
{
    const auto it = m_answerPositions.find(id);
    return it == m_answerPositions.end() ? nullptr : &m_storedAnswers[it->second - m_evictedAnswers];
}

void FleetState::storeAnswer(const std::string& id, std::uint32_t checksum, const ChangeResult& result)
{
    m_answerPositions[id] = m_evictedAnswers + m_storedAnswers.size();
    m_storedAnswers.push_back({ id, checksum, result });
    if (m_storedAnswers.size() > config::maxStoredAnswers) {
        m_answerPositions.erase(m_storedAnswers.front().id);
        m_storedAnswers.pop_front();
        ++m_evictedAnswers;
    }
}

ApplyResult FleetState::execute(std::uint64_t index, const std::string& changeId, const SubmitConfiguration& change)
{
    const auto current = m_image.configuration().version;
    if (change.baseVersion != current) {
        return { { ChangeOutcome::Conflict, current, 0, {} }, {} };
    }
    const auto version = change.version ? change.version : current + 1;
    if (version <= current) {
        return invalid("the version is not above the current one");
    }
    if (change.text.empty() || change.text.size() > config::maxConfigurationBytes) {
        return invalid("the configuration is empty or too large");
    }
    m_history.push_back({ version, index, changeId });
    if (m_history.size() > config::maxConfigurationHistory) {
        m_history.pop_front();
    }
    return accept({ index, ConfigurationRecord { version, change.text } });
}

ApplyResult FleetState::execute(std::uint64_t index, const std::string&, const IssueKey& change)
{
    if (!isValidField(change.keyId) || !isValidField(change.workspace) || change.label.size() > config::maxChangeFieldBytes) {
        return invalid("the key's id, workspace or label is empty or too long");
    }
    if (m_image.keys().contains(change.keyId)) {
        return invalid("the key id is in use");
    }
    const auto sameKey = [&change](const auto& entry) { return entry.second.digest == change.digest; };
    if (std::ranges::any_of(m_image.keys(), sameKey)) {
        return invalid("the key was issued already");
    }
    const auto added = change.keyId.size() + change.workspace.size() + change.label.size() + config::keyOverheadBytes;
    if (keyBytes(m_image) + added > config::maxKeyBytes) {
        return invalid("there are too many keys");
    }
    return accept({ index, KeyRecord { change.keyId, change.workspace, change.label, change.digest, false } });
}

ApplyResult FleetState::execute(std::uint64_t index, const std::string&, const WithdrawKey& change)
{
    const auto it = m_image.keys().find(change.keyId);
    if (it == m_image.keys().end()) {
        return invalid("there is no such key");
    }
    if (it->second.withdrawn) {
        return invalid("the key is withdrawn already");
    }
    auto record = it->second;
    record.withdrawn = true;
    return accept({ index, std::move(record) });
}

ApplyResult FleetState::execute(std::uint64_t index, const std::string&, const SetEvacuation& change)
{
    if (!isName(change.failureDomain)) {
        return invalid("the failure domain is not a name");
    }
    const auto current = m_image.evacuationRevision(change.failureDomain);
    const auto isChange = m_image.isEvacuated(change.failureDomain) != change.evacuated;
    if (isChange && change.baseRevision && *change.baseRevision != current) {
        return { { ChangeOutcome::Conflict, 0, 0, "another order for this failure domain was accepted; its revision is now " + std::to_string(current) }, {} };
    }
    if (current == 0 && m_image.evacuations().size() >= config::maxEvacuations) {
        return invalid("there are too many failure domains with evacuations");
    }
    // An order that changes nothing raises the revision too: otherwise an older order for the opposite state, still under way,
    // would be applied after this one was acknowledged.
    return accept({ index, EvacuationRecord { change.failureDomain, change.evacuated, index } });
}

ApplyResult FleetState::execute(std::uint64_t index, const std::string&, const ReportCrash& change)
{
    if (!isName(change.service) || change.server == 0 || change.running.size() > config::maxSuspectsPerCrash) {
        return invalid("not a crash of a backend server");
    }
    return accept({ index, detail::applyCrash(m_image.suspects(), change, index) });
}

ApplyResult FleetState::execute(std::uint64_t index, const std::string&, const ClearSuspects& change)
{
    return accept({ index, detail::applyClear(m_image.suspects(), change) });
}

ApplyResult FleetState::execute(std::uint64_t index, const std::string&, const ClaimTrial& change)
{
    auto records = detail::applyClaim(m_image.suspects(), change);
    if (records.empty()) {
        return { { ChangeOutcome::Conflict, m_image.configuration().version, 0, "another trial was claimed or another crash was reported" }, {} };
    }
    return accept({ index, std::move(records) });
}

ApplyResult FleetState::execute(std::uint64_t index, const std::string&, const RecordDeparture& change)
{
    if (change.start == 0) {
        return invalid("the start of the backend server has no identity");
    }
    return accept({ index, DepartureRecord { change.start } });
}

ApplyResult FleetState::invalid(std::string reason) const
{
    return { { ChangeOutcome::Invalid, m_image.configuration().version, 0, std::move(reason) }, {} };
}

ApplyResult FleetState::accept(FleetDelta delta)
{
    m_image.apply(delta);
    return { { ChangeOutcome::Accepted, m_image.configuration().version, delta.index, {} }, std::move(delta) };
}

} // namespace pw
