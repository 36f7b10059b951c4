#include "adapters/event_log_easylogging.h"
#include "adapters/termination_log.h"

#include <boost/test/unit_test.hpp>

#include <csignal>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <stdexcept>
#include <string>
#include <sys/wait.h>
#include <unistd.h>

BOOST_AUTO_TEST_SUITE(TerminationLogs)

/// Guards against a daemon that ends without a line that says why.
BOOST_AUTO_TEST_CASE(anExceptionThatIsNotCaughtIsLogged)
{
    const auto file = std::filesystem::temp_directory_path() / ("termination-" + std::to_string(getpid()) + ".log");
    const auto child = fork();
    BOOST_REQUIRE(child >= 0);
    if (child == 0) {
        std::signal(SIGABRT, SIG_DFL);
        pw::EasyloggingEventLog log({ .file = file.string() }, nullptr);
        std::string reason;
        if (log.open(reason)) {
            const pw::TerminationLog termination(log);
            const auto fail = [](bool fails) {
                if (fails) {
                    throw std::out_of_range("no such slot");
                }
            };
            [&fail]() noexcept { fail(true); }();
        }
        _exit(0);
    }
    int status = 0;
    BOOST_REQUIRE(waitpid(child, &status, 0) == child);
    BOOST_TEST((WIFSIGNALED(status) && WTERMSIG(status) == SIGABRT));
    std::stringstream text;
    text << std::ifstream(file).rdbuf();
    std::filesystem::remove(file);
    BOOST_TEST(text.str().find(R"(error 106 daemon-failed exception="no such slot")") != std::string::npos, text.str());
}

BOOST_AUTO_TEST_SUITE_END()
