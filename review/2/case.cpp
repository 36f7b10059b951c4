#include "support.h"

#include <array>
#include <csignal>
#include <cstdlib>
#include <fstream>
#include <memory>
#include <sys/wait.h>
#include <unistd.h>

using namespace review;

namespace {

constexpr std::size_t answerBytes = 4000; ///< Whole body of each answer.
constexpr std::size_t firstBytes = 1000; ///< Part of it that is sent before the crash.
constexpr std::size_t uploadBytes = 360'000;
constexpr int uploads = 5;

/// The server beside the daemon, in a process of its own, so that it can crash. It begins to answer long requests before it has
/// read them, without a length, and reads on.
[[noreturn]] void runServer(const std::string& ip, const std::string& zone, const std::string& journalFile)
{
    const auto journal = std::make_shared<Record>(journalFile);
    // With a small window, a long body waits in the daemon until the server reads it.
    Server server({ "i-7f3a91c2", "ledger", zone, ip, 16, { 4 * 1024, 1400 } }, [journal](Connection& connection, Message& message) {
        const auto id = message.header("pistachiowheel-request-id");
        if (message.target() == "/sales/small") {
            connection.readBody(message, 5);
            return connection.send(Server::answer(message, "ok"));
        }
        const std::string body(answerBytes, 'a');
        const auto whole = Server::answer(message, body, false);
        connection.send(whole.substr(0, whole.size() - answerBytes + firstBytes));
        (*journal)("runs " + id + ", has sent " + std::to_string(firstBytes) + " of " + std::to_string(answerBytes) + " bytes of its answer");
        sleepFor(1.5);
        connection.readBody(message, 10);
        connection.send(whole.substr(whole.size() - answerBytes + firstBytes));
        (*journal)("has read all of " + id + " and sent the whole answer");
        return false;
    });
    if (!server.start()) {
        _exit(3);
    }
    while (true) {
        pause();
    }
}

std::size_t linesOf(const std::string& file)
{
    std::ifstream in(file);
    std::string line;
    std::size_t n = 0;
    while (std::getline(in, line)) {
        ++n;
    }
    return n;
}

} // namespace

int main(int argc, char** argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    Record record(caseFolder(argc, argv) + "/record.txt");
    const auto folder = temporaryFolder();
    Deployment deployment(record, folder, { "ledger" });
    const auto journal = folder + "/server.txt";
    const auto server = fork();
    if (server == 0) {
        runServer(deployment.besideIp(0), deployment.zone(0), journal);
    }
    const auto finish = [&](Outcome outcome) {
        kill(server, SIGKILL);
        waitpid(server, nullptr, 0);
        std::ifstream in(journal);
        std::string line;
        while (std::getline(in, line)) {
            record("server (its own time): " + line);
        }
        deployment.stop();
        record("outcome " + std::to_string(outcome));
        return outcome;
    };
    deployment.start();
    if (!deployment.configure(configuration(1, { { "sales", "/sales/", "non_idempotent", "ledger" } }), 30) || !deployment.waitUntilReady(0, 20)) {
        return finish(CannotRun);
    }
    bool isServed = false;
    for (int n = 0; n < 100 && !isServed; ++n) {
        const auto answer = request(deployment.besideIp(0), Deployment::outboundPort,
            clientRequest("POST", "/sales/small", "warm-" + std::to_string(n), 2000, "x"), 3);
        isServed = answer && answer->status() == 200;
        sleepFor(0.2);
    }
    if (!isServed) {
        return finish(CannotRun);
    }

    std::array<std::optional<Message>, uploads> answers;
    std::vector<std::thread> clients;
    for (int n = 0; n < uploads; ++n) {
        clients.emplace_back([&, n] {
            const auto id = "upload-" + std::to_string(n);
            record("client sends POST /sales/long as " + id + ", " + std::to_string(uploadBytes) + " bytes");
            answers.at(static_cast<std::size_t>(n)) = request(deployment.besideIp(0), Deployment::outboundPort,
                clientRequest("POST", "/sales/long", id, 20'000, std::string(uploadBytes, 'b')), 20);
        });
    }
    for (int n = 0; n < 100 && linesOf(journal) < uploads; ++n) {
        sleepFor(0.05);
    }
    const auto begun = linesOf(journal);
    sleepFor(0.3);
    if (hasTrouble()) {
        record("the server crashes (SIGKILL) while it answers " + std::to_string(begun) + " requests");
        kill(server, SIGKILL);
    }
    int wrong = 0;
    int right = 0;
    for (auto& it : clients) {
        it.join();
    }
    for (int n = 0; n < uploads; ++n) {
        const auto& answer = answers.at(static_cast<std::size_t>(n));
        if (!answer) {
            record("upload-" + std::to_string(n) + ": no answer");
            continue;
        }
        const auto isSuccess = answer->status() / 100 == 2;
        const auto hasSignature = !answer->header("pistachiowheel-response-signature").empty();
        record("upload-" + std::to_string(n) + " is answered " + std::to_string(answer->status()) + (hasSignature ? ", with the signature" : "")
            + ", body of " + std::to_string(answer->body.size()) + " bytes, " + (answer->whole ? "complete by its length" : "ends early"));
        const auto isWhole = answer->body.size() == answerBytes;
        wrong += isSuccess && answer->whole && !isWhole ? 1 : 0;
        right += isSuccess && answer->whole && isWhole ? 1 : 0;
    }
    record(std::to_string(wrong) + " successes with a part of the server's body that look complete, " + std::to_string(right) + " whole ones");
    if (begun == 0 || (!hasTrouble() && right != uploads)) {
        return finish(wrong > 0 ? Broken : CannotRun);
    }
    return finish(wrong > 0 ? Broken : Held);
}
