#include "announcer.h"
#include "backend.h"
#include "options.h"

#include "support/http_server.h"
#include "support/loop.h"

#include <csignal>
#include <cstdio>
#include <optional>

namespace {

using namespace pw;

/// Answers the control address of the stand-in.
class Control {
public:
    Control(standin::Backend& backend, std::optional<standin::Announcer>& announcer)
        : m_backend(backend)
        , m_announcer(announcer)
    {
    }

    support::ControlAnswer answer(const support::ControlRequest& request)
    {
        if (request.path == "/mode") {
            return setMode(request);
        }
        if (request.path == "/records") {
            return { 200, m_backend.journal().lines(request.text("prefix")) };
        }
        if (request.path == "/bytes") {
            return { 200, m_backend.journal().bytes };
        }
        if (request.path == "/stats") {
            return { 200, m_backend.stats() };
        }
        if (request.path == "/announced") {
            return { 200, std::to_string(m_announcer ? m_announcer->accepted() : 0) };
        }
        if (request.path == "/statement") {
            m_backend.setStatement(request.text("rate-limit"), request.text("leaving"));
            return {};
        }
        if (request.path == "/echo") {
            return switchEcho(request);
        }
        return switchAnnouncer(request);
    }

private:
    support::ControlAnswer setMode(const support::ControlRequest& request)
    {
        const auto behaviour = standin::Behaviour::parse(request);
        if (!behaviour) {
            return { 400, "unknown mode\n" };
        }
        m_backend.setBehaviour(*behaviour);
        return {};
    }

    support::ControlAnswer switchEcho(const support::ControlRequest& request)
    {
        m_backend.setEcho(request.text("on", "1") == "1");
        return {};
    }

    support::ControlAnswer switchAnnouncer(const support::ControlRequest& request)
    {
        if (!m_announcer) {
            return { 404, "no daemon\n" };
        }
        if (request.path == "/leave") {
            m_announcer->leave();
        } else if (request.path == "/join") {
            m_announcer->join();
        } else if (request.path == "/silence") {
            m_announcer->setSilent(request.text("on", "1") == "1");
        } else {
            return { 404, "no such path\n" };
        }
        return {};
    }

    standin::Backend& m_backend;
    std::optional<standin::Announcer>& m_announcer;
};

} // namespace

int main(int argc, char** argv)
{
    const standin::Options options = standin::parseOptions(argc, argv);
    support::ignoreBrokenPipes();
    const support::BasePtr base = support::makeBase();
    standin::Backend backend(base.get(), options);
    std::optional<standin::Announcer> announcer;
    Control control(backend, announcer);
    support::ControlServer controlServer(base.get(), [&](const support::ControlRequest& request) { return control.answer(request); });
    if (!backend.listen() || !controlServer.listen(options.control)) {
        (void)std::fprintf(stderr, "standin-backend: cannot listen\n");
        return 1;
    }
    if (options.daemon) {
        announcer.emplace(base.get(), options);
    }
    const auto stop = [&] { event_base_loopbreak(base.get()); };
    const support::SignalHandler onTerm(base.get(), SIGTERM, stop);
    const support::SignalHandler onInterrupt(base.get(), SIGINT, stop);
    event_base_dispatch(base.get());
    return 0;
}
