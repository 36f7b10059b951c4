#include "app/control_view.h"

#include "adapters/codec_view.h"
#include "config.h"
#include "core/membership_view.h"

#include <algorithm>
#include <map>
#include <utility>
#include <variant>

namespace pw {
namespace {

    std::vector<std::string> otherMembers(const Settings& settings, const std::string& self)
    {
        auto result = controlPeerAddresses(settings);
        std::erase(result, self);
        return result;
    }

} // namespace

class ControlView::Impl {
public:
    Impl(const Settings& settings, PeerNetwork& network, Timers& timers, std::uint64_t seed, EventLog& events)
        : m_network(network)
        , m_timers(timers)
        , m_stream(seed)
        , m_events(events)
        , m_others(otherMembers(settings, network.self()))
        , m_view(network.self(), m_others, { config::announcementLease, config::viewMemberGrace, config::viewTombstoneRetention }, timers.now())
    {
        m_network.onMessage(MessageKind::ServerReport, [this](const PeerAddress& from, std::span<const std::byte> bytes) { received(from, bytes); });
        sendToMembers(MemberSyncRequest {});
        tick();
    }

    Impl(const Impl&) = delete;
    Impl& operator=(const Impl&) = delete;

    ~Impl()
    {
        m_network.onMessage(MessageKind::ServerReport, {});
        m_timers.cancel(m_tickTimer);
        m_timers.cancel(m_pushTimer);
    }

    std::size_t attached() const { return m_daemons.size(); }

    void setMembers(std::vector<PeerAddress> members)
    {
        std::erase(members, m_network.self());
        m_others = std::move(members);
        m_view.setOthers(m_others, m_timers.now());
        sendToMembers(MemberSyncRequest {});
    }

private:
    /// A daemon attached to this member.
    struct Daemon {
        std::string server; ///< Name of its backend server, once known.
        TimePoint lastContact;
        std::uint64_t sentPosition = 0; ///< Position up to which changes have been sent to it.
        TimePoint fullViewSent;
    };

    void sendToMembers(const ViewMemberMessage& message)
    {
        const auto bytes = encodeViewMessage(message);
        std::ranges::for_each(m_others, [&](const auto& other) { m_network.send(other, MessageKind::ServerReport, bytes); });
    }

    void received(const PeerAddress& from, std::span<const std::byte> bytes)
    {
        const auto message = decodeViewMessage(bytes);
        if (!message) {
            PW_EVENT(m_events, Event::FrameRefused, { "from", from }, { "kind", "server-report" });
            return;
        }
        std::visit([this, &from](const auto& it) { handle(from, it); }, *message);
    }

    void handle(const PeerAddress& from, DaemonReport report)
    {
        const auto now = m_timers.now();
        auto& daemon = m_daemons[from];
        daemon.lastContact = now;
        if (report.entry) {
            report.entry->daemon = from;
            daemon.server = report.entry->name;
        }
        const bool unnamed = daemon.server.empty() && report.incarnation;
        const bool known = !unnamed && m_view.report(daemon.server, report, now);
        shareChanges();
        reply(from, daemon, report, !known);
    }

    void handle(const PeerAddress& from, const MemberRecords& records)
    {
        m_view.merge(from, records, m_timers.now());
        shareChanges();
    }

    void handle(const PeerAddress& from, const MemberDigest& digest)
    {
        if (m_view.compareDigest(from, digest, m_timers.now())) {
            m_network.send(from, MessageKind::ServerReport, encodeViewMessage(MemberSyncRequest {}));
        }
    }

    void handle(const PeerAddress& from, const MemberSyncRequest& /*ask*/)
    {
        m_network.send(from, MessageKind::ServerReport, encodeViewMessage(MemberRecords { true, m_view.ownedRecords() }));
    }

    /// \returns the minimum time between two full views; shorter for a new process, which cannot serve without a view.
    static Duration fullViewIntervalFor(const DaemonReport& report)
    {
        return report.stream == 0 ? config::minFirstFullViewInterval : config::minFullViewInterval;
    }

    /// Replies to a report with the changes that the daemon lacks, often none.
    void reply(const PeerAddress& address, Daemon& daemon, const DaemonReport& report, bool wantEntry)
    {
        const auto now = m_timers.now();
        const bool sameView = report.digest == m_view.digest();
        ViewDelta delta;
        delta.stream = m_stream;
        delta.wantEntry = wantEntry;
        delta.to = m_view.position();
        const bool following = report.stream == m_stream && m_view.hasChangesAfter(report.position);
        const bool diverged = following && report.position == m_view.position() && !sameView;
        if (following && !diverged) {
            delta.from = report.position;
            delta.changes = m_view.changesAfter(report.position);
        } else if (sameView) {
            delta.fullView = true;
        } else if (now - daemon.fullViewSent >= fullViewIntervalFor(report)) {
            daemon.fullViewSent = now;
            delta.fullView = true;
            delta.replace = m_view.isComplete(now);
            delta.changes = m_view.all();
        } else {
            delta.from = delta.to;
        }
        daemon.sentPosition = delta.to;
        m_network.send(address, MessageKind::ViewDelta, encodeViewDelta(delta));
    }

    /// Sends changed records to the other members immediately and schedules the push to the daemons.
    void shareChanges()
    {
        auto records = m_view.takeChanged();
        std::ranges::for_each(records, [this](const ViewRecord& record) { logChange(record); });
        if (!records.empty()) {
            sendToMembers(MemberRecords { false, std::move(records) });
        }
        if (!m_pushTimer && m_pushedPosition != m_view.position()) {
            m_pushTimer = m_timers.after(config::viewPushDelay, [this] { push(); });
        }
    }

    void logChange(const ViewRecord& record)
    {
        const auto& entry = record.entry;
        const auto present = entry.leaving ? Event::ViewServerLeaving : Event::ViewServerAdded;
        const auto event = record.lapsed ? Event::ViewServerLapsed : present;
        PW_EVENT(m_events, event, { "server", entry.name }, { "service", entry.service }, { "incarnation", entry.incarnation }, { "sequence", entry.sequence });
    }

    void push()
    {
        m_pushTimer = 0;
        m_pushedPosition = m_view.position();
        std::map<std::uint64_t, Bytes> deltas; // By the position before the changes.
        for (auto& [address, daemon] : m_daemons) {
            if (daemon.sentPosition >= m_pushedPosition) {
                continue;
            }
            auto& bytes = deltas[daemon.sentPosition];
            if (bytes.empty()) {
                bytes = encodeViewDelta({ m_stream, daemon.sentPosition, m_pushedPosition, false, false, false, m_view.changesAfter(daemon.sentPosition) });
            }
            m_network.send(address, MessageKind::ViewDelta, bytes);
            daemon.sentPosition = m_pushedPosition;
        }
    }

    void tick()
    {
        const auto now = m_timers.now();
        m_view.tick(now);
        shareChanges();
        std::erase_if(m_daemons, [now](const auto& entry) { return now - entry.second.lastContact >= config::announcementLease; });
        sendToMembers(MemberDigest { m_view.ownedDigest(m_network.self()) });
        m_tickTimer = m_timers.after(config::viewTickInterval, [this] { tick(); });
    }

    PeerNetwork& m_network;
    Timers& m_timers;
    std::uint64_t m_stream;
    EventLog& m_events;
    std::vector<std::string> m_others;
    MembershipView m_view;
    std::map<PeerAddress, Daemon> m_daemons;
    std::uint64_t m_pushedPosition = 0;
    TimerId m_tickTimer = 0;
    TimerId m_pushTimer = 0;
};

ControlView::ControlView(const Settings& settings, PeerNetwork& network, Timers& timers, std::uint64_t seed, EventLog& events)
    : m_impl(std::make_unique<Impl>(settings, network, timers, seed, events))
{
}

ControlView::~ControlView() = default;

void ControlView::setMembers(std::vector<PeerAddress> members)
{
    m_impl->setMembers(std::move(members));
}

std::size_t ControlView::attached() const
{
    return m_impl->attached();
}

} // namespace pw
