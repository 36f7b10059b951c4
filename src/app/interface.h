#pragma once

#include "adapters/tcp_stream.h"
#include "app/control_log.h"
#include "app/metrics.h"
#include "app/settings.h"
#include "ports/backend_protocol.h"
#include "ports/caller_protocol.h"
#include "ports/events.h"
#include "ports/operator_backend.h"
#include "ports/timers.h"

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace pw {

class Dispatcher;
class ServerRole;

/// Name of the product's own interface.
inline constexpr std::string_view nativeInterfaceName = "native";

/// What the edges of an interface may use of their daemon; all of it outlives them.
struct InterfaceParts {
    StreamLoop& loop;
    Timers& timers;
    EventLog& log;
    const Settings& settings;
    FleetView& fleet;
    Metrics& metrics;
    ServerRole* server; ///< Null without the server role.
    Dispatcher* dispatcher; ///< Null without the entry and server roles.
    OperatorBackend* control; ///< Null without the control role.
    LocalDaemon* daemon;
    std::vector<std::string> operatorSecrets;
};

/// A place where something outside speaks to the daemon.
class Edge {
public:
    virtual ~Edge() = default;

    /// Begins to listen. \param reason receives what went wrong when false is returned.
    virtual bool init(std::string& reason) = 0;
};

/// An outside interface: how callers, backend servers and operators speak to the daemon, and in which form operators
/// write the configuration. It translates; what is decided does not depend on it.
class Interface {
public:
    virtual ~Interface() = default;

    virtual const CallerProtocol& callers() const = 0;
    virtual const BackendProtocol& backends() const = 0;

    /// \returns the reader of configurations.
    virtual DeploymentParser parser() const = 0;

    /// \returns where the backend server beside announces itself.
    virtual std::unique_ptr<Edge> makeBackendEdge(const InterfaceParts& parts) const = 0;

    /// \returns where operators speak to the daemon.
    virtual std::unique_ptr<Edge> makeOperatorEdge(const InterfaceParts& parts) const = 0;
};

using InterfaceFactory = std::function<std::unique_ptr<Interface>()>;

/// Makes an interface known under \p name.
void registerInterface(std::string_view name, InterfaceFactory factory);

/// \returns the names of the interfaces that are known.
std::vector<std::string_view> interfaceNames();

/// \returns the interface called \p name, or null when there is none.
std::unique_ptr<Interface> makeInterface(std::string_view name);

} // namespace pw
