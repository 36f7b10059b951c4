#pragma once

#include "ports/fleet.h"

#include <cstdint>
#include <optional>
#include <string>
#include <tuple>
#include <variant>
#include <vector>

/// Messages of the membership view; see docs/design/membership.md.
namespace pw {

/// A backend server as the control members know it. The tuple of version() is compared: newest wins.
struct ViewRecord {
    ServerEntry entry;
    std::string home; ///< Address of the control member that its daemon is attached to.
    std::uint64_t attachment = 0; ///< Grows each time that its daemon attaches.
    std::uint64_t revision = 0; ///< Grows each time that the home finds it lapsed or back.
    bool lapsed = false;

    auto version() const { return std::tuple(entry.incarnation, entry.sequence, attachment, revision); }
};

/// Daemon to its control member: I am here, and this is what I have.
struct DaemonReport {
    std::uint64_t attachment = 0;
    std::optional<ServerEntry> entry; ///< Only when the member may not know this version.
    std::uint64_t incarnation = 0; ///< Of the server's entry; zero when there is no server.
    std::uint64_t sequence = 0;
    std::uint64_t stream = 0; ///< Stream that the position belongs to; zero for none.
    std::uint64_t position = 0; ///< Changes applied of that stream.
    std::uint64_t digest = 0; ///< Of the servers known here.
};

/// Control member to another: records that the sender vouches for.
struct MemberRecords {
    bool all = false; ///< These are all of them.
    std::vector<ViewRecord> records;
};

/// Control member to another: digest of the records that the sender vouches for.
struct MemberDigest {
    std::uint64_t digest = 0;
};

/// Control member to another: send all records that you vouch for.
struct MemberSyncAsk {
};

/// Anything sent to the control role of a member about the view.
using ViewMemberMessage = std::variant<DaemonReport, MemberRecords, MemberDigest, MemberSyncAsk>;

/// One change for daemons.
struct ViewChange {
    ServerEntry entry;
    bool gone = false;
};

/// Control member to a daemon attached to it.
struct ViewDelta {
    std::uint64_t stream = 0; ///< The member's process.
    std::uint64_t from = 0; ///< Position that the changes follow.
    std::uint64_t to = 0; ///< Position after them.
    bool whole = false; ///< All servers, whatever the position.
    bool replace = false; ///< With whole: servers that are not listed are gone.
    bool wantEntry = false; ///< The daemon's own server is not known in its latest version.
    std::vector<ViewChange> changes;
};

/// \returns a digest of one server's version; digests of sets are combined by exclusive or.
std::uint64_t serverDigest(const ServerEntry& entry);

} // namespace pw
