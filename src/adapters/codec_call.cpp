#include "adapters/codec_call.h"

#include "adapters/codec_packed.h"
#include "adapters/http_status.h"
#include "call.capnp.h"
#include "config.h"

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <limits>
#include <map>

namespace pw {
namespace {

    using detail::fromData;
    using detail::fromText;
    using detail::toData;
    using detail::toText;

    template <typename Builder>
    void writeHeaders(Builder message, const std::vector<HeaderLine>& headers)
    {
        auto list = message.initHeaders(static_cast<unsigned>(headers.size()));
        for (unsigned n = 0; n < headers.size(); ++n) {
            list[n].setName(toText(headers[n].name));
            list[n].setValue(toText(headers[n].value));
        }
    }

    template <typename Reader>
    std::vector<HeaderLine> readHeaders(Reader message)
    {
        std::vector<HeaderLine> result;
        result.reserve(message.getHeaders().size());
        for (auto line : message.getHeaders()) {
            result.push_back({ fromText(line.getName()), fromText(line.getValue()) });
        }
        return result;
    }

    template <typename Enum>
    Enum readEnum(std::uint8_t value)
    {
        return static_cast<Enum>(std::min<std::uint8_t>(value, static_cast<std::uint8_t>(Enum::Count) - 1));
    }

    /// \returns \p requestsPerSecond if it is a rate.
    std::optional<double> readRate(bool isSet, double requestsPerSecond)
    {
        const auto isRate = isSet && std::isfinite(requestsPerSecond) && requestsPerSecond >= 0;
        return isRate ? std::optional<double>(requestsPerSecond) : std::nullopt;
    }

    void writeLoad(proto::LoadHint::Builder message, const LoadHint& load)
    {
        message.setRunning(load.running);
        message.setQueued(load.queued);
        message.setLimit(load.limit);
        message.setAdmissionFloor(static_cast<std::uint8_t>(load.admissionFloor));
        message.setLeaving(load.leaving);
        message.setHasRateLimit(load.requestsPerSecond.has_value());
        message.setRequestsPerSecond(load.requestsPerSecond.value_or(0));
        message.setOfferedPerSecond(load.offeredPerSecond);
        message.setBackendStart(load.backendStart);
        message.setDeparted(load.departed);
        message.setWarmUpRate(load.warmUpRate);
        message.setWorkMicros(static_cast<std::uint32_t>(std::clamp<std::int64_t>(load.workTime.count(), 0, std::numeric_limits<std::uint32_t>::max())));
    }

    LoadHint readLoad(proto::LoadHint::Reader message)
    {
        return { message.getRunning(), message.getQueued(), message.getLimit(), readEnum<Importance>(message.getAdmissionFloor()),
            message.getLeaving(), readRate(message.getHasRateLimit(), message.getRequestsPerSecond()),
            readRate(true, message.getOfferedPerSecond()).value_or(0), message.getBackendStart(), message.getDeparted(),
            readRate(true, message.getWarmUpRate()).value_or(0), std::chrono::microseconds(message.getWorkMicros()) };
    }

    void writeDemands(capnp::List<proto::ServiceDemand>::Builder list, const std::vector<ServiceDemand>& demands)
    {
        for (unsigned n = 0; n < demands.size(); ++n) {
            list[n].setService(toText(demands[n].service));
            list[n].setPrice(static_cast<float>(demands[n].price));
            list[n].setWorkMicros(static_cast<std::uint32_t>(demands[n].work.count()));
        }
    }

    /// Prices are grouped by service, so that its name is sent once.
    void writePrices(proto::Answer::Builder message, const std::vector<SlotPrice>& prices)
    {
        std::map<std::string, std::vector<SlotPrice>> byService;
        std::ranges::for_each(prices, [&](const SlotPrice& it) { byService[it.service].push_back(it); });
        auto list = message.initPrices(static_cast<unsigned>(byService.size()));
        unsigned n = 0;
        for (const auto& [service, servers] : byService) {
            auto group = list[n++];
            group.setService(toText(service));
            auto entries = group.initServers(static_cast<unsigned>(servers.size()));
            for (unsigned i = 0; i < servers.size(); ++i) {
                entries[i].setServer(servers[i].server);
                entries[i].setPrice(static_cast<float>(servers[i].price));
                entries[i].setReport(servers[i].report);
                entries[i].setAgeMillis(static_cast<std::uint16_t>(std::clamp<std::int64_t>(servers[i].age.count(), 0, UINT16_MAX)));
            }
        }
    }

    /// Leaves out prices that are not numbers, and those above the limit of one answer.
    std::vector<SlotPrice> readPrices(proto::Answer::Reader message)
    {
        std::vector<SlotPrice> result;
        for (auto group : message.getPrices()) {
            for (auto it : group.getServers()) {
                if (result.size() >= config::maxSlotPricesPerAnswer) {
                    return result;
                }
                if (const auto price = readRate(true, it.getPrice())) {
                    result.push_back({ fromText(group.getService()), it.getServer(), it.getReport(), *price, std::chrono::milliseconds(it.getAgeMillis()) });
                }
            }
        }
        return result;
    }

    Call readCall(proto::Call::Reader message)
    {
        Call call;
        call.id = message.getId();
        call.route = fromText(message.getRoute());
        call.service = fromText(message.getService());
        call.method = fromText(message.getMethod());
        call.target = fromText(message.getTarget());
        call.host = fromText(message.getHost());
        call.headers = readHeaders(message);
        call.body = fromData(message.getBody());
        call.workspace = fromText(message.getWorkspace());
        call.callerService = fromText(message.getCallerService());
        call.requestId = fromText(message.getRequestId());
        call.rank = { message.getWorkspacePriority(), message.getRoutePriority() };
        call.idempotent = message.getIdempotent();
        call.nested = message.getNested();
        call.repeated = message.getRepeated();
        call.depth = message.getDepth();
        call.attempts = message.getAttempts();
        call.timeLeft = std::chrono::microseconds(message.getTimeLeftMicros());
        call.digest = message.getDigest();
        call.suspect = message.getSuspect();
        call.trial = message.getTrial();
        if (const auto rate = readRate(message.getHasStatedRate(), message.getStatedRequestsPerSecond())) {
            call.statedRate = { message.getStatedRateStart(), *rate };
        }
        return call;
    }

    Answer readAnswer(proto::Answer::Reader message)
    {
        Answer answer;
        answer.id = message.getId();
        answer.refusal.verdict = readEnum<Verdict>(message.getVerdict());
        answer.refusal.reason = readEnum<Reason>(message.getReason());
        answer.refusal.retryAfter = std::chrono::milliseconds(message.getRetryAfterMillis());
        answer.status = message.getStatus();
        if (answer.isComplete() && !isFinalStatus(answer.status)) {
            answer.refusal = { Verdict::MayHaveRun, Reason::BackendFailed, {} };
        }
        answer.headers = readHeaders(message);
        answer.body = fromData(message.getBody());
        answer.attemptsUnused = message.getAttemptsUnused();
        answer.arrived = message.getArrived();
        answer.load = readLoad(message.getLoad());
        for (auto name : message.getDownstream()) {
            answer.downstream.push_back(fromText(name));
        }
        answer.saturated = fromText(message.getSaturated());
        for (auto demand : message.getDemands()) {
            answer.demands.push_back({ fromText(demand.getService()), demand.getPrice(), std::chrono::microseconds(demand.getWorkMicros()) });
        }
        answer.prices = readPrices(message);
        return answer;
    }

} // namespace

Bytes encodeCall(const Call& call)
{
    capnp::MallocMessageBuilder builder;
    auto message = builder.initRoot<proto::Call>();
    message.setId(call.id);
    message.setRoute(toText(call.route));
    message.setService(toText(call.service));
    message.setMethod(toText(call.method));
    message.setTarget(toText(call.target));
    message.setHost(toText(call.host));
    writeHeaders(message, call.headers);
    message.setBody(toData(call.body));
    message.setWorkspace(toText(call.workspace));
    message.setCallerService(toText(call.callerService));
    message.setRequestId(toText(call.requestId));
    message.setWorkspacePriority(call.rank.workspace);
    message.setRoutePriority(call.rank.route);
    message.setIdempotent(call.idempotent);
    message.setNested(call.nested);
    message.setRepeated(call.repeated);
    message.setDepth(call.depth);
    message.setAttempts(call.attempts);
    message.setTimeLeftMicros(static_cast<std::uint32_t>(std::max<std::int64_t>(call.timeLeft.count(), 0)));
    message.setDigest(call.digest);
    message.setSuspect(call.suspect);
    message.setTrial(call.trial);
    if (call.statedRate) {
        message.setHasStatedRate(true);
        message.setStatedRateStart(call.statedRate->backendStart);
        message.setStatedRequestsPerSecond(call.statedRate->requestsPerSecond);
    }
    return detail::toPackedBytes(builder);
}

Bytes encodeAnswer(const Answer& answer)
{
    capnp::MallocMessageBuilder builder;
    auto message = builder.initRoot<proto::Answer>();
    message.setId(answer.id);
    message.setVerdict(static_cast<std::uint8_t>(answer.refusal.verdict));
    message.setReason(static_cast<std::uint8_t>(answer.refusal.reason));
    message.setRetryAfterMillis(static_cast<std::uint32_t>(answer.refusal.retryAfter.count()));
    message.setStatus(static_cast<std::uint16_t>(answer.status));
    writeHeaders(message, answer.headers);
    message.setBody(toData(answer.body));
    message.setAttemptsUnused(answer.attemptsUnused);
    message.setArrived(answer.arrived);
    writeLoad(message.initLoad(), answer.load);
    auto list = message.initDownstream(static_cast<unsigned>(answer.downstream.size()));
    for (unsigned n = 0; n < answer.downstream.size(); ++n) {
        list.set(n, toText(answer.downstream[n]));
    }
    message.setSaturated(toText(answer.saturated));
    if (!answer.demands.empty()) {
        writeDemands(message.initDemands(static_cast<unsigned>(answer.demands.size())), answer.demands);
    }
    if (!answer.prices.empty()) {
        writePrices(message, answer.prices);
    }
    return detail::toPackedBytes(builder);
}

Bytes encodeCancel(std::uint64_t callId)
{
    capnp::MallocMessageBuilder builder;
    builder.initRoot<proto::Cancel>().setId(callId);
    return detail::toPackedBytes(builder);
}

std::optional<Call> decodeCall(std::span<const std::byte> bytes)
{
    return detail::fromPackedBytes<proto::Call>(bytes, readCall);
}

std::optional<Answer> decodeAnswer(std::span<const std::byte> bytes)
{
    return detail::fromPackedBytes<proto::Answer>(bytes, readAnswer);
}

std::optional<std::uint64_t> decodeCancel(std::span<const std::byte> bytes)
{
    return detail::fromPackedBytes<proto::Cancel>(bytes, [](proto::Cancel::Reader message) { return message.getId(); });
}

} // namespace pw
