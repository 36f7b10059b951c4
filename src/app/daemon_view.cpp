#include "app/daemon_view.h"

#include "adapters/codec_view.h"
#include "config.h"
#include "core/member_selector.h"
#include "core/view_mirror.h"

#include <algorithm>
#include <optional>
#include <utility>

namespace pw {

class DaemonView::Impl {
public:
    Impl(const Settings& settings, PeerNetwork& network, Timers& timers, std::uint64_t seed, EventLog& events)
        : m_network(network)
        , m_timers(timers)
        , m_events(events)
        , m_location({ settings.name, network.self(), settings.failureDomain })
        , m_choice(orderByProximity(withUnknownDomains(controlPeerAddresses(settings)), m_location))
        , m_lastContact(timers.now())
        , m_firstReportDelay(std::chrono::duration_cast<Duration>(config::viewReportInterval) * (seed % firstReportDelays) / firstReportDelays)
    {
        m_network.onMessage(MessageKind::ViewDelta, [this](const PeerAddress& from, std::span<const std::byte> bytes) { received(from, bytes); });
        m_network.onLost([this, alive = std::weak_ptr(m_alive)](const PeerAddress& peer) {
            if (!alive.expired()) {
                handleDisconnect(peer);
            }
        });
        attach();
    }

    Impl(const Impl&) = delete;
    Impl& operator=(const Impl&) = delete;

    ~Impl()
    {
        m_network.onMessage(MessageKind::ViewDelta, {});
        m_timers.cancel(m_timer);
    }

    void publish(const ServerEntry& entry)
    {
        const bool same = m_ownEntry && m_ownEntry->incarnation == std::max(entry.incarnation, m_minIncarnation) && m_ownEntry->sequence == entry.sequence;
        m_ownEntry = entry;
        m_ownEntry->incarnation = std::max(entry.incarnation, m_minIncarnation);
        if (!same) {
            m_entryConfirmed = false;
            sendReport();
        }
    }

    void setMembers(const std::vector<MemberLocation>& members)
    {
        const auto before = m_choice.current();
        m_choice.update(orderByProximity(members, m_location));
        m_choice.reset();
        if (m_choice.current() != before) {
            attach();
        }
    }

    void onChanged(std::function<void(const std::string&)> handler) { m_handlers.push_back(std::move(handler)); }

    const ViewMirror& mirror() const { return m_mirror; }

private:
    static constexpr std::uint64_t firstReportDelays = 64; ///< Number of distinct delays, which spread reports over the interval.

    void attach()
    {
        m_lastContact = m_timers.now();
        m_attachedAt = m_lastContact;
        m_entryConfirmed = false;
        ++m_attachment;
        report();
    }

    /// Switches to the next member at once, unless the lost one was selected within config::viewMinReattachInterval.
    void handleDisconnect(const PeerAddress& peer)
    {
        if (peer == m_choice.current() && m_timers.now() - m_attachedAt >= config::viewMinReattachInterval) {
            m_choice.next();
            attach();
        }
    }

    /// Sends the periodic report; switches to the next member when the current one is unresponsive, and back to the
    /// preferred one after config::sessionRebalanceTime.
    void report()
    {
        const auto now = m_timers.now();
        m_timers.cancel(m_timer);
        if (!m_choice.isPreferred() && now - m_attachedAt >= config::sessionRebalanceTime) {
            m_choice.reset();
            m_timer = 0;
            attach();
            return;
        }
        if (now - m_lastContact >= config::viewMemberTimeout) {
            PW_EVENT(m_events, Event::ViewMemberSilent, { "member", m_choice.current() });
            m_choice.next();
            m_timer = 0;
            attach();
            return;
        }
        sendReport();
        const auto interval = m_firstReport ? m_firstReportDelay : Duration(config::viewReportInterval);
        m_firstReport = false;
        m_timer = m_timers.after(interval, [this] { report(); });
    }

    void sendReport()
    {
        if (m_choice.current().empty()) {
            return;
        }
        DaemonReport report;
        report.attachment = m_attachment;
        if (m_ownEntry) {
            report.incarnation = m_ownEntry->incarnation;
            report.sequence = m_ownEntry->sequence;
        }
        if (m_ownEntry && !m_entryConfirmed) {
            report.entry = m_ownEntry;
        }
        report.stream = m_mirror.stream();
        report.position = m_mirror.position();
        report.digest = m_mirror.digest();
        m_network.send(m_choice.current(), MessageKind::ServerReport, encodeViewMessage(report));
    }

    void received(const PeerAddress& from, std::span<const std::byte> bytes)
    {
        const auto delta = decodeViewDelta(bytes);
        if (!delta) {
            PW_EVENT(m_events, Event::FrameRefused, { "from", from }, { "kind", "view-delta" });
            return;
        }
        if (from != m_choice.current()) {
            return;
        }
        m_lastContact = m_timers.now();
        followStream(from, delta->stream);
        for (const auto& service : m_mirror.apply(*delta)) {
            const auto handlers = m_handlers;
            std::ranges::for_each(handlers, [&service](const auto& handler) { handler(service); });
        }
        noteEntryConfirmation(delta->wantEntry);
        supersedeEarlierIncarnation();
    }

    /// Raises the incarnation above that of an earlier process of this daemon. Incarnations derive from the time of day,
    /// which can jump back; the view would otherwise keep the earlier entry.
    void supersedeEarlierIncarnation()
    {
        const auto* seen = m_ownEntry ? m_mirror.find(m_ownEntry->name) : nullptr;
        if (!seen || std::pair(seen->incarnation, seen->sequence) <= std::pair(m_ownEntry->incarnation, m_ownEntry->sequence)) {
            return;
        }
        m_minIncarnation = seen->incarnation + 1;
        m_ownEntry->incarnation = m_minIncarnation;
        m_entryConfirmed = false;
        sendReport();
    }

    /// A restarted member counts as a new attachment, so that it becomes the owner of this server's record again.
    void followStream(const PeerAddress& from, std::uint64_t stream)
    {
        if (stream == m_stream && from == m_member) {
            return;
        }
        const bool restarted = from == m_member;
        m_stream = stream;
        m_member = from;
        if (restarted) {
            ++m_attachment;
        }
        PW_EVENT(m_events, Event::ViewAttached, { "member", from }, { "attachment", m_attachment });
    }

    void noteEntryConfirmation(bool wanted)
    {
        const bool again = wanted && m_entryConfirmed;
        m_entryConfirmed = !wanted;
        if (again) {
            sendReport();
        }
    }

    PeerNetwork& m_network;
    Timers& m_timers;
    EventLog& m_events;
    DaemonLocation m_location;
    MemberSelector m_choice;
    TimePoint m_lastContact; ///< Last message of the selected member.
    TimePoint m_attachedAt; ///< When that member was selected.
    Duration m_firstReportDelay;
    bool m_firstReport = true;
    std::uint64_t m_attachment = 0;
    PeerAddress m_member; ///< Member whose stream is followed.
    std::uint64_t m_stream = 0;
    std::optional<ServerEntry> m_ownEntry;
    std::uint64_t m_minIncarnation = 0; ///< Above that of any earlier process of this daemon seen in the view.
    bool m_entryConfirmed = false; ///< The selected member has the latest version of the entry.
    ViewMirror m_mirror;
    std::vector<std::function<void(const std::string&)>> m_handlers;
    TimerId m_timer = 0;
    std::shared_ptr<int> m_alive = std::make_shared<int>();
};

DaemonView::DaemonView(const Settings& settings, PeerNetwork& network, Timers& timers, std::uint64_t seed, EventLog& events)
    : m_impl(std::make_unique<Impl>(settings, network, timers, seed, events))
{
}

DaemonView::~DaemonView() = default;

const std::vector<ServerEntry>& DaemonView::servers(const std::string& service) const
{
    return m_impl->mirror().servers(service);
}

bool DaemonView::known() const
{
    return m_impl->mirror().stream() != 0;
}

void DaemonView::setMembers(const std::vector<MemberLocation>& members)
{
    m_impl->setMembers(members);
}

void DaemonView::publish(const ServerEntry& entry)
{
    m_impl->publish(entry);
}

std::size_t DaemonView::serverCount() const
{
    return m_impl->mirror().size();
}

void DaemonView::onChanged(std::function<void(const std::string& service)> handler)
{
    m_impl->onChanged(std::move(handler));
}

} // namespace pw
