#pragma once

#include "core/view_messages.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace pw {

/// A daemon's copy of the membership view, fed by the control member that it is attached to. What it knows stays usable
/// while no member can be reached.
class ViewMirror {
public:
    /// Applies \p delta. \returns the services whose servers changed.
    std::set<std::string> apply(const ViewDelta& delta);

    /// \returns the servers of \p service that are not leaving; valid until the next change.
    const std::vector<ServerEntry>& servers(const std::string& service) const;

    /// \returns the stream of the last delta that was applied, and the position in it.
    std::uint64_t stream() const { return m_stream; }
    std::uint64_t position() const { return m_position; }

    /// \returns the digest of all servers known here.
    std::uint64_t digest() const { return m_digest; }

    /// \returns the server called \p name, null when it is not known here.
    const ServerEntry* find(const std::string& name) const;

    /// \returns how many servers are known here.
    std::size_t size() const { return m_entries.size(); }

private:
    void put(const ServerEntry& entry, std::set<std::string>& changed);
    void removeUnlessNewer(const ServerEntry& entry, std::set<std::string>& changed);
    void remove(const std::string& name, std::set<std::string>& changed);
    void removeUnlisted(const std::vector<ViewChange>& listed, std::set<std::string>& changed);
    void rebuild(const std::string& service);

    std::map<std::string, ServerEntry> m_entries; ///< By name, leaving ones included.
    std::map<std::string, std::vector<ServerEntry>> m_services;
    std::uint64_t m_stream = 0;
    std::uint64_t m_position = 0;
    std::uint64_t m_digest = 0;
};

} // namespace pw
