#include "cases.h"

#include "server.h"
#include "traffic.h"

#include <algorithm>
#include <thread>

namespace review {
namespace {

    constexpr double drainSeconds = 2;
    constexpr double stayAfterDraining = 10;
    constexpr double firstArrival = 0.1; ///< After the acknowledgement: 3.6 s late.
    constexpr double betweenArrivals = 1.3; ///< The next regular heartbeat comes 1.5 s after the acknowledged one.

} // namespace

Verdict lateBeats(Record& record, const std::string& folder, bool trouble)
{
    Deployment deployment(record, folder, { "prices", "prices", "prices" });
    if (!deployment.start()) {
        return CouldNotRun;
    }
    Server prices1(record, deployment.sidecars[0], "i-prices-1", 40, 0.1);
    Server prices2(record, deployment.sidecars[1], "i-prices-2", 40, 0.1);
    Server prices3(record, deployment.sidecars[2], "i-prices-3", 40, 0.1);
    if (!prices1.start() || !prices2.start() || !prices3.start()) {
        return CouldNotRun;
    }
    const auto text = configuration(1, { { "r-prices", "/prices/", "idempotent", "prices" } }, 65536);
    if (deployment.replaceConfiguration(text, 0, now() + 20) != 200 || !deployment.waitUntilReady(now() + 20)) {
        return CouldNotRun;
    }
    Attempts attempts;
    std::atomic<bool> stop = false;
    std::vector<std::thread> clients;
    for (int n = 0; n < 9; ++n) {
        clients.emplace_back([&, n] { keepAsking(record, attempts, deployment.sidecars[n % 3].outbound(), "price" + std::to_string(n), "/prices/a", 0.05, stop); });
    }
    sleepUntil(now() + 5);
    std::vector<std::string> underWay;
    for (const double sentBefore : { 1.5, 0.0 }) {
        underWay.push_back(prices1.beatBody("ready"));
        record.line("heartbeat sent " + std::to_string(sentBefore) + " s ago and still under way: " + underWay.back());
    }
    prices1.crash();
    sleepUntil(now() + 0.5);
    prices1.restart("i-prices-1");
    sleepUntil(now() + 1);
    const auto drainedAt = prices1.drain();
    if (trouble && drainedAt > 0) {
        for (std::size_t n = 0; n < underWay.size(); ++n) {
            sleepUntil(drainedAt + firstArrival + static_cast<double>(n) * betweenArrivals);
            record.line("late heartbeat " + std::to_string(n + 1) + " arrives and is answered " + std::to_string(prices1.post("heartbeat", underWay[n])));
        }
    }
    sleepUntil(drainedAt + stayAfterDraining);
    stop = true;
    std::ranges::for_each(clients, &std::thread::join);
    const auto runs = prices1.runs();
    const auto late = std::ranges::count_if(runs, [&](const Run& it) { return it.at > drainedAt + drainSeconds; });
    record.line("RESULT: " + std::to_string(late) + " requests reached the server later than 2 s after its draining was acknowledged; none is allowed");
    return drainedAt == 0 ? CouldNotRun : late > 0 ? Broken
                                                   : Held;
}

} // namespace review
