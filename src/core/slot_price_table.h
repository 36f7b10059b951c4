#pragma once

#include "core/call.h"
#include "core/types.h"
#include "ports/peer_network.h"

#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace pw {

/// \returns the id of the backend server \p name in reports of its price; the same in every process.
std::uint64_t slotPriceServerId(const std::string& name);

/// Prices of slots at the backend servers of the fleet, as reported with answers by the daemons beside them.
///
/// Each daemon passes on the newest report of every server that it knows, whatever the route of an answer, so that a price
/// reaches the entry daemons in one exchange per level of the call graph. Reports of one server are ordered by a number that
/// its daemon assigns. Their age is counted without a common clock: each daemon adds the time for which it held a report.
/// This addresses overload of a service deep in the call graph whose requests enter at many daemons, each of which gets few
/// answers.
class SlotPriceTable {
public:
    /// Sets the number of backend servers of \p service; those without a recent report count with a price of zero.
    void setServerCount(const std::string& service, std::size_t count);

    /// Records the price at the backend server beside this daemon.
    void recordOwn(const std::string& service, const std::string& server, double price, TimePoint now);

    /// Records the reports in an answer. A report that is not newer than the known one of the same server is ignored.
    void record(const std::vector<SlotPrice>& prices, TimePoint now);

    /// \returns the reports to send with an answer to \p peer: those that it has not been sent, the most recently changed first.
    /// Empty if some were sent less than config::slotPriceInterval ago.
    std::vector<SlotPrice> pricesFor(const PeerAddress& peer, TimePoint now);

    /// Forgets what was sent to \p peer, because it may have been lost.
    void forgetPeer(const PeerAddress& peer);

    /// \returns the average price over the backend servers of \p service; empty if none has reported recently.
    std::optional<double> priceOf(const std::string& service, TimePoint now) const;

    /// Replaces the prices in \p demands. Prices of services without a recent report are kept.
    void applyTo(std::vector<ServiceDemand>& demands, TimePoint now) const;

    /// \returns the number of servers with a recent price above zero.
    std::size_t pricedServers(TimePoint now) const;
    std::size_t size() const { return m_entries.size(); }
    /// \returns the number of peers for which it is kept what they were sent.
    std::size_t trackedPeers() const { return m_peers.size(); }

private:
    struct Entry {
        std::string service;
        double price = 0;
        std::uint32_t report = 0;
        TimePoint reportedAt {};
        TimePoint changedAt {}; ///< When the report was recorded here.
    };
    /// What a peer was sent.
    struct Peer {
        TimePoint sentAt {};
        std::unordered_map<std::uint64_t, std::uint32_t> reports; ///< Report number by server.
    };

    static bool isExpired(const Entry& entry, TimePoint now);
    void store(std::uint64_t server, Entry entry);
    void prune(TimePoint now);

    std::unordered_map<std::uint64_t, Entry> m_entries; ///< By server.
    std::unordered_map<std::string, std::size_t> m_serverCounts;
    std::unordered_map<PeerAddress, Peer> m_peers;
    TimePoint m_nextPrune {};
};

} // namespace pw
