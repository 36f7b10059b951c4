#include "cases.h"

#include "server.h"
#include "traffic.h"

#include <algorithm>
#include <thread>

namespace review {
namespace {

    constexpr double configApply = 2;
    constexpr int clientCount = 12;
    constexpr int uploadsEach = 2;

    /// A client with a kept connection that sends a small order each half second, until it is to send long ones.
    void shop(Record& record, Attempts& attempts, const Address& outbound, const std::string& name, const std::atomic<bool>& sendsLong, std::size_t longBytes)
    {
        Connection connection;
        int uploads = 0;
        while (uploads < uploadsEach) {
            if (!connection.isOpen() && !connection.dial(outbound, now() + 1)) {
                sleepUntil(now() + 0.2);
                continue;
            }
            const bool isLong = sendsLong;
            const std::string body(isLong ? longBytes : 1000, 'x');
            Attempt attempt { newId(name + (isLong ? "-long" : "-short")), now() };
            record.line("client sends " + attempt.id + " POST /orders/a with " + std::to_string(body.size()) + " bytes");
            connection.send(clientRequest("POST", "/orders/a", attempt.id, 6000, body));
            const auto answer = connection.read(now() + 6);
            attempt.endedAt = now();
            attempt.status = answer ? answer->status : 0;
            record.line("client of " + attempt.id + (answer ? " is answered " + std::to_string(answer->status) : " gets no answer"));
            attempts.add(attempt);
            if (!answer || answer->header("Connection") == "close") {
                connection.close();
            }
            uploads += isLong ? 1 : 0;
            sleepUntil(now() + 0.5);
        }
    }

    /// The operator raises the limit of bodies; clients then send bodies within the new limit.
    Verdict raiseLimit(Record& record, const std::string& folder, bool trouble, std::uint64_t before, std::uint64_t after, std::size_t longBytes)
    {
        Deployment deployment(record, folder, { "orders", "orders" });
        if (!deployment.start()) {
            return CouldNotRun;
        }
        Server orders1(record, deployment.sidecars[0], "i-orders-1", 40, 0.05);
        Server orders2(record, deployment.sidecars[1], "i-orders-2", 40, 0.05);
        if (!orders1.start() || !orders2.start()) {
            return CouldNotRun;
        }
        const std::vector<RouteText> routes { { "r-orders", "/orders/", "non_idempotent", "orders" } };
        if (deployment.replaceConfiguration(configuration(1, routes, before), 0, now() + 20) != 200 || !deployment.waitUntilReady(now() + 20)) {
            return CouldNotRun;
        }
        Attempts attempts;
        std::atomic<bool> sendsLong = false;
        std::vector<std::thread> clients;
        for (int n = 0; n < clientCount; ++n) {
            clients.emplace_back([&, n] { shop(record, attempts, deployment.sidecars[n % 2].outbound(), "shop" + std::to_string(n), sendsLong, longBytes); });
        }
        sleepUntil(now() + 4);
        if (trouble) {
            const auto status = deployment.replaceConfiguration(configuration(2, routes, after), 1, now() + 10);
            if (status != 200) {
                record.line("the configuration was not accepted");
            }
        }
        sleepUntil(now() + configApply + 2);
        sendsLong = true;
        std::ranges::for_each(clients, &std::thread::join);
        const auto all = attempts.all();
        // Without the change no configuration allows the long bodies.
        const auto isAllowed = [&](const Attempt& it) { return trouble || it.id.find("-long") == std::string::npos; };
        const auto denied = std::ranges::count_if(all, [&](const Attempt& it) {
            return isAllowed(it) && it.status >= 300 && it.status < 500 && it.status != 408 && it.status != 421 && it.status != 429;
        });
        const auto most = 5 + static_cast<double>(all.size()) / 500;
        record.line("RESULT: of " + std::to_string(all.size()) + " requests " + std::to_string(denied) + " were ended with a 4xx although the configuration in force allows them; "
            + std::to_string(most) + " are allowed");
        return static_cast<double>(denied) > most ? Broken : Held;
    }

} // namespace

Verdict keptConnectionLimit(Record& record, const std::string& folder, bool trouble)
{
    return raiseLimit(record, folder, trouble, 65536, 524288, 200'000);
}

Verdict longBodies(Record& record, const std::string& folder, bool trouble)
{
    return raiseLimit(record, folder, trouble, 65536, 67108864, 2'000'000);
}

} // namespace review
