#include "ports/events.h"

namespace pw {
namespace {

    constexpr std::array<EventInfo, static_cast<std::size_t>(Event::Count)> eventTable { {
        { 100, "daemon-started", Level::Info, false },
        { 101, "daemon-stopping", Level::Info, false },
        { 102, "daemon-stopped", Level::Info, false },
        { 103, "settings-refused", Level::Error, false },
        { 105, "settings-reloaded", Level::Info, false },
        { 104, "log-lines-lost", Level::Warning, false },
        { 110, "operator-refused", Level::Warning, false },
        { 111, "operator-change", Level::Info, false },
        { 112, "configuration-read", Level::Info, false },
        { 200, "link-opened", Level::Debug, false },
        { 201, "link-closed", Level::Debug, false },
        { 202, "link-refused", Level::Warning, false },
        { 203, "frame-refused", Level::Warning, false },
        { 204, "connections-bounded", Level::Warning, false },
        { 205, "peer-silent", Level::Warning, false },
        { 206, "peer-heard", Level::Info, false },
        { 207, "link-set-aside", Level::Info, false },
        { 208, "link-heard-again", Level::Info, false },
        { 300, "request-refused", Level::Info, true },
        { 301, "request-done", Level::Debug, true },
        { 302, "route-decision", Level::Info, true },
        { 303, "retry-decision", Level::Info, true },
        { 304, "admission-refused", Level::Info, true },
        { 305, "price-changed", Level::Info, false },
        { 405, "announcement-refused", Level::Warning, false },
        { 400, "backend-announced", Level::Info, false },
        { 404, "backend-started", Level::Info, false },
        { 401, "backend-left", Level::Info, false },
        { 402, "backend-lapsed", Level::Warning, false },
        { 403, "backend-failed", Level::Warning, true },
        { 406, "backend-error", Level::Info, true },
        { 407, "backend-rate-changed", Level::Info, false },
        { 408, "backend-statement-unreadable", Level::Warning, true },
        { 409, "backend-stated-leaving", Level::Info, false },
        { 420, "start-ramp-began", Level::Info, false },
        { 421, "start-ramp-stepped-back", Level::Info, false },
        { 422, "start-ramp-ended", Level::Info, false },
        { 500, "configuration-applied", Level::Info, false },
        { 501, "validity-lapsed", Level::Warning, false },
        { 502, "validity-renewed", Level::Info, false },
        { 503, "control-role-changed", Level::Info, false },
        { 504, "control-stopped", Level::Error, false },
        { 505, "control-members-changed", Level::Info, false },
        { 506, "control-member-removed", Level::Error, false },
        { 507, "log-tail-repaired", Level::Warning, false },
        { 508, "log-compacted", Level::Info, false },
        { 509, "change-decided", Level::Info, false },
        { 510, "session-moved", Level::Info, false },
        { 511, "cluster-founded", Level::Info, false },
        { 512, "configuration-unreadable", Level::Error, false },
        { 513, "cluster-mismatch", Level::Error, false },
        { 514, "configuration-base-differs", Level::Warning, false },
        { 600, "ledger-opened", Level::Info, false },
        { 601, "ledger-closed", Level::Info, false },
        { 602, "rate-refused", Level::Info, true },
        { 603, "rate-owner-silent", Level::Warning, false },
        { 610, "claim-replica-ready", Level::Info, false },
        { 611, "claim-replica-refilling", Level::Info, false },
        { 612, "claim-decided", Level::Debug, true },
        { 620, "view-attached", Level::Info, false },
        { 621, "view-member-silent", Level::Warning, false },
        { 622, "view-server-added", Level::Info, false },
        { 623, "view-server-leaving", Level::Info, false },
        { 624, "view-server-lapsed", Level::Warning, false },
    } };

} // namespace

const EventInfo& eventInfo(Event event)
{
    return eventTable.at(static_cast<std::size_t>(event));
}

} // namespace pw
