#pragma once

#include "ports/fleet.h"

#include <cstdint>
#include <optional>
#include <string>
#include <tuple>
#include <variant>
#include <vector>

/// Messages of the membership view protocol; see docs/design/membership.md.
namespace pw {

/// Record of a backend server, replicated among the control members. The record with the greater version() wins.
struct ViewRecord {
    ServerEntry entry;
    std::string owner; ///< Address of the control member that its daemon is attached to.
    std::uint64_t attachment = 0; ///< Incremented each time its daemon attaches to a control member.
    std::uint64_t revision = 0; ///< Incremented by the owner each time the server lapses or recovers.
    bool lapsed = false; ///< Its daemon has stopped reporting.

    auto version() const { return std::tuple(entry.incarnation, entry.sequence, attachment, revision); }
};

/// Daemon to its control member: keep-alive with the state of its server and of its copy of the view.
struct DaemonReport {
    std::uint64_t attachment = 0;
    std::optional<ServerEntry> entry; ///< Set only if the member may not know this version.
    std::uint64_t incarnation = 0; ///< Incarnation of the server's entry; zero if there is no server.
    std::uint64_t sequence = 0;
    std::uint64_t stream = 0; ///< Stream that the position belongs to; zero if none.
    std::uint64_t position = 0; ///< Position reached in that stream.
    std::uint64_t digest = 0; ///< Digest of the servers known to the daemon.
};

/// Control member to another: records owned by the sender.
struct MemberRecords {
    bool all = false; ///< The records are complete, not only the changed ones.
    std::vector<ViewRecord> records;
};

/// Control member to another: keep-alive with the digest of all records owned by the sender.
struct MemberDigest {
    std::uint64_t digest = 0;
};

/// Control member to another: requests all records owned by the receiver.
struct MemberSyncRequest {
};

/// Any message of the view protocol that is received by a control member.
using ViewMemberMessage = std::variant<DaemonReport, MemberRecords, MemberDigest, MemberSyncRequest>;

/// A change of the view, as sent to daemons.
struct ViewChange {
    ServerEntry entry;
    bool removed = false; ///< The server is no longer visible.
};

/// Control member to an attached daemon: changes of the view.
struct ViewDelta {
    std::uint64_t stream = 0; ///< Identifies the member's process, which numbers the positions.
    std::uint64_t from = 0; ///< Position before the changes.
    std::uint64_t to = 0; ///< Position after them.
    bool fullView = false; ///< Full view, applicable at any position.
    bool replace = false; ///< With a full view: servers not listed are removed.
    bool wantEntry = false; ///< Asks the daemon to send its server's entry, whose version the member does not know.
    std::vector<ViewChange> changes;
};

/// \returns a digest of one server's version; the digest of a set is the exclusive or of its elements' digests.
std::uint64_t serverDigest(const ServerEntry& entry);

} // namespace pw
