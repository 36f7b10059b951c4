#include "core/limit.h"

namespace pw::detail {
namespace {

    /// Takes the announced capacity at its word.
    class StaticLimit : public Limit {
    public:
        using Limit::Limit;

    protected:
        double wanted() const override { return capacity(); }
        void learn(const LimitSample& /*sample*/, TimePoint /*now*/) override { }
    };

} // namespace

std::unique_ptr<Limit> makeStaticLimit(const LimitSettings& settings)
{
    return std::make_unique<StaticLimit>(settings);
}

} // namespace pw::detail
