#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace pw {

/// \returns the rendezvous weight of \p member for \p key: the same in every process and on every platform.
std::uint64_t rendezvousWeight(std::string_view member, std::string_view key);

/// \returns \p members by falling rendezvous weight for \p key.
std::vector<std::string> rendezvousOrder(std::vector<std::string> members, std::string_view key);

/// The control member that a daemon turns to: the first of its own rendezvous order, the next one on silence.
class MemberChoice {
public:
    /// \param members addresses of the control members.
    /// \param name of this daemon; spreads the daemons over the members.
    MemberChoice(std::vector<std::string> members, std::string_view name);

    /// \returns the address of the member in use, empty when there is none.
    const std::string& current() const;

    /// Turns to the next member.
    void next();

    /// Replaces the members; the one in use stays when it is among them.
    void update(std::vector<std::string> members);

    /// Turns to \p member when it is one of them. \returns whether it is.
    bool turnTo(const std::string& member);

private:
    std::string m_name;
    std::vector<std::string> m_members;
    std::size_t m_current = 0;
};

} // namespace pw
