#pragma once

#include "core/suspects.h"
#include "ports/fleet.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace pw {

/// Random identity of a control member, generated when its data folder is created; zero means none.
using MemberId = std::uint64_t;

/// A control member in the replicated state.
struct ControlMemberRecord {
    MemberId id = 0;
    std::string name;
    PeerAddress address;
    bool voter = false; ///< Otherwise a learner, which receives the log but does not vote.
    std::string failureDomain; ///< Empty if unknown.

    bool operator==(const ControlMemberRecord&) const = default;
};

/// A version of the configuration.
struct ConfigurationRecord {
    std::uint64_t version = 0;
    std::string text;

    bool operator==(const ConfigurationRecord&) const = default;
};

/// An issued key, which may have been withdrawn.
struct KeyRecord {
    std::string keyId;
    std::string workspace;
    std::string label;
    KeyDigest digest {};
    bool withdrawn = false;

    bool operator==(const KeyRecord&) const = default;
};

/// Whether operators have evacuated a failure domain.
struct EvacuationRecord {
    std::string failureDomain;
    bool evacuated = false; ///< Otherwise the evacuation was finished.
    std::uint64_t revision = 0; ///< Log index of the last accepted order for this failure domain.

    bool operator==(const EvacuationRecord&) const = default;
};

/// A start of a backend server that has left.
struct DepartureRecord {
    std::uint64_t start = 0; ///< ServerEntry::backendIncarnation of the backend server.

    bool operator==(const DepartureRecord&) const = default;
};

/// One change of the replicated state, as sent to daemons.
struct FleetDelta {
    std::uint64_t index = 0; ///< Index of the log entry.
    std::variant<ConfigurationRecord, KeyRecord, std::vector<ControlMemberRecord>, EvacuationRecord, std::vector<SuspectRecord>, DepartureRecord> change;
};

/// The part of the replicated state that every daemon holds, as of one log index.
class FleetImage {
public:
    FleetImage() = default;
    FleetImage(std::uint64_t index, ConfigurationRecord configuration, const std::vector<KeyRecord>& keys,
        std::vector<ControlMemberRecord> members, const std::vector<EvacuationRecord>& evacuations = {},
        const std::vector<SuspectRecord>& suspects = {}, std::vector<std::uint64_t> departures = {});

    /// Applies \p delta unless its index is at or below index().
    void apply(const FleetDelta& delta);

    /// Raises index() to \p index without a change of state; never lowers it.
    void advance(std::uint64_t index);

    std::uint64_t index() const { return m_index; }
    const ConfigurationRecord& configuration() const { return m_configuration; }
    const std::map<std::string, KeyRecord>& keys() const { return m_keys; }
    const std::vector<ControlMemberRecord>& members() const { return m_members; }

    /// \returns the evacuations by failure domain, including finished ones.
    const std::map<std::string, EvacuationRecord>& evacuations() const { return m_evacuations; }

    const SuspectMap& suspects() const { return m_suspects; }

    /// \returns the starts of backend servers that have left, oldest first; the last config::maxRecordedDepartures.
    const std::vector<std::uint64_t>& departures() const { return m_departures; }

    /// \returns whether \p failureDomain is evacuated.
    bool isEvacuated(const std::string& failureDomain) const;

    /// \returns the log index of the last accepted order for \p failureDomain; zero if there was none.
    std::uint64_t evacuationRevision(const std::string& failureDomain) const;

    /// \returns the issued key with \p digest, or null when there is none or it was withdrawn.
    const KeyRecord* keyOf(const KeyDigest& digest) const;

    bool operator==(const FleetImage&) const = default;

private:
    std::uint64_t m_index = 0;
    ConfigurationRecord m_configuration;
    std::map<std::string, KeyRecord> m_keys; ///< By key id.
    std::map<KeyDigest, std::string> m_keyIds; ///< Key ids by digest, without withdrawn keys.
    std::vector<ControlMemberRecord> m_members;
    std::map<std::string, EvacuationRecord> m_evacuations; ///< By failure domain.
    SuspectMap m_suspects;
    std::vector<std::uint64_t> m_departures;
};

} // namespace pw
