#pragma once

#include "options.h"

#include "support/http_client.h"
#include "support/loop.h"

#include <cstdint>

namespace pw::standin {

/// Tells the daemon beside, each second, that this backend server lives; or, once, that it leaves.
class Announcer {
public:
    Announcer(event_base* base, const Options& options);

    /// Stops announcing and sends the leave message.
    void leave();
    /// Stops announcing without a word, or goes on.
    void setSilent(bool silent) { m_silent = silent; }
    /// Announces again after leave().
    void join();

    /// \returns how many announcements the daemon accepted.
    std::uint64_t accepted() const { return m_accepted; }

private:
    void announce();

    Options m_options;
    support::HttpClient m_daemon;
    support::Ticker m_ticker;
    bool m_leaving = false;
    bool m_silent = false;
    std::uint64_t m_accepted = 0;
};

} // namespace pw::standin
