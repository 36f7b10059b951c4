#include "app/request_call.h"

#include "core/header_rules.h"

#include <utility>

namespace pw {

Call makeCall(const HttpRequest& request, const Route& route, std::string service, std::vector<HeaderLine> headers)
{
    Call call;
    call.route = route.name;
    call.service = std::move(service);
    call.method = request.method;
    call.target = request.target;
    call.host = singleHeader(request.headers, "Host").value_or("");
    call.headers = std::move(headers);
    call.body = request.body;
    call.rank = rankOf(route, 0);
    call.idempotent = route.idempotent;
    return call;
}

} // namespace pw
