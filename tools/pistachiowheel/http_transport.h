#pragma once

#include "app/operator_client.h"

namespace pw {

/// HTTP to operator addresses over evhttp.
class HttpTransport final : public OperatorTransport {
public:
    TransportReply send(const std::string& address, const std::string& method, const std::string& target, const std::string& proof,
        const std::string& body, std::chrono::milliseconds timeout) override;
    TimePoint now() override;
    void pause(std::chrono::milliseconds duration) override;
};

} // namespace pw
