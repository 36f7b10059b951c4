#include "app/native_interface.h"

#include "app/backend_edge.h"
#include "app/deployment_yaml.h"
#include "app/native_protocol.h"
#include "app/operator_http.h"

namespace pw {
namespace {

    class NativeInterface final : public Interface {
    public:
        const CallerProtocol& callers() const override { return m_callers; }
        const BackendProtocol& backends() const override { return m_backends; }
        DeploymentParser parser() const override { return parseConfiguration; }

        std::unique_ptr<Edge> makeBackendEdge(const InterfaceParts& parts) const override
        {
            return std::make_unique<BackendEndpoint>(parts);
        }

        std::unique_ptr<Edge> makeOperatorEdge(const InterfaceParts& parts) const override
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
