#include "adapters/event_log_easylogging.h"
#include "adapters/libevent_util.h"
#include "adapters/termination_log.h"
#include "adapters/timers_libevent.h"
#include "app/daemon.h"
#include "app/secret_file.h"
#include "app/settings.h"
#include "app/yaml_reader.h"
#include "config.h"
#include "platform_interface.h"

#include <cxxopts.hpp>
#include <sys/stat.h>

#include <algorithm>
#include <array>
#include <csignal>
#include <iostream>
#include <tuple>
#include <utility>

namespace {

constexpr int exitRefused = 1; ///< Settings, secrets, ports or data folder are not usable.
constexpr int exitUsage = 2; ///< The command line is not understood.
constexpr int exitCutShort = 3; ///< SIGINT ended the daemon before its planned stop did.

struct Arguments {
    std::string config;
    bool checkOnly = false;
};

std::optional<Arguments> parseArguments(int argc, char** argv)
{
    cxxopts::Options options("pistachiowheeld", "Overload control daemon. Its roles come from its settings; see docs/SETTINGS.md.");
    options.add_options()("config", "settings file (YAML)", cxxopts::value<std::string>(), "FILE");
    options.add_options()("check", "check the settings and exit");
    options.add_options()("help", "show this text");
    try {
        auto parsed = options.parse(argc, argv);
        if (parsed.count("help")) {
            std::cout << options.help() << "\nExit codes: 0 stopped as planned, 1 refused to start, 2 usage, 3 stop cut short.\n";
            std::exit(0);
        }
        if (parsed.count("config") == 1 && parsed.unmatched().empty()) {
            return Arguments { parsed["config"].as<std::string>(), parsed.count("check") > 0 };
        }
    } catch (const cxxopts::exceptions::exception& error) {
        std::cerr << "pistachiowheeld: " << error.what() << '\n';
    }
    std::cerr << "usage: pistachiowheeld --config FILE [--check]\n";
    return std::nullopt;
}

pw::Level levelNamed(const std::string& name)
{
    constexpr std::array<std::string_view, 4> names { "debug", "info", "warning", "error" };
    const auto* it = std::ranges::find(names, name);
    return it == names.end() ? pw::Level::Info : static_cast<pw::Level>(it - names.begin());
}

/// Turns SIGTERM and SIGINT into a planned stop. During a stop SIGINT ends the daemon at once; a repeated SIGTERM is ignored.
class StopSignals {
public:
    StopSignals(event_base* base, pw::Daemon& daemon)
        : m_daemon(daemon)
    {
        constexpr std::array<int, 2> numbers { SIGTERM, SIGINT };
        std::ranges::transform(numbers, m_events.begin(), [&](int number) {
            pw::detail::EventPtr signal(evsignal_new(base, number, onSignal, this));
            event_add(signal.get(), nullptr);
            return signal;
        });
    }

private:
    static void onSignal(evutil_socket_t number, short, void* argument)
    {
        auto* self = static_cast<StopSignals*>(argument);
        if (std::exchange(self->m_seen, true)) {
            if (number == SIGINT) {
                std::_Exit(exitCutShort);
            }
            return;
        }
        self->m_daemon.stop();
    }

    pw::Daemon& m_daemon;
    bool m_seen = false;
    std::array<pw::detail::EventPtr, 2> m_events;
};

/// Follows changes of the settings file, told by SIGHUP or not.
class SettingsWatch {
public:
    SettingsWatch(event_base* base, pw::Timers& timers, pw::EventLog& log, std::string file, pw::Settings& settings, pw::Daemon& daemon)
        : m_timers(timers)
        , m_log(log)
        , m_file(std::move(file))
        , m_settings(settings)
        , m_daemon(daemon)
        , m_stamp(stamp())
        , m_signal(evsignal_new(base, SIGHUP, onSignal, this))
    {
        event_add(m_signal.get(), nullptr);
        poll();
    }

    ~SettingsWatch() { m_timers.cancel(m_timer); }
    SettingsWatch(const SettingsWatch&) = delete;
    SettingsWatch& operator=(const SettingsWatch&) = delete;

private:
    /// Changes with every change of the file that matters.
    using Stamp = std::tuple<ino_t, off_t, time_t, long>;

    static void onSignal(evutil_socket_t, short, void* argument) { static_cast<SettingsWatch*>(argument)->reload("signal"); }

    Stamp stamp() const
    {
        struct stat info { };
        return stat(m_file.c_str(), &info) == 0 ? Stamp { info.st_ino, info.st_size, info.st_mtim.tv_sec, info.st_mtim.tv_nsec } : Stamp {};
    }

    void poll()
    {
        if (const auto now = stamp(); now != m_stamp) {
            reload("file");
        }
        m_timer = m_timers.after(pw::config::settingsPollInterval, [this] { poll(); });
    }

    void reload(std::string_view cause)
    {
        m_stamp = stamp();
        std::string reason;
        const auto fresh = pw::loadSettings(m_file, reason);
        if (!fresh) {
            PW_EVENT(m_log, pw::Event::SettingsRefused, { "cause", cause }, { "reason", reason });
            return;
        }
        const auto waiting = pw::joinNames(pw::changesRequiringRestart(m_settings, *fresh));
        const auto taken = pw::joinNames(pw::applyReloadableChanges(m_settings, *fresh));
        PW_EVENT(m_log, pw::Event::SettingsReloaded, { "cause", cause }, { "taken", taken }, { "atNextStart", waiting });
        m_daemon.reloaded();
    }

    pw::Timers& m_timers;
    pw::EventLog& m_log;
    std::string m_file;
    pw::Settings& m_settings;
    pw::Daemon& m_daemon;
    Stamp m_stamp;
    pw::detail::EventPtr m_signal;
    pw::TimerId m_timer = 0;
};

int refused(const std::string& reason)
{
    std::cerr << "pistachiowheeld: " << reason << '\n';
    return exitRefused;
}

std::optional<pw::Secrets> readSecrets(const pw::Settings& settings, std::string& reason)
{
    pw::Secrets secrets;
    if (!settings.fleetSecretFile.empty()) {
        auto fleet = pw::readSecretFile(settings.fleetSecretFile, reason);
        if (!fleet) {
            return std::nullopt;
        }
        secrets.fleet = std::move(*fleet);
    }
    if (!settings.operatorSecretFile.empty()) {
        auto operators = pw::readSecretFile(settings.operatorSecretFile, reason);
        if (!operators) {
            return std::nullopt;
        }
        secrets.operators = std::move(*operators);
    }
    return secrets;
}

int run(const std::string& file, pw::Settings& settings, pw::Secrets secrets)
{
    std::signal(SIGPIPE, SIG_IGN);
    std::signal(SIGXFSZ, SIG_IGN); // A write beyond the file size limit then fails as on a full disk.
    pw::detail::BasePtr base(event_base_new());
    pw::TimersLibevent timers(base.get());
    pw::EasyloggingEventLog log({ levelNamed(settings.logLevel), settings.logFile, settings.decisionSampling, pw::LogOutput::maxFileBytes, settings.logToStdout }, &timers);
    std::string reason;
    if (!log.open(reason)) {
        return refused(reason);
    }
    const pw::TerminationLog termination(log);
    pw::Daemon daemon(base.get(), timers, log, settings, std::move(secrets));
    StopSignals signals(base.get(), daemon);
    if (!daemon.init(reason)) {
        log.flush();
        return refused(reason);
    }
    SettingsWatch watch(base.get(), timers, log, file, settings, daemon);
    event_base_dispatch(base.get());
    return 0;
}

} // namespace

int main(int argc, char** argv)
{
    pw::platform::registerPlatform();
    auto arguments = parseArguments(argc, argv);
    if (!arguments) {
        return exitUsage;
    }
    std::string reason;
    auto settings = pw::loadSettings(arguments->config, reason);
    if (!settings) {
        return refused(reason);
    }
    auto secrets = readSecrets(*settings, reason);
    if (!secrets) {
        return refused(reason);
    }
    return arguments->checkOnly ? 0 : run(arguments->config, *settings, std::move(*secrets));
}
