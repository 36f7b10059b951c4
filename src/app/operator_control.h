#pragma once

#include "app/control_log.h"
#include "ports/operator_backend.h"

namespace pw {

/// Implements OperatorBackend on the replicated log of the control role.
class OperatorControl final : public OperatorBackend {
public:
    /// \p log must outlive this object.
    explicit OperatorControl(ControlLog& log);

    void submit(Change change, Done done) override;
    void readLatest(std::function<void(const ConfigurationRecord*)> done) override;
    void awaitInForce(std::uint64_t index, std::function<void(bool)> done) override;
    void removeMember(const std::string& name, Done done) override;
    bool bootstrap(std::string& reason) override;

    ControlReport report() const override;
    const ConfigurationRecord& configuration() const override;
    const std::map<std::string, KeyRecord>& keys() const override;
    const std::map<std::string, EvacuationRecord>& evacuations() const override;
    const SuspectMap& suspects() const override;
    std::vector<ConfigurationHistoryEntry> history() const override;

private:
    ControlLog& m_log;
};

} // namespace pw
