#include "support/process_usage.h"

#include <unistd.h>

#include <fstream>
#include <sstream>
#include <string>

namespace pw::measure {
namespace {

    constexpr int fieldsBeforeUserTime = 11; ///< After the command name of /proc/PID/stat.

    std::string statusFile(pid_t id, const char* name)
    {
        return "/proc/" + std::to_string(id) + "/" + name;
    }

} // namespace

std::chrono::microseconds processorTime(pid_t id)
{
    std::ifstream in(statusFile(id, "stat"));
    std::string text;
    std::getline(in, text);
    std::istringstream fields(text.substr(text.rfind(')') + 1));
    std::string skipped;
    for (int n = 0; n < fieldsBeforeUserTime; ++n) {
        fields >> skipped;
    }
    std::int64_t user = 0;
    std::int64_t system = 0;
    fields >> user >> system;
    return std::chrono::microseconds((user + system) * 1'000'000 / sysconf(_SC_CLK_TCK));
}

std::size_t residentBytes(pid_t id)
{
    std::ifstream in(statusFile(id, "statm"));
    std::size_t size = 0;
    std::size_t resident = 0;
    in >> size >> resident;
    return resident * static_cast<std::size_t>(sysconf(_SC_PAGESIZE));
}

} // namespace pw::measure
