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

/// Log events. Each has a row in the table in events.cpp and in docs/EVENTS.md.
enum class Event : std::uint16_t {
    DaemonStarted,
    DaemonStopping,
    DaemonStopped,
    SettingsRefused,
    SettingsReloaded,
    LogLinesLost,
    DaemonFailed,
    OperatorRefused,
    OperatorChange,
    ConfigurationRead,
    EvacuationOrdered,
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
    RouteOutlookChanged,
    SlotPricesKnown,
    RequestGivenUp,
    RequestQuarantined,
    TrialDecided,
    AnnouncementRefused,
    BackendAnnounced,
    BackendStarted,
    BackendLeft,
    BackendLapsed,
    BackendFailed,
    BackendError,
    BackendRateChanged,
    BackendStatementUnreadable,
    BackendStatedLeaving,
    StartRampBegan,
    StartRampSteppedBack,
    StartRampEnded,
    WarmUpBegan,
    WarmUpEnded,
    ProbeFailed,
    EvacuationBegan,
    EvacuationEnded,
    EvacuationRefused,
    CallGivenUp,
    BackendCrashed,
    SuspectIsolated,
    BackendStartUnproven,
    DepartureRecorded,
    DepartureUnconfirmed,
    ConfigurationApplied,
    ValidityLapsed,
    ValidityRenewed,
    ControlRoleChanged,
    ControlStopped,
    ControlResumed,
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
    EvacuationApplied,
    SuspectRecorded,
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
    std::uint16_t number; ///< Number of the event; never changed or reused.
    std::string_view name;
    Level level;
    bool decision; ///< A routing, admission or placement decision, subject to the sampling rate in the settings.
};

/// \returns the row of \p event.
const EventInfo& eventInfo(Event event);

/// A named value of an event. Must never hold a key or a secret.
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

/// Interface for writing events to the log.
class EventLog {
public:
    virtual ~EventLog() = default;

    /// \returns whether \p event is to be written now. Every call counts towards sampling.
    virtual bool shouldWrite(Event event) = 0;

    /// Writes \p event as one line.
    virtual void write(Event event, std::initializer_list<EventField> fields) = 0;
};

/// Writes an event when the log wants it. The fields are evaluated only then.
#define PW_EVENT(log, event, ...)                \
    do {                                         \
        if ((log).shouldWrite(event)) {          \
            (log).write(event, { __VA_ARGS__ }); \
        }                                        \
    } while (false)

} // namespace pw
