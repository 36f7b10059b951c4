#include "core/view_messages.h"

#include "core/member_selector.h"

namespace pw {

std::uint64_t serverDigest(const ServerEntry& entry)
{
    const auto version = std::to_string(entry.incarnation) + "." + std::to_string(entry.sequence);
    return rendezvousWeight(entry.name, version);
}

} // namespace pw
