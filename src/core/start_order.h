#pragma once

#include "core/types.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <string>

namespace pw {

/// What an announcement says of the start of the backend server that sent it.
struct AnnouncedStart {
    std::string instance; ///< May be empty.
    std::uint64_t started = 0; ///< Start time by the server's clock, in ms since the epoch; zero if unknown.
    std::uint64_t sequence = 0; ///< Increases with each announcement of one start.

    bool isSameStart(const AnnouncedStart& other) const { return instance == other.instance && started == other.started; }
};

/// Meaning of an announcement.
enum class StartVerdict : std::uint8_t {
    Current, ///< From the current start.
    New, ///< From a start that is to become the current one.
    Outdated, ///< Overtaken by a later announcement of the same start.
    Unproven, ///< From a start that is either over, with a late announcement, or new although its clock says otherwise.
    Count
};

/// Tells which start of a backend server is the current one. Announcements may be late, and the time of day of the server's VM may
/// jump back between two starts. A start that looks older than the current one takes over when it goes on announcing itself
/// while the current one is silent.
class StartOrder {
public:
    /// Judges an announcement that arrives at \p now. Unproven announcements are remembered.
    StartVerdict judge(const AnnouncedStart& announced, TimePoint now);

    /// Notes that \p announced is the latest announcement of the current start, or of one that replaces it.
    void accept(const AnnouncedStart& announced);

    /// \returns whether \p announced has been the current start before.
    bool isEarlier(const AnnouncedStart& announced) const;

private:
    struct Challenger {
        AnnouncedStart announced; ///< As last heard.
        TimePoint since; ///< First announcement since the current start was last heard.
    };

    StartVerdict challenge(const AnnouncedStart& announced, TimePoint now);

    std::optional<AnnouncedStart> m_current;
    std::deque<AnnouncedStart> m_earlier; ///< Oldest first.
    std::optional<Challenger> m_challenger;
};

} // namespace pw
