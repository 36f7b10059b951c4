#pragma once

#include <cstdio>
#include <mutex>
#include <string>

namespace review {

/// \returns seconds on the steady clock since the program started.
double now();

/// Waits until the time \p at of now().
void sleepUntil(double at);

/// The file record.txt of a case: one line for each thing sent, answered or run, with its time.
class Record {
public:
    explicit Record(const std::string& path);
    ~Record();
    Record(const Record&) = delete;
    Record& operator=(const Record&) = delete;

    void line(const std::string& text);

private:
    std::mutex m_mutex;
    std::FILE* m_file;
};

} // namespace review
