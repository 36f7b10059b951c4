#include "view_case.h"

#include "adapters/claim_key.h"
#include "adapters/codec_claims.h"
#include "app/control_view.h"
#include "app/daemon_view.h"
#include "config.h"
#include "core/claim_table.h"
#include "fleet_net.h"

#include <malloc.h>

#include <algorithm>
#include <ctime>
#include <memory>
#include <vector>

namespace pw::measure {
namespace {

    const std::vector<PeerAddress> memberNames { "10.1.0.1:7000", "10.1.0.2:7000", "10.1.0.3:7000" };
    constexpr std::size_t services = 110;

    Settings settingsOf(const std::string& name)
    {
        Settings settings;
        settings.name = name;
        std::ranges::transform(memberNames, std::back_inserter(settings.controlMembers),
            [](const PeerAddress& address) { return ControlMember { address, address, {} }; });
        return settings;
    }

    ServerEntry entryOf(std::size_t n, std::uint64_t sequence, bool leaving)
    {
        const auto number = std::to_string(n);
        return { "server-" + number, "service-" + std::to_string(n % services), "10.0.0.1:" + number, "domain-1", "region-1", 64, 256, 1, sequence, leaving };
    }

    struct Member {
        Member(FleetNet& net, const PeerAddress& name, std::uint64_t seed)
            : peer(net, name)
            , view(settingsOf(name), peer, peer, seed, peer)
        {
        }

        FleetPeer peer;
        ControlView view;
    };

    struct Daemon {
        Daemon(FleetNet& net, const PeerAddress& name, std::uint64_t seed)
            : peer(net, name)
            , view(settingsOf(name), peer, peer, seed, peer)
        {
        }

        FleetPeer peer;
        DaemonView view;
    };

    class Fleet {
    public:
        explicit Fleet(std::size_t daemons)
            : m_net(m_clock, 1)
        {
            for (std::size_t n = 0; n < memberNames.size(); ++n) {
                m_members.push_back(std::make_unique<Member>(m_net, memberNames[n], n + 1));
            }
            for (std::size_t n = 0; n < daemons; ++n) {
                m_daemons.push_back(std::make_unique<Daemon>(m_net, "10.0.0.1:" + std::to_string(n), n * 7919 + 1));
                publish(n, 1, false);
            }
            m_clock.run(std::chrono::seconds(15));
        }

        void publish(std::size_t n, std::uint64_t sequence, bool leaving)
        {
            auto& daemon = *m_daemons[n];
            daemon.peer.charge([&] { daemon.view.publish(entryOf(n, sequence, leaving)); });
        }

        /// Runs for a time. \returns the sum of the costs of the daemons, and those of the members.
        std::pair<Cost, Cost> run(Duration time)
        {
            std::ranges::for_each(m_daemons, [](auto& it) { it->peer.cost = {}; });
            std::ranges::for_each(m_members, [](auto& it) { it->peer.cost = {}; });
            m_clock.run(time);
            return { sum(m_daemons), sum(m_members) };
        }

        /// \returns whether any daemon still sees server \p n.
        bool seen(std::size_t n) const
        {
            const auto name = "server-" + std::to_string(n);
            const auto service = "service-" + std::to_string(n % services);
            return std::ranges::any_of(m_daemons, [&](const auto& daemon) {
                const auto& servers = daemon->view.servers(service);
                return std::ranges::find(servers, name, &ServerEntry::name) != servers.end();
            });
        }

    private:
        template <typename Nodes>
        static Cost sum(const Nodes& nodes)
        {
            Cost result;
            for (const auto& node : nodes) {
                result.bytes += node->peer.cost.bytes;
                result.messages += node->peer.cost.messages;
                result.processor += node->peer.cost.processor;
            }
            return result;
        }

        FleetClock m_clock;
        FleetNet m_net;
        std::vector<std::unique_ptr<Member>> m_members;
        std::vector<std::unique_ptr<Daemon>> m_daemons;
    };

    double inSeconds(std::chrono::nanoseconds time)
    {
        return std::chrono::duration<double>(time).count();
    }

    double leaveTime(Fleet& fleet, std::size_t server)
    {
        fleet.publish(server, 1000, true);
        constexpr std::chrono::milliseconds step { 1 };
        double millis = 0;
        while (fleet.seen(server) && millis < 10000) {
            fleet.run(step);
            ++millis;
        }
        return millis;
    }

} // namespace

ViewResult runView(std::size_t daemons)
{
    constexpr std::chrono::seconds time { 20 };
    constexpr double seconds = 20;
    constexpr std::size_t changes = 20;
    const auto count = static_cast<double>(daemons);
    const auto members = static_cast<double>(memberNames.size());
    Fleet fleet(daemons);
    const auto [idleDaemons, idleMembers] = fleet.run(time);
    ViewResult result;
    result.idleBytes = static_cast<double>(idleDaemons.bytes) / seconds / count;
    result.idleMessages = static_cast<double>(idleDaemons.messages) / seconds / count;
    result.daemonProcessor = inSeconds(idleDaemons.processor) / seconds / count;
    result.memberBytes = static_cast<double>(idleMembers.bytes) / seconds / members;
    result.memberProcessor = inSeconds(idleMembers.processor) / seconds / members;
    // Changes come one by one, a second apart, over the same time as the idle run.
    Cost changed;
    Cost changedMembers;
    for (std::size_t n = 0; n < changes; ++n) {
        fleet.publish(n % daemons, 2 + n, false);
        const auto [daemonCost, memberCost] = fleet.run(time / changes);
        changed.bytes += daemonCost.bytes;
        changedMembers.processor += memberCost.processor;
    }
    const auto extra = changed.bytes - std::min(changed.bytes, idleDaemons.bytes);
    result.changeBytes = static_cast<double>(extra) / changes / count;
    result.changeProcessor = (inSeconds(changedMembers.processor) - inSeconds(idleMembers.processor)) / changes / members;
    result.leaveMillis = leaveTime(fleet, daemons / 2);
    return result;
}

ClaimsResult runClaims(std::size_t claims)
{
    ClaimsResult result;
    const TimePoint now { std::chrono::hours(1) };
    std::vector<Bytes> messages;
    messages.reserve(claims);
    for (std::size_t n = 0; n < claims; ++n) {
        messages.push_back(encodeClaimMessage(ClaimRequest { claimKey("workspace", "request-" + std::to_string(n)), n + 1 }));
    }
    ClaimTable table(config::claimRetention);
    std::size_t replyBytes = 0;
    const auto before = ::mallinfo2().uordblks;
    const auto start = std::clock();
    for (std::size_t n = 0; n < claims; ++n) {
        const auto message = decodeClaimMessage(messages[n]);
        const auto vote = table.claim("10.0.0.1:" + std::to_string(n % 1200), std::get<ClaimRequest>(*message), now);
        replyBytes += encodeClaimVote(vote).size();
    }
    const auto taken = static_cast<double>(std::clock() - start) / CLOCKS_PER_SEC;
    const auto after = ::mallinfo2().uordblks;
    constexpr double replicas = 3;
    constexpr double frameHeaderBytes = 8;
    const auto count = static_cast<double>(claims);
    result.bytesPerClaim = static_cast<double>(after - before) / count;
    result.claimsPerCore = count / taken;
    result.wireBytes = replicas * (static_cast<double>(messages.front().size()) + static_cast<double>(replyBytes) / count + 2 * frameHeaderBytes);
    return result;
}

} // namespace pw::measure
