#pragma once

#include "adapters/backend_client.h"
#include "app/settings.h"
#include "core/backend_rate.h"
#include "core/warm_up.h"
#include "pistachiowheel/pistachiowheel.h"
#include "ports/backend_protocol.h"
#include "ports/events.h"
#include "ports/timers.h"

#include <sigc++/sigc++.h>

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace pw {

/// How a request was held back by the warm-up rate.
enum class WarmUpOutcome : std::uint8_t {
    Waited,
    Refused,
    Count
};

/// Why the warm-up state of a backend server is unknown.
enum class UnknownCause : std::uint8_t {
    DaemonStarted,
    BackendStarted,
    ConnectionLost,
    EvacuationFinished,
    Configured, ///< Its service is limited while cold only since the last configuration.
    Count
};

/// Keeps the WarmUp of the backend server beside a daemon informed: applies the configuration, passes on announcements and
/// lost connections, and probes the server while its state is unknown.
class WarmUpMonitor {
public:
    struct Dependencies {
        Timers& timers;
        EventLog& log;
        const BackendProtocol& protocol;
        const Settings& settings;
        BackendClient& client;
        WarmUp& warmUp;
        BackendRate& rate; ///< Limit that the backend server states; probes count towards it.
    };

    /// The backend server as last announced.
    struct Server {
        std::string service;
        std::string instance;
        std::uint32_t connections = 1;
        std::optional<std::chrono::milliseconds> warmUpTime; ///< Remaining warm-up time, if announced.
    };

    explicit WarmUpMonitor(const Dependencies& parts);
    ~WarmUpMonitor();
    WarmUpMonitor(const WarmUpMonitor&) = delete;
    WarmUpMonitor& operator=(const WarmUpMonitor&) = delete;

    /// Applies the services of a configuration.
    void setServices(std::vector<Service> services);

    /// Handles an announcement of the backend server.
    /// \param event what the announcement is the first one after; empty if it only renews an earlier one.
    void onAnnounced(Server server, std::optional<UnknownCause> event);

    /// Handles an event after which the server may be cold.
    void onStateUnknown(UnknownCause cause);

    /// Stops probing until the next announcement, since the server gets no more requests.
    void pause() { m_inUse = false; }

    /// Handles the evacuation of the server's failure domain, during which it is not probed, and its end.
    void setEvacuated(bool evacuated);

    /// Records a request that was held back, for the log.
    void recordHeldBack(WarmUpOutcome outcome);

    /// \returns the requests per second to publish; zero while the server is not limited.
    double rate() const { return m_publishedRate; }

    /// Emitted when rate() is to be published.
    sigc::signal<void()>& rateChanged() { return m_rateChanged; }
    /// Emitted when more requests may be started than before.
    sigc::signal<void()>& limitLifted() { return m_limitLifted; }

private:
    WarmUpSettings settings() const;
    void configure();
    const Service* service() const;
    std::optional<HttpRequest> probeRequest() const;
    void acceptAnnouncement(TimePoint now);
    void update(std::string_view cause);
    void reportLimit(std::string_view cause, TimePoint now);
    void publishRate(TimePoint now);
    void probeSoon();
    void probe();
    void onProbed(TimePoint askedAt, const BackendResult& result);
    void reportFailure(const BackendResult& result, TimePoint now);

    Dependencies m_parts;
    std::vector<Service> m_services;
    bool m_configured = false; ///< A configuration has been received.
    Server m_server;
    bool m_enabled = false; ///< The warm-up rate of the service is limited.
    bool m_inUse = false; ///< The server gets requests.
    bool m_evacuated = false;
    TimePoint m_unknownSince {}; ///< Last event after which the server may be cold.
    bool m_wasLimiting = false;
    TimePoint m_limitingSince {};
    double m_publishedRate = 0;
    std::uint32_t m_waited = 0; ///< Since the limit began.
    std::uint32_t m_refused = 0;
    std::uint32_t m_failures = 0; ///< Of probes in a row.
    TimePoint m_failureReported {};
    TimerId m_probeTimer = 0;
    TimerId m_checkTimer = 0;
    sigc::signal<void()> m_rateChanged;
    sigc::signal<void()> m_limitLifted;
};

} // namespace pw
