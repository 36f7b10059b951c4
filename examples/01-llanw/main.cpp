#include <pistachiowheel/pistachiowheel.h>

#include <iostream>

/// Tidal forecasts of a co-operative: shares, forecasts, bundles and curtailment orders.
int main()
{
    using pw::Importance;
    const pw::Deployment deployment {
        .services = { { "member-forecast", 230, 1500 }, { "turbine-control", 300, 1900 }, { "forecast-bundle", 300, 1900 },
            { "member-share", 40, 330 } },
        .routes = {
            { .name = "forecast", .pathPrefix = "/forecasts", .service = "member-forecast", .importance = Importance::High },
            { .name = "curtailment-order", .method = "POST", .pathPrefix = "/curtailments", .service = "turbine-control", .importance = Importance::Critical, .idempotent = false },
            { .name = "forecast-bundle", .pathPrefix = "/bundles", .service = "forecast-bundle", .importance = Importance::Low },
            { .name = "share", .pathPrefix = "/shares", .service = "member-share" },
            { .name = "tide-table", .pathPrefix = "/tide-tables", .service = "member-forecast", .nestedOnly = true },
            { .name = "rotor-status", .pathPrefix = "/rotors", .service = "turbine-control", .nestedOnly = true },
            { .name = "tide-summary", .pathPrefix = "/public/tides", .service = "member-forecast", .importance = Importance::Low, .open = true },
        },
        .workspaces = { { "grid-trader-1", 400, 800 }, { "grid-trader-2", 300, 600 }, { "turbine-control-room", 200, 400 }, { "members-anglesey", 60, 120 }, { "members-gwynedd", 60, 120 }, { "members-pembroke", 40, 80 }, { "harbour-office", 20, 40 }, { "research", 10, 20 } },
    };
    std::cout << pw::toYaml(deployment);
    return pw::check(deployment) ? 1 : 0;
}
