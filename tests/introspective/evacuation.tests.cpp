#include <catch2/catch.hpp>
#include <persimmonpoint/core/placement/database_evacuation.hpp>
#include <persimmonpoint/core/placement/evacuation_tracker.hpp>
#include <persimmonpoint/core/routing/group_routing.hpp>
#include <support/acting_group.hpp>

using namespace persimmonpoint;
using persimmonpoint::tests::acting_group;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

instant const start{seconds(1000)};
constexpr duration limit = seconds(5);

evacuation_list list_of(std::uint64_t version, std::set<std::string, std::less<>> zones) {
    return evacuation_list{store_version{1, version}, std::move(zones)};
}

registered_database database(std::string id, std::string zone, bool primary = false) {
    registered_database entry;
    entry.id = std::move(id);
    entry.availability_zone = std::move(zone);
    entry.slots = 2;
    entry.claims_primary = primary;
    return entry;
}

group_routing group_in_three_zones() {
    group_routing group;
    group.set_databases(
        {database("p", "a", true), database("r1", "b"), database("r2", "c")});
    return group;
}

/// The primary's zone, or that of all copies, is evacuated.
acting_group evacuated_group(std::set<std::string> evacuated) {
    acting_group group;
    group.copies["r1"];
    group.copies["r2"];
    group.evacuated = std::move(evacuated);
    group.write();
    return group;
}

} // namespace

TEST_CASE("The store's word on evacuations counts, a later one first", "[evacuation]") {
    evacuation_tracker tracker;
    CHECK_FALSE(tracker.read(list_of(3, {})));
    CHECK_FALSE(tracker.to_tell());
    CHECK(tracker.read(list_of(5, {"a"})));
    CHECK(tracker.is_evacuated("a"));
    SECTION("an older reading changes nothing") {
        CHECK_FALSE(tracker.read(list_of(4, {})));
        CHECK(tracker.is_evacuated("a"));
    }
    SECTION("one that is taken back is told to others") {
        CHECK(tracker.read(list_of(7, {})));
        REQUIRE(tracker.to_tell());
        CHECK(tracker.to_tell()->zones.empty());
    }
}

TEST_CASE("A host that reads the store needs no other's word", "[evacuation]") {
    evacuation_tracker tracker;
    tracker.read(list_of(3, {}));
    CHECK_FALSE(tracker.received(list_of(9, {"a"}), true));
    CHECK(tracker.received(list_of(9, {"a"}), false));
    CHECK_FALSE(tracker.received(list_of(8, {}), false));
    CHECK(tracker.is_evacuated("a"));
}

TEST_CASE("A host that has just started takes another's word", "[evacuation]") {
    evacuation_tracker tracker;
    CHECK(tracker.received(list_of(9, {"a"}), true));
}

TEST_CASE(
    "An evacuated primary serves until another leads, or for a time", "[evacuation]") {
    database_evacuation evacuation(limit);
    evacuation.update(false, true, start);
    CHECK(evacuation.takes_new_work());
    evacuation.update(true, true, start);
    CHECK(evacuation.takes_new_work());
    SECTION("another leads") {
        evacuation.update(true, false, start + milliseconds(700));
        CHECK_FALSE(evacuation.takes_new_work());
        CHECK(evacuation.takes_transactions());
    }
    SECTION("no other comes to lead") {
        evacuation.update(true, true, start + limit / 2);
        CHECK_FALSE(evacuation.takes_new_work());
        CHECK(evacuation.takes_transactions());
        evacuation.update(true, true, start + limit * 3 / 4);
        CHECK_FALSE(evacuation.takes_transactions());
    }
    SECTION("a host that was suspended ends all at once") {
        evacuation.update(true, true, start + limit);
        CHECK_FALSE(evacuation.takes_new_work());
        CHECK_FALSE(evacuation.takes_transactions());
    }
    SECTION("it is taken back midway, and requested again") {
        evacuation.update(true, true, start + limit / 2);
        CHECK(evacuation.update(false, true, start + limit * 3 / 4));
        CHECK(evacuation.takes_new_work());
        evacuation.update(true, true, start + limit);
        CHECK(evacuation.takes_new_work());
    }
}

TEST_CASE("An evacuated replica is given no new work", "[evacuation]") {
    database_evacuation evacuation(limit);
    evacuation.update(true, false, start);
    CHECK_FALSE(evacuation.takes_new_work());
    CHECK(evacuation.takes_transactions());
}

TEST_CASE("Reads leave the databases of an evacuated zone", "[evacuation][routing]") {
    group_routing group = group_in_three_zones();
    group.set_evacuated_zones({"b"});
    CHECK(group.choose_for_read({}, "b", {}, start) == "r2");
    CHECK(group.can_lead_without("p"));
    CHECK_FALSE(group.is_out_of_service());
    SECTION("all zones") {
        group.set_evacuated_zones({"a", "b", "c"});
        CHECK_FALSE(group.choose_for_read({}, "b", {}, start));
        CHECK_FALSE(group.can_lead_without("p"));
        CHECK(group.is_out_of_service());
    }
    SECTION("beside a release: the one in the other zone leaves") {
        auto leaving = database("r2", "c");
        leaving.leaving = true;
        group.set_databases({database("p", "a", true), database("r1", "b"), leaving});
        group.set_evacuated_zones({"a", "b"});
        CHECK_FALSE(group.can_lead_without("p"));
        CHECK(group.is_out_of_service());
    }
    SECTION("taken back") {
        group.set_evacuated_zones({});
        CHECK(group.choose_for_read({}, "b", {}, start) == "r1");
    }
}

TEST_CASE(
    "The lead leaves an evacuated zone while the primary serves",
    "[evacuation][leadership]") {
    acting_group group = evacuated_group({"p"});
    leadership_change change =
        group.begin_change(start, change_reason::primary_evacuated);
    instant now = start;
    group.run(change, now, seconds(5));
    CHECK(change.is_over());
    CHECK(group.leader != "p");
    CHECK(group.count(change_action_kind::stop_primary) == 0);
    CHECK_FALSE(group.any_held());
    CHECK_FALSE(group.lost_commit);
}

TEST_CASE(
    "The lead goes to no database of an evacuated zone while there is another",
    "[evacuation][leadership]") {
    acting_group group = evacuated_group({"p", "r1"});
    leadership_change change =
        group.begin_change(start, change_reason::primary_evacuated);
    instant now = start;
    group.run(change, now, seconds(5));
    CHECK(group.leader == "r2");
    CHECK_FALSE(group.lost_commit);
}

TEST_CASE("The lead stays if all zones are evacuated", "[evacuation][leadership]") {
    acting_group group = evacuated_group({"p", "r1", "r2"});
    leadership_change change =
        group.begin_change(start, change_reason::primary_evacuated);
    instant now = start;
    group.run(change, now, seconds(5));
    CHECK(change.is_over());
    CHECK(group.leader == "p");
    CHECK(group.count(change_action_kind::promote) == 0);
    CHECK_FALSE(group.any_held());
}

TEST_CASE(
    "A new primary that crashes is replaced by what has its commits",
    "[evacuation][leadership]") {
    acting_group group = evacuated_group({"r1"});
    group.copies["p"].alive = false;
    leadership_change change = group.begin_change(start, change_reason::primary_lost);
    instant now = start;
    SECTION("elsewhere, if it can be") {
        group.run(change, now, seconds(8));
        CHECK(group.leader == "r2");
    }
    SECTION("in the evacuated zone, if only that has them") {
        group.copies["r2"].received = 0;
        group.run(change, now, seconds(8));
        CHECK(group.leader == "r1");
    }
    CHECK_FALSE(group.lost_commit);
}
