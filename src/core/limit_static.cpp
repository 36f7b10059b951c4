#include "core/limit.h"

namespace pw::detail {
namespace {

    /// Always uses the announced capacity.
    class StaticLimit : public Limit {
    public:
        using Limit::Limit;

    protected:
        double strategyLimit() const override { return capacity(); }
        void onFinishedRun(const LimitSample& /*sample*/, TimePoint /*now*/) override { }
    };

} // namespace

std::unique_ptr<Limit> makeStaticLimit(const LimitSettings& settings)
{
    return std::make_unique<StaticLimit>(settings);
}

} // namespace pw::detail
