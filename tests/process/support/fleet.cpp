#include "support/fleet.h"

#include "support/http_names.h"

#include <algorithm>
#include <stdexcept>
#include <utility>

namespace pw::test {
namespace {

    constexpr milliseconds startBound { 30000 };

} // namespace

Fleet::Fleet(const FleetShape& shape)
{
    if (shape.proxied) {
        m_proxy = std::make_unique<FaultProxy>(m_folder);
    }
    m_files.fleetSecret = m_folder.write("fleet.secret", "fleet-secret-of-the-process-tests\n");
    m_files.operatorSecret = m_folder.write("operator.secret", "operator-secret-of-the-process-tests\n");
    for (std::size_t n = 1; n <= shape.controls; ++n) {
        m_files.members.push_back(plan("control-" + std::to_string(n), "d" + std::to_string(n), { "control" }));
    }
    for (const auto& it : m_files.members) {
        m_controls.emplace_back(m_folder, it, m_files);
    }
    m_operators = std::make_unique<OperatorCli>(m_folder, m_files);
}

DaemonSpec Fleet::plan(const std::string& name, const std::string& failureDomain, std::vector<std::string> roles)
{
    DaemonSpec spec;
    spec.name = name;
    spec.failureDomain = failureDomain;
    spec.roles = std::move(roles);
    spec.ip = "127.0.10." + std::to_string(++m_planned);
    spec.listen = freeAddress(spec.ip);
    spec.peer = m_proxy ? freeAddress() : spec.listen;
    spec.caller = freeAddress(spec.ip);
    spec.backend = freeAddress(spec.ip);
    spec.operators = freeAddress(spec.ip);
    if (m_proxy) {
        m_proxy->map(name, spec.peer, spec.listen);
    }
    return spec;
}

Server& Fleet::addServer(const std::string& service, const std::vector<std::string>& options, const std::string& failureDomain)
{
    const std::string name = service + "-" + std::to_string(m_servers.size() + 1);
    const DaemonSpec spec = plan(name, failureDomain, { "entry", "server" });
    Server server { Daemon(m_folder, spec, m_files), Standin(m_folder, name + "-backend", service, spec.backend, options) };
    m_servers.push_back(std::move(server));
    return m_servers.back();
}

Daemon& Fleet::addServerDaemon(const std::string& failureDomain)
{
    const auto name = "server-" + std::to_string(m_entries.size() + 1);
    return m_entries.emplace_back(m_folder, plan(name, failureDomain, { "entry", "server" }), m_files);
}

Daemon& Fleet::addEntry(const std::string& failureDomain)
{
    return m_entries.emplace_back(m_folder, plan("entry-" + std::to_string(m_entries.size() + 1), failureDomain, { "entry" }), m_files);
}

void Fleet::bootstrap()
{
    if (m_bootstrapped) {
        return;
    }
    std::string last;
    m_bootstrapped = eventually(startBound, [&] {
        const auto ran = m_operators->bootstrap();
        last = ran.output;
        return ran.status == 0;
    });
    if (!m_bootstrapped) {
        throw std::runtime_error("the cluster was not founded: " + last);
    }
}

void Fleet::configure(const std::string& configuration)
{
    bootstrap();
    std::string last;
    const auto submitted = [&] {
        const auto ran = m_operators->submit(configuration);
        last = ran.output;
        return ran.status == 0;
    };
    if (!eventually(startBound, submitted)) {
        throw std::runtime_error("the configuration was not accepted: " + last);
    }
}

void Fleet::waitForRoute(const Daemon& entry, const std::string& target, const std::string& key)
{
    support::HttpResult last;
    const auto routed = [&] {
        last = get(entry, target, key);
        return last.status == 200;
    };
    if (!eventually(startBound, routed)) {
        throw std::runtime_error(target + " is not served: " + std::to_string(last.status) + " " + last.header(support::http::reasonHeader) + last.error);
    }
}

support::HttpResult Fleet::ask(const Daemon& entry, const support::HttpRequest& request, milliseconds timeout) const
{
    return support::fetch(*support::parseAddress(entry.spec().caller), request, timeout);
}

support::HttpResult Fleet::get(const Daemon& entry, const std::string& target, const std::string& key) const
{
    support::HttpRequest request;
    request.target = target;
    if (!key.empty()) {
        request.headers.emplace_back(support::http::keyHeader, key);
    }
    return ask(entry, request);
}

support::HttpResult Fleet::post(const Daemon& entry, const std::string& target, const std::string& key, const std::string& requestId) const
{
    support::HttpRequest request;
    request.method = "POST";
    request.target = target;
    request.headers.emplace_back(support::http::keyHeader, key);
    if (!requestId.empty()) {
        request.headers.emplace_back(support::http::requestIdHeader, requestId);
    }
    return ask(entry, request);
}

Daemon* Fleet::leader()
{
    std::string name;
    (void)eventually(startBound, [&] {
        name = m_operators->leader();
        return !name.empty();
    });
    const auto it = std::ranges::find_if(m_controls, [&](const Daemon& daemon) { return daemon.spec().name == name; });
    return it == m_controls.end() ? nullptr : &*it;
}

std::vector<const Standin*> Fleet::standins() const
{
    std::vector<const Standin*> result;
    std::ranges::transform(m_servers, std::back_inserter(result), [](const Server& it) { return &it.standin; });
    return result;
}

} // namespace pw::test
