#include "app/settings.h"

#include <algorithm>
#include <tuple>

namespace pw {
namespace {

    /// A key of the settings file and the member that holds its value.
    template <typename Value>
    struct SettingRow {
        std::string_view key;
        Value Settings::*member;
    };
    template <typename Value>
    SettingRow(const char*, Value Settings::*) -> SettingRow<Value>;

    /// Settings that may change at run time.
    constexpr std::tuple reloadableSettings {
        SettingRow { "backend.service", &Settings::localService },
        SettingRow { "backend.announcementLease", &Settings::announcementLease },
        SettingRow { "control.seeds", &Settings::controlSeeds },
        SettingRow { "control.whenUnreachable", &Settings::refuseWithoutControl },
        SettingRow { "bounds.drain", &Settings::drainTimeout },
        SettingRow { "bounds.stop", &Settings::stopTimeout },
        SettingRow { "retryBudget", &Settings::retryBudget },
        SettingRow { "rateTolerance", &Settings::rateTolerance },
        SettingRow { "admission.outlook", &Settings::outlook },
    };

    /// Settings that take effect only at start.
    constexpr std::tuple startupSettings {
        SettingRow { "daemon.name", &Settings::name },
        SettingRow { "daemon.region", &Settings::region },
        SettingRow { "daemon.failureDomain", &Settings::failureDomain },
        SettingRow { "roles", &Settings::entry },
        SettingRow { "roles", &Settings::server },
        SettingRow { "roles", &Settings::control },
        SettingRow { "interface", &Settings::interfaceName },
        SettingRow { "peer.address", &Settings::peerAddress },
        SettingRow { "peer.listen", &Settings::peerListenAddress },
        SettingRow { "caller.address", &Settings::callerAddress },
        SettingRow { "backend.address", &Settings::backendListenAddress },
        SettingRow { "operator.address", &Settings::operatorAddress },
        SettingRow { "ready.address", &Settings::readyAddress },
        SettingRow { "metrics.address", &Settings::metricsAddress },
        SettingRow { "control.members", &Settings::controlMembers },
        SettingRow { "control.dataFolder", &Settings::dataFolder },
        SettingRow { "control.toleratedLosses", &Settings::toleratedLosses },
        SettingRow { "secrets.fleet", &Settings::fleetSecretFile },
        SettingRow { "secrets.operator", &Settings::operatorSecretFile },
        SettingRow { "warmUp", &Settings::warmUp },
        SettingRow { "quarantine", &Settings::quarantine },
        SettingRow { "limit.strategy", &Settings::limitStrategy },
        SettingRow { "limit.start", &Settings::limitStart },
        SettingRow { "admission.prices", &Settings::priceMode },
        SettingRow { "limit.headroom", &Settings::limitHeadroom },
        SettingRow { "pick.by", &Settings::pickBy },
        SettingRow { "log.level", &Settings::logLevel },
        SettingRow { "log.file", &Settings::logFile },
        SettingRow { "log.decisionSampling", &Settings::decisionSampling },
        SettingRow { "log.stream", &Settings::logToStdout },
    };

    template <typename Value>
    void applyChange(const SettingRow<Value>& row, Settings& settings, const Settings& updated, std::vector<std::string_view>& changed)
    {
        if (settings.*(row.member) != updated.*(row.member)) {
            settings.*(row.member) = updated.*(row.member);
            changed.push_back(row.key);
        }
    }

} // namespace

std::vector<std::string_view> applyReloadableChanges(Settings& settings, const Settings& updated)
{
    std::vector<std::string_view> changed;
    std::apply([&](const auto&... row) { (applyChange(row, settings, updated, changed), ...); }, reloadableSettings);
    return changed;
}

std::vector<std::string_view> changesRequiringRestart(const Settings& settings, const Settings& updated)
{
    std::vector<std::string_view> changed;
    std::apply([&](const auto&... row) { ((settings.*(row.member) != updated.*(row.member) ? changed.push_back(row.key) : void()), ...); },
        startupSettings);
    return changed;
}

} // namespace pw
