#include "cases.h"

#include "server.h"
#include "traffic.h"

#include <algorithm>
#include <thread>

namespace review {
namespace {

    constexpr auto item = "/archive/item-7";
    constexpr double itemSeconds = 2.5;
    constexpr double downSeconds = 4.5;
    constexpr double leaveAfter = 1.2; ///< From sending.
    constexpr int pipelined = 10;
    constexpr int rounds = 5;

    /// Sends several idempotent requests at once and leaves before all of them are answered.
    void leaveEarly(Record& record, const Address& outbound, const std::string& name)
    {
        Connection connection;
        if (!connection.dial(outbound, now() + 1)) {
            return;
        }
        const auto until = now() + leaveAfter;
        std::string bytes;
        for (int n = 0; n < pipelined; ++n) {
            const auto id = newId(name);
            record.line("client sends " + id + " GET " + item + ", pipelined");
            bytes += clientRequest("GET", item, id, 6000);
        }
        connection.send(bytes);
        while (connection.isOpen()) {
            const auto answer = connection.read(until);
            if (!answer) {
                record.line("client of " + name + (connection.timedOut() ? " leaves" : " SEES ITS CONNECTION CLOSED"));
                connection.close();
            } else {
                record.line("client of " + name + " is answered " + std::to_string(answer->status));
            }
        }
    }

} // namespace

Verdict leaveAfterCrash(Record& record, const std::string& folder, bool trouble)
{
    Deployment deployment(record, folder, { "archive", "archive", "prices", "prices" });
    if (!deployment.start()) {
        return CouldNotRun;
    }
    Server archive1(record, deployment.sidecars[0], "i-archive-1", 4, 0.1);
    Server archive2(record, deployment.sidecars[1], "i-archive-2", 4, 0.1);
    Server prices1(record, deployment.sidecars[2], "i-prices-1", 40, 0.3);
    Server prices2(record, deployment.sidecars[3], "i-prices-2", 40, 0.3);
    for (auto* it : { &archive1, &archive2 }) {
        it->setWork("item-7", itemSeconds);
    }
    if (!archive1.start() || !archive2.start() || !prices1.start() || !prices2.start()) {
        return CouldNotRun;
    }
    const auto text = configuration(1, { { "r-archive", "/archive/", "idempotent", "archive" }, { "r-prices", "/prices/", "idempotent", "prices" } }, 1U << 20U);
    if (deployment.replaceConfiguration(text, 0, now() + 20) != 200 || !deployment.waitUntilReady(now() + 20)) {
        return CouldNotRun;
    }
    Attempts attempts;
    std::atomic<bool> stop = false;
    std::atomic<bool> isWarm = false;
    std::vector<std::thread> clients;
    std::vector<std::thread> first;
    const auto& here = deployment.sidecars[0];
    for (int n = 0; n < 10; ++n) {
        clients.emplace_back([&, n] { keepAsking(record, attempts, here.outbound(), "price" + std::to_string(n), "/prices/a", 0.02, stop); });
    }
    for (int n = 0; n < 8; ++n) {
        first.emplace_back([&, n] { keepAsking(record, attempts, deployment.sidecars[n % 2].outbound(), "warm" + std::to_string(n), "/archive/a", 0.01, isWarm); });
    }
    sleepUntil(now() + 5);
    isWarm = true;
    std::ranges::for_each(first, &std::thread::join);
    const auto from = now();
    clients.emplace_back([&] { keepAsking(record, attempts, deployment.sidecars[1].outbound(), "other", item, 0.02, stop); });
    sleepUntil(now() + 0.5);
    for (int round = 1; round <= rounds; ++round) {
        std::thread leaver([&] { leaveEarly(record, here.outbound(), "many" + std::to_string(round)); });
        sleepUntil(now() + 0.5);
        if (trouble) {
            archive2.crash();
        }
        sleepUntil(now() + downSeconds);
        if (trouble) {
            archive2.restart("i-archive-2-" + std::to_string(round));
        }
        leaver.join();
        sleepUntil(now() + 6);
    }
    stop = true;
    std::ranges::for_each(clients, &std::thread::join);
    const auto all = attempts.all();
    const auto runs1 = prices1.runs();
    const auto runs2 = prices2.runs();
    const auto isLost = [&](const Attempt& it) {
        const auto wasPassedOn = std::ranges::count(runs1, it.id, &Run::id) + std::ranges::count(runs2, it.id, &Run::id) > 0;
        return it.id.starts_with("price") && it.sentAt >= from && it.status == 0 && !it.left && it.onKeptConnection && wasPassedOn;
    };
    const auto lost = std::ranges::count_if(all, isLost);
    record.line("RESULT: " + std::to_string(lost) + " requests from kept connections were passed on to a sound server and got no answer, 3 are allowed; the process on "
        + here.name + " ended by itself " + std::to_string(here.exits) + " times");
    return lost > 3 ? Broken : Held;
}

} // namespace review
