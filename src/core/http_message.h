#pragma once

#include <string>
#include <vector>

namespace pw {

/// One HTTP header line.
struct HeaderLine {
    std::string name;
    std::string value;

    bool operator==(const HeaderLine&) const = default;
};

/// A complete HTTP request.
struct HttpRequest {
    std::string method;
    std::string target; ///< Path and query.
    std::vector<HeaderLine> headers;
    std::string body;
};

/// A complete HTTP response.
struct HttpResponse {
    int status = 200;
    std::vector<HeaderLine> headers;
    std::string body;
};

} // namespace pw
