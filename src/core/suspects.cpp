#include "core/suspects.h"

#include "config.h"

#include <algorithm>
#include <tuple>

namespace pw::detail {
namespace {

    SuspectRecord removed(RequestDigest digest)
    {
        return { .digest = digest, .service = {}, .servers = {} };
    }

    /// Removes records from \p suspects until at most config::maxSuspects are left, and adds their removal to \p changed.
    void enforceLimit(SuspectMap& suspects, std::vector<SuspectRecord>& changed)
    {
        const auto order = [](const SuspectMap::value_type& it) { return std::tuple(it.second.crashes, it.second.revision, it.first); };
        while (suspects.size() > config::maxSuspects) {
            const auto least = std::ranges::min_element(suspects, {}, order);
            std::erase_if(changed, [&](const SuspectRecord& it) { return it.digest == least->first; });
            changed.push_back(removed(least->first));
            suspects.erase(least);
        }
    }

} // namespace

std::vector<SuspectRecord> applyCrash(const SuspectMap& suspects, const ReportCrash& report, std::uint64_t index)
{
    std::vector<SuspectRecord> changed;
    auto updated = suspects;
    for (const auto digest : report.running) {
        auto& record = updated[digest];
        // A report may be sent again, and one crash may be reported in parts.
        if (digest == 0 || std::ranges::find(record.servers, report.server) != record.servers.end()) {
            continue;
        }
        const auto isIsolated = std::ranges::find(report.isolated, digest) != report.isolated.end();
        const auto counts = isIsolated || record.crashes < config::crashesUntilTrial;
        record.concurrency = record.crashes == 0 ? report.concurrency : std::min(record.concurrency, report.concurrency);
        record.digest = digest;
        record.service = report.service;
        if (counts) {
            record.revision = index;
            record.trials = 0;
            ++record.crashes;
        }
        record.servers.push_back(report.server);
        if (record.servers.size() > config::maxSuspectServers) {
            record.servers.erase(record.servers.begin());
        }
        changed.push_back(record);
    }
    updated.erase(0);
    enforceLimit(updated, changed);
    return changed;
}

std::vector<SuspectRecord> applyClaim(const SuspectMap& suspects, const ClaimTrial& claim)
{
    const auto it = suspects.find(claim.digest);
    if (it == suspects.end() || it->second.revision != claim.revision || it->second.trials != claim.trials) {
        return {};
    }
    auto record = it->second;
    ++record.trials;
    return { record };
}

std::vector<SuspectRecord> applyClear(const SuspectMap& suspects, const ClearSuspects& clear)
{
    std::vector<SuspectRecord> changed;
    for (const auto& it : clear.suspects) {
        const auto record = suspects.find(it.digest);
        if (record != suspects.end() && record->second.revision <= it.revision) {
            changed.push_back(removed(it.digest));
        }
    }
    return changed;
}

void applyRecords(SuspectMap& suspects, const std::vector<SuspectRecord>& records)
{
    for (const auto& it : records) {
        if (it.crashes == 0) {
            suspects.erase(it.digest);
        } else {
            suspects[it.digest] = it;
        }
    }
}

} // namespace pw::detail
