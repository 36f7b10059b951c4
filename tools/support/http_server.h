#pragma once

#include "support/address.h"
#include "support/http_client.h"

#include <event2/event.h>

#include <functional>
#include <memory>
#include <string>

struct evhttp;
struct evhttp_request;

namespace pw::support {

/// Decoded request of a control path.
struct ControlRequest {
    std::string path;
    Headers query; ///< Parameters of the query string.

    /// \returns the parameter \p name, or \p fallback when it is not given.
    std::string text(const std::string& name, const std::string& fallback = {}) const;
    /// \returns the parameter \p name as a number, or \p fallback.
    double number(const std::string& name, double fallback) const;
};

/// Text and HTTP status of an answer to a control request.
struct ControlAnswer {
    int status = 200;
    std::string text;
};

/// Splits a request target into path and parameters.
ControlRequest parseTarget(const std::string& target);
ControlRequest parseTarget(evhttp_request* request);

/// Small HTTP server by which a test program is switched and read at run time.
class ControlServer {
public:
    using Handler = std::function<ControlAnswer(const ControlRequest&)>;

    ControlServer(event_base* base, Handler handler);

    /// \returns whether the server listens at \p address.
    bool listen(const Address& address);

private:
    struct Deleter {
        void operator()(evhttp* http) const;
    };

    Handler m_handler;
    std::unique_ptr<evhttp, Deleter> m_http;
};

} // namespace pw::support
