#include "support/standin.h"

#include "support/http_client.h"

#include <algorithm>
#include <sstream>
#include <stdexcept>

namespace pw::test {
namespace {

    constexpr milliseconds controlTimeout { 2000 };
    constexpr milliseconds startBound { 5000 };

    std::vector<std::string> argumentsOf(const std::string& name, const std::string& service, const std::string& address,
        const std::string& control, const std::string& daemon, std::vector<std::string> options)
    {
        std::vector<std::string> result { "--name", name, "--service", service, "--listen", address, "--control", control };
        if (!daemon.empty()) {
            result.insert(result.end(), { "--daemon", daemon });
        }
        result.insert(result.end(), options.begin(), options.end());
        return result;
    }

} // namespace

Standin::Standin(const Folder& folder, const std::string& name, const std::string& service, const std::string& daemon,
    std::vector<std::string> options)
    : m_service(service)
    , m_address(freeAddress())
    , m_control(freeAddress())
    , m_process("standin-backend", argumentsOf(name, service, m_address, m_control, daemon, std::move(options)), folder.path(name + ".log"))
{
    const auto answers = [this] {
        return support::fetch(*support::parseAddress(m_control), std::string("/stats"), controlTimeout).status == 200;
    };
    if (!eventually(startBound, answers)) {
        throw std::runtime_error("stand-in " + name + " does not answer: " + m_process.log());
    }
}

std::string Standin::fetch(const std::string& target) const
{
    const auto result = support::fetch(*support::parseAddress(m_control), target, controlTimeout);
    if (!result.whole || result.status != 200) {
        throw std::runtime_error("stand-in at " + m_control + ": " + target + ": " + result.error);
    }
    return result.body;
}

void Standin::mode(const std::string& query) const
{
    (void)fetch("/mode?" + query);
}

void Standin::command(const std::string& target) const
{
    (void)fetch(target);
}

std::vector<RecordedRun> Standin::records(const std::string& markerPrefix) const
{
    std::istringstream lines(fetch("/records?prefix=" + markerPrefix));
    std::vector<RecordedRun> result;
    for (RecordedRun it; lines >> it.method >> it.path >> it.marker >> it.outcome;) {
        if (it.path != "/v1/announce") {
            result.push_back(it);
        }
    }
    return result;
}

std::size_t Standin::runs(const std::string& markerPrefix) const
{
    return static_cast<std::size_t>(std::ranges::count_if(records(markerPrefix), &RecordedRun::ran));
}

std::string Standin::bytes() const
{
    return fetch("/bytes");
}

std::size_t Standin::stat(const std::string& name) const
{
    const std::string text = fetch("/stats");
    const auto at = text.find("\"" + name + "\":");
    return at == std::string::npos ? 0 : std::stoul(text.substr(at + name.size() + 3));
}

std::size_t Standin::announced() const
{
    return std::stoul(fetch("/announced"));
}

} // namespace pw::test
