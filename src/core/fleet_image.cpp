#include "core/fleet_image.h"

#include "config.h"

#include <algorithm>

namespace pw {
namespace {

    /// Applies the change of a FleetDelta to the parts of an image.
    struct Applier {
        ConfigurationRecord& configuration;
        std::map<std::string, KeyRecord>& keys;
        std::map<KeyDigest, std::string>& keyIds;
        std::vector<ControlMemberRecord>& members;
        std::map<std::string, EvacuationRecord>& evacuations;
        SuspectMap& suspects;
        std::vector<std::uint64_t>& departures;

        void operator()(const ConfigurationRecord& record) const { configuration = record; }

        void operator()(const KeyRecord& record) const
        {
            keys[record.keyId] = record;
            if (record.withdrawn) {
                keyIds.erase(record.digest);
            } else {
                keyIds[record.digest] = record.keyId;
            }
        }

        void operator()(const std::vector<ControlMemberRecord>& records) const { members = records; }

        void operator()(const EvacuationRecord& record) const { evacuations[record.failureDomain] = record; }

        void operator()(const std::vector<SuspectRecord>& records) const { detail::applyRecords(suspects, records); }

        void operator()(const DepartureRecord& record) const
        {
            if (std::ranges::find(departures, record.start) != departures.end()) {
                return;
            }
            departures.push_back(record.start);
            if (departures.size() > config::maxRecordedDepartures) {
                departures.erase(departures.begin());
            }
        }
    };

} // namespace

FleetImage::FleetImage(std::uint64_t index, ConfigurationRecord configuration, const std::vector<KeyRecord>& keys,
    std::vector<ControlMemberRecord> members, const std::vector<EvacuationRecord>& evacuations,
    const std::vector<SuspectRecord>& suspects, std::vector<std::uint64_t> departures)
    : m_index(index)
    , m_configuration(std::move(configuration))
    , m_members(std::move(members))
    , m_departures(std::move(departures))
{
    const Applier applier { m_configuration, m_keys, m_keyIds, m_members, m_evacuations, m_suspects, m_departures };
    std::ranges::for_each(keys, applier);
    std::ranges::for_each(evacuations, applier);
    applier(suspects);
}

void FleetImage::apply(const FleetDelta& delta)
{
    if (delta.index <= m_index) {
        return;
    }
    std::visit(Applier { m_configuration, m_keys, m_keyIds, m_members, m_evacuations, m_suspects, m_departures }, delta.change);
    m_index = delta.index;
}

void FleetImage::advance(std::uint64_t index)
{
    m_index = std::max(m_index, index);
}

bool FleetImage::isEvacuated(const std::string& failureDomain) const
{
    const auto it = m_evacuations.find(failureDomain);
    return it != m_evacuations.end() && it->second.evacuated;
}

std::uint64_t FleetImage::evacuationRevision(const std::string& failureDomain) const
{
    const auto it = m_evacuations.find(failureDomain);
    return it == m_evacuations.end() ? 0 : it->second.revision;
}

const KeyRecord* FleetImage::keyOf(const KeyDigest& digest) const
{
    const auto it = m_keyIds.find(digest);
    return it == m_keyIds.end() ? nullptr : &m_keys.at(it->second);
}

} // namespace pw
