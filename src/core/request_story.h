#pragma once

#include "core/event_reader.h"

#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace pw {

/// A line of the story of a request.
struct StoryLine {
    std::string process; ///< Whose log it stands in.
    EventRecord event;
    bool isBelief = false; ///< What the process held to be so, not a decision on the request.
};

/// Puts together what the logs of any number of processes say about one request.
///
/// Lines with the request's id, or with an id that begins with it and a dot, are decisions. Lines without a request are
/// beliefs: of each process that decided something, the last one of each kind before its first decision is kept, and
/// those after it up to its last decision.
class RequestStory {
public:
    explicit RequestStory(std::string requestId);

    /// Reads the next line of the log of \p process; lines that are no events are counted only.
    void read(const std::string& process, std::string_view line);

    /// \returns the story by time; the lines of one process stay in their order.
    std::vector<StoryLine> tell() const;

    std::size_t unreadLines() const { return m_unread; }

private:
    /// The log of one process as far as it matters.
    struct Log {
        std::map<std::string, EventRecord> latest; ///< Beliefs by kind and subject, while nothing was decided.
        std::vector<StoryLine> lines; ///< From the first decision on.
        std::size_t linesToLastDecision = 0;
        std::set<std::string> servers; ///< That decisions name.
    };

    bool isMine(std::string_view id) const;
    static std::vector<StoryLine> linesOf(const std::string& process, const Log& log);

    std::string m_id;
    std::map<std::string, Log> m_logs; ///< By process.
    std::size_t m_unread = 0;
};

} // namespace pw
