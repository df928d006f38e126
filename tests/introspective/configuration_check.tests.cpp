#include <catch2/catch.hpp>
#include <persimmonpoint/core/catalog/configuration_check.hpp>
#include <persimmonpoint/core/catalog/configuration_differences.hpp>

using namespace persimmonpoint;
using std::chrono::milliseconds;

namespace {

served_route route(std::string name, std::string database, std::string group) {
    served_route made;
    made.name = std::move(name);
    made.database = std::move(database);
    made.group = std::move(group);
    made.statement_timeout = milliseconds(1000);
    made.target_latency = milliseconds(100);
    return made;
}

served_group group(std::string name) {
    served_group made;
    made.name = std::move(name);
    made.max_connections = 16;
    return made;
}

listed_team team(std::string name, std::vector<std::string> keys) {
    listed_team made;
    made.team.name = std::move(name);
    made.team.rate = 10;
    made.team.burst = 10;
    made.keys = std::move(keys);
    return made;
}

/// A configuration without findings.
listed_configuration sound() {
    listed_configuration made;
    made.version = 7;
    made.routes = {route("reports", "db", "group")};
    made.groups = {group("group")};
    made.teams = {team("hatchery", {"key-1"})};
    return made;
}

std::vector<std::string> rules_of(listed_configuration const& checked) {
    std::vector<std::string> rules;
    for (configuration_finding const& each : check_configuration(checked)) {
        rules.push_back(each.rule + " " + each.place);
    }
    return rules;
}

using rules = std::vector<std::string>;

std::vector<std::string>
changed_places(listed_configuration const& before, listed_configuration const& behind) {
    std::vector<std::string> places;
    for (configuration_difference const& each : compare_configurations(
             index_configuration(before), index_configuration(behind))) {
        places.push_back(each.place + ": " + each.change);
    }
    return places;
}

} // namespace

TEST_CASE("A sound configuration has no findings", "[check]") {
    CHECK(check_configuration(sound()).empty());
}

TEST_CASE("Each rule finds what it is for", "[check]") {
    listed_configuration made = sound();
    SECTION("an entry that hosts leave out") {
        made.left_out = {{"routes", "odd", {"kind", "is not known"}}};
        CHECK(rules_of(made) == rules{"unusable routes/odd"});
    }
    SECTION("a route that another hides") {
        made.routes.push_back(route("later", "db", "group"));
        CHECK(rules_of(made) == rules{"hidden-route routes/reports"});
    }
    SECTION("entries that are listed twice") {
        made.groups.push_back(group("group"));
        made.teams.push_back(team("hatchery", {"key-2"}));
        CHECK(
            rules_of(made) ==
            rules{"listed-twice groups/group", "listed-twice teams/hatchery"});
    }
    SECTION("a route to no service, and a service without a route") {
        made.routes.front().group = "gruop";
        CHECK(
            rules_of(made) ==
            rules{"no-service routes/reports", "unused-service groups/group"});
    }
    SECTION("a team without keys") {
        made.teams.push_back(team("audit", {}));
        CHECK(rules_of(made) == rules{"no-keys teams/audit"});
    }
    SECTION("a key of two teams, which isn't shown") {
        made.teams.push_back(team("audit", {"key-1"}));
        CHECK(rules_of(made) == rules{"shared-key teams/audit"});
        CHECK(check_configuration(made).front().text.find("key-1") == std::string::npos);
    }
    SECTION("a timeout below the target latency, or of zero") {
        made.routes.front().statement_timeout = milliseconds(50);
        CHECK(rules_of(made) == rules{"timeout-below-target routes/reports"});
        made.routes.front().statement_timeout = milliseconds(0);
        CHECK(rules_of(made) == rules{"no-time routes/reports"});
    }
    SECTION("a bound on staleness that no replica meets") {
        made.routes.front().kind = route_kind::bounded_staleness;
        CHECK(rules_of(made) == rules{"too-fresh routes/reports"});
        made.routes.front().max_staleness = milliseconds(100);
        CHECK(rules_of(made).empty());
    }
    SECTION("a quota that lets nothing pass") {
        made.teams.front().team.burst = 0.5;
        CHECK(rules_of(made) == rules{"closed-quota teams/hatchery"});
    }
    SECTION("too few connections for the teams, or none") {
        made.groups.front().max_connections = 1;
        CHECK(rules_of(made) == rules{"few-connections groups/group"});
        made.groups.front().max_connections = 0;
        CHECK(rules_of(made) == rules{"no-connections groups/group"});
    }
    SECTION("a route and a team that no region is open to") {
        made.routes.front().allowed_regions = {"north"};
        made.teams.front().team.allowed_regions = {"south"};
        CHECK(rules_of(made) == rules{"disjoint-regions routes/reports"});
        made.teams.front().team.allowed_regions.clear();
        CHECK(rules_of(made).empty());
    }
}

TEST_CASE("Differences from the version in force are told", "[check]") {
    listed_configuration const before = sound();
    listed_configuration behind = before;
    behind.version = 8;
    CHECK(changed_places(before, behind).empty());
    SECTION("of its number, which has to rise") {
        behind.version = 7;
        CHECK(changed_places(before, behind) == rules{"version: 7 to 7"});
    }
    SECTION("of routes") {
        behind.routes.front().statement_timeout = milliseconds(500);
        behind.routes.push_back(route("new", "other", "group"));
        CHECK(
            changed_places(before, behind) ==
            rules{
                "routes/reports: timeout 1000 ms to 500 ms",
                "routes/new: added (host other)"});
        CHECK(
            changed_places(behind, before).back() == "routes/new: removed (host other)");
    }
    SECTION("of services") {
        behind.groups.front().max_connections = 8;
        behind.groups.front().cold_rate = 2;
        CHECK(
            changed_places(before, behind) ==
            rules{"groups/group: connections 16 to 8, rate while cold not given to 2"});
    }
    SECTION("of teams and keys, without naming a key") {
        behind.teams.front().keys = {"key-2", "key-3"};
        behind.teams.front().team.rate = 5;
        behind.teams.push_back(team("audit", {"key-1"}));
        CHECK(
            changed_places(before, behind) ==
            rules{
                "teams/hatchery: rate 10 to 5", "teams/audit: added",
                "teams/hatchery: keys withdrawn: 1", "teams/hatchery: keys added: 2"});
    }
    SECTION("of limits") {
        behind.transaction_idle = milliseconds(300);
        CHECK(
            changed_places(before, behind) ==
            rules{"limits: idle time of transactions 0 ms to 300 ms"});
    }
}
