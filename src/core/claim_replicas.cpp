#include "core/claim_replicas.h"

#include "core/member_selector.h"

namespace pw {

std::vector<std::string> claimReplicasOf(const ClaimKey& key, const std::vector<std::string>& members, std::size_t count)
{
    if (members.size() <= count) {
        return members;
    }
    auto order = rendezvousOrder(members, std::to_string(key.high));
    order.resize(count);
    return order;
}

} // namespace pw
