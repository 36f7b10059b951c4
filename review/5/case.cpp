#include "support.h"

#include <csignal>
#include <map>

using namespace review;

namespace {

constexpr double deregisterAfter = 1; ///< After the restart of the daemon.
constexpr double heartbeatLate = 2;
constexpr double servesOn = 9; ///< After the acknowledgement; the pages say "at times many seconds".
constexpr double requestInterval = 0.05;

} // namespace

int main(int argc, char** argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    Record record(caseFolder(argc, argv) + "/record.txt");
    Deployment deployment(record, temporaryFolder(), { "prices", "prices", "catalogue" });
    const auto finish = [&](Outcome outcome) {
        deployment.stop();
        record("outcome " + std::to_string(outcome));
        return outcome;
    };
    std::mutex mutex;
    std::vector<double> runsOfFirst;
    const auto handlerOf = [&](bool isFirst) {
        return [&, isFirst](Connection& connection, Message& message) {
            connection.readBody(message, 5);
            if (isFirst) {
                const std::lock_guard guard(mutex);
                runsOfFirst.push_back(now());
            }
            sleepFor(0.02);
            return connection.send(Server::answer(message, "ok"));
        };
    };
    Server first({ "i-1", "prices", deployment.zone(0), deployment.besideIp(0), 16, {} }, handlerOf(true));
    Server second({ "i-2", "prices", deployment.zone(1), deployment.besideIp(1), 16, {} }, handlerOf(false));
    if (!first.start() || !second.start()) {
        return finish(CannotRun);
    }
    deployment.start();
    if (!deployment.configure(configuration(1, { { "prices", "/prices/", "idempotent", "prices" } }), 30) || !deployment.waitUntilReady(0, 20)
        || !deployment.waitUntilReady(1, 20) || !deployment.waitUntilReady(2, 20)) {
        return finish(CannotRun);
    }
    std::atomic<bool> sends = true;
    std::atomic<int> served = 0;
    std::thread client([&] {
        for (int n = 0; sends; ++n) {
            std::thread([&, n] {
                const auto answer = request(deployment.besideIp(2), Deployment::outboundPort, clientRequest("GET", "/prices/a", "r-" + std::to_string(n), 2000), 3);
                served += answer && answer->status() == 200 ? 1 : 0;
            }).detach();
            sleepFor(requestInterval);
        }
    });
    sleepFor(7);
    const auto before = [&] {
        const std::lock_guard guard(mutex);
        return runsOfFirst.size();
    }();
    record("both servers are in use: the first has run " + std::to_string(before) + " requests");

    first.stopHeartbeats();
    sleepFor(Deployment::heartbeat);
    if (hasTrouble()) {
        record("the daemon beside the first server is stopped (SIGTERM) and started again; its server runs on");
        deployment.beside(0).signal(SIGTERM);
        deployment.beside(0).waitForEnd(Deployment::grace);
        deployment.beside(0).start();
        record("started again");
    }
    const auto restarted = now();
    const auto late = first.nextSequence();
    record("the first server sends heartbeat " + std::to_string(late) + " (ready), which is late");
    sleepFor(deregisterAfter);
    double acknowledged = 0;
    for (int n = 0; n < 50 && acknowledged == 0; ++n) {
        if (first.deregister()) {
            acknowledged = now();
        } else {
            sleepFor(0.1);
        }
    }
    record("the first server deregisters; acknowledged");
    sleepFor(restarted + heartbeatLate - now());
    if (hasTrouble()) {
        record("heartbeat " + std::to_string(late) + " arrives: " + (first.sendHeartbeat(late, "ready") ? "answered 2xx" : "not acknowledged"));
    }
    sleepFor(acknowledged + servesOn - now());
    sends = false;
    client.join();
    sleepFor(1);

    // Machines are in touch from contact_s after a start; both daemons have run for longer then.
    const auto from = std::max(acknowledged + Deployment::drain, restarted + Deployment::contact) + 0.1;
    std::size_t after = 0;
    {
        const std::lock_guard guard(mutex);
        for (const auto at : runsOfFirst) {
            after += at > from ? 1 : 0;
        }
        record("the first server has run " + std::to_string(runsOfFirst.size()) + " requests, " + std::to_string(after) + " of them later than "
            + std::to_string(from) + ", drain_s after its acknowledgement and contact_s after the start of its daemon; " + std::to_string(served.load()) + " served in all");
    }
    if (before == 0 || acknowledged == 0 || (!hasTrouble() && after > 0)) {
        return finish(CannotRun);
    }
    return finish(after > 0 ? Broken : Held);
}
