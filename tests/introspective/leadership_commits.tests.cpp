#include <catch2/catch.hpp>
#include <support/acting_group.hpp>

using namespace persimmonpoint;
using namespace persimmonpoint::tests;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

instant const start{seconds(1000)};
constexpr int unseen_commits = 40;

/// The primary is cut from its replicas, and has acknowledged commits with "x", a replica
/// that isn't listed.
acting_group group_with_unseen_replica() {
    acting_group group = group_of_three();
    group.copies["r0"].receives = false;
    group.copies["r1"].receives = false;
    group.copies["x"];
    group.unlisted.insert("x");
    for (int i = 0; i < unseen_commits; ++i) {
        group.write();
    }
    return group;
}

/// The primary is cut from its replicas, and has commits that nobody acknowledged.
acting_group group_with_cut_primary() {
    acting_group group = group_of_three();
    group.copies["r0"].receives = false;
    group.copies["r1"].receives = false;
    for (int i = 0; i < unseen_commits; ++i) {
        group.write();
    }
    return group;
}

} // namespace

TEST_CASE(
    "A stopped primary leads again when an unlisted replica may have acknowledged with "
    "it",
    "[leadership][leadership-commits]") {
    acting_group group = group_with_unseen_replica();
    group.known.listing = directory_listing::incomplete;
    leadership_change change = group.begin_change(start, change_reason::commits_stalled);
    instant now = start;
    group.run(change, now, seconds(5));
    CHECK(change.is_over());
    CHECK(group.leader == "p");
    CHECK_FALSE(group.lost_commit);
    CHECK_FALSE(group.any_held());
}

TEST_CASE(
    "A stopped primary's unacknowledged tail keeps no replica from being promoted",
    "[leadership][leadership-commits]") {
    acting_group group = group_with_cut_primary();
    SECTION("if all of it are commits of the host that were not acknowledged") {
        group.known.listing = directory_listing::incomplete;
        group.known.unacknowledged = unseen_commits;
    }
    SECTION("if each database that can have received is listed") {
        group.known.listing = directory_listing::complete;
    }
    leadership_change change = group.begin_change(start, change_reason::commits_stalled);
    instant now = start;
    group.run(change, now, seconds(5));
    CHECK(change.is_over());
    CHECK(group.leader != "p");
    CHECK_FALSE(group.leader.empty());
    CHECK_FALSE(group.lost_commit);
}

TEST_CASE(
    "A tail that has one commit more than the host sent is not taken for unacknowledged",
    "[leadership][leadership-commits]") {
    acting_group group = group_with_unseen_replica();
    group.known.listing = directory_listing::incomplete;
    group.known.unacknowledged = unseen_commits - 1;
    leadership_change change = group.begin_change(start, change_reason::commits_stalled);
    instant now = start;
    group.run(change, now, seconds(5));
    CHECK(group.leader == "p");
    CHECK_FALSE(group.lost_commit);
}

TEST_CASE(
    "No promotion is called while the reading of the directory is awaited that may show "
    "another replica",
    "[leadership][leadership-commits]") {
    acting_group group = group_with_unseen_replica();
    group.known.listing = directory_listing::pending;
    leadership_change change = group.begin_change(start, change_reason::commits_stalled);
    instant now = start;
    group.run(change, now, seconds(1));
    REQUIRE(group.count(change_action_kind::stop_primary) > 0);
    CHECK(group.count(change_action_kind::promote) == 0);
    SECTION("the replica that it shows is promoted") {
        group.unlisted.clear();
        group.known.listing = directory_listing::complete;
        group.run(change, now, seconds(5));
        CHECK(group.leader == "x");
        CHECK_FALSE(group.lost_commit);
    }
    SECTION("if it can't be had, the primary leads again") {
        group.known.listing = directory_listing::incomplete;
        group.run(change, now, seconds(5));
        CHECK(group.leader == "p");
    }
}

TEST_CASE(
    "A replica that lacks commits known to be acknowledged doesn't replace a primary "
    "that "
    "crashed",
    "[leadership][leadership-commits]") {
    acting_group group = group_with_unseen_replica();
    group.known.acknowledged = group.position(group.acknowledged);
    group.copies["p"].alive = false;
    leadership_change change = group.begin_change(start, change_reason::primary_lost);
    instant now = start;
    group.run(change, now, seconds(3));
    CHECK(group.count(change_action_kind::promote) == 0);
    SECTION("until the primary is back") {
        group.copies["p"].alive = true;
        group.run(change, now, seconds(5));
        CHECK(group.leader == "p");
        CHECK_FALSE(group.lost_commit);
    }
    SECTION("until the replica that has them is listed") {
        group.unlisted.clear();
        group.run(change, now, seconds(5));
        CHECK(group.leader == "x");
        CHECK_FALSE(group.lost_commit);
    }
    SECTION("until the primary's log is gone and nobody else can have them") {
        group.leader.clear();
        group.copies.erase("p");
        group.run(change, now, seconds(3));
        CHECK(group.count(change_action_kind::promote) == 0);
        group.copies.erase("x");
        group.known.acknowledged.reset();
        group.run(change, now, seconds(5));
        CHECK(group.leader == "r0");
    }
}

TEST_CASE(
    "A primary that leaves is not stopped while only an unlisted replica has what it "
    "acknowledged",
    "[leadership][leadership-commits]") {
    acting_group group = group_with_unseen_replica();
    group.known.acknowledged = group.position(group.acknowledged);
    group.known.listing = directory_listing::incomplete;
    group.leaving = group.leader;
    leadership_change change = group.begin_change(start, change_reason::primary_leaving);
    instant now = start;
    group.run(change, now, seconds(5));
    CHECK(change.is_over());
    CHECK(group.count(change_action_kind::stop_primary) == 0);
    CHECK(group.leader == "p");
    CHECK_FALSE(group.any_held());
    CHECK_FALSE(group.lost_commit);
    SECTION("and is replaced by that one once it is listed") {
        group.unlisted.clear();
        leadership_change next = group.begin_change(now, change_reason::primary_leaving);
        group.run(next, now, seconds(5));
        CHECK(group.leader == "x");
        CHECK_FALSE(group.lost_commit);
    }
}

TEST_CASE(
    "A commit that was acknowledged after the replicas were asked shows none of them to "
    "be behind",
    "[leadership][leadership-commits]") {
    change_members members("p", acting_group::first_term, departure::none);
    members.set_databases(std::vector<group_replica>{{"p", false}, {"r0", false}});
    commit_knowledge known;
    known.acknowledged = log_position{acting_group::first_term, 9};
    members.set_commits(known);
    database_state const behind{
        false, acting_group::first_term, {acting_group::first_term, 8}, 0};
    change_member* const replica = members.find("r0");
    replica->requested_at = start;
    SECTION("asked before") {
        replica->acknowledged_at_request = log_position{acting_group::first_term, 8};
        members.record("r0", behind, start, {});
        CHECK_FALSE(members.lack_acknowledged());
    }
    SECTION("asked after") {
        replica->acknowledged_at_request = known.acknowledged;
        members.record("r0", behind, start, {});
        CHECK(members.lack_acknowledged());
    }
    SECTION("an answer to an earlier question") {
        replica->acknowledged_at_request = known.acknowledged;
        members.record("r0", behind, start - milliseconds(1), {});
        CHECK_FALSE(members.lack_acknowledged());
    }
}

TEST_CASE(
    "A primary that was chosen for its tail gives way once a replica has it",
    "[leadership][leadership-commits]") {
    acting_group group = group_with_unseen_replica();
    group.known.listing = directory_listing::incomplete;
    group.promotion_fails_with = promotion_result::not_applied;
    leadership_change change = group.begin_change(start, change_reason::commits_stalled);
    instant now = start;
    group.run(change, now, seconds(1));
    REQUIRE(change.candidate() == "p");
    group.unlisted.clear();
    group.promotion_fails_with.reset();
    group.run(change, now, seconds(5));
    CHECK(change.is_over());
    CHECK(group.leader == "x");
    CHECK_FALSE(group.lost_commit);
}

TEST_CASE(
    "A candidate that lost its log before the platform took the call isn't called for "
    "again",
    "[leadership][leadership-commits]") {
    acting_group group = group_of_three();
    group.copies["p"].alive = false;
    group.promotion_fails_with = promotion_result::not_applied;
    leadership_change change = group.begin_change(start, change_reason::primary_lost);
    instant now = start;
    group.run(change, now, milliseconds(500));
    std::string const first = change.candidate();
    REQUIRE(group.count(change_action_kind::promote) > 0);
    group.copies[first].received = 0;
    group.run(change, now, milliseconds(100));
    group.promotion_fails_with.reset();
    group.run(change, now, seconds(5));
    CHECK(change.is_over());
    CHECK(group.leader != first);
    CHECK_FALSE(group.lost_commit);
}

TEST_CASE(
    "A planned promotion isn't called for again once the candidate is cut from the "
    "primary "
    "that serves",
    "[leadership][leadership-commits]") {
    acting_group group = group_of_three();
    group.leaving = group.leader;
    group.promotion_fails_with = promotion_result::not_applied;
    leadership_change change = group.begin_change(start, change_reason::primary_leaving);
    instant now = start;
    group.run(change, now, milliseconds(500));
    REQUIRE(group.count(change_action_kind::promote) > 0);
    group.copies[change.candidate()].receives = false;
    group.copies["x"];
    group.unlisted.insert("x");
    group.write();
    group.run(change, now, milliseconds(300));
    group.promotion_fails_with.reset();
    group.run(change, now, seconds(1));
    CHECK_FALSE(group.lost_commit);
    CHECK(group.leader == "p");
}

TEST_CASE(
    "A stopped primary that crashed before it was held is given up once its tail need "
    "not "
    "be kept",
    "[leadership][leadership-commits]") {
    acting_group group = group_with_cut_primary();
    group.known.listing = directory_listing::incomplete;
    leadership_change change = group.begin_change(start, change_reason::commits_stalled);
    instant now = start;
    while (!group.leader.empty()) {
        group.run(change, now, milliseconds(10));
    }
    group.copies["p"].alive = false;
    group.run(change, now, seconds(2));
    REQUIRE(group.count(change_action_kind::promote) == 0);
    group.known.listing = directory_listing::complete;
    group.run(change, now, seconds(5));
    CHECK(change.is_over());
    CHECK(group.leader == "r0");
}

TEST_CASE(
    "Commits of an earlier term account for no tail of the present one",
    "[leadership][leadership-commits]") {
    change_members members("p", acting_group::first_term, departure::none);
    members.set_databases(std::vector<group_replica>{{"p", false}, {"r0", false}});
    members.primary_asked_to_stop(start);
    constexpr std::uint64_t next_term = acting_group::first_term + 1;
    members.record("p", {false, next_term, {next_term, 9}, 0}, start, {});
    commit_knowledge known;
    known.unacknowledged = 5;
    known.listing = directory_listing::incomplete;
    members.set_commits(known);
    SECTION("the replica has nothing of the present term") {
        members.record(
            "r0", {false, next_term, {acting_group::first_term, 8}, 0}, start, {});
        CHECK(members.counts("p"));
    }
    SECTION("the replica has all but one commit of it") {
        members.record("r0", {false, next_term, {next_term, 8}, 0}, start, {});
        CHECK_FALSE(members.counts("p"));
    }
}

TEST_CASE(
    "A database that started again under its id is taken for another one",
    "[leadership][leadership-commits]") {
    change_members members("p", acting_group::first_term, departure::none);
    members.set_databases(std::vector<group_replica>{{"p", false, 1}, {"r0", false, 1}});
    database_state const full{
        false, acting_group::first_term, {acting_group::first_term, 9}, 0};
    members.primary_asked_to_stop(start);
    members.record("p", full, start, {});
    members.record("r0", full, start, {});
    REQUIRE(members.is_primary_stopped());
    SECTION("as a replica its earlier position no longer counts") {
        members.set_databases(
            std::vector<group_replica>{{"p", false, 1}, {"r0", false, 2}});
        CHECK_FALSE(members.find("r0")->report);
        CHECK(members.has_lost_replica());
    }
    SECTION("as a primary that was stopped it is a replica like others") {
        members.set_databases(
            std::vector<group_replica>{{"p", false, 2}, {"r0", false, 1}});
        CHECK_FALSE(members.is_primary_stopped());
        CHECK(members.primary().empty());
        CHECK(members.counts("p"));
        CHECK_FALSE(members.find("p")->report);
    }
}

TEST_CASE(
    "Without a listed primary nobody is promoted while rows of living databases may be "
    "missing",
    "[leadership][leadership-commits]") {
    acting_group group = group_with_unseen_replica();
    group.unlisted.insert("p");
    group.known.directory_in_doubt = true;
    leadership_change change(
        "", group.registered(), acting_group::first_term, change_reason::primary_lost,
        start);
    instant now = start;
    group.run(change, now, seconds(3));
    CHECK(group.count(change_action_kind::promote) == 0);
    CHECK_FALSE(group.any_held());
    SECTION("the primary that is listed again stays") {
        group.unlisted.erase("p");
        group.known.directory_in_doubt = false;
        group.known.acknowledged = group.position(group.acknowledged);
        group.run(change, now, seconds(5));
        CHECK(group.leader == "p");
        CHECK_FALSE(group.lost_commit);
    }
    SECTION("a replica leads once the doubt is over") {
        group.known.directory_in_doubt = false;
        group.run(change, now, seconds(5));
        CHECK(group.leader == "r0");
    }
}

TEST_CASE(
    "A primary that leaves is stopped before it is replaced while a replica may be "
    "unlisted",
    "[leadership][leadership-commits]") {
    acting_group group = group_of_three();
    group.copies["x"];
    group.unlisted.insert("x");
    group.known.directory_in_doubt = true;
    group.known.listing = directory_listing::incomplete;
    group.leaving = group.leader;
    leadership_change change = group.begin_change(start, change_reason::primary_leaving);
    instant now = start;
    group.run(change, now, milliseconds(300));
    REQUIRE(group.count(change_action_kind::promote) > 0);
    group.copies["r0"].receives = false;
    group.copies["r1"].receives = false;
    group.write();
    group.run(change, now, seconds(3));
    CHECK(change.is_over());
    CHECK(group.leader == "r0");
    CHECK_FALSE(group.lost_commit);
}
