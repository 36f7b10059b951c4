#include "app/daemon_view.h"

#include "adapters/codec_view.h"
#include "config.h"
#include "core/member_choice.h"
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
        , m_seeker({ settings.name, network.self(), settings.failureDomain })
        , m_choice(nearestFirst(unplaced(controlPeers(settings)), m_seeker))
        , m_heard(timers.now())
        , m_phase(std::chrono::duration_cast<Duration>(config::viewReportInterval) * (seed % phases) / phases)
    {
        m_network.onMessage(MessageKind::ViewDelta, [this](const PeerAddress& from, std::span<const std::byte> bytes) { received(from, bytes); });
        m_network.onLost([this, alive = std::weak_ptr(m_alive)](const PeerAddress& peer) {
            if (!alive.expired()) {
                lost(peer);
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
        const bool same = m_own && m_own->incarnation == std::max(entry.incarnation, m_leastIncarnation) && m_own->sequence == entry.sequence;
        m_own = entry;
        m_own->incarnation = std::max(entry.incarnation, m_leastIncarnation);
        if (!same) {
            m_ownKnown = false;
            sendReport();
        }
    }

    void setMembers(const std::vector<MemberPlace>& members)
    {
        const auto before = m_choice.current();
        m_choice.update(nearestFirst(members, m_seeker));
        m_choice.reset();
        if (m_choice.current() != before) {
            attach();
        }
    }

    void onChanged(std::function<void(const std::string&)> handler) { m_handlers.push_back(std::move(handler)); }

    const ViewMirror& mirror() const { return m_mirror; }

private:
    static constexpr std::uint64_t phases = 64; ///< Number of delays of the first report, which spread reports of daemons over the interval.

    void attach()
    {
        m_heard = m_timers.now();
        m_attached = m_heard;
        m_ownKnown = false;
        ++m_attachment;
        report();
    }

    /// Switches to the next member at once, unless the lost one was selected within config::viewLossPause.
    void lost(const PeerAddress& peer)
    {
        if (peer == m_choice.current() && m_timers.now() - m_attached >= config::viewLossPause) {
            m_choice.next();
            attach();
        }
    }

    /// Sends the periodic report; switches to the next member when the current one is unresponsive, and back to the
    /// preferred one after config::sessionRebalance.
    void report()
    {
        const auto now = m_timers.now();
        m_timers.cancel(m_timer);
        if (!m_choice.isPreferred() && now - m_attached >= config::sessionRebalance) {
            m_choice.reset();
            m_timer = 0;
            attach();
            return;
        }
        if (now - m_heard >= config::viewMemberSilence) {
            PW_EVENT(m_events, Event::ViewMemberSilent, { "member", m_choice.current() });
            m_choice.next();
            m_timer = 0;
            attach();
            return;
        }
        sendReport();
        const auto interval = m_first ? m_phase : Duration(config::viewReportInterval);
        m_first = false;
        m_timer = m_timers.after(interval, [this] { report(); });
    }

    void sendReport()
    {
        if (m_choice.current().empty()) {
            return;
        }
        DaemonReport report;
        report.attachment = m_attachment;
        if (m_own) {
            report.incarnation = m_own->incarnation;
            report.sequence = m_own->sequence;
        }
        if (m_own && !m_ownKnown) {
            report.entry = m_own;
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
        m_heard = m_timers.now();
        followStream(from, delta->stream);
        for (const auto& service : m_mirror.apply(*delta)) {
            const auto handlers = m_handlers;
            std::ranges::for_each(handlers, [&service](const auto& handler) { handler(service); });
        }
        noteOwn(delta->wantEntry);
        outgrowPredecessor();
    }

    /// Raises the incarnation above that of an earlier process of this daemon. Incarnations derive from the time of day,
    /// which can jump back; the view would otherwise keep the earlier entry.
    void outgrowPredecessor()
    {
        const auto* seen = m_own ? m_mirror.find(m_own->name) : nullptr;
        if (!seen || std::pair(seen->incarnation, seen->sequence) <= std::pair(m_own->incarnation, m_own->sequence)) {
            return;
        }
        m_leastIncarnation = seen->incarnation + 1;
        m_own->incarnation = m_leastIncarnation;
        m_ownKnown = false;
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

    void noteOwn(bool wanted)
    {
        const bool again = wanted && m_ownKnown;
        m_ownKnown = !wanted;
        if (again) {
            sendReport();
        }
    }

    PeerNetwork& m_network;
    Timers& m_timers;
    EventLog& m_events;
    MemberSeeker m_seeker;
    MemberChoice m_choice;
    TimePoint m_heard; ///< Last message of the selected member.
    TimePoint m_attached; ///< When that member was selected.
    Duration m_phase;
    bool m_first = true;
    std::uint64_t m_attachment = 0;
    PeerAddress m_member; ///< Member whose stream is followed.
    std::uint64_t m_stream = 0;
    std::optional<ServerEntry> m_own;
    std::uint64_t m_leastIncarnation = 0; ///< Above that of any earlier process of this daemon seen in the view.
    bool m_ownKnown = false; ///< The selected member has the latest version of the entry.
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

void DaemonView::setMembers(const std::vector<MemberPlace>& members)
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
