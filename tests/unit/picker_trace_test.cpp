#include "core/picker.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <array>
#include <cstdint>
#include <string>
#include <vector>

namespace data = boost::unit_test::data;
using namespace std::chrono_literals;
using pw::RunOutcome;
using pw::TimePoint;

namespace {

/// Two services with random servers, observed and picked in random order by one picker.
class RandomFleet {
public:
    RandomFleet(std::uint64_t seed, std::size_t serversPerService)
        : m_random(seed)
        , m_picker(seed + 1)
    {
        for (std::size_t service = 0; service < m_services.size(); ++service) {
            for (std::size_t n = 0; n < serversPerService; ++n) {
                m_services.at(service).push_back(makeServer(service));
            }
        }
    }

    /// \returns a checksum (FNV-1a) of the servers picked in \p steps random steps.
    std::uint64_t trace(int steps)
    {
        for (auto n = 0; n < steps; ++n) {
            step(below(m_services.size()));
        }
        return m_checksum;
    }

private:
    using Servers = std::vector<pw::ServerEntry>;

    std::uint64_t below(std::uint64_t bound) { return m_random() % bound; }
    bool chance(std::uint64_t oneIn) { return below(oneIn) == 0; }

    pw::ServerEntry makeServer(std::size_t service)
    {
        pw::ServerEntry entry;
        entry.name = "server-" + std::to_string(m_made++);
        entry.service = "service-" + std::to_string(service);
        entry.daemon = entry.name + ":1";
        entry.failureDomain = "d" + std::to_string(below(4));
        entry.region = below(3) == 0 ? "east" : "west";
        entry.slots = static_cast<std::uint32_t>(1 + below(80));
        entry.connections = entry.slots;
        entry.backendIncarnation = below(3);
        return entry;
    }

    /// Changes the membership view, so that servers change their position and their names.
    void changeView(std::size_t service)
    {
        auto& servers = m_services.at(service);
        auto& server = servers.at(below(servers.size()));
        switch (below(6)) {
        case 0:
            server = makeServer(service);
            break;
        case 1:
            server.leaving = !server.leaving;
            break;
        case 2:
            server.warmUpRate = static_cast<double>(below(2) * 13);
            break;
        case 3:
            std::swap(servers.front(), server);
            break;
        case 4:
            servers = Servers(servers); // Same servers at other addresses.
            break;
        default:
            retain();
        }
    }

    void retain()
    {
        std::vector<std::string> names;
        for (const auto& servers : m_services) {
            std::ranges::transform(servers, std::back_inserter(names), &pw::ServerEntry::name);
        }
        m_picker.retain(names);
    }

    pw::LoadHint makeHint()
    {
        pw::LoadHint hint;
        hint.running = static_cast<std::uint32_t>(below(80));
        hint.queued = static_cast<std::uint32_t>(below(10));
        hint.limit = static_cast<std::uint32_t>(below(80));
        hint.leaving = chance(40);
        if (chance(10)) {
            hint.requestsPerSecond = static_cast<double>(below(50));
        }
        hint.offeredPerSecond = static_cast<double>(below(50));
        hint.backendStart = below(3);
        hint.departed = chance(60);
        hint.warmUpRate = static_cast<double>(chance(10) ? 13 : 0);
        return hint;
    }

    void finishCall()
    {
        if (m_running.empty()) {
            return;
        }
        const auto at = m_running.begin() + static_cast<std::ptrdiff_t>(below(m_running.size()));
        constexpr std::array outcomes { RunOutcome::Ok, RunOutcome::Ok, RunOutcome::Ok, RunOutcome::Refused, RunOutcome::Timeout,
            RunOutcome::Failed, RunOutcome::Failed };
        const auto outcome = outcomes.at(below(outcomes.size()));
        const auto hint = makeHint();
        m_picker.finished(*at, outcome, std::chrono::milliseconds(1 + below(200)), chance(4) ? nullptr : &hint, m_now);
        m_running.erase(at);
    }

    void pick(const Servers& servers)
    {
        pw::PickContext context { "d" + std::to_string(below(4)), "west", {}, {} };
        while (chance(3)) {
            context.excluded.push_back(servers.at(below(servers.size())).name);
        }
        if (chance(4)) {
            context.preferAnsweredSince = m_now - std::chrono::milliseconds(below(100));
        }
        const auto evacuated = "d" + std::to_string(below(20));
        context.isEvacuated = [&evacuated](const std::string& failureDomain) { return failureDomain == evacuated; };
        const auto index = m_picker.pick(servers, context, m_now);
        m_checksum = (m_checksum ^ (index ? *index + 1 : 0)) * 0x100000001b3ULL;
        if (index) {
            m_checksum = (m_checksum ^ (m_picker.hasCapacity(servers.at(*index), m_now) ? 1 : 2)) * 0x100000001b3ULL;
            m_picker.started(servers.at(*index).name, m_now);
            m_running.push_back(servers.at(*index).name);
        }
    }

    void step(std::size_t service)
    {
        m_now += std::chrono::microseconds(below(4000));
        auto& servers = m_services.at(service);
        if (chance(12)) {
            changeView(service);
        }
        if (chance(50)) {
            m_picker.setUnresponsive(servers.at(below(servers.size())).daemon, chance(2));
        }
        if (!chance(3)) {
            finishCall();
        }
        pick(servers);
    }

    pw::Random m_random;
    pw::Picker m_picker;
    std::array<Servers, 2> m_services;
    std::vector<std::string> m_running;
    TimePoint m_now { 100s };
    int m_made = 0;
    std::uint64_t m_checksum = 0xcbf29ce484222325ULL;
};

struct TraceRow {
    std::uint64_t seed;
    std::size_t servers;
    std::uint64_t checksum; ///< Of the picker that looks up each server by name (commit e8804bb).
};

std::ostream& operator<<(std::ostream& out, const TraceRow& row)
{
    return out << "seed " << row.seed << ", " << row.servers << " servers";
}

const std::vector<TraceRow> traceRows {
    { 1, 1, 3024233616920100740 },
    { 2, 2, 8241355292350434527 },
    { 3, 6, 8983725797797204522 },
    { 4, 6, 1664209863282954282 },
    { 5, 30, 643321538132242042 },
    { 6, 43, 7188447784374394113 },
    { 7, 43, 5306907718058164067 },
    { 8, 90, 18355900358761606271U },
};

} // namespace

BOOST_AUTO_TEST_SUITE(PickerTraces)

/// Guards against optimisations that change which server is picked: the sequence of picks for a seed is fixed, although servers
/// change their position, name and address between picks.
BOOST_DATA_TEST_CASE(picksOfASeedDoNotChange, data::make(traceRows), row)
{
    RandomFleet fleet(row.seed, row.servers);
    BOOST_TEST(fleet.trace(5000) == row.checksum);
}

BOOST_AUTO_TEST_SUITE_END()
