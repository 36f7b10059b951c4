#pragma once

#include <array>
#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>

namespace pw {

/// Severity of an event.
enum class Level : std::uint8_t {
    Debug,
    Info,
    Warning,
    Error,
    Count
};

/// Numbered events. Each has a row in the table of events.cpp and in docs/EVENTS.md.
enum class Event : std::uint16_t {
    DaemonStarted,
    DaemonStopping,
    DaemonStopped,
    SettingsRefused,
    SettingsReloaded,
    LogLinesLost,
    OperatorRefused,
    OperatorChange,
    ConfigurationRead,
    LinkOpened,
    LinkClosed,
    LinkRefused,
    FrameRefused,
    ConnectionsBounded,
    PeerSilent,
    PeerHeard,
    LinkSetAside,
    LinkHeardAgain,
    RequestRefused,
    RequestDone,
    RouteDecision,
    RetryDecision,
    AdmissionRefused,
    PriceChanged,
    AnnouncementRefused,
    BackendAnnounced,
    BackendStarted,
    BackendLeft,
    BackendLapsed,
    BackendFailed,
    BackendError,
    ConfigurationApplied,
    ValidityLapsed,
    ValidityRenewed,
    ControlRoleChanged,
    ControlStopped,
    ControlMembersChanged,
    ControlMemberRemoved,
    LogTailRepaired,
    LogCompacted,
    ChangeDecided,
    SessionMoved,
    ClusterFounded,
    ConfigurationUnreadable,
    ClusterMismatch,
    ConfigurationBaseDiffers,
    LedgerOpened,
    LedgerClosed,
    RateRefused,
    RateOwnerSilent,
    ClaimReplicaReady,
    ClaimReplicaRefilling,
    ClaimDecided,
    ViewAttached,
    ViewMemberSilent,
    ViewServerAdded,
    ViewServerLeaving,
    ViewServerLapsed,
    Count
};

/// Row of the event table.
struct EventInfo {
    std::uint16_t number; ///< Stable, never reused.
    std::string_view name;
    Level level;
    bool decision; ///< A routing, admission or placement decision: sampled by settings.
};

/// \returns the row of \p event.
const EventInfo& eventInfo(Event event);

/// A named value of an event line. Never holds a key or a secret.
struct EventField {
    EventField(std::string_view fieldName, std::string_view text)
        : name(fieldName)
        , value(text)
    {
    }
    EventField(std::string_view fieldName, const char* text)
        : name(fieldName)
        , value(text)
    {
    }
    EventField(std::string_view fieldName, const std::string& text)
        : name(fieldName)
        , value(text)
    {
    }
    template <typename Number>
    EventField(std::string_view fieldName, Number number)
        : name(fieldName)
        , value(std::to_string(number))
    {
    }

    std::string_view name;
    std::string value;
};

/// Port: where event lines go.
class EventLog {
public:
    virtual ~EventLog() = default;

    /// \returns whether a line of \p event would be written now; counts towards sampling.
    virtual bool wants(Event event) = 0;

    /// Writes one line.
    virtual void write(Event event, std::initializer_list<EventField> fields) = 0;
};

/// Writes a line when the log wants it. Arguments are built only then.
#define PW_EVENT(log, event, ...)                \
    do {                                         \
        if ((log).wants(event)) {                \
            (log).write(event, { __VA_ARGS__ }); \
        }                                        \
    } while (false)

} // namespace pw
