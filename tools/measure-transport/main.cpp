// Compares Cap'n Proto RPC with plain Cap'n Proto messages for the request path: both over loopback TCP on one
// libevent loop, both ends in this process, so that the difference is the processor time of the two ways.

#include "adapters/capnp_compat.h"
#include "adapters/codec_call.h"
#include "adapters/peer_network_libevent.h"
#include "adapters/timers_libevent.h"
#include "exchange.capnp.h"
#include "kj_libevent.h"

#include <capnp/rpc-twoparty.h>

#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <cstdlib>
#include <iostream>
#include <numeric>
#include <string_view>
#include <vector>

namespace {

using namespace std::chrono_literals;
using Micros = std::chrono::duration<double, std::micro>;

constexpr int warmUpCalls = 500;
constexpr std::string_view body = "0123456789012345678901234567890123456789012345678901234567890123";

class NoLog : public pw::EventLog {
public:
    bool shouldWrite(pw::Event) override { return false; }
    void write(pw::Event, std::initializer_list<pw::EventField>) override { }
};

pw::Call sampleCall()
{
    pw::Call call;
    call.id = 1;
    call.route = "member-share";
    call.service = "share";
    call.method = "GET";
    call.target = "/share/17?tide=3";
    call.headers = { { "Accept", "application/json" }, { "User-Agent", "measure" } };
    call.workspace = "ynni-mon";
    call.timeLeft = 2s;
    return call;
}

pw::Answer sampleAnswer(std::uint64_t id)
{
    pw::Answer answer;
    answer.id = id;
    answer.refusal = { pw::Verdict::Ran, pw::Reason::None, {} };
    answer.status = 200;
    answer.headers = { { "Content-Type", "application/json" } };
    answer.body = body;
    return answer;
}

void print(std::string_view name, std::vector<double>& samples)
{
    std::ranges::sort(samples);
    auto mean = std::accumulate(samples.begin(), samples.end(), 0.0) / static_cast<double>(samples.size());
    std::array<std::pair<const char*, double>, 3> rows { { { "mean", mean }, { "p50", samples[samples.size() / 2] }, { "p99", samples[samples.size() * 99 / 100] } } };
    for (const auto& [statistic, value] : rows) {
        std::cout << R"({"measure":"transport","case":")" << name << '/' << statistic << R"(","value":)" << value
                  << R"(,"unit":"us","target":null,"met":null})" << '\n';
    }
}

template <typename RoundTrip>
std::vector<double> timed(int calls, RoundTrip roundTrip)
{
    std::vector<double> samples;
    for (auto n = 0; n < warmUpCalls + calls; ++n) {
        auto begun = pw::MonotonicClock::now();
        roundTrip();
        if (n >= warmUpCalls) {
            samples.push_back(Micros(pw::MonotonicClock::now() - begun).count());
        }
    }
    return samples;
}

/// Plain messages: the links that the daemons use, with mutual proof.
std::vector<double> measureMessages(event_base* base, int calls)
{
    NoLog log;
    pw::TimersLibevent timers(base);
    pw::StreamLoop loop(base);
    pw::PeerNetworkLibevent near({ &loop, &log, "127.0.0.1:47311", { "secret" } }, timers);
    pw::PeerNetworkLibevent far({ &loop, &log, "127.0.0.1:47312", { "secret" } }, timers);
    std::string reason;
    if (!near.init(reason) || !far.init(reason)) {
        std::cerr << reason << '\n';
        return { 0 };
    }
    bool answered = false;
    far.onMessage(pw::MessageKind::Call, [&](const pw::PeerAddress& from, std::span<const std::byte> message) {
        far.send(from, pw::MessageKind::Answer, pw::encodeAnswer(sampleAnswer(pw::decodeCall(message)->id)));
    });
    near.onMessage(pw::MessageKind::Answer, [&](const pw::PeerAddress&, std::span<const std::byte> message) {
        answered = pw::decodeAnswer(message)->status == 200;
    });
    auto call = sampleCall();
    return timed(calls, [&] {
        answered = false;
        near.send(far.self(), pw::MessageKind::Call, pw::encodeCall(call));
        while (!answered) {
            event_base_loop(base, EVLOOP_ONCE);
        }
    });
}

class ExchangeServer final : public pw::proto::Exchange::Server {
public:
    kj::Promise<void> run(RunContext context) override
    {
        auto answer = context.getResults().initAnswer();
        answer.setId(context.getParams().getCall().getId());
        answer.setStatus(200);
        answer.setBody({ reinterpret_cast<const kj::byte*>(body.data()), body.size() });
        auto headers = answer.initHeaders(1);
        headers[0].setName("Content-Type");
        headers[0].setValue("application/json");
        return kj::READY_NOW;
    }
};

void fill(pw::proto::Call::Builder message, const pw::Call& call)
{
    message.setId(call.id);
    message.setRoute(call.route.c_str());
    message.setService(call.service.c_str());
    message.setMethod(call.method.c_str());
    message.setTarget(call.target.c_str());
    message.setWorkspace(call.workspace.c_str());
    auto headers = message.initHeaders(static_cast<unsigned>(call.headers.size()));
    for (unsigned n = 0; n < call.headers.size(); ++n) {
        headers[n].setName(call.headers[n].name.c_str());
        headers[n].setValue(call.headers[n].value.c_str());
    }
}

/// A connected pair of loopback TCP sockets.
std::array<evutil_socket_t, 2> tcpPair()
{
    std::array<evutil_socket_t, 2> sockets { -1, -1 };
    pw::detail::SocketAddress address;
    pw::detail::parseAddress("127.0.0.1:47313", address);
    auto listener = socket(AF_INET, SOCK_STREAM, 0);
    evutil_make_listen_socket_reuseable(listener);
    sockets[0] = socket(AF_INET, SOCK_STREAM, 0);
    auto connected = bind(listener, address.get(), address.length) == 0 && listen(listener, 1) == 0
        && connect(sockets[0], address.get(), address.length) == 0;
    if (!connected) {
        std::cerr << "measure-transport: no connection on loopback\n";
        std::exit(1);
    }
    sockets[1] = accept(listener, nullptr, nullptr);
    evutil_closesocket(listener);
    std::ranges::for_each(sockets, [](evutil_socket_t fd) {
        evutil_make_socket_nonblocking(fd);
        pw::detail::configureSocket(fd);
    });
    return sockets;
}

std::vector<double> measureRpc(event_base* base, int calls)
{
    pw::KjLibeventPort port(base);
    kj::EventLoop loop(port);
    kj::WaitScope scope(loop);
    auto sockets = tcpPair();
    pw::KjBufferEventStream nearStream(bufferevent_socket_new(base, sockets[0], BEV_OPT_CLOSE_ON_FREE));
    pw::KjBufferEventStream farStream(bufferevent_socket_new(base, sockets[1], BEV_OPT_CLOSE_ON_FREE));
    capnp::TwoPartyVatNetwork nearNetwork(nearStream, capnp::rpc::twoparty::Side::CLIENT);
    capnp::TwoPartyVatNetwork farNetwork(farStream, capnp::rpc::twoparty::Side::SERVER);
    auto server = capnp::makeRpcServer(farNetwork, kj::heap<ExchangeServer>());
    auto client = capnp::makeRpcClient(nearNetwork);
    capnp::MallocMessageBuilder builder;
    auto vat = builder.initRoot<capnp::rpc::twoparty::VatId>();
    vat.setSide(capnp::rpc::twoparty::Side::SERVER);
    auto exchange = client.bootstrap(vat).castAs<pw::proto::Exchange>();
    auto call = sampleCall();
    return timed(calls, [&] {
        auto request = exchange.runRequest();
        fill(request.initCall(), call);
        auto response = request.send().wait(scope);
        if (response.getAnswer().getStatus() != 200) {
            std::cerr << "wrong answer\n";
        }
    });
}

} // namespace

int main(int argc, char** argv)
{
    auto quick = argc > 1 && std::string_view(argv[1]) == "--quick";
    auto calls = quick ? 5000 : 50000;
    pw::detail::BasePtr base(event_base_new());
    auto messages = measureMessages(base.get(), calls);
    auto rpc = measureRpc(base.get(), calls);
    print("messages", messages);
    print("rpc", rpc);
    return 0;
}
