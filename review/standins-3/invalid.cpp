#include "cases.h"

#include "traffic.h"

namespace review {

Verdict unknownPart(Record& record, const std::string& folder, bool trouble)
{
    Deployment deployment(record, folder, { "orders" });
    if (!deployment.start()) {
        return CouldNotRun;
    }
    const std::vector<RouteText> routes { { "r-orders", "/orders/", "idempotent", "orders" } };
    if (deployment.replaceConfiguration(configuration(1, routes, 65536), 0, now() + 20) != 200) {
        return CouldNotRun;
    }
    auto text = configuration(2, routes, 65536);
    const std::string part = R"("service":"orders")";
    const std::string unknown = trouble ? "ordres" : "orders";
    text.replace(text.find(part), part.size(), R"("weighted_backends":[{"service":"orders","weight":100},{"service":")" + unknown + R"(","weight":0}])");
    record.line("the operator's configuration: " + text);
    const auto status = deployment.replaceConfiguration(text, 1, now() + 10);
    const auto read = deployment.readConfiguration(now() + 10);
    const bool isAcknowledged = status == 200;
    record.line("read back: " + read);
    record.line("RESULT: the configuration, " + std::string(trouble ? "invalid" : "valid") + ", was answered " + std::to_string(status)
        + (read == text ? " and is in force" : " and is not in force"));
    if (!trouble) {
        return isAcknowledged && read == text ? Held : CouldNotRun;
    }
    return isAcknowledged || read == text ? Broken : Held;
}

} // namespace review
