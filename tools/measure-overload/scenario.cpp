#include "scenario.h"

namespace pw::measure {
namespace {

    using std::chrono::milliseconds;

    const std::vector<double> rates { 40, 20, 10, 10, 6, 6, 4, 4 };

    DeploymentModel llanw()
    {
        enum : std::size_t { Forecast,
            Turbine,
            Bundle,
            Share };
        enum : std::size_t { Tides = 4,
            Rotor,
            BundleForecast };
        return { "llanw",
            { { "forecast", 4, 230, 1500 }, { "turbine", 3, 300, 1900 }, { "bundle", 3, 300, 1900 }, { "share", 3, 40, 330 } },
            {
                { "curtail", Turbine, Importance::Critical, false, milliseconds(300), {}, 0.15 },
                { "share", Share, Importance::High, true, milliseconds(75), { Tides, Rotor }, 0.10 },
                { "forecast", Forecast, Importance::Normal, true, milliseconds(300), {}, 0.45 },
                { "bundle", Bundle, Importance::Low, true, milliseconds(300), { BundleForecast }, 0.30 },
                { "tides", Forecast, Importance::Normal, true, milliseconds(150), {}, 0 },
                { "rotor", Turbine, Importance::Normal, true, milliseconds(150), {}, 0 },
                { "bundle-forecast", Forecast, Importance::Normal, true, milliseconds(225), {}, 0 },
            },
            rates, 1, microseconds(500), Turbine, Forecast, milliseconds(3000) };
    }

    DeploymentModel association()
    {
        enum : std::size_t { Guide,
            Ledger,
            Library,
            Archive };
        enum : std::size_t { HistoryItem = 5,
            GuidePrice };
        return { "association",
            { { "guide", 3, 75, 550 }, { "ledger", 3, 75, 550 }, { "library", 3, 75, 550 }, { "archive", 3, 16, 200 } },
            {
                { "price", Guide, Importance::Normal, true, milliseconds(60), {}, 0.35 },
                { "history", Guide, Importance::Normal, true, milliseconds(40), { HistoryItem }, 0.15 },
                { "record-price", Ledger, Importance::Critical, false, milliseconds(100), { GuidePrice }, 0.15 },
                { "gift-aid", Ledger, Importance::Critical, false, milliseconds(100), {}, 0.10 },
                { "catalogue", Library, Importance::Low, true, milliseconds(150), {}, 0.25 },
                { "history-item", Archive, Importance::Normal, true, milliseconds(100), {}, 0 },
                { "guide-price", Guide, Importance::Normal, true, milliseconds(40), {}, 0 },
            },
            rates, 1, microseconds(1400), Archive, Archive, milliseconds(2000) };
    }

} // namespace

const std::vector<DeploymentModel>& deployments()
{
    static const std::vector<DeploymentModel> all { llanw(), association() };
    return all;
}

const std::vector<StrategyModel>& strategies()
{
    static const std::vector<StrategyModel> all {
        { "no-control", "", false, false, true, false, true },
        { "static-fifo", "static", false, false, true, false, true },
        { "retry-each-hop", "delay", true, true, true, true, true },
        { "no-gate", "delay", true, false, false, true, false },
        { "static", "static", true, true, false, true, false },
        { "aimd", "aimd", true, true, false, true, false },
        { "gradient", "gradient", true, true, false, true, false },
        { "delay", "delay", true, true, false, true, true },
    };
    return all;
}

} // namespace pw::measure
