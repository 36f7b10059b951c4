#include "app/http_answer.h"

#include "core/header_rules.h"

#include <algorithm>
#include <chrono>

namespace pw {
namespace {

    constexpr std::string_view repeatedHeader = "Pistachio-Repeated";

    HeaderLine line(std::string_view name, std::string_view value)
    {
        return { std::string(name), std::string(value) };
    }

    std::string refusalBody(const Refusal& refusal)
    {
        return R"({"verdict":")" + std::string(verdictName(refusal.verdict)) + R"(","reason":")"
            + std::string(reasonInfo(refusal.reason).name) + R"(","retryAfterMs":)" + std::to_string(refusal.retryAfter.count()) + "}\n";
    }

} // namespace

HttpResponse refusalToHttp(const Refusal& refusal)
{
    const auto& info = reasonInfo(refusal.reason);
    HttpResponse response { info.http_status, {}, refusalBody(refusal) };
    response.headers.push_back(line(header::verdict, verdictName(refusal.verdict)));
    response.headers.push_back(line(header::reason, info.name));
    response.headers.push_back(line("Content-Type", "application/json"));
    if (refusal.retryAfter.count() > 0) {
        auto seconds = std::chrono::ceil<std::chrono::seconds>(refusal.retryAfter).count();
        response.headers.push_back(line("Retry-After", std::to_string(seconds)));
        response.headers.push_back(line(header::retryAfterMs, std::to_string(refusal.retryAfter.count())));
    }
    return response;
}

HttpResponse answerToHttp(const Answer& answer)
{
    if (!answer.isComplete()) {
        return refusalToHttp(answer.refusal);
    }
    HttpResponse response { answer.status, answer.headers, answer.body };
    response.headers.push_back(line(header::verdict, verdictName(answer.refusal.verdict)));
    return response;
}

StoredAnswer toStoredAnswer(const Refusal& outcome, const HttpResponse& response)
{
    StoredAnswer stored;
    stored.status = response.status;
    stored.body = response.body;
    stored.refusal = outcome;
    std::ranges::transform(response.headers, std::back_inserter(stored.headers), [](const HeaderLine& it) { return std::pair(it.name, it.value); });
    return stored;
}

HttpResponse storedAnswerToHttp(const StoredAnswer& stored)
{
    HttpResponse response { stored.status, {}, stored.body };
    std::ranges::transform(stored.headers, std::back_inserter(response.headers), [](const auto& it) { return HeaderLine { it.first, it.second }; });
    response.headers.push_back(line(repeatedHeader, "1"));
    return response;
}

} // namespace pw
