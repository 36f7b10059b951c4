#include <pistachiowheel/pistachiowheel.h>

#include <iostream>

/// Pricing for charity shops: price guides, sales and declarations, training catalogues and item histories.
int main()
{
    using pw::Importance;
    const pw::Deployment deployment {
        .services = { { "price-guide", 75, 550 }, { "sales-ledger", 75, 550 }, { "training-catalogue", 75, 550 },
            { "goods-history", 16, 200 } },
        .routes = {
            { .name = "price-guide", .pathPrefix = "/prices", .service = "price-guide", .importance = Importance::High },
            { .name = "record-price", .method = "POST", .pathPrefix = "/sales", .service = "sales-ledger", .importance = Importance::Critical, .idempotent = false },
            { .name = "gift-aid-declaration", .method = "POST", .pathPrefix = "/gift-aid", .service = "sales-ledger", .importance = Importance::Critical, .idempotent = false },
            { .name = "catalogue", .pathPrefix = "/catalogue", .service = "training-catalogue", .importance = Importance::Low },
            { .name = "item-history", .pathPrefix = "/items", .service = "goods-history" },
            { .name = "past-sales", .pathPrefix = "/past-sales", .service = "sales-ledger", .nestedOnly = true },
            { .name = "guide-entry", .pathPrefix = "/guide-entries", .service = "price-guide", .nestedOnly = true },
        },
        .workspaces = { { "chain-kolkata", 150, 300 }, { "chain-howrah", 120, 240 }, { "chain-siliguri", 100, 200 }, { "shop-asansol", 20, 40 }, { "shop-durgapur", 20, 40 }, { "shop-kharagpur", 15, 30 }, { "shop-malda", 10, 20 }, { "training-office", 10, 20 } },
    };
    std::cout << pw::toYaml(deployment);
    return pw::check(deployment) ? 1 : 0;
}
