#include "core/request_trace.h"

#include <algorithm>
#include <iterator>

namespace pw {
namespace {

    /// \returns the key of a state event: its kind and the server that it names, if any.
    std::string subjectOf(const EventRecord& event)
    {
        return event.name + ' ' + std::string(event.value("server"));
    }

    bool isUnrelatedServer(const EventRecord& event, const std::set<std::string>& servers)
    {
        const auto server = event.value("server");
        return !server.empty() && !servers.contains(std::string(server));
    }

} // namespace

RequestTrace::RequestTrace(std::string requestId)
    : m_id(std::move(requestId))
{
}

bool RequestTrace::matchesRequest(std::string_view id) const
{
    return id == m_id || (id.starts_with(m_id) && id.at(m_id.size()) == '.');
}

void RequestTrace::read(const std::string& process, std::string_view line)
{
    auto event = readEventLine(line);
    if (!event) {
        ++m_skippedLines;
        return;
    }
    auto& log = m_logs[process];
    const auto id = event->value("request");
    if (!id.empty() && !matchesRequest(id)) {
        return;
    }
    if (id.empty() && log.lines.empty()) {
        log.latest[subjectOf(*event)] = std::move(*event);
        return;
    }
    if (const auto server = event->value("server"); !id.empty() && !server.empty()) {
        log.servers.emplace(server);
    }
    const auto isProcessState = id.empty();
    log.lines.push_back({ process, std::move(*event), isProcessState });
    log.lineCountToLastDecision = isProcessState ? log.lineCountToLastDecision : log.lines.size();
}

std::vector<TraceLine> RequestTrace::linesOf(const std::string& process, const Log& log)
{
    std::vector<TraceLine> lines;
    std::ranges::transform(log.latest, std::back_inserter(lines),
        [&process](const auto& entry) { return TraceLine { process, entry.second, true }; });
    std::ranges::stable_sort(lines, {}, [](const TraceLine& it) { return it.event.time; });
    const auto end = log.lines.begin() + static_cast<std::ptrdiff_t>(log.lineCountToLastDecision);
    lines.insert(lines.end(), log.lines.begin(), end);
    std::erase_if(lines, [&log](const TraceLine& it) { return it.isProcessState && isUnrelatedServer(it.event, log.servers); });
    return lines;
}

std::vector<TraceLine> RequestTrace::lines() const
{
    std::vector<TraceLine> story;
    for (const auto& [process, log] : m_logs) {
        if (log.lines.empty()) {
            continue;
        }
        const auto lines = linesOf(process, log);
        std::vector<TraceLine> merged;
        std::ranges::merge(
            story, lines, std::back_inserter(merged), {}, [](const TraceLine& it) { return it.event.time; },
            [](const TraceLine& it) { return it.event.time; });
        story = std::move(merged);
    }
    return story;
}

} // namespace pw
