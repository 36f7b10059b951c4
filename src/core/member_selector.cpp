#include "core/member_selector.h"

#include <algorithm>
#include <iterator>
#include <tuple>
#include <utility>

namespace pw {
namespace {

    /// FNV-1a hash.
    std::uint64_t hashBytes(std::uint64_t hash, std::string_view text)
    {
        constexpr std::uint64_t prime = 0x100000001b3;
        for (const auto c : text) {
            hash = (hash ^ static_cast<unsigned char>(c)) * prime;
        }
        return hash;
    }

    /// Finalizer of SplitMix64: every input bit affects every output bit.
    std::uint64_t mix(std::uint64_t x)
    {
        x = (x ^ (x >> 30U)) * 0xbf58476d1ce4e5b9;
        x = (x ^ (x >> 27U)) * 0x94d049bb133111eb;
        return x ^ (x >> 31U);
    }

    const std::string noMember;

} // namespace

std::uint64_t rendezvousWeight(std::string_view member, std::string_view key)
{
    constexpr std::uint64_t offset = 0xcbf29ce484222325;
    return mix(hashBytes(mix(hashBytes(offset, member)), key));
}

std::vector<std::string> rendezvousOrder(std::vector<std::string> members, std::string_view key)
{
    const auto weight = [key](const std::string& member) { return std::pair(rendezvousWeight(member, key), member); };
    std::ranges::sort(members, std::ranges::greater(), weight);
    return members;
}

std::vector<MemberLocation> withUnknownDomains(const std::vector<std::string>& addresses)
{
    std::vector<MemberLocation> result;
    std::ranges::transform(addresses, std::back_inserter(result), [](const std::string& it) { return MemberLocation { it, {} }; });
    return result;
}

std::vector<std::string> orderByProximity(const std::vector<MemberLocation>& members, const DaemonLocation& daemon)
{
    const auto rank = [&daemon](const MemberLocation& it) {
        const auto isNear = !it.failureDomain.empty() && it.failureDomain == daemon.failureDomain;
        return std::tuple(it.address == daemon.address, isNear, rendezvousWeight(it.address, daemon.name), it.address);
    };
    auto sorted = members;
    std::ranges::sort(sorted, std::ranges::greater(), rank);
    std::vector<std::string> result;
    std::ranges::transform(sorted, std::back_inserter(result), &MemberLocation::address);
    return result;
}

MemberSelector::MemberSelector(std::vector<std::string> order)
    : m_members(std::move(order))
{
}

void MemberSelector::update(std::vector<std::string> order)
{
    const auto inUse = current();
    m_members = std::move(order);
    m_current = 0;
    select(inUse);
}

const std::string& MemberSelector::current() const
{
    return m_members.empty() ? noMember : m_members[m_current];
}

void MemberSelector::next()
{
    if (!m_members.empty()) {
        m_current = (m_current + 1) % m_members.size();
    }
}

bool MemberSelector::select(const std::string& member)
{
    const auto it = std::ranges::find(m_members, member);
    if (it == m_members.end()) {
        return false;
    }
    m_current = static_cast<std::size_t>(it - m_members.begin());
    return true;
}

} // namespace pw
