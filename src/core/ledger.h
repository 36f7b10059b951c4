#pragma once

#include "core/ledger_account.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace pw {

/// The token accounts of all workspaces, kept by the owner of the rates for one epoch; a new epoch needs a new ledger.
class Ledger {
public:
    /// \param epoch term of this owner, which distinguishes its grants; greater than that of every earlier owner.
    /// \param lifetime time for which a grant may be spent.
    Ledger(std::uint64_t epoch, Duration lifetime, const RateTolerance& tolerance);

    /// Adds, changes and removes accounts to match \p workspaces.
    void configure(const std::vector<Workspace>& workspaces, TimePoint now);

    /// Grants tokens to \p holder. \returns the replies; requests that are outdated, repeated or for unknown workspaces have none.
    std::vector<GrantReply> handleRequests(const GrantHolderId& holder, const std::vector<GrantRequest>& requests, TimePoint now);

    /// Grants accrued tokens to daemons that wait for them. \returns the replies to send.
    std::vector<LedgerAccount::Push> grantToWaiting(TimePoint now);

    /// \returns whether any daemon waits for tokens.
    bool hasWaiting() const;

    /// \returns the account of \p workspace, or null.
    const LedgerAccount* account(const std::string& workspace) const;

private:
    std::uint64_t nextGeneration();

    std::uint64_t m_epoch;
    Duration m_lifetime;
    RateTolerance m_tolerance;
    std::uint32_t m_series = 0; ///< Grant series begun in this epoch.
    std::map<std::string, LedgerAccount> m_accounts;
};

} // namespace pw
