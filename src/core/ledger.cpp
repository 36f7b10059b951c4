#include "core/ledger.h"

#include <algorithm>

namespace pw {
namespace {

    /// A generation holds the epoch above these bits, so that generations of different epochs differ.
    constexpr unsigned seriesBits = 32;

    bool contains(const std::vector<Workspace>& workspaces, const std::string& name)
    {
        return std::ranges::find(workspaces, name, &Workspace::name) != workspaces.end();
    }

} // namespace

Ledger::Ledger(std::uint64_t epoch, Duration lifetime, const RateTolerance& tolerance)
    : m_epoch(epoch)
    , m_lifetime(lifetime)
    , m_tolerance(tolerance)
{
}

void Ledger::configure(const std::vector<Workspace>& workspaces, TimePoint now)
{
    std::erase_if(m_accounts, [&workspaces](const auto& entry) { return !contains(workspaces, entry.first); });
    for (const auto& workspace : workspaces) {
        const RateLimits limits { workspace.rate, workspace.burst, m_tolerance.reserve(workspace.rate, workspace.burst) };
        const auto [it, added] = m_accounts.try_emplace(workspace.name, limits, m_lifetime, now);
        if (!added) {
            it->second.configure(limits, now);
        }
    }
}

std::uint64_t Ledger::nextGeneration()
{
    return (m_epoch << seriesBits) | ++m_series;
}

std::vector<GrantReply> Ledger::handleRequests(const GrantHolderId& holder, const std::vector<GrantRequest>& requests, TimePoint now)
{
    std::vector<GrantReply> replies;
    for (const auto& request : requests) {
        const auto it = m_accounts.find(request.workspace);
        GrantReply reply;
        if (it != m_accounts.end() && it->second.handleRequest(holder, request, nextGeneration(), now, reply)) {
            replies.push_back(std::move(reply));
        }
    }
    return replies;
}

std::vector<LedgerAccount::Push> Ledger::grantToWaiting(TimePoint now)
{
    std::vector<LedgerAccount::Push> pushes;
    for (auto& [name, account] : m_accounts) {
        if (account.hasWaiting()) {
            account.grantToWaiting(now, name, pushes);
        }
    }
    return pushes;
}

bool Ledger::hasWaiting() const
{
    return std::ranges::any_of(m_accounts, [](const auto& entry) { return entry.second.hasWaiting(); });
}

const LedgerAccount* Ledger::account(const std::string& workspace) const
{
    const auto it = m_accounts.find(workspace);
    return it == m_accounts.end() ? nullptr : &it->second;
}

} // namespace pw
