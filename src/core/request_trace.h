#pragma once

#include "core/event_reader.h"

#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace pw {

/// A log line that is relevant to a request.
struct TraceLine {
    std::string process; ///< Process that logged the line.
    EventRecord event;
    bool isProcessState = false; ///< Whether the event reports process state, such as the configuration, and not a decision.
};

/// Merges the log lines that concern one request from the logs of any number of processes.
///
/// Lines with the request's id, or with an id that consists of it, a dot and a suffix, are decisions. Lines without a request
/// id report state. For each process that logged a decision, the trace includes the last state line of each kind before the
/// first decision, and all state lines between the first and the last decision.
class RequestTrace {
public:
    explicit RequestTrace(std::string requestId);

    /// Reads the next log line of \p process. Lines that are not events are skipped and counted.
    void read(const std::string& process, std::string_view line);

    /// \returns the relevant lines, ordered by time; lines of one process keep their order.
    std::vector<TraceLine> lines() const;

    std::size_t skippedLines() const { return m_skippedLines; }

private:
    /// Relevant part of the log of one process.
    struct Log {
        std::map<std::string, EventRecord> latest; ///< Last state events before the first decision, by kind and subject.
        std::vector<TraceLine> lines; ///< Lines from the first decision on.
        std::size_t lineCountToLastDecision = 0;
        std::set<std::string> servers; ///< Servers that the decisions name.
    };

    bool matchesRequest(std::string_view id) const;
    static std::vector<TraceLine> linesOf(const std::string& process, const Log& log);

    std::string m_id;
    std::map<std::string, Log> m_logs; ///< By process.
    std::size_t m_skippedLines = 0;
};

} // namespace pw
