#include "http_transport.h"

#include "adapters/operator_proof.h"
#include "support/http_client.h"

#include <thread>

namespace pw {

TransportReply HttpTransport::send(const std::string& address, const std::string& method, const std::string& target,
    const std::string& proof, const std::string& body, std::chrono::milliseconds timeout)
{
    const auto server = support::parseAddress(address);
    if (!server) {
        return { false, 0, "", "", "not an address; accepted: IP:PORT" };
    }
    support::HttpRequest request { method, target, {}, body };
    if (!proof.empty()) {
        request.headers.emplace_back(header::operatorProof, proof);
    }
    const auto result = support::fetch(*server, request, timeout);
    return { result.whole, result.status, result.body, result.header(std::string(header::answerProof)), result.error };
}

TimePoint HttpTransport::now()
{
    return MonotonicClock::now();
}

void HttpTransport::pause(std::chrono::milliseconds duration)
{
    std::this_thread::sleep_for(duration);
}

} // namespace pw
