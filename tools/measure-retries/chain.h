#pragma once

#include "config.h"
#include "core/context_table.h"
#include "core/retry.h"

#include <algorithm>
#include <cstdint>
#include <memory>
#include <vector>

namespace pw::measure {

/// How the daemons of a chain retry.
enum class ChainRetries : std::uint8_t {
    Budget, ///< Context tokens carry the root's budget, each daemon keeps to its ratio.
    EachHop, ///< Every hop tries three times, whatever the others do.
    Count
};

/// What one root request came to.
struct ChainResult {
    bool whole = false;
    std::uint64_t attempts = 0; ///< At all hops.
    std::uint64_t calls = 0; ///< At all hops, each counted once.
    std::uint32_t unused = 0; ///< Of the budget.
};

/// A chain of services, each calling the next one once, in which every attempt may fail at every hop.
class Chain {
public:
    Chain(std::uint64_t seed, std::vector<double> failures, ChainRetries retries)
        : m_random(seed)
        , m_failures(std::move(failures))
        , m_retries(retries)
        , m_policies(m_failures.size())
    {
        for (std::size_t n = 0; n < m_failures.size(); ++n) {
            m_tables.emplace_back([random = std::make_shared<Random>(seed + n)] {
                ContextTable::Token token;
                std::ranges::generate(token, [&random] { return static_cast<std::byte>((*random)()); });
                return token;
            });
        }
    }

    /// Sends one root request with \p budget attempts.
    ChainResult send(std::uint32_t budget)
    {
        m_result = {};
        m_result.whole = callHop(0, budget, m_result.unused);
        return m_result;
    }

private:
    /// Calls a hop with \p attempts, the first one included. \returns whether the answer is whole.
    bool callHop(std::size_t hop, std::uint32_t attempts, std::uint32_t& unused)
    {
        ++m_result.calls;
        for (std::uint32_t tries = 1;; ++tries) {
            --attempts;
            auto whole = attempt(hop, attempts);
            if (whole) {
                m_policies[hop].onSuccess();
            }
            if (whole || !again(hop, attempts, tries)) {
                unused = attempts;
                return whole;
            }
        }
    }

    bool again(std::size_t hop, std::uint32_t attempts, std::uint32_t tries)
    {
        if (m_retries == ChainRetries::EachHop) {
            return tries < config::maxTriesPerHop;
        }
        // A hop whose own attempt failed knows that it was not run; one that failed deeper has run.
        auto reason = m_failedHere ? Reason::Unreachable : Reason::DownstreamOverloaded;
        FailedAttempt question { { Verdict::NotRun, reason, {} }, true, attempts, std::chrono::seconds(1), tries };
        return m_policies[hop].next(question, m_random).has_value();
    }

    bool attempt(std::size_t hop, std::uint32_t& left)
    {
        ++m_result.attempts;
        m_failedHere = uniform(m_random) < m_failures[hop];
        if (m_failedHere) {
            return false;
        }
        auto whole = hop + 1 == m_failures.size() || nested(hop, left);
        m_failedHere = false;
        return whole;
    }

    bool nested(std::size_t hop, std::uint32_t& left)
    {
        if (m_retries == ChainRetries::EachHop) {
            std::uint32_t unused = 0;
            return callHop(hop + 1, config::maxTriesPerHop, unused);
        }
        Call call;
        call.route = "chain";
        call.attempts = left;
        call.depth = static_cast<std::uint8_t>(hop);
        call.timeLeft = std::chrono::seconds(1);
        auto token = m_tables[hop].open(call, TimePoint {});
        auto result = m_tables[hop].beginNested(token, TimePoint {});
        auto whole = false;
        if (result.grant) {
            std::uint32_t unused = 0;
            whole = callHop(hop + 1, result.grant->attempts, unused);
            m_tables[hop].endNested(token, unused, "next", nullptr, TimePoint {});
        }
        left = m_tables[hop].close(token, TimePoint {}).attemptsUnused;
        return whole;
    }

    Random m_random;
    std::vector<double> m_failures;
    ChainRetries m_retries;
    std::vector<RetryPolicy> m_policies;
    std::vector<ContextTable> m_tables;
    ChainResult m_result;
    bool m_failedHere = false; ///< The last attempt failed at its own hop.
};

} // namespace pw::measure
