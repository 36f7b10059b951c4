#include "journal.h"

#include <algorithm>
#include <array>
#include <utility>

namespace pw::standin {
namespace {

    std::string lineOf(const Execution& execution)
    {
        return execution.method + " " + execution.path + " " + (execution.marker.empty() ? "-" : execution.marker) + " "
            + outcomeName(execution.outcome) + "\n";
    }

} // namespace

const char* outcomeName(Outcome outcome)
{
    static constexpr std::array<const char*, static_cast<std::size_t>(Outcome::Count)> names {
        "running", "answered", "failed", "refused", "silent", "truncated", "closed", "cancelled"
    };
    return names.at(static_cast<std::size_t>(outcome));
}

Journal::Journal(const std::string& file)
    : m_file(file.empty() ? nullptr : std::fopen(file.c_str(), "ae"))
{
}

std::size_t Journal::begin(Execution execution)
{
    writeLine(execution);
    m_executions.push_back(std::move(execution));
    return m_executions.size() - 1;
}

void Journal::end(std::size_t handle, Outcome outcome)
{
    Execution& execution = m_executions.at(handle);
    execution.outcome = outcome;
    writeLine(execution);
}

std::string Journal::lines(const std::string& prefix) const
{
    std::string text;
    for (const auto& it : m_executions) {
        if (it.marker.starts_with(prefix)) {
            text += lineOf(it);
        }
    }
    return text;
}

std::size_t Journal::count(Outcome outcome) const
{
    return static_cast<std::size_t>(std::ranges::count(m_executions, outcome, &Execution::outcome));
}

void Journal::writeLine(const Execution& execution)
{
    if (!m_file) {
        return;
    }
    const std::string line = lineOf(execution);
    (void)std::fwrite(line.data(), 1, line.size(), m_file.get());
    (void)std::fflush(m_file.get());
}

} // namespace pw::standin
