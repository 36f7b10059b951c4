#include "support/process.h"

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>

#include <algorithm>
#include <csignal>
#include <cstring>
#include <fstream>
#include <iterator>
#include <sstream>
#include <stdexcept>
#include <utility>

extern char** environ;

namespace pw::test {
namespace {

    constexpr int logMode = 0600;
    constexpr int signalled = 128;

    std::string pathOf(const std::string& program)
    {
        return program.starts_with('/') ? program : std::string(PW_BINARY_DIR) + "/" + program;
    }

    int statusOf(int waited)
    {
        return WIFEXITED(waited) ? WEXITSTATUS(waited) : signalled + WTERMSIG(waited);
    }

} // namespace

Process::Process(const std::string& program, const std::vector<std::string>& arguments, const std::string& logFile)
    : m_logFile(logFile)
{
    std::string path = pathOf(program);
    std::vector<std::string> texts = arguments;
    std::vector<char*> argv { path.data() };
    std::ranges::transform(texts, std::back_inserter(argv), [](std::string& it) { return it.data(); });
    argv.push_back(nullptr);
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, logFile.c_str(), O_WRONLY | O_CREAT | O_APPEND, logMode);
    posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    const int ec = posix_spawn(&m_id, path.c_str(), &actions, nullptr, argv.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    if (ec != 0) {
        m_id = -1;
        throw std::runtime_error("cannot start " + path + ": " + std::strerror(ec));
    }
}

Process::~Process()
{
    kill();
}

Process::Process(Process&& other) noexcept
    : m_id(std::exchange(other.m_id, -1))
    , m_status(other.m_status)
    , m_logFile(std::move(other.m_logFile))
{
}

Process& Process::operator=(Process&& other) noexcept
{
    if (this != &other) {
        kill();
        m_id = std::exchange(other.m_id, -1);
        m_status = other.m_status;
        m_logFile = std::move(other.m_logFile);
    }
    return *this;
}

void Process::kill()
{
    if (m_id > 0 && !m_status) {
        ::kill(m_id, SIGKILL);
        (void)waitpid(m_id, nullptr, 0);
    }
    m_id = -1;
}

void Process::signal(int number) const
{
    if (m_id > 0 && !m_status) {
        ::kill(m_id, number);
    }
}

bool Process::running()
{
    int waited = 0;
    if (!m_status && waitpid(m_id, &waited, WNOHANG) == m_id) {
        m_status = statusOf(waited);
    }
    return !m_status;
}

std::optional<int> Process::wait(milliseconds bound)
{
    (void)eventually(bound, [this] { return !running(); });
    return m_status;
}

std::string Process::log() const
{
    std::ostringstream text;
    text << std::ifstream(m_logFile).rdbuf();
    return text.str();
}

Ran runToEnd(const std::string& program, const std::vector<std::string>& arguments, const std::string& logFile, milliseconds bound)
{
    std::ofstream(logFile, std::ios::trunc).close();
    Process process(program, arguments, logFile);
    const auto status = process.wait(bound);
    return { status.value_or(-1), process.log() };
}

} // namespace pw::test
