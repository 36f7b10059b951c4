#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace pw {

/// Identity of a request: equal when the same caller sends the same method, target and body again. Zero if unknown.
using RequestDigest = std::uint64_t;

/// A request that was running when backend servers crashed and has not completed at one since.
struct SuspectRecord {
    RequestDigest digest = 0;
    std::string service;
    std::uint32_t crashes = 0; ///< Backend servers that crashed while they ran it; zero in a change: no longer a suspect.
    std::uint32_t concurrency = 0; ///< Least number of requests that were running at one of those crashes.
    std::vector<std::uint64_t> servers; ///< ServerEntry::backendIncarnation of the last crashed servers, oldest first.
    std::uint64_t revision = 0; ///< Log index of the last crash.
    std::uint32_t trials = 0; ///< Trials claimed since then.

    bool operator==(const SuspectRecord&) const = default;
};

using SuspectMap = std::map<RequestDigest, SuspectRecord>;

/// A backend server crashed while it ran requests. Only crashes of isolated runs make a request held: several copies of a
/// harmless one may be running when many backend servers crash at once.
struct ReportCrash {
    std::string service;
    std::uint64_t server = 0; ///< ServerEntry::backendIncarnation of the backend server.
    std::uint32_t concurrency = 0; ///< Number of requests that were running, including those without a digest.
    std::vector<RequestDigest> running;
    std::vector<RequestDigest> isolated; ///< Those that ran as suspects.
};

/// Claims the right to run a suspect once. Conflicts if another trial was claimed or another crash was reported first.
struct ClaimTrial {
    RequestDigest digest = 0;
    std::uint64_t revision = 0; ///< SuspectRecord::revision that the claim is based on.
    std::uint32_t trials = 0; ///< SuspectRecord::trials that the claim is based on.
};

/// A suspect as of a revision.
struct SuspectRevision {
    RequestDigest digest = 0;
    std::uint64_t revision = 0;
};

/// Removes suspects that have completed at a backend server, or that an operator has released. A suspect that was running at a
/// later crash than the one of the given revision is kept.
struct ClearSuspects {
    std::vector<SuspectRevision> suspects;
};

namespace detail {

    /// \returns the records that \p report, at log index \p index, changes or removes. At most config::maxSuspects remain; those
    /// with the fewest and oldest crashes are removed first.
    std::vector<SuspectRecord> applyCrash(const SuspectMap& suspects, const ReportCrash& report, std::uint64_t index);

    /// \returns the record that \p claim changes, or nothing if the claim conflicts.
    std::vector<SuspectRecord> applyClaim(const SuspectMap& suspects, const ClaimTrial& claim);

    /// \returns the records that \p clear removes.
    std::vector<SuspectRecord> applyClear(const SuspectMap& suspects, const ClearSuspects& clear);

    /// Applies changed records to \p suspects.
    void applyRecords(SuspectMap& suspects, const std::vector<SuspectRecord>& records);

} // namespace detail

} // namespace pw
