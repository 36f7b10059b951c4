#pragma once

namespace pw {

class EasyloggingEventLog;

/// Logs the exception that ends the process because nothing catches it. At most one instance may exist at a time.
class TerminationLog {
public:
    explicit TerminationLog(EasyloggingEventLog& log);
    ~TerminationLog();
    TerminationLog(const TerminationLog&) = delete;
    TerminationLog& operator=(const TerminationLog&) = delete;
};

} // namespace pw
