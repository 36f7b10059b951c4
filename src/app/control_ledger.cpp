#include "app/control_ledger.h"

#include "adapters/codec_grants.h"
#include "config.h"
#include "core/ledger.h"

#include <map>
#include <memory>
#include <optional>
#include <utility>

namespace pw {

class ControlLedger::Impl {
public:
    Impl(const Settings& settings, PeerNetwork& network, Timers& timers, EventLog& events, FleetView& fleet, Leadership& leadership)
        : m_settings(settings)
        , m_network(network)
        , m_timers(timers)
        , m_events(events)
        , m_fleet(fleet)
        , m_leadership(leadership)
    {
        m_network.onMessage(MessageKind::GrantAsk, [this](const PeerAddress& from, std::span<const std::byte> message) { handleRequests(from, message); });
        m_fleet.onChanged([this, alive = std::weak_ptr(m_alive)] {
            if (!alive.expired()) {
                update();
            }
        });
        m_leadership.onChanged([this, alive = std::weak_ptr(m_alive)](bool leading) {
            if (!alive.expired()) {
                leadershipChanged(leading);
            }
        });
        update();
    }

    Impl(const Impl&) = delete;
    Impl& operator=(const Impl&) = delete;

    ~Impl()
    {
        m_network.onMessage(MessageKind::GrantAsk, {});
        m_timers.cancel(m_grantTimer);
    }

private:
    /// Creates the ledger of a new epoch and applies the configuration. If the leader lease lapses and is renewed within one
    /// epoch, the ledger is kept: no other member can have led in that epoch, and its generation numbers must not repeat.
    /// \returns whether this member owns the rates now.
    bool update()
    {
        const auto now = m_timers.now();
        if (!m_leadership.leading(now)) {
            return false;
        }
        const auto epoch = m_leadership.epoch();
        if (!m_ledger || m_epoch != epoch) {
            m_epoch = epoch;
            m_ledger.emplace(epoch, config::grantLifetime, m_settings.rateTolerance);
            m_configured = false;
            PW_EVENT(m_events, Event::LedgerOpened, { "epoch", epoch });
        }
        if (!m_configured || m_version != m_fleet.version()) {
            m_configured = true;
            m_version = m_fleet.version();
            m_ledger->configure(m_fleet.deployment().workspaces, now);
        }
        return true;
    }

    void leadershipChanged(bool leading)
    {
        if (!leading && m_ledger) {
            PW_EVENT(m_events, Event::LedgerClosed, { "epoch", m_epoch });
        }
        update();
    }

    void handleRequests(const PeerAddress& from, std::span<const std::byte> message)
    {
        const auto batch = decodeGrantAsk(message);
        if (!batch) {
            PW_EVENT(m_events, Event::FrameRefused, { "from", from }, { "kind", "grant-ask" });
            return;
        }
        GrantReplyBatch reply;
        reply.leader = m_leadership.leader();
        reply.owner = update();
        if (reply.owner) {
            reply.replies = m_ledger->handleRequests({ from, batch->incarnation }, batch->requests, m_timers.now());
            scheduleGrants();
        }
        if (!reply.owner || !reply.replies.empty()) {
            m_network.send(from, MessageKind::GrantReply, encodeGrantReply(reply));
        }
    }

    void scheduleGrants()
    {
        if (!m_grantTimer && m_ledger->hasWaiting()) {
            m_grantTimer = m_timers.after(config::grantServeInterval, [this] { grantToWaiting(); });
        }
    }

    void grantToWaiting()
    {
        m_grantTimer = 0;
        if (!update()) {
            return;
        }
        std::map<PeerAddress, GrantReplyBatch> batches;
        for (auto& [holder, reply] : m_ledger->grantToWaiting(m_timers.now())) {
            batches[holder.address].replies.push_back(std::move(reply));
        }
        for (const auto& [address, batch] : batches) {
            m_network.send(address, MessageKind::GrantReply, encodeGrantReply(batch));
        }
        scheduleGrants();
    }

    const Settings& m_settings;
    PeerNetwork& m_network;
    Timers& m_timers;
    EventLog& m_events;
    FleetView& m_fleet;
    Leadership& m_leadership;
    std::optional<Ledger> m_ledger; ///< Of the last epoch in which this member led.
    std::uint64_t m_epoch = 0; ///< Epoch of the ledger.
    std::uint64_t m_version = 0; ///< Version of the configuration that the ledger applies.
    bool m_configured = false; ///< Whether the ledger has a configuration.
    TimerId m_grantTimer = 0;
    std::shared_ptr<int> m_alive = std::make_shared<int>();
};

ControlLedger::ControlLedger(const Settings& settings, PeerNetwork& network, Timers& timers, EventLog& events, FleetView& fleet, Leadership& leadership)
    : m_impl(std::make_unique<Impl>(settings, network, timers, events, fleet, leadership))
{
}

ControlLedger::~ControlLedger() = default;

} // namespace pw
