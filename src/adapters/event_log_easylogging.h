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

/// What is logged, and where to.
struct EventLogOptions {
    Level level = Level::Info; ///< Less severe events are not written.
    std::string file; ///< Empty: standard error.
    std::uint32_t decisionSampling = 1; ///< One decision line in this many is written; zero writes none.
    std::size_t fileBytes = LogOutput::maxFileBytes; ///< Size at which the file is rotated.
    bool toOutput = false; ///< Without a file: standard output instead of standard error.
};

/// Event log through easylogging++, whose state is global: one object of this class at a time.
class EasyloggingEventLog final : public EventLog {
public:
    /// Longest time for which a line below Level::Warning stays in the buffer.
    static constexpr std::chrono::milliseconds flushInterval { 200 };

    /// \param timers flushes the buffer from the loop; without it each line is written at once. Must outlive this object.
    EasyloggingEventLog(EventLogOptions options, Timers* timers);
    ~EasyloggingEventLog() override;

    EasyloggingEventLog(const EasyloggingEventLog&) = delete;
    EasyloggingEventLog& operator=(const EasyloggingEventLog&) = delete;

    /// Opens the output. \returns false with \p reason when it cannot be written.
    bool open(std::string& reason);

    bool wants(Event event) override;
    void write(Event event, std::initializer_list<EventField> fields) override;

    /// Writes out what is buffered.
    void flush();

    /// \returns how often \p event happened, written or not.
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
