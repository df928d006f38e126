#include <catch2/catch.hpp>
#include <persimmonpoint/core/placement/home_regions.hpp>
#include <persimmonpoint/platform/fleet_decoder.hpp>

using namespace persimmonpoint;

TEST_CASE("Regions of a route and of a team both bind", "[homes]") {
    home_regions const homes(region_set{"north", "east"}, region_set{"north", "west"});
    CHECK(homes.is_bound());
    CHECK(homes.allows("north"));
    CHECK_FALSE(homes.allows("east"));
    CHECK_FALSE(homes.allows("west"));
}

TEST_CASE("A request without regions may be brought anywhere", "[homes]") {
    home_regions const homes;
    CHECK_FALSE(homes.is_bound());
    CHECK(homes.allows("north"));
    CHECK(homes.allows_zone("unknown", {}));
}

TEST_CASE("A zone of no known region is not allowed", "[homes]") {
    home_regions const homes(region_set{"north"}, {});
    zone_regions const regions{{"zone-a", "north"}, {"zone-b", "south"}};
    CHECK(homes.allows_zone("zone-a", regions));
    CHECK_FALSE(homes.allows_zone("zone-b", regions));
    CHECK_FALSE(homes.allows_zone("zone-c", regions));
}

TEST_CASE("Regions are decoded, and an entry with others left out", "[homes][decoder]") {
    std::string const route =
        R"({"name":"r","host":"db","service":"s","kind":"primary","timeout_ms":100,)"
        R"("allowed_regions":)";
    std::string const team =
        R"({"name":"t","api_keys":["k"],"rate_per_s":1,"burst":1,"allowed_regions":)";
    auto const decoded = [&](std::string const& regions) {
        return platform::decode_configuration(
                   R"({"version":1,"services":[],"routes":[)" + route + regions +
                   R"(}],"tenants":[)" + team + regions + "}]}")
            .value();
    };
    auto const good = decoded(R"(["north"])");
    CHECK(good.configuration.routes.at("db").allowed_regions == region_set{"north"});
    CHECK(good.configuration.teams.at("t").allowed_regions == region_set{"north"});
    auto const odd = decoded("[1]");
    CHECK(odd.configuration.routes.empty());
    CHECK(odd.configuration.teams.empty());
    CHECK(odd.left_out.size() == 2);
    CHECK(decoded("null").configuration.routes.at("db").allowed_regions.empty());
}
