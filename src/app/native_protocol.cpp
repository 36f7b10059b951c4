#include "app/native_protocol.h"

#include "adapters/http_status.h"
#include "app/http_answer.h"
#include "config.h"
#include "core/header_rules.h"

#include <algorithm>
#include <charconv>

namespace pw {
namespace {

    constexpr Refusal malformed { Verdict::NotRun, Reason::Malformed, {} };

    bool isRequestId(std::string_view text)
    {
        auto printable = [](char c) { return c > ' ' && c < 0x7f; };
        return !text.empty() && text.size() <= config::maxRequestIdBytes && std::ranges::all_of(text, printable);
    }

    std::optional<std::chrono::milliseconds> parseDeadline(std::string_view text)
    {
        std::int64_t value = 0;
        auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), value);
        if (ec != std::errc() || end != text.data() + text.size() || value <= 0) {
            return std::nullopt;
        }
        return std::min(std::chrono::milliseconds(value), config::maxDeadline);
    }

    HeaderLine line(std::string_view name, std::string_view value)
    {
        return { std::string(name), std::string(value) };
    }

} // namespace

std::optional<Refusal> NativeCallerProtocol::read(const HttpRequest& request, CallerRequest& ask) const
{
    const auto& headers = request.headers;
    if (hasMisplacedKey(request.target, headers, request.body) || countHeader(headers, header::key) > 1
        || countHeader(headers, header::context) > 0) {
        return malformed;
    }
    if (countHeader(headers, header::requestId) > 0) {
        auto id = singleHeader(headers, header::requestId);
        if (!id || !isRequestId(*id)) {
            return malformed;
        }
        ask.requestId = *id;
        ask.requiresClaim = true;
    }
    if (countHeader(headers, header::deadline) > 0) {
        auto text = singleHeader(headers, header::deadline);
        ask.callerTimeout = text ? parseDeadline(*text) : std::nullopt;
        if (!ask.callerTimeout) {
            return malformed;
        }
    }
    if (auto key = singleHeader(headers, header::key)) {
        ask.key = std::string(*key);
    }
    return std::nullopt;
}

std::vector<HeaderLine> NativeCallerProtocol::forwarded(const HttpRequest& request) const
{
    return forwardedHeaders(request.headers, header::ownPrefix);
}

HttpResponse NativeCallerProtocol::answer(const Answer& answer) const
{
    return answerToHttp(answer);
}

HttpResponse NativeCallerProtocol::refusal(const Refusal& refusal) const
{
    return refusalToHttp(refusal);
}

HttpResponse NativeCallerProtocol::errorResponse(int status, std::string_view what) const
{
    const auto reason = status == http_status::bodyTooLarge ? Reason::TooLarge : Reason::Malformed;
    return { status,
        { line(header::verdict, verdictName(Verdict::NotRun)), line(header::reason, reasonInfo(reason).name),
            line("Content-Type", "text/plain") },
        std::string(what) + "\n" };
}

HttpRequest NativeBackendProtocol::request(const BackendRun& run) const
{
    const auto& call = run.call;
    HttpRequest request { call.method, call.target, {}, call.body };
    request.headers.reserve(call.headers.size() + 6);
    request.headers.push_back(line("Host", call.host));
    request.headers.insert(request.headers.end(), call.headers.begin(), call.headers.end());
    request.headers.push_back(line(header::exchange, run.exchangeId));
    request.headers.push_back(line(header::context, run.contextToken));
    request.headers.push_back(line(header::deadline, std::to_string(run.timeLeft.count())));
    if (!call.workspace.empty()) {
        request.headers.push_back(line(header::workspace, call.workspace));
    }
    if (!call.requestId.empty()) {
        request.headers.push_back(line(header::requestId, call.requestId));
    }
    return request;
}

AnswerKind NativeBackendProtocol::classify(const HttpRequest& request, const HttpResponse& answer) const
{
    const auto sent = singleHeader(request.headers, header::exchange);
    const auto echoesAnother = std::ranges::any_of(answer.headers, [&](const HeaderLine& it) {
        return sameHeader(it.name, header::exchange) && it.value != sent;
    });
    if (echoesAnother) {
        return AnswerKind::Invalid;
    }
    if (answer.status == http_status::unavailable && countHeader(answer.headers, header::notRun) > 0) {
        return AnswerKind::NotRun;
    }
    return request.method == "HEAD" || hasExplicitFraming(answer) ? AnswerKind::Complete : AnswerKind::Invalid;
}

bool NativeBackendProtocol::identifiesRequest(const HttpRequest&, const HttpResponse& answer) const
{
    // Without the echoed id, a duplicate answer to this request could be mistaken for the answer to the next one.
    return countHeader(answer.headers, header::exchange) > 0;
}

bool NativeBackendProtocol::haveSameIdentity(const HttpRequest& earlier, const HttpRequest& later) const
{
    return singleHeader(earlier.headers, header::exchange) == singleHeader(later.headers, header::exchange);
}

BackendStatement NativeBackendProtocol::statement(const HttpResponse& answer) const
{
    return readStatement(answer.headers, { header::rateLimit, header::leaving });
}

void NativeBackendProtocol::strip(HttpResponse& answer) const
{
    answer.headers = forwardedHeaders(answer.headers, header::ownPrefix);
}

} // namespace pw
