#include "app/peer_watch.h"

#include "config.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace pw {

PeerWatch::PeerWatch(PeerNetwork& network, Timers& timers, EventLog& events)
    : m_network(network)
    , m_timers(timers)
    , m_events(events)
    , m_ticked(timers.now())
{
    tick();
}

PeerWatch::~PeerWatch()
{
    m_timers.cancel(m_timer);
}

void PeerWatch::began(const PeerAddress& peer)
{
    ++m_watched[peer].calls;
}

void PeerWatch::ended(const PeerAddress& peer)
{
    if (const auto it = m_watched.find(peer); it != m_watched.end()) {
        it->second.calls -= std::min(it->second.calls, 1U);
    }
}

void PeerWatch::tick()
{
    const auto now = m_timers.now();
    // After a pause of this process the silence was its own.
    const auto paused = now - std::exchange(m_ticked, now) >= config::peerSilentAfter;
    std::vector<std::pair<PeerAddress, bool>> news;
    if (!paused) {
        std::ranges::for_each(m_watched, [&](auto& it) { look(it.first, it.second, news); });
    }
    std::erase_if(m_watched, [now, &news](const auto& it) {
        const auto& watched = it.second;
        const auto forgotten = watched.calls == 0 && (!watched.silent || now - watched.since >= config::peerForgottenAfter);
        // What is not asked any more must be tried again: nothing else would tell that it is back.
        if (forgotten && watched.silent) {
            news.emplace_back(it.first, false);
        }
        return forgotten;
    });
    std::ranges::for_each(news, [this](const auto& it) { m_changed.emit(it.first, it.second); });
    m_timer = m_timers.after(config::peerWatchInterval, [this] { tick(); });
}

void PeerWatch::look(const PeerAddress& peer, Watched& watched, std::vector<std::pair<PeerAddress, bool>>& news)
{
    const auto sign = m_network.signOf(peer);
    const auto unanswered = std::chrono::duration_cast<std::chrono::milliseconds>(sign.unanswered);
    if (!watched.silent && unanswered >= config::peerSilentAfter) {
        watched.silent = true;
        watched.since = m_timers.now();
        PW_EVENT(m_events, Event::PeerSilent, { "peer", peer }, { "linked", sign.linked }, { "unanswered_ms", unanswered.count() },
            { "calls", watched.calls });
        news.emplace_back(peer, true);
    } else if (watched.silent && sign.linked && sign.unanswered == Duration::zero()) {
        watched.silent = false;
        const auto silence = std::chrono::duration_cast<std::chrono::milliseconds>(m_timers.now() - watched.since);
        PW_EVENT(m_events, Event::PeerHeard, { "peer", peer }, { "silent_ms", silence.count() }, { "calls", watched.calls });
        news.emplace_back(peer, false);
    }
    if (watched.silent || watched.calls > 0) {
        m_network.probe(peer);
    }
}

} // namespace pw
