#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace pw {

/// \returns the rendezvous hashing weight of \p member for \p key, identical in every process and on every platform.
std::uint64_t rendezvousWeight(std::string_view member, std::string_view key);

/// \returns \p members by descending rendezvous weight for \p key.
std::vector<std::string> rendezvousOrder(std::vector<std::string> members, std::string_view key);

/// Address and failure domain of a control member.
struct MemberLocation {
    std::string address;
    std::string failureDomain; ///< Empty if unknown.

    bool operator==(const MemberLocation&) const = default;
};

/// Identity and failure domain of the daemon that selects a control member.
struct DaemonLocation {
    std::string name; ///< Hash key that spreads the daemons of a failure domain over its members.
    std::string address; ///< A daemon that is itself a control member prefers its own address.
    std::string failureDomain;
};

/// \returns members at \p addresses with unknown failure domains.
std::vector<MemberLocation> withUnknownDomains(const std::vector<std::string>& addresses);

/// \returns the addresses of \p members in the order in which \p daemon prefers them: itself, then those in its own failure
///     domain, so that control traffic stays inside the domain.
std::vector<std::string> orderByProximity(const std::vector<MemberLocation>& members, const DaemonLocation& daemon);

/// Selects the control member that a daemon uses: the first of its preference order, or the next when one is unresponsive.
class MemberSelector {
public:
    /// \param order addresses of the control members, most preferred first.
    explicit MemberSelector(std::vector<std::string> order);

    /// \returns the address of the selected member, or an empty one when there are no members.
    const std::string& current() const;

    /// Selects the next member.
    void next();

    /// Replaces the members; keeps the selected one if it is among them.
    void update(std::vector<std::string> order);

    /// \returns whether the most preferred member is selected.
    bool isPreferred() const { return m_current == 0; }

    /// Selects the most preferred member.
    void reset() { m_current = 0; }

    /// Selects \p member if it is known. \returns whether it is.
    bool select(const std::string& member);

private:
    std::vector<std::string> m_members;
    std::size_t m_current = 0;
};

} // namespace pw
