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

/// Name of the native interface.
inline constexpr std::string_view nativeInterfaceName = "native";

/// Parts of the daemon that endpoints of an interface may use. Everything outlives the endpoints.
struct EndpointDependencies {
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

/// An endpoint at which clients outside the fleet connect to the daemon.
class DaemonEndpoint {
public:
    virtual ~DaemonEndpoint() = default;

    /// Starts listening.
    /// \param reason receives the error message when false is returned.
    virtual bool init(std::string& reason) = 0;
};

/// An external interface: the protocols for callers, backend servers and operators, and the format of the configuration.
/// It only translates; no decision of the daemon depends on it.
class Interface {
public:
    virtual ~Interface() = default;

    virtual const CallerProtocol& callerProtocol() const = 0;
    virtual const BackendProtocol& backendProtocol() const = 0;

    /// \returns the parser of the configuration format.
    virtual DeploymentParser deploymentParser() const = 0;

    /// \returns the endpoint for the backend server beside the daemon.
    virtual std::unique_ptr<DaemonEndpoint> makeBackendEndpoint(const EndpointDependencies& parts) const = 0;

    /// \returns the endpoint for operators.
    virtual std::unique_ptr<DaemonEndpoint> makeOperatorEndpoint(const EndpointDependencies& parts) const = 0;
};

using InterfaceFactory = std::function<std::unique_ptr<Interface>()>;

/// Registers an interface as \p name; replaces an earlier one of that name.
void registerInterface(std::string_view name, InterfaceFactory factory);

/// \returns the names of the registered interfaces.
std::vector<std::string_view> interfaceNames();

/// \returns a new interface of the type registered as \p name, or null when there is none.
std::unique_ptr<Interface> makeInterface(std::string_view name);

} // namespace pw
