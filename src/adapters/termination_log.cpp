#include "adapters/termination_log.h"

#include "adapters/event_log_easylogging.h"

#include <cstdlib>
#include <exception>
#include <string>
#include <utility>

namespace pw {
namespace {

    EasyloggingEventLog* terminationLog = nullptr; ///< A terminate handler has no argument.

    std::string nameOfCurrentException()
    {
        try {
            if (const auto current = std::current_exception()) {
                std::rethrow_exception(current);
            }
        } catch (const std::exception& error) {
            return error.what();
        } catch (...) {
            return "exception of another type";
        }
        return "none";
    }

    void onTerminate()
    {
        // Writing the line may fail as well.
        if (auto* log = std::exchange(terminationLog, nullptr)) {
            PW_EVENT(*log, Event::DaemonFailed, { "exception", nameOfCurrentException() });
            log->flush();
        }
        std::abort();
    }

} // namespace

TerminationLog::TerminationLog(EasyloggingEventLog& log)
{
    terminationLog = &log;
    std::set_terminate(onTerminate);
}

TerminationLog::~TerminationLog()
{
    terminationLog = nullptr;
}

} // namespace pw
