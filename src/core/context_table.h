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

/// What a nested call runs under; taken from the running request that it is made for.
struct NestedGrant {
    std::uint64_t parent = 0; ///< Call::id of the running request.
    std::string workspace;
    std::string route; ///< Of the running request.
    Rank rank;
    TimePoint deadline {};
    std::uint32_t attempts = 0; ///< Share of the budget, at least one: every attempt at the nested call costs one.
    std::uint8_t depth = 0; ///< Of the nested call.
};

/// Answer to ContextTable::beginNested().
struct NestedResult {
    std::optional<NestedGrant> grant;
    Refusal refusal; ///< Says why there is no grant.
};

/// What is left of a closed context; goes back with the answer.
struct ClosedContext {
    std::uint32_t attemptsUnused = 0;
    std::vector<std::string> downstream; ///< Services that nested calls reached, each once.
    std::string saturated; ///< Downstream service that shed a nested call, if any.
    Duration nestedTime { 0 }; ///< In which at least one nested call was under way.
};

/// Context tokens of the requests that run at the backend server beside this daemon.
///
/// A backend server gets an opaque token with each request and must show it on nested calls. The token leads to the
/// request's workspace, importance, deadline and attempt budget, and dies with the request.
class ContextTable {
public:
    static constexpr std::size_t tokenBytes = 16;
    using Token = std::array<std::byte, tokenBytes>;
    /// Source of unguessable tokens.
    using TokenSource = std::function<Token()>;

    explicit ContextTable(TokenSource source);

    /// Opens the context of \p call, which is about to run. \returns its token as text.
    std::string open(const Call& call, TimePoint now);

    /// Begins a nested call of the request that \p token belongs to.
    NestedResult beginNested(std::string_view token, TimePoint now);

    /// Ends a nested call that was granted.
    /// \param unused attempts of the grant that were not spent.
    /// \param answer the nested call's; null when none came. Its downstream services become the running request's.
    /// \param service that the nested call went to.
    void endNested(std::string_view token, std::uint32_t unused, const std::string& service, const Answer* answer, TimePoint now);

    /// Closes a context: the request has ended, its token is worth nothing from here on.
    ClosedContext close(std::string_view token, TimePoint now);

    std::size_t size() const { return m_contexts.size(); }

private:
    struct Context {
        NestedGrant base; ///< Depth and attempts are the running request's own.
        std::uint32_t remaining = 0; ///< Attempts not handed out.
        std::uint32_t active = 0; ///< Nested calls under way.
        std::uint32_t mostActive = 0; ///< Nested calls wanted at once, refused ones included.
        TimePoint activeSince {};
        Duration nestedTime { 0 };
        std::set<std::string> downstream;
        std::string saturated;
    };

    static void release(Context& context, TimePoint now);
    std::uint32_t shareOf(const Context& context) const;
    void remember(const std::string& route, std::uint32_t parallel);

    TokenSource m_source;
    std::unordered_map<std::string, Context> m_contexts;
    std::unordered_map<std::string, double> m_parallel; ///< Nested calls that requests of a route make at once.
};

} // namespace pw
