#include "app/native_interface.h"

#include "app/backend_endpoint.h"
#include "app/deployment_yaml.h"
#include "app/native_protocol.h"
#include "app/operator_http.h"

namespace pw {
namespace {

    class NativeInterface final : public Interface {
    public:
        const CallerProtocol& callerProtocol() const override { return m_callers; }
        const BackendProtocol& backendProtocol() const override { return m_backends; }
        DeploymentParser deploymentParser() const override { return parseConfiguration; }

        std::unique_ptr<DaemonEndpoint> makeBackendEndpoint(const EndpointDependencies& parts) const override
        {
            return std::make_unique<BackendEndpoint>(parts);
        }

        std::unique_ptr<DaemonEndpoint> makeOperatorEndpoint(const EndpointDependencies& parts) const override
        {
            return std::make_unique<OperatorHttp>(parts);
        }

    private:
        NativeCallerProtocol m_callers;
        NativeBackendProtocol m_backends;
    };

} // namespace

std::unique_ptr<Interface> makeNativeInterface()
{
    return std::make_unique<NativeInterface>();
}

} // namespace pw
