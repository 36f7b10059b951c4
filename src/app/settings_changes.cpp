#include "app/settings.h"

#include <algorithm>
#include <tuple>

namespace pw {
namespace {

    /// A key of the file and where its value is kept.
    template <typename Value>
    struct MemberRow {
        std::string_view key;
        Value Settings::*member;
    };
    template <typename Value>
    MemberRow(const char*, Value Settings::*) -> MemberRow<Value>;

    /// What may change while the daemon runs.
    constexpr std::tuple reloadable {
        MemberRow { "backend.service", &Settings::localService },
        MemberRow { "backend.announcementLease", &Settings::announcementLease },
        MemberRow { "control.seeds", &Settings::controlSeeds },
        MemberRow { "control.whenUnreachable", &Settings::refuseWithoutControl },
        MemberRow { "bounds.drain", &Settings::drainTime },
        MemberRow { "bounds.stop", &Settings::stopTime },
        MemberRow { "retryBudget", &Settings::retryBudget },
        MemberRow { "rateTolerance", &Settings::rateTolerance },
    };

    /// What takes effect at the next start only.
    constexpr std::tuple fixed {
        MemberRow { "daemon.name", &Settings::name },
        MemberRow { "daemon.region", &Settings::region },
        MemberRow { "daemon.failureDomain", &Settings::failureDomain },
        MemberRow { "roles", &Settings::entry },
        MemberRow { "roles", &Settings::server },
        MemberRow { "roles", &Settings::control },
        MemberRow { "interface", &Settings::interfaceName },
        MemberRow { "peer.address", &Settings::peerAddress },
        MemberRow { "peer.listen", &Settings::peerListenAddress },
        MemberRow { "caller.address", &Settings::callerAddress },
        MemberRow { "backend.address", &Settings::backendSideAddress },
        MemberRow { "operator.address", &Settings::operatorAddress },
        MemberRow { "ready.address", &Settings::readyAddress },
        MemberRow { "metrics.address", &Settings::metricsAddress },
        MemberRow { "control.members", &Settings::controlMembers },
        MemberRow { "control.dataFolder", &Settings::dataFolder },
        MemberRow { "control.toleratedLosses", &Settings::toleratedLosses },
        MemberRow { "secrets.fleet", &Settings::fleetSecretFile },
        MemberRow { "secrets.operator", &Settings::operatorSecretFile },
        MemberRow { "limit.strategy", &Settings::limitStrategy },
        MemberRow { "limit.headroom", &Settings::limitHeadroom },
        MemberRow { "log.level", &Settings::logLevel },
        MemberRow { "log.file", &Settings::logFile },
        MemberRow { "log.decisionSampling", &Settings::decisionSampling },
        MemberRow { "log.stream", &Settings::logToOutput },
    };

    template <typename Value>
    void takeChange(const MemberRow<Value>& row, Settings& settings, const Settings& fresh, std::vector<std::string_view>& changed)
    {
        if (settings.*(row.member) != fresh.*(row.member)) {
            settings.*(row.member) = fresh.*(row.member);
            changed.push_back(row.key);
        }
    }

} // namespace

std::vector<std::string_view> takeChanges(Settings& settings, const Settings& fresh)
{
    std::vector<std::string_view> changed;
    std::apply([&](const auto&... row) { (takeChange(row, settings, fresh, changed), ...); }, reloadable);
    return changed;
}

std::vector<std::string_view> changesForRestart(const Settings& settings, const Settings& fresh)
{
    std::vector<std::string_view> changed;
    std::apply([&](const auto&... row) { ((settings.*(row.member) != fresh.*(row.member) ? changed.push_back(row.key) : void()), ...); },
        fixed);
    return changed;
}

} // namespace pw
