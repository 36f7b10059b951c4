#include "adapters/event_log_easylogging.h"

#include <easylogging++.h>

#include <cassert>
#include <utility>

INITIALIZE_EASYLOGGINGPP // NOLINT: the library's macro for its global state.

    namespace pw
{
    namespace {

        constexpr const char* loggerId = "events";
        constexpr const char* sinkId = "pistachiowheel";
        constexpr const char* defaultSinkId = "DefaultLogDispatchCallback";

        constexpr std::array<el::Level, static_cast<std::size_t>(Level::Count)> libraryLevels { el::Level::Debug, el::Level::Info,
            el::Level::Warning, el::Level::Error };

        /// Redirects the library's messages to LogOutput, because the library loses lines when it rotates its own files.
        class Sink final : public el::LogDispatchCallback {
        public:
            void attach(LogOutput* output) { m_output = output; }

        protected:
            void handle(const el::LogDispatchData* data) override
            {
                if (m_output) {
                    m_output->append(data->logMessage()->message());
                }
            }

        private:
            LogOutput* m_output = nullptr;
        };

        /// \returns the library's logger; cached after the first call.
        el::Logger* logger()
        {
            static el::Logger* const instance = el::Loggers::getLogger(loggerId);
            return instance;
        }

    } // namespace

    EasyloggingEventLog::EasyloggingEventLog(EventLogOptions options, Timers * timers)
        : m_options(std::move(options))
        , m_timers(timers)
        , m_output(m_options.file, m_options.fileBytes, m_options.toOutput)
    {
        el::Helpers::uninstallLogDispatchCallback<el::base::DefaultLogDispatchCallback>(defaultSinkId);
        const bool installed = el::Helpers::installLogDispatchCallback<Sink>(sinkId);
        assert(installed);
        static_cast<void>(installed);
        el::Helpers::logDispatchCallback<Sink>(sinkId)->attach(&m_output);
    }

    EasyloggingEventLog::~EasyloggingEventLog()
    {
        if (m_timers) {
            m_timers->cancel(m_flushTimer);
        }
        flush();
        el::Helpers::uninstallLogDispatchCallback<Sink>(sinkId);
    }

    bool EasyloggingEventLog::open(std::string & reason)
    {
        return m_output.open(reason);
    }

    bool EasyloggingEventLog::shouldWrite(Event event)
    {
        const auto& info = eventInfo(event);
        const auto n = m_counts.at(static_cast<std::size_t>(event))++;
        if (info.level < m_options.level) {
            return false;
        }
        return !info.decision || (m_options.decisionSampling > 0 && n % m_options.decisionSampling == 0);
    }

    void EasyloggingEventLog::write(Event event, std::initializer_list<EventField> fields)
    {
        const auto level = eventInfo(event).level;
        const auto& line = m_formatter.format(std::chrono::system_clock::now(), event, fields);
        el::base::Writer(libraryLevels.at(static_cast<std::size_t>(level)), "", 0, "").construct(logger(), false) << line;
        scheduleFlush(level);
    }

    void EasyloggingEventLog::flush()
    {
        m_output.flush();
        reportLost();
    }

    void EasyloggingEventLog::scheduleFlush(Level level)
    {
        if (!m_timers || level >= Level::Warning) {
            m_output.flush();
        }
        if (!m_timers || m_output.empty() || m_flushTimer) {
            return;
        }
        m_flushTimer = m_timers->after(flushInterval, [this] {
            m_flushTimer = 0;
            flush();
            scheduleFlush(Level::Debug);
        });
    }

    void EasyloggingEventLog::reportLost()
    {
        if (const auto n = m_output.takeLost()) {
            const auto& line = m_formatter.format(std::chrono::system_clock::now(), Event::LogLinesLost, { EventField("lines", n) });
            m_output.append(line);
            ++m_counts.at(static_cast<std::size_t>(Event::LogLinesLost));
        }
    }

} // namespace pw
