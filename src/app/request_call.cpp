#include "app/request_call.h"

#include "core/header_rules.h"

namespace pw {

Call callFor(const HttpRequest& request, const Route& route)
{
    Call call;
    call.route = route.name;
    call.service = route.service;
    call.method = request.method;
    call.target = request.target;
    call.headers = forwardedHeaders(request.headers);
    call.body = request.body;
    call.importance = route.importance;
    call.idempotent = route.idempotent;
    return call;
}

} // namespace pw
