#include "core/slot_price_table.h"

#include "config.h"
#include "core/member_selector.h"

#include <algorithm>
#include <cmath>

namespace pw {
namespace {

    using std::chrono::duration_cast;
    using std::chrono::milliseconds;

    /// The clock of the VM keeps running across restarts of the daemon, so that reports of the new process are newer.
    std::uint32_t reportNumber(TimePoint now)
    {
        return static_cast<std::uint32_t>(duration_cast<milliseconds>(now.time_since_epoch()).count());
    }

    /// \returns whether report \p a is newer than \p b; the numbers wrap around.
    bool isNewer(std::uint32_t a, std::uint32_t b)
    {
        return static_cast<std::int32_t>(a - b) > 0;
    }

} // namespace

/// std::hash may differ between builds.
std::uint64_t slotPriceServerId(const std::string& name)
{
    return rendezvousWeight(name, {});
}

bool SlotPriceTable::isExpired(const Entry& entry, TimePoint now)
{
    return now - entry.reportedAt >= config::slotPriceLifetime;
}

void SlotPriceTable::setServerCount(const std::string& service, std::size_t count)
{
    m_serverCounts[service] = count;
}

void SlotPriceTable::recordOwn(const std::string& service, const std::string& server, double price, TimePoint now)
{
    const auto id = slotPriceServerId(server);
    const auto it = m_entries.find(id);
    const auto wasPriced = it != m_entries.end() && !isExpired(it->second, now) && it->second.price > 0;
    if (price <= 0 && !wasPriced) {
        return;
    }
    if (price > 0 && wasPriced && now - it->second.reportedAt < config::slotPriceInterval) {
        return;
    }
    store(id, { service, std::max(price, 0.0), reportNumber(now), now, now });
    prune(now);
}

void SlotPriceTable::record(const std::vector<SlotPrice>& prices, TimePoint now)
{
    for (const auto& price : prices) {
        Entry entry { price.service, price.price, price.report, now - price.age, now };
        const auto it = m_entries.find(price.server);
        const auto known = it != m_entries.end() && !isExpired(it->second, now);
        if (isExpired(entry, now) || (known && !isNewer(price.report, it->second.report))) {
            continue;
        }
        store(price.server, std::move(entry));
    }
    prune(now);
}

void SlotPriceTable::store(std::uint64_t server, Entry entry)
{
    m_entries[server] = std::move(entry);
    if (m_entries.size() > config::maxSlotPrices) {
        m_entries.erase(std::ranges::min_element(m_entries, {}, [](const auto& it) { return it.second.price; }));
    }
}

std::vector<SlotPrice> SlotPriceTable::pricesFor(const PeerAddress& peer, TimePoint now)
{
    prune(now);
    if (m_entries.empty()) {
        return {};
    }
    auto& sent = m_peers[peer];
    if (sent.sentAt != TimePoint {} && now - sent.sentAt < config::slotPriceInterval) {
        return {};
    }
    std::vector<decltype(m_entries)::const_iterator> changed;
    for (auto it = m_entries.cbegin(); it != m_entries.cend(); ++it) {
        const auto last = sent.reports.find(it->first);
        if (!isExpired(it->second, now) && (last == sent.reports.end() || last->second != it->second.report)) {
            changed.push_back(it);
        }
    }
    std::ranges::sort(changed, std::ranges::greater(), [](const auto& it) { return it->second.changedAt; });
    changed.resize(std::min(changed.size(), config::maxSlotPricesPerAnswer));
    std::vector<SlotPrice> result;
    for (const auto& it : changed) {
        const auto& entry = it->second;
        sent.reports[it->first] = entry.report;
        result.push_back({ entry.service, it->first, entry.report, entry.price, std::chrono::ceil<milliseconds>(now - entry.reportedAt) });
    }
    sent.sentAt = result.empty() ? sent.sentAt : now;
    return result;
}

void SlotPriceTable::forgetPeer(const PeerAddress& peer)
{
    m_peers.erase(peer);
}

std::optional<double> SlotPriceTable::priceOf(const std::string& service, TimePoint now) const
{
    std::size_t reports = 0;
    double sum = 0;
    for (const auto& [server, entry] : m_entries) {
        if (entry.service == service && !isExpired(entry, now)) {
            ++reports;
            sum += entry.price;
        }
    }
    if (reports == 0) {
        return std::nullopt;
    }
    const auto count = m_serverCounts.find(service);
    return sum / static_cast<double>(count == m_serverCounts.end() ? reports : std::max(reports, count->second));
}

void SlotPriceTable::applyTo(std::vector<ServiceDemand>& demands, TimePoint now) const
{
    for (auto& it : demands) {
        it.price = priceOf(it.service, now).value_or(it.price);
    }
}

std::size_t SlotPriceTable::pricedServers(TimePoint now) const
{
    return static_cast<std::size_t>(
        std::ranges::count_if(m_entries, [now](const auto& it) { return it.second.price > 0 && !isExpired(it.second, now); }));
}

void SlotPriceTable::prune(TimePoint now)
{
    if (now < m_nextPrune) {
        return;
    }
    m_nextPrune = now + config::slotPriceLifetime;
    std::erase_if(m_entries, [now](const auto& it) { return isExpired(it.second, now); });
    // After that time the peer has dropped the reports as well.
    std::erase_if(m_peers, [now](const auto& it) { return now - it.second.sentAt >= config::slotPriceLifetime; });
}

} // namespace pw
