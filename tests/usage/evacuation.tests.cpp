#include <algorithm>
#include <catch2/catch.hpp>
#include <support/fleet_stage.hpp>
#include <support/line_caller.hpp>

using namespace persimmonpoint;
using namespace persimmonpoint::tests;

namespace {

constexpr char const* key = "key-1";

/// A fleet whose primary is alone in its availability zone.
class evacuation_stage {
public:
    evacuation_stage() : primary(this->fleet.group->leader()) {
        this->fleet.zones[this->primary] = std::string("z");
        this->fleet.register_databases();
        this->caller.start("tallies", key);
    }

    void evacuate(std::string const& zone) {
        this->fleet.with_standins(
            [&] { this->fleet.store->put("op", "evacuate/" + zone, "{}"); });
    }
    void take_back(std::string const& zone) {
        this->fleet.with_standins(
            [&] { this->fleet.store->remove("op", "evacuate/" + zone); });
    }
    std::string leader() {
        std::string now;
        this->fleet.with_standins([&] { now = this->fleet.group->leader(); });
        return now;
    }
    /// Statements that the former primary ran so far.
    std::size_t ran_at_primary() {
        std::size_t count = 0;
        this->fleet.with_standins([&] {
            auto const& ran = this->fleet.group->ran();
            count = static_cast<std::size_t>(
                std::count_if(ran.begin(), ran.end(), [this](auto const& each) {
                    return each.database == this->primary;
                }));
        });
        return count;
    }
    bool writes(std::string const& data) {
        return this->caller.query("WRITE ladder " + data).error.empty();
    }

    fleet_stage fleet;
    std::string primary;
    line_caller caller{this->fleet.caller_port(0)};
};

} // namespace

TEST_CASE("An evacuated zone's databases are sent nothing", "[front][evacuation]") {
    evacuation_stage stage;
    REQUIRE(eventually([&] { return stage.writes("1"); }));
    stage.evacuate("z");
    REQUIRE(eventually([&] { return stage.leader() != stage.primary; }));
    REQUIRE(eventually([&] { return stage.writes("2"); }));
    std::size_t const before = stage.ran_at_primary();
    for (int i = 0; i < 10; ++i) {
        CHECK(stage.writes(std::to_string(i)));
        CHECK(stage.caller.query("READ ladder").rows.front() == std::to_string(i));
    }
    CHECK(stage.ran_at_primary() == before);
    CHECK(stage.fleet.group->lossy_promotions().empty());
    SECTION("until it is taken back") {
        // Which of several idle databases serves a read isn't promised: none but the
        // former primary is left to choose.
        stage.take_back("z");
        stage.evacuate("a");
        CHECK(eventually(
            [&] { return stage.writes("3") && stage.ran_at_primary() > before; }));
        CHECK(stage.leader() == stage.primary);
        CHECK(stage.fleet.group->lossy_promotions().empty());
    }
}

TEST_CASE(
    "Where all zones are evacuated statements are refused at once, as not run",
    "[front][evacuation]") {
    evacuation_stage stage;
    REQUIRE(eventually([&] { return stage.writes("1"); }));
    stage.evacuate("z");
    stage.evacuate("a");
    REQUIRE(
        eventually([&] { return stage.caller.query("WRITE ladder 2").error == "BUSY"; }));
    CHECK(stage.caller.query("READ ladder").error == "BUSY");
    CHECK(stage.leader() == stage.primary);
    stage.take_back("a");
    stage.take_back("z");
    CHECK(eventually([&] { return stage.writes("3"); }));
}
