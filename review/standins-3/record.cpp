#include "record.h"

#include <chrono>
#include <thread>

namespace review {
namespace {

    using Clock = std::chrono::steady_clock;

    const Clock::time_point started = Clock::now();

} // namespace

double now()
{
    return std::chrono::duration<double>(Clock::now() - started).count();
}

void sleepUntil(double at)
{
    std::this_thread::sleep_until(started + std::chrono::duration_cast<Clock::duration>(std::chrono::duration<double>(at)));
}

Record::Record(const std::string& path)
    : m_file(std::fopen(path.c_str(), "w"))
{
}

Record::~Record()
{
    if (m_file) {
        std::fclose(m_file);
    }
}

void Record::line(const std::string& text)
{
    const std::scoped_lock lock(m_mutex);
    if (m_file) {
        std::fprintf(m_file, "%9.4f %s\n", now(), text.c_str());
        std::fflush(m_file);
    }
}

} // namespace review
