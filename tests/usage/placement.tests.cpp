#include <algorithm>
#include <catch2/catch.hpp>
#include <support/fleet_stage.hpp>
#include <support/line_caller.hpp>

using namespace persimmonpoint;
using namespace persimmonpoint::tests;

namespace {

constexpr char const* key = "key-1";
/// Longer than any test takes.
constexpr unsigned cold_for_ms = 600'000;

/// Statements with this text that ran at a database for which the condition holds.
template <class Condition>
std::size_t
ran_where(fleet_stage& fleet, std::string const& text, Condition const& condition) {
    std::size_t count = 0;
    fleet.with_standins([&] {
        auto const& ran = fleet.group->ran();
        count = static_cast<std::size_t>(
            std::count_if(ran.begin(), ran.end(), [&](auto const& each) {
                return each.text == text && condition(each.database);
            }));
    });
    return count;
}

std::size_t
ran_at_replicas(fleet_stage& fleet, std::string const& text, std::string const& leader) {
    return ran_where(
        fleet, text, [&](std::string const& database) { return database != leader; });
}

} // namespace

TEST_CASE("Reads leave cold databases, and come back once these are warm", "[cold]") {
    fleet_stage fleet(0);
    fleet.service_fields = R"(,"cold_start_s":600,"cold_per_s":0)";
    fleet.configure({key});
    fleet.add_host();
    fleet.add_host();
    std::string const leader = fleet.group->leader();
    line_caller caller(fleet.caller_port(0));
    caller.start("browse", key);
    auto const reads_at_replicas = [&] {
        std::size_t const before = ran_at_replicas(fleet, "READ ladder", leader);
        for (int i = 0; i < 20; ++i) {
            CHECK(caller.query("READ ladder").error.empty());
        }
        return ran_at_replicas(fleet, "READ ladder", leader) > before;
    };
    REQUIRE(eventually(reads_at_replicas));
    for (std::string const& each : fleet.group->ids()) {
        fleet.cold_ms[each] = each == leader ? 0 : cold_for_ms;
    }
    fleet.register_databases();
    CHECK(eventually([&] { return !reads_at_replicas(); }));
    CHECK_FALSE(reads_at_replicas());
    fleet.cold_ms.clear();
    fleet.register_databases();
    CHECK(eventually(reads_at_replicas));
}

TEST_CASE("Requests with homes reach databases of their regions only", "[homes]") {
    fleet_stage fleet(0);
    std::string const leader = fleet.group->leader();
    for (std::string const& each : fleet.group->ids()) {
        fleet.zones[each] = each == leader ? "a" : "z";
    }
    fleet.regions = {{"a", "north"}, {"z", "south"}};
    fleet.route_fields = R"(,"allowed_regions":["south"])";
    fleet.configure({key});
    fleet.register_databases();
    fleet.add_host();
    fleet.add_host();
    line_caller reader(fleet.caller_port(0));
    reader.start("browse", key);
    REQUIRE(eventually([&] { return reader.query("READ pond").error.empty(); }));
    for (int i = 0; i < 20; ++i) {
        CHECK(reader.query("READ pond").error.empty());
    }
    line_caller writer(fleet.caller_port(1));
    writer.start("alerts", key);
    CHECK(writer.query("WRITE ladder 1").error == "BUSY");
    CHECK(writer.query("READ pond").error == "BUSY");
    auto const at_leader = [&](std::string const& database) {
        return database == leader;
    };
    CHECK(ran_where(fleet, "READ pond", at_leader) == 0);
    CHECK(ran_where(fleet, "WRITE ladder 1", at_leader) == 0);
    SECTION("until the configuration allows others") {
        fleet.route_fields = R"(,"allowed_regions":["north","south"])";
        fleet.configure({key});
        CHECK(eventually([&] { return writer.query("WRITE ladder 1").error.empty(); }));
    }
}
