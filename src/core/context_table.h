#pragma once

#include "core/call.h"
#include "core/types.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace pw {

/// Attributes that a nested call inherits from the running request that it is made for.
struct NestedGrant {
    std::uint64_t parent = 0; ///< Call::id of the running request.
    std::string workspace;
    std::string route; ///< Route of the running request.
    Rank rank;
    TimePoint deadline {};
    std::uint32_t attempts = 0; ///< Share of the attempt budget, at least one; each attempt at the nested call uses one.
    std::uint8_t depth = 0; ///< Depth of the nested call.
};

/// Result of ContextTable::beginNested().
struct NestedResult {
    std::optional<NestedGrant> grant;
    Refusal refusal; ///< Set if there is no grant.
};

/// Result of a closed context; returned with the answer.
struct ClosedContext {
    std::uint32_t attemptsUnused = 0;
    std::vector<std::string> downstream; ///< Services that nested calls reached, without duplicates.
    std::string saturated; ///< Downstream service that shed a nested call, if any.
    Duration nestedTime { 0 }; ///< Time during which at least one nested call was in progress.
};

/// Context tokens of the requests that run at the backend server beside this daemon.
///
/// A backend server receives an opaque token with each request and must send it with nested calls. The token identifies the
/// request's workspace, importance, deadline and attempt budget. It becomes invalid when the request ends.
class ContextTable {
public:
    static constexpr std::size_t tokenBytes = 16;
    using Token = std::array<std::byte, tokenBytes>;
    /// Source of unguessable tokens.
    using TokenSource = std::function<Token()>;

    explicit ContextTable(TokenSource source);

    /// Opens the context of \p call, which is about to run. \returns its token in hexadecimal.
    std::string open(const Call& call, TimePoint now);

    /// Begins a nested call of the request that \p token identifies.
    NestedResult beginNested(std::string_view token, TimePoint now);

    /// Ends a nested call that was granted.
    /// \param unused unused attempts of the grant.
    /// \param answer answer to the nested call; null if there was none. Its downstream services are added to those of the
    /// running request.
    /// \param service service that was called.
    void endNested(std::string_view token, std::uint32_t unused, const std::string& service, const Answer* answer, TimePoint now);

    /// Closes the context of a request that has ended and invalidates its token.
    ClosedContext close(std::string_view token, TimePoint now);

    std::size_t size() const { return m_contexts.size(); }

private:
    struct Context {
        NestedGrant base; ///< Depth and attempts are those of the running request.
        std::uint32_t remaining = 0; ///< Attempts that are not granted to a nested call.
        std::uint32_t active = 0; ///< Nested calls in progress.
        std::uint32_t maxActive = 0; ///< Maximum number of concurrent nested calls, including those refused for lack of attempts.
        TimePoint activeSince {};
        Duration nestedTime { 0 };
        std::set<std::string> downstream;
        std::string saturated;
    };

    static void release(Context& context, TimePoint now);
    std::uint32_t attemptShare(const Context& context) const;
    void recordParallelCalls(const std::string& route, std::uint32_t parallel);

    TokenSource m_source;
    std::unordered_map<std::string, Context> m_contexts;
    std::unordered_map<std::string, double> m_parallelCalls; ///< Average number of concurrent nested calls of a request, by route.
};

} // namespace pw
