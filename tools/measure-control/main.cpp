#include "../../tests/unit/support/control_fleet.h"
#include "adapters/codec_control.h"
#include "adapters/log_storage_file.h"
#include "config.h"
#include "core/raft.h"

#include <chrono>
#include <cstring>
#include <ctime>
#include <filesystem>
#include <iostream>
#include <ranges>

/// Measures the control role: changes, leader gaps, sessions on a fake clock and network; the data folder on real files.
namespace {

using namespace std::chrono_literals;
using pw::test::ControlFleet;
using Millis = std::chrono::duration<double, std::milli>;

constexpr double leaderGapTargetMillis = 1000;
constexpr double inForceTargetMillis = 1000;
constexpr double sessionTargetBytes = 7000; // A daemon's whole control traffic in a second.

void report(const std::string& name, double value, const std::string& unit, std::optional<double> target = std::nullopt)
{
    std::cout << R"({"measure":"control","case":")" << name << R"(","value":)" << value << R"(,"unit":")" << unit << '"';
    if (target) {
        std::cout << R"(,"target":)" << *target << R"(,"met":)" << (value <= *target ? "true" : "false");
    } else {
        std::cout << R"(,"target":null,"met":null)";
    }
    std::cout << "}" << std::endl;
}

double quantile(std::vector<double>& values, double part)
{
    std::ranges::sort(values);
    return values.at(static_cast<std::size_t>(part * static_cast<double>(values.size() - 1)));
}

void reportQuantiles(const std::string& name, std::vector<double> values, std::optional<double> target = std::nullopt)
{
    report(name + "/p50", quantile(values, 0.5), "ms");
    report(name + "/p99", quantile(values, 0.99), "ms", target);
    report(name + "/max", values.back(), "ms");
}

/// Operators submit at random members, one change after the other.
void measureChanges(std::size_t members, std::size_t daemons, int changes)
{
    ControlFleet fleet(members, daemons, 1);
    if (!fleet.form()) {
        std::cerr << "the cluster did not form\n";
        return;
    }
    fleet.timers.run(5s);
    std::vector<double> accepted;
    std::vector<double> inForce;
    for (auto n = 0; n < changes; ++n) {
        auto& member = *fleet.controls()[static_cast<std::size_t>(n) % members];
        const auto began = fleet.timers.now();
        const auto result = fleet.configure(member, "c" + std::to_string(n), static_cast<std::uint64_t>(n), "text");
        accepted.push_back(Millis(fleet.timers.now() - began).count());
        fleet.awaitInForce(member, result.index);
        inForce.push_back(Millis(fleet.timers.now() - began).count());
        fleet.timers.run(std::chrono::milliseconds(n * 37 % 500));
    }
    const auto name = std::to_string(members) + "-members-" + std::to_string(daemons) + "-daemons";
    reportQuantiles("submit-to-accepted/" + name, accepted);
    reportQuantiles("submit-to-in-force/" + name, inForce, inForceTargetMillis);
}

/// Time from \p disturb until another member leads.
void measureLeaderGap(const std::string& name, int rounds, const std::function<void(ControlFleet&, ControlFleet::Vm&)>& disturb)
{
    std::vector<double> gaps;
    for (auto n = 0; n < rounds; ++n) {
        ControlFleet fleet(3, 3, static_cast<std::uint64_t>(n) + 1);
        fleet.form();
        fleet.timers.run(std::chrono::milliseconds(1000 + n * 13));
        auto* old = fleet.leader();
        const auto began = fleet.timers.now();
        disturb(fleet, *old);
        fleet.timers.runUntil([&] { return fleet.leader() && fleet.leader() != old; }, 10s);
        gaps.push_back(Millis(fleet.timers.now() - began).count());
    }
    reportQuantiles("without-leader/" + name, gaps, leaderGapTargetMillis);
}

struct SessionCost {
    double bytes = 0; ///< Of all sessions in a second.
    double micros = 0; ///< Processor time of the whole process in a second of fleet time.
};

SessionCost sessionCost(std::size_t daemons, std::chrono::seconds time)
{
    ControlFleet fleet(3, daemons, 1);
    fleet.form();
    const auto sent = [&fleet] {
        return fleet.network.bytesSent(pw::MessageKind::SessionRequest) + fleet.network.bytesSent(pw::MessageKind::SessionReply);
    };
    const auto bytesBefore = sent();
    const auto cpuBefore = std::clock();
    fleet.timers.run(time);
    const auto seconds = static_cast<double>(time.count());
    const auto cpu = static_cast<double>(std::clock() - cpuBefore) * 1e6 / CLOCKS_PER_SEC;
    return { static_cast<double>(sent() - bytesBefore) / seconds, cpu / seconds };
}

/// Bytes and processor time of the sessions as a slope over the daemons.
void measureSessions(std::size_t few, std::size_t many)
{
    const auto small = sessionCost(few, 20s);
    const auto large = sessionCost(many, 20s);
    const auto added = static_cast<double>(many - few);
    report("session/bytes-a-daemon", (large.bytes - small.bytes) / added, "B/s", sessionTargetBytes);
    report("session/processor-both-ends-with-fake-network", (large.micros - small.micros) / added, "us/s");
}

pw::LogEntry keyEntry(std::uint64_t index)
{
    pw::KeyDigest digest {};
    std::memcpy(digest.data(), &index, sizeof index);
    const auto text = std::to_string(index);
    const auto bytes = pw::encodeChange({ "change-" + text, pw::IssueKey { "key-" + text, "workspace", "label", digest } });
    return { index, 1, pw::EntryKind::Change, { reinterpret_cast<const char*>(bytes.data()), bytes.size() }, {} };
}

std::uint64_t folderBytes(const std::filesystem::path& folder, const std::string& file)
{
    return std::filesystem::file_size(folder / file);
}

/// A data folder on the disk: sync time, size for each change, restart.
void measureStorage(std::uint64_t changes)
{
    std::string name = (std::filesystem::temp_directory_path() / "pw-measure-XXXXXX").string();
    if (!mkdtemp(name.data())) {
        std::cerr << "no temporary folder\n";
        return;
    }
    const std::filesystem::path folder = name;
    pw::Random random(1);
    std::vector<double> appends;
    pw::FleetState state;
    {
        pw::LogStorageFile storage(folder);
        storage.open(random);
        const auto base = folderBytes(folder, "log");
        for (std::uint64_t index = 1; index <= changes; ++index) {
            const auto entry = keyEntry(index);
            const auto began = std::chrono::steady_clock::now();
            storage.append(std::span(&entry, 1));
            appends.push_back(Millis(std::chrono::steady_clock::now() - began).count());
            state.apply(index, *pw::decodeChange(std::as_bytes(std::span(entry.data))));
        }
        report("log-bytes-a-change", static_cast<double>(folderBytes(folder, "log") - base) / static_cast<double>(changes), "B");
    }
    reportQuantiles("synced-append", appends);
    const auto restart = [&](const std::string& from) {
        const auto began = std::chrono::steady_clock::now();
        pw::LogStorageFile storage(folder);
        const auto stored = storage.open(random);
        auto restored = pw::decodeFleetState(std::as_bytes(std::span(stored->snapshot.data))).value_or(pw::FleetState {});
        for (const auto& it : stored->entries) {
            restored.apply(it.index, *pw::decodeChange(std::as_bytes(std::span(it.data))));
        }
        report("restart-after-" + std::to_string(changes) + "-changes/" + from,
            Millis(std::chrono::steady_clock::now() - began).count(), "ms");
    };
    restart("log");
    {
        pw::LogStorageFile storage(folder);
        storage.open(random);
        const auto bytes = pw::encodeFleetState(state);
        storage.saveSnapshot({ changes, 1, {}, { reinterpret_cast<const char*>(bytes.data()), bytes.size() } }, {});
        report("snapshot-bytes-a-change", static_cast<double>(folderBytes(folder, "snapshot")) / static_cast<double>(changes), "B");
    }
    restart("snapshot");
    std::filesystem::remove_all(folder);
}

} // namespace

int main(int argc, char** argv)
{
    const auto quick = argc > 1 && std::string(argv[1]) == "--quick";
    std::cerr << "times of changes and leader gaps are on a fake clock: 0.5 to 1.5 ms a message, disks that sync at once\n";
    measureChanges(3, 12, quick ? 50 : 200);
    measureChanges(7, quick ? 40 : 120, quick ? 20 : 60);
    measureLeaderGap("kill", quick ? 20 : 100, [](auto& fleet, auto& vm) { fleet.crash(vm); });
    measureLeaderGap("partition", quick ? 20 : 100, [](auto& fleet, auto& vm) { fleet.network.isolate(vm.settings.peerAddress); });
    measureLeaderGap("planned-stop", quick ? 20 : 100, [](auto&, auto& vm) { vm.log->transferLeadership([] {}); });
    measureSessions(10, quick ? 40 : 100);
    measureStorage(1000);
    return 0;
}
