#include "support/fault_proxy.h"

#include "support/http_client.h"

#include <stdexcept>

namespace pw::test {
namespace {

    constexpr milliseconds controlTimeout { 2000 };
    constexpr milliseconds startBound { 5000 };

} // namespace

FaultProxy::FaultProxy(const Folder& folder)
    : m_control(freeAddress())
    , m_process("fault-proxy", { "--control", m_control }, folder.path("fault-proxy.log"))
{
    const auto answers = [this] {
        return support::fetch(*support::parseAddress(m_control), std::string("/stats"), controlTimeout).status == 200;
    };
    if (!eventually(startBound, answers)) {
        throw std::runtime_error("the fault proxy does not answer: " + m_process.log());
    }
}

void FaultProxy::command(const std::string& target) const
{
    const auto result = support::fetch(*support::parseAddress(m_control), target, controlTimeout);
    if (result.status != 200) {
        throw std::runtime_error("fault proxy: " + target + ": " + result.error + result.body);
    }
}

void FaultProxy::map(const std::string& name, const std::string& listen, const std::string& target) const
{
    command("/map?name=" + name + "&listen=" + listen + "&target=" + target);
}

void FaultProxy::set(const std::string& query) const
{
    command("/set?" + query);
}

void FaultProxy::cutOff(const std::string& name, const std::string& ip) const
{
    set("map=" + name + "&fault=drop");
    set("from=" + ip + "&fault=drop");
}

void FaultProxy::heal() const
{
    command("/clear");
}

} // namespace pw::test
