#pragma once

#include "app/control_log.h"
#include "ports/operator_backend.h"

namespace pw {

/// Operators' port of the control role, over the replicated log.
class OperatorControl final : public OperatorBackend {
public:
    /// \p log must outlive this object.
    explicit OperatorControl(ControlLog& log);

    void submit(Change change, Done done) override;
    void readLatest(std::function<void(const ConfigurationRecord*)> done) override;
    void inForce(std::uint64_t index, std::function<void(bool)> done) override;
    void removeMember(const std::string& name, Done done) override;
    bool bootstrap(std::string& reason) override;

    ControlReport report() const override;
    const ConfigurationRecord& configuration() const override;
    const std::map<std::string, KeyRecord>& keys() const override;
    std::vector<HistoryRow> history() const override;

private:
    ControlLog& m_log;
};

} // namespace pw
