#include "cases.h"

#include "server.h"
#include "traffic.h"

#include <algorithm>
#include <thread>

namespace review {
namespace {

    constexpr int slots = 40;
    constexpr double orderSeconds = 0.354; ///< Slots and work as of the `curtail-order` of llanw-grid-large.
    constexpr int ordersAtOnce = 300;
    constexpr int leavesEach = 4; ///< Every fourth client leaves.
    constexpr double leaveAfter = 0.3;
    constexpr int bursts = 3;
    constexpr double betweenBursts = 2.5;
    constexpr double graceSeconds = 0.5; ///< Of the rule.
    constexpr int aFew = 5;

    /// Sends one order on a new connection; leaves after \p patience seconds.
    Attempt order(Record& record, const Address& outbound, double patience)
    {
        Connection connection;
        Attempt attempt { newId("order"), now() };
        if (!connection.dial(outbound, now() + 1)) {
            return attempt;
        }
        record.line("client sends " + attempt.id + " POST /orders/a");
        attempt.sentAt = now();
        connection.send(clientRequest("POST", "/orders/a", attempt.id, 6000, "order"));
        const auto answer = connection.read(attempt.sentAt + patience);
        attempt.status = answer ? answer->status : 0;
        attempt.left = !answer && connection.timedOut();
        connection.close();
        attempt.endedAt = now();
        record.line("client of " + attempt.id + (answer ? " is answered " + std::to_string(answer->status) : attempt.left ? " leaves"
                                                                                                                          : " sees its connection closed"));
        return attempt;
    }

} // namespace

Verdict giveUp(Record& record, const std::string& folder, bool trouble)
{
    Deployment deployment(record, folder, { "orders", "orders" });
    if (!deployment.start()) {
        return CouldNotRun;
    }
    Server orders1(record, deployment.sidecars[0], "i-orders-1", slots, orderSeconds);
    Server orders2(record, deployment.sidecars[1], "i-orders-2", slots, orderSeconds);
    if (!orders1.start() || !orders2.start()) {
        return CouldNotRun;
    }
    const auto text = configuration(1, { { "r-orders", "/orders/", "non_idempotent", "orders" } }, 1U << 20U);
    if (deployment.replaceConfiguration(text, 0, now() + 20) != 200 || !deployment.waitUntilReady(now() + 20)) {
        return CouldNotRun;
    }
    Attempts attempts;
    std::vector<std::thread> clients;
    const auto send = [&](int count, bool leaves) {
        for (int n = 0; n < count; ++n) {
            const auto outbound = deployment.sidecars[n % 2].outbound();
            const auto patience = leaves && n % leavesEach == 0 ? leaveAfter : 6;
            clients.emplace_back([&record, &attempts, outbound, patience] { attempts.add(order(record, outbound, patience)); });
        }
    };
    for (int n = 0; n < 12; ++n) { // The servers warm up.
        send(slots * 2, false);
        sleepUntil(now() + orderSeconds + 0.1);
    }
    for (int n = 0; n < bursts; ++n) {
        send(ordersAtOnce, trouble);
        sleepUntil(now() + betweenBursts);
    }
    std::ranges::for_each(clients, &std::thread::join);
    sleepUntil(now() + 1);
    int late = 0;
    for (const auto& attempt : attempts.all()) {
        if (!attempt.left) {
            continue;
        }
        for (const auto* server : { &orders1, &orders2 }) {
            const auto runs = server->runs();
            const auto it = std::ranges::find(runs, attempt.id, &Run::id);
            if (it != runs.end() && it->at > attempt.endedAt + graceSeconds) {
                ++late;
                record.line("LATE: " + attempt.id + " reached its server " + std::to_string(it->at - attempt.endedAt) + " s after its client had closed the connection");
            }
        }
    }
    record.line("RESULT: " + std::to_string(late) + " requests reached a server over 0.5 s after their client had closed its connection; a few are allowed");
    return late > aFew ? Broken : Held;
}

} // namespace review
