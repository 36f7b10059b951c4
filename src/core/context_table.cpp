#include "core/context_table.h"

#include "config.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace pw {
namespace {

    std::string toHex(const ContextTable::Token& token)
    {
        static constexpr std::string_view digits = "0123456789abcdef";
        std::string text;
        text.reserve(2 * token.size());
        for (auto byte : token) {
            auto value = std::to_integer<unsigned>(byte);
            text += digits[value >> 4U];
            text += digits[value & 15U];
        }
        return text;
    }

    NestedResult refused(Reason reason)
    {
        return { std::nullopt, { Verdict::NotRun, reason, {} } };
    }

} // namespace

ContextTable::ContextTable(TokenSource source)
    : m_source(std::move(source))
{
}

std::string ContextTable::open(const Call& call, TimePoint now)
{
    Context context;
    context.base = { call.id, call.workspace, call.route, call.rank, now + call.timeLeft, call.attempts, call.depth };
    context.remaining = call.attempts;
    auto token = toHex(m_source());
    auto [it, inserted] = m_contexts.emplace(token, std::move(context));
    assert(inserted);
    return it->first;
}

NestedResult ContextTable::beginNested(std::string_view token, TimePoint now)
{
    auto it = m_contexts.find(std::string(token));
    if (it == m_contexts.end()) {
        return refused(Reason::BadToken);
    }
    auto& context = it->second;
    if (now >= context.base.deadline) {
        return refused(Reason::DeadlineExceeded);
    }
    if (context.base.depth + 1 >= config::maxCallDepth) {
        return refused(Reason::TooDeep);
    }
    context.maxActive = std::max(context.maxActive, context.active + 1);
    if (context.remaining == 0) {
        return refused(Reason::BudgetExhausted);
    }
    auto grant = context.base;
    grant.attempts = attemptShare(context);
    ++grant.depth;
    context.remaining -= grant.attempts;
    if (context.active == 0) {
        context.activeSince = now;
    }
    ++context.active;
    return { grant, {} };
}

void ContextTable::endNested(
    std::string_view token, std::uint32_t unused, const std::string& service, const Answer* answer, TimePoint now)
{
    auto it = m_contexts.find(std::string(token));
    if (it == m_contexts.end() || it->second.active == 0) {
        return;
    }
    auto& context = it->second;
    context.remaining = std::min(context.base.attempts, context.remaining + unused);
    release(context, now);
    context.downstream.insert(service);
    if (!answer) {
        return;
    }
    context.downstream.insert(answer->downstream.begin(), answer->downstream.end());
    if (!answer->saturated.empty()) {
        context.saturated = answer->saturated;
    } else if (answer->refusal.reason == Reason::Overloaded) {
        context.saturated = service;
    }
}

ClosedContext ContextTable::close(std::string_view token, TimePoint now)
{
    auto it = m_contexts.find(std::string(token));
    if (it == m_contexts.end()) {
        return {};
    }
    auto& context = it->second;
    recordParallelCalls(context.base.route, context.maxActive);
    while (context.active > 0) {
        release(context, now);
    }
    ClosedContext closed { context.remaining, { context.downstream.begin(), context.downstream.end() },
        std::move(context.saturated), context.nestedTime };
    m_contexts.erase(it);
    return closed;
}

void ContextTable::release(Context& context, TimePoint now)
{
    assert(context.active > 0);
    if (--context.active == 0) {
        context.nestedTime += now - context.activeSince;
    }
}

std::uint32_t ContextTable::attemptShare(const Context& context) const
{
    auto known = m_parallelCalls.find(context.base.route);
    if (known == m_parallelCalls.end()) {
        // The number of parallel calls of this route is unknown: reserve part of the budget for later ones.
        auto reserve = static_cast<std::uint32_t>(context.remaining * config::siblingReserve);
        return std::max(1U, context.remaining - reserve);
    }
    auto expected = static_cast<std::uint32_t>(std::lround(known->second));
    auto others = expected > context.active ? expected - context.active - 1 : 0;
    return std::max(1U, context.remaining / (others + 1));
}

void ContextTable::recordParallelCalls(const std::string& route, std::uint32_t parallel)
{
    if (parallel == 0) {
        return;
    }
    if (m_parallelCalls.size() >= config::maxRememberedRoutes && !m_parallelCalls.contains(route)) {
        m_parallelCalls.clear();
    }
    auto& known = m_parallelCalls[route];
    // Increases immediately and decreases slowly: reserving too little makes a parallel call fail, while reserving too much
    // only leaves fewer attempts for each call.
    known = std::max<double>(parallel, known + (parallel - known) * config::parallelCallsWeight);
}

} // namespace pw
