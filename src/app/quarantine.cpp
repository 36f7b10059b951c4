#include "app/quarantine.h"

#include "adapters/request_digest.h"
#include "config.h"
#include "core/member_selector.h"

#include <algorithm>
#include <utility>

namespace pw {
namespace {

    /// Time in which a crash that control knows reaches every daemon in touch.
    constexpr Duration newsTime = std::chrono::seconds(1);

    /// Time after a crash in which suspects of the service do not run.
    constexpr Duration settleTime = std::chrono::milliseconds(100);

} // namespace

Quarantine::Quarantine(const Settings& settings, SuspectRegistry& registry, const ServerDirectory& directory, ChangeSubmitter& changes, Timers& timers,
    EventLog& log)
    : m_settings(settings)
    , m_registry(registry)
    , m_directory(directory)
    , m_changes(changes)
    , m_timers(timers)
    , m_log(log)
{
    registry.onSuspectsChanged([this] { onSuspectsChanged(); });
    onSuspectsChanged();
}

Quarantine::~Quarantine()
{
    m_timers.cancel(m_flushTimer);
}

const SuspectRecord* Quarantine::find(RequestDigest digest) const
{
    const auto it = m_registry.suspects().find(digest);
    return it == m_registry.suspects().end() ? nullptr : &it->second;
}

/// \returns how long \p crash counts: one that this daemon reports, until control has confirmed the report.
Duration Quarantine::lifetimeOf(const LocalCrash& crash)
{
    return crash.server != 0 && !crash.confirmed ? config::suspectChangeTimeout : newsTime;
}

/// \returns what this daemon knows beyond the record, if anything.
const Quarantine::LocalCrash* Quarantine::findLocal(RequestDigest digest) const
{
    const auto it = m_local.find(digest);
    const auto isCurrent = it != m_local.end() && m_timers.now() - it->second.learnedAt < lifetimeOf(it->second);
    return isCurrent ? &it->second : nullptr;
}

std::uint32_t Quarantine::crashesOf(RequestDigest digest) const
{
    const auto* record = find(digest);
    const auto* local = findLocal(digest);
    return std::max(record ? record->crashes : 0, local ? local->crashes : 0);
}

SuspectMode Quarantine::modeOf(RequestDigest digest) const
{
    const auto crashes = crashesOf(digest);
    const auto* record = find(digest);
    const auto learned = m_learned.find(digest);
    const auto isRecorded = record && record->crashes == crashes && learned != m_learned.end();
    if (isRecorded && learned->second.clearedRevision == record->revision) {
        return SuspectMode::Clear;
    }
    const auto now = m_timers.now();
    const auto mode = suspectMode(crashes, isRecorded ? now - learned->second.at : Duration::zero(), m_settings.quarantine.holdTime);
    const auto isOnTrial = isRecorded && learned->second.trials > 0 && now - learned->second.trialAt < config::trialLapse;
    return mode == SuspectMode::Trial && (!isRecorded || isOnTrial) ? SuspectMode::Held : mode;
}

bool Quarantine::isSuspect(const Call& call) const
{
    return call.digest != 0 && (call.suspect || call.trial || modeOf(call.digest) != SuspectMode::Clear);
}

bool Quarantine::canRisk(const std::string& service, RequestDigest digest) const
{
    const auto* record = find(digest);
    const auto* local = findLocal(digest);
    const auto concurrency = record ? record->concurrency : local ? local->concurrency
                                                                  : 0;
    const auto isNew = crashesOf(digest) < config::crashesUntilTrial;
    if (isNew && concurrency >= config::unlikelySuspectConcurrency) {
        return true;
    }
    const auto& servers = m_directory.servers(service);
    // Crashed servers that stay away are not listed for long, so that the last one looks like the only one.
    const auto crash = m_lastCrash.find(service);
    const auto isLongAgo = crash == m_lastCrash.end() || m_timers.now() - crash->second >= config::trialLapse;
    return (servers.size() <= 1 && (isNew || isLongAgo)) || std::ranges::count_if(servers, [this](const ServerEntry& it) { return isUp(it); }) > 1;
}

/// \returns whether \p server has started since its last known crash.
bool Quarantine::isUp(const ServerEntry& server) const
{
    return server.backendIncarnation == 0 || !m_crashedServers.contains(server.backendIncarnation);
}

const ServerEntry* Quarantine::serverFor(const std::string& service, const std::function<bool(const ServerEntry&)>& isUsable) const
{
    const ServerEntry* best = nullptr;
    std::pair<bool, std::uint64_t> bestOrder;
    for (const auto& it : m_directory.servers(service)) {
        const std::pair order(isUp(it), rendezvousWeight(service, it.name));
        if (isUsable(it) && (!best || order > bestOrder)) {
            best = &it;
            bestOrder = order;
        }
    }
    return best;
}

std::size_t Quarantine::maxIsolated(const std::string& service) const
{
    const auto isNew = [&](const SuspectMap::value_type& it) {
        const auto learned = m_learned.find(it.first);
        const auto isRecent = learned != m_learned.end() && m_timers.now() - learned->second.at < config::trialLapse;
        return isRecent && it.second.crashes < config::crashesUntilTrial && it.second.service == service;
    };
    return isolationLimit(static_cast<std::size_t>(std::ranges::count_if(m_registry.suspects(), isNew)));
}

std::size_t Quarantine::heldCount() const
{
    return static_cast<std::size_t>(std::ranges::count_if(m_registry.suspects(),
        [this](const SuspectMap::value_type& it) { return modeOf(it.first) == SuspectMode::Held; }));
}

TimePoint Quarantine::settledAt(const std::string& service) const
{
    const auto it = m_lastCrash.find(service);
    return it == m_lastCrash.end() ? TimePoint() : it->second + settleTime;
}

void Quarantine::claimTrial(RequestDigest digest, std::function<void(bool granted)> done)
{
    const auto* record = find(digest);
    if (!record) {
        done(false);
        return;
    }
    m_changes.submit(ClaimTrial { digest, record->revision, record->trials }, config::trialClaimTimeout, std::move(done));
}

void Quarantine::serverCrashed(ReportCrash report)
{
    const auto now = m_timers.now();
    forgetOldCrashes();
    PW_EVENT(m_log, Event::BackendCrashed, { "service", report.service }, { "server", report.server }, { "running", report.concurrency },
        { "identified", report.running.size() });
    for (const auto digest : report.running) {
        const auto* record = find(digest);
        const auto* local = findLocal(digest);
        const auto isKnown = (record && std::ranges::find(record->servers, report.server) != record->servers.end())
            || (local && local->server == report.server);
        const auto isIsolated = std::ranges::find(report.isolated, digest) != report.isolated.end();
        const auto before = crashesOf(digest);
        const auto counts = !isKnown && (isIsolated || before < config::crashesUntilTrial);
        m_local[digest] = { counts ? before + 1 : before, report.server, report.concurrency, now, false };
        m_completed.erase(digest);
    }
    m_crashedServers.insert(report.server);
    m_lastCrash[report.service] = now;
    if (report.running.size() > config::maxSuspectsPerCrash) {
        report.running.resize(config::maxSuspectsPerCrash);
    }
    const auto server = report.server;
    m_changes.submit(std::move(report), config::suspectChangeTimeout, [this, server](bool) { onCrashConfirmed(server); });
}

/// The replicated records tell of the crash from now on.
void Quarantine::onCrashConfirmed(std::uint64_t server)
{
    for (auto& [digest, crash] : m_local) {
        if (crash.server == server) {
            crash.confirmed = true;
            crash.learnedAt = m_timers.now();
        }
    }
}

void Quarantine::crashHeardOf(RequestDigest digest, std::uint32_t crashes)
{
    if (digest != 0 && crashes > crashesOf(digest)) {
        forgetOldCrashes();
        m_local[digest] = { crashes, 0, 0, m_timers.now(), false };
    }
}

void Quarantine::completed(RequestDigest digest)
{
    m_local.erase(digest);
    if (const auto* record = find(digest)) {
        auto& cleared = m_learned[digest].clearedRevision;
        if (std::exchange(cleared, record->revision) != record->revision) {
            clear(*record);
        }
    } else {
        m_completed[digest] = m_timers.now();
    }
}

void Quarantine::clear(const SuspectRecord& record)
{
    m_toClear.push_back({ record.digest, record.revision });
    if (!m_flushTimer) {
        m_flushTimer = m_timers.after(config::suspectFlushInterval, [this] { flush(); });
    }
}

void Quarantine::flush()
{
    m_flushTimer = 0;
    m_changes.submit(ClearSuspects { std::exchange(m_toClear, {}) }, config::suspectChangeTimeout, {});
}

void Quarantine::forgetOldCrashes()
{
    const auto now = m_timers.now();
    std::erase_if(m_local, [now](const auto& it) { return now - it.second.learnedAt >= lifetimeOf(it.second); });
    std::erase_if(m_completed, [now](const auto& it) { return now - it.second >= config::localCrashLifetime; });
}

void Quarantine::onSuspectsChanged()
{
    const auto now = m_timers.now();
    const auto& suspects = m_registry.suspects();
    std::erase_if(m_learned, [&](const auto& it) { return !suspects.contains(it.first); });
    m_crashedServers.clear();
    for (const auto& [digest, record] : suspects) {
        m_crashedServers.insert(record.servers.begin(), record.servers.end());
        auto& learned = m_learned[digest];
        if (learned.trials != record.trials) {
            learned.trials = record.trials;
            learned.trialAt = now;
        }
        if (learned.revision == record.revision) {
            continue;
        }
        learned.revision = record.revision;
        learned.at = now;
        m_lastCrash[record.service] = now;
        PW_EVENT(m_log, Event::SuspectRecorded, { "digest", requestDigestText(digest) }, { "service", record.service }, { "crashes", record.crashes },
            { "concurrency", record.concurrency }, { "revision", record.revision });
        if (const auto local = m_local.find(digest); local != m_local.end() && local->second.crashes <= record.crashes) {
            m_local.erase(local);
        }
        if (const auto done = m_completed.find(digest); done != m_completed.end()) {
            if (now - done->second < config::localCrashLifetime) {
                clear(record);
            }
            m_completed.erase(done);
        }
    }
    std::ranges::for_each(m_local, [this](const auto& it) { m_crashedServers.insert(it.second.server); });
    m_crashedServers.erase(0);
}

} // namespace pw
