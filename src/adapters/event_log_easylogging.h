#pragma once

#include "adapters/log_output.h"
#include "core/event_line.h"
#include "ports/events.h"
#include "ports/timers.h"

#include <array>
#include <chrono>
#include <memory>
#include <string>

namespace pw {

/// Settings of the event log.
struct EventLogOptions {
    Level level = Level::Info; ///< Less severe events are not written.
    std::string file; ///< Empty: standard error.
    std::uint32_t decisionSampling = 1; ///< One in this many decision events is written; zero writes none.
    std::size_t fileBytes = LogOutput::maxFileBytes; ///< Size at which the file is rotated.
    bool toOutput = false; ///< Without a file: standard output instead of standard error.
};

/// Event log based on easylogging++. The library's state is global, so at most one instance may exist at a time.
class EasyloggingEventLog final : public EventLog {
public:
    /// Maximum time that a line below Level::Warning is buffered.
    static constexpr std::chrono::milliseconds flushInterval { 200 };

    /// \param timers used to flush the buffer; if null, each line is written immediately. Must outlive this object.
    EasyloggingEventLog(EventLogOptions options, Timers* timers);
    ~EasyloggingEventLog() override;

    EasyloggingEventLog(const EasyloggingEventLog&) = delete;
    EasyloggingEventLog& operator=(const EasyloggingEventLog&) = delete;

    /// Opens the output. \returns false and sets \p reason if it cannot be opened for writing.
    bool open(std::string& reason);

    bool shouldWrite(Event event) override;
    void write(Event event, std::initializer_list<EventField> fields) override;

    /// Writes out the buffered lines.
    void flush();

    /// \returns how often \p event occurred, including occurrences that were not written.
    std::uint64_t count(Event event) const { return m_counts.at(static_cast<std::size_t>(event)); }

private:
    void scheduleFlush(Level level);
    void reportLost();

    EventLogOptions m_options;
    Timers* m_timers;
    TimerId m_flushTimer = 0;
    LogOutput m_output;
    EventLineFormatter m_formatter;
    std::array<std::uint64_t, static_cast<std::size_t>(Event::Count)> m_counts {};
};

} // namespace pw
