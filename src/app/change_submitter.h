#pragma once

#include "app/settings.h"
#include "core/change.h"
#include "ports/control_attachment.h"
#include "ports/peer_network.h"
#include "ports/timers.h"

#include <cstdint>
#include <functional>
#include <map>

namespace pw {

/// Submits changes of the replicated state on behalf of this daemon, and sends each one again, perhaps to another control
/// member, until control has decided it.
class ChangeSubmitter {
public:
    using Done = std::function<void(bool accepted)>;

    /// Everything must outlive this object.
    ChangeSubmitter(const Settings& settings, const ControlAttachment& attachment, PeerNetwork& network, Timers& timers);
    ~ChangeSubmitter();
    ChangeSubmitter(const ChangeSubmitter&) = delete;
    ChangeSubmitter& operator=(const ChangeSubmitter&) = delete;

    /// Submits a change. \p done may be empty; it is called once, never from within this call, at the latest after \p timeout:
    /// then with false, although the change may still be accepted.
    void submit(decltype(Change::operation) operation, Duration timeout, Done done);

private:
    /// A change that control has not decided.
    struct Submitted {
        Change change;
        TimePoint giveUpAt {};
        Done done;
    };

    void send(std::uint64_t token);
    void scheduleRetry();
    void retry();
    void finish(std::uint64_t token, bool accepted);
    void onReply(std::span<const std::byte> message);

    const Settings& m_settings;
    const ControlAttachment& m_attachment;
    PeerNetwork& m_network;
    Timers& m_timers;
    std::map<std::uint64_t, Submitted> m_submitted; ///< By token.
    std::uint64_t m_lastToken; ///< Random at first, so that change ids differ from those of an earlier process.
    TimerId m_retryTimer = 0;
};

} // namespace pw
