#pragma once

#include "core/view_messages.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace pw {

/// A daemon's copy of the membership view, updated by the control member it is attached to. It stays usable while no
/// control member can be reached.
class ViewMirror {
public:
    /// Applies \p delta, unless changes before it are missing. \returns the services whose servers changed.
    std::set<std::string> apply(const ViewDelta& delta);

    /// \returns the servers of \p service that are not leaving; the reference is valid until the next apply().
    const std::vector<ServerEntry>& servers(const std::string& service) const;

    /// \returns the stream of the last applied delta, or the position in it.
    std::uint64_t stream() const { return m_stream; }
    std::uint64_t position() const { return m_position; }

    /// \returns the digest of all servers known here.
    std::uint64_t digest() const { return m_digest; }

    /// \returns the server called \p name, or null when it is not known.
    const ServerEntry* find(const std::string& name) const;

    /// \returns the number of known servers, leaving ones included.
    std::size_t size() const { return m_entries.size(); }

private:
    void put(const ServerEntry& entry, std::set<std::string>& changed);
    void removeUnlessNewer(const ServerEntry& entry, std::set<std::string>& changed);
    void remove(const std::string& name, std::set<std::string>& changed);
    void removeUnlisted(const std::vector<ViewChange>& listed, std::set<std::string>& changed);
    void rebuild(const std::string& service);

    std::map<std::string, ServerEntry> m_entries; ///< By name, including leaving servers.
    std::map<std::string, std::vector<ServerEntry>> m_services; ///< By service, without leaving servers.
    std::uint64_t m_stream = 0;
    std::uint64_t m_position = 0;
    std::uint64_t m_digest = 0;
};

} // namespace pw
