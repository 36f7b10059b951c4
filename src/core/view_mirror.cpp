#include "core/view_mirror.h"

#include <algorithm>
#include <tuple>

namespace pw {
namespace {

    const std::vector<ServerEntry> noServers;

    auto versionOf(const ServerEntry& entry)
    {
        return std::tuple(entry.incarnation, entry.sequence);
    }

} // namespace

std::set<std::string> ViewMirror::apply(const ViewDelta& delta)
{
    std::set<std::string> changed;
    const bool follows = delta.stream == m_stream && delta.from <= m_position;
    if (!delta.fullView && !follows) {
        return changed; // Changes are missing; the next report contains the position here, so they are sent again.
    }
    if (delta.fullView && delta.replace) {
        removeUnlisted(delta.changes, changed);
    }
    for (const auto& change : delta.changes) {
        if (change.removed) {
            removeUnlessNewer(change.entry, changed);
        } else {
            put(change.entry, changed);
        }
    }
    m_position = delta.stream == m_stream ? std::max(m_position, delta.to) : delta.to;
    m_stream = delta.stream;
    std::ranges::for_each(changed, [this](const auto& service) { rebuild(service); });
    return changed;
}

void ViewMirror::put(const ServerEntry& entry, std::set<std::string>& changed)
{
    const auto it = m_entries.find(entry.name);
    if (it != m_entries.end() && versionOf(it->second) >= versionOf(entry)) {
        return;
    }
    remove(entry.name, changed);
    m_entries[entry.name] = entry;
    m_digest ^= serverDigest(entry);
    changed.insert(entry.service);
}

/// Ignores the removal of an earlier version, which may come from a member that lags behind.
void ViewMirror::removeUnlessNewer(const ServerEntry& entry, std::set<std::string>& changed)
{
    const auto it = m_entries.find(entry.name);
    if (it != m_entries.end() && versionOf(it->second) <= versionOf(entry)) {
        remove(entry.name, changed);
    }
}

void ViewMirror::remove(const std::string& name, std::set<std::string>& changed)
{
    const auto it = m_entries.find(name);
    if (it == m_entries.end()) {
        return;
    }
    m_digest ^= serverDigest(it->second);
    changed.insert(it->second.service);
    m_entries.erase(it);
}

void ViewMirror::removeUnlisted(const std::vector<ViewChange>& listed, std::set<std::string>& changed)
{
    std::set<std::string> names;
    std::ranges::for_each(listed, [&names](const ViewChange& change) { names.insert(change.entry.name); });
    std::vector<std::string> unlisted;
    for (const auto& [name, entry] : m_entries) {
        if (!names.contains(name)) {
            unlisted.push_back(name);
        }
    }
    std::ranges::for_each(unlisted, [this, &changed](const auto& name) { remove(name, changed); });
}

void ViewMirror::rebuild(const std::string& service)
{
    auto& servers = m_services[service];
    servers.clear();
    for (const auto& [name, entry] : m_entries) {
        if (entry.service == service && !entry.leaving) {
            servers.push_back(entry);
        }
    }
}

const ServerEntry* ViewMirror::find(const std::string& name) const
{
    const auto it = m_entries.find(name);
    return it == m_entries.end() ? nullptr : &it->second;
}

const std::vector<ServerEntry>& ViewMirror::servers(const std::string& service) const
{
    const auto it = m_services.find(service);
    return it == m_services.end() ? noServers : it->second;
}

} // namespace pw
