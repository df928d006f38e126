#include <algorithm>
#include <catch2/catch.hpp>
#include <support/acting_group.hpp>

using namespace persimmonpoint;
using namespace persimmonpoint::tests;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

instant const start{seconds(1000)};

} // namespace

TEST_CASE(
    "A replica that joins while a promotion is under way lets no old primary acknowledge",
    "[leadership][premises]") {
    acting_group group = group_of_three();
    group.copies["r0"].receives = false;
    group.copies["r1"].receives = false;
    leadership_change change = group.begin_change(start, change_reason::commits_stalled);
    instant now = start;
    group.run(change, now, milliseconds(300));
    REQUIRE(group.count(change_action_kind::promote) > 0);
    group.copies["r2"];
    group.write();
    group.run(change, now, seconds(3));
    CHECK(change.is_over());
    CHECK_FALSE(group.leader.empty());
    CHECK_FALSE(group.lost_commit);
}

TEST_CASE(
    "A replica that left with commits which only the primary has besides isn't replaced "
    "by one that lacks them",
    "[leadership][premises]") {
    acting_group group = group_of_three();
    group.copies["r1"].receives = false;
    group.write();
    group.copies["r0"].alive = false;
    leadership_change change = group.begin_change(start, change_reason::commits_stalled);
    instant now = start;
    group.run(change, now, milliseconds(500));
    CHECK(group.count(change_action_kind::promote) == 0);
    group.lapsed = "r0";
    group.run(change, now, seconds(3));
    CHECK(change.is_over());
    CHECK(group.leader == "p");
    CHECK_FALSE(group.lost_commit);
    CHECK_FALSE(group.any_held());
}

TEST_CASE(
    "A replica that left is missed until the silent primary is gone as well",
    "[leadership][premises]") {
    acting_group group = group_of_three();
    group.copies["r1"].receives = false;
    group.write();
    group.copies["r0"].alive = false;
    group.copies["p"].alive = false;
    leadership_change change = group.begin_change(start, change_reason::primary_lost);
    instant now = start;
    group.run(change, now, milliseconds(500));
    group.copies.erase("r0");
    group.run(change, now, seconds(2));
    CHECK(group.count(change_action_kind::promote) == 0);
    SECTION("a primary that comes back is the one to lead") {
        group.copies["p"].alive = true;
        group.run(change, now, seconds(3));
        CHECK(group.leader == "p");
        CHECK_FALSE(group.lost_commit);
    }
    SECTION("with the primary gone for good the replica leads") {
        group.leader.clear();
        group.copies.erase("p");
        group.run(change, now, seconds(3));
        CHECK(group.leader == "r1");
    }
}

TEST_CASE(
    "A change that another host has overtaken confirms the leader and resumes the "
    "replicas",
    "[leadership][premises]") {
    acting_group group = group_of_three();
    group.leader = "r1";
    ++group.term;
    group.copies["r0"].held = 1;
    leadership_change change = group.begin_change(start, change_reason::primary_lost);
    instant now = start;
    group.run(change, now, seconds(5));
    CHECK(change.is_over());
    CHECK(group.leader == "r1");
    CHECK_FALSE(group.any_held());
    CHECK(group.count(change_action_kind::hold) < 20);
}

TEST_CASE(
    "A change that another host has overtaken ends at once if no replica is held",
    "[leadership][premises]") {
    acting_group group = group_of_three();
    group.leader = "r1";
    ++group.term;
    leadership_change change = group.begin_change(start, change_reason::primary_lost);
    instant now = start;
    group.run(change, now, seconds(1));
    CHECK(change.is_over());
    CHECK(group.count(change_action_kind::promote) == 0);
    CHECK(group.count(change_action_kind::hold) == 0);
    // The host that began it learns who leads.
    CHECK(group.actions.back().kind == change_action_kind::abandoned);
    CHECK(group.actions.back().database == "r1");
    CHECK(group.actions.back().term == acting_group::first_term + 1);
}

TEST_CASE(
    "A database that was replaced is compared and held as a replica",
    "[leadership][premises]") {
    acting_group group = group_of_three();
    group.leader = "r1";
    ++group.term;
    group.copies["r0"].receives = false;
    group.write();
    // Nobody leads any more: the second primary crashed too.
    group.copies["r1"].alive = false;
    leadership_change change = group.begin_change(start, change_reason::primary_lost);
    instant now = start;
    group.run(change, now, milliseconds(500));
    group.copies.erase("r1");
    group.leader.clear();
    group.run(change, now, seconds(3));
    CHECK(change.is_over());
    CHECK(group.leader == "p");
    CHECK_FALSE(group.lost_commit);
}

TEST_CASE(
    "A replica that stays held without a change is resumed, and the primary stays",
    "[leadership][premises]") {
    acting_group group = group_of_three();
    group.copies["r0"].held = 5;
    leadership_change change = group.begin_change(start, change_reason::replica_held);
    instant now = start;
    group.run(change, now, seconds(5));
    CHECK(change.is_over());
    CHECK(group.leader == "p");
    CHECK_FALSE(group.any_held());
    CHECK(group.count(change_action_kind::stop_primary) == 0);
}

TEST_CASE(
    "A position counts from when it was asked for, not from when it arrives",
    "[leadership][premises]") {
    leadership_change change(
        "p", std::vector<group_replica>{{"r0", false}, {"r1", false}},
        acting_group::first_term, change_reason::primary_lost, start);
    change.reported(
        "r0",
        database_state{false, acting_group::first_term, {acting_group::first_term, 9}, 0},
        start + milliseconds(50));
    change.reported(
        "r0",
        database_state{false, acting_group::first_term, {acting_group::first_term, 4}, 0},
        start);
    auto const all = change.evidence();
    auto const r0 = std::find_if(
        all.begin(), all.end(), [](auto const& each) { return each.id == "r0"; });
    REQUIRE(r0 != all.end());
    CHECK(r0->report->received.offset == 9);
    CHECK(r0->asked_at == start + milliseconds(50));
}

TEST_CASE(
    "RESUME is sent again only once a report shows that it was not carried out",
    "[leadership][premises]") {
    acting_group group = group_of_three();
    group.copies["p"].alive = false;
    leadership_change change = group.begin_change(start, change_reason::primary_lost);
    instant now = start;
    while (group.count(change_action_kind::resume) == 0 && now < start + seconds(5)) {
        group.run(change, now, milliseconds(10));
    }
    REQUIRE(group.count(change_action_kind::resume) == 1);
    // The answer to it, and all further ones, are lost.
    std::size_t resumes = 0;
    for (instant const end = now + seconds(1); now < end;) {
        now += milliseconds(10);
        for (change_action const& each : change.step(now)) {
            resumes += each.kind == change_action_kind::resume ? 1 : 0;
        }
    }
    CHECK(resumes == 0);
}

TEST_CASE(
    "A replica that left before the change began is missed as one that leaves during it",
    "[leadership][premises]") {
    acting_group group = group_of_three();
    group.copies["r1"].receives = false;
    group.write();
    group.copies.erase("r0");
    leadership_change change =
        group.begin_change(start, change_reason::commits_stalled, departure::seen);
    instant now = start;
    group.run(change, now, seconds(3));
    CHECK(change.is_over());
    CHECK(group.leader == "p");
    CHECK(group.count(change_action_kind::stop_primary) == 0);
    CHECK_FALSE(group.any_held());
}

TEST_CASE(
    "A host that can't rule out a departure leaves a primary that is ahead in place",
    "[leadership][premises]") {
    acting_group group = group_of_three();
    group.copies["r1"].receives = false;
    group.write();
    group.copies.erase("r0");
    leadership_change change =
        group.begin_change(start, change_reason::commits_stalled, departure::possible);
    instant now = start;
    group.run(change, now, seconds(3));
    CHECK(change.is_over());
    CHECK(group.leader == "p");
    CHECK_FALSE(group.lost_commit);
    CHECK_FALSE(group.any_held());
}

TEST_CASE(
    "A host that can't rule out a departure doesn't wait for a silent primary",
    "[leadership][premises]") {
    acting_group group = group_of_three();
    group.copies["p"].alive = false;
    leadership_change change =
        group.begin_change(start, change_reason::primary_lost, departure::possible);
    instant now = start;
    group.run(change, now, seconds(2));
    CHECK(change.is_over());
    CHECK(group.leader != "p");
}

TEST_CASE(
    "Nothing is promoted once a primary that may alone have commits has fallen silent",
    "[leadership][premises]") {
    acting_group group = group_of_three();
    group.copies.erase("r0");
    leadership_change change(
        "p", group.registered(), acting_group::first_term, change_reason::primary_lost,
        start, departure::seen);
    change.step(start);
    change.token_granted(acting_group::first_token);
    change.reported("p", group.state_of("p"), start);
    change.reported("r1", group.state_of("r1"), start);
    group.copies["p"].alive = false;
    group.copies["r1"].alive = false;
    instant now = start;
    group.run(change, now, milliseconds(700));
    group.copies["r1"].alive = true;
    group.run(change, now, seconds(2));
    CHECK(group.count(change_action_kind::promote) == 0);
}

TEST_CASE(
    "A primary that was ahead and fell silent is waited for if a departure is possible",
    "[leadership][premises]") {
    acting_group group = group_of_three();
    group.copies["r1"].receives = false;
    group.write();
    group.copies.erase("r0");
    leadership_change change =
        group.begin_change(start, change_reason::commits_stalled, departure::possible);
    change.step(start);
    change.token_granted(acting_group::first_token);
    change.reported("p", group.state_of("p"), start);
    group.copies["p"].alive = false;
    group.copies["r1"].alive = false;
    instant now = start;
    group.run(change, now, milliseconds(700));
    group.copies["r1"].alive = true;
    group.run(change, now, seconds(2));
    CHECK(group.count(change_action_kind::promote) == 0);
}

TEST_CASE(
    "A replica that a host with a newer token holds is not held again",
    "[leadership][premises]") {
    acting_group group = group_of_three();
    group.copies["p"].alive = false;
    leadership_change change = group.begin_change(start, change_reason::primary_lost);
    instant now = start;
    while (group.count(change_action_kind::promote) == 0 && now < start + seconds(5)) {
        group.run(change, now, milliseconds(10));
    }
    REQUIRE(group.count(change_action_kind::promote) == 1);
    std::string const other = change.candidate() == "r0" ? "r1" : "r0";
    std::uint64_t const newer = (acting_group::first_token + 1) << 20U;
    group.copies[other].held = newer;
    group.run(change, now, seconds(2));
    CHECK(change.is_over());
    CHECK(group.copies[other].held == newer);
}

TEST_CASE(
    "A token that follows others' tokens waits for promotions that these may have called",
    "[leadership][premises]") {
    acting_group group = group_of_three();
    group.copies["p"].alive = false;
    group.promotion_fails_with = promotion_result::not_applied;
    leadership_change change = group.begin_change(start, change_reason::primary_lost);
    instant now = start;
    while (group.count(change_action_kind::promote) == 0 && now < start + seconds(5)) {
        group.run(change, now, milliseconds(10));
    }
    // A restart ends the hold of the other replica.
    group.copies[change.candidate() == "r0" ? "r1" : "r0"].held = 0;
    group.token += 2;
    while (group.count(change_action_kind::request_token) == 1 &&
           now < start + seconds(5)) {
        group.run(change, now, milliseconds(10));
    }
    std::size_t const called = group.count(change_action_kind::promote);
    group.run(change, now, seconds(1));
    CHECK(group.count(change_action_kind::promote) == called);
    group.promotion_fails_with.reset();
    group.run(change, now, seconds(3));
    CHECK(change.is_over());
    CHECK(group.leader != "p");
}

TEST_CASE(
    "The wait for another host's promotion asks no replica with each answer",
    "[leadership][premises]") {
    acting_group group = group_of_three();
    group.copies["p"].alive = false;
    group.copies["r0"].held = 5;
    leadership_change change = group.begin_change(start, change_reason::primary_lost);
    instant now = start;
    group.run(change, now, seconds(1));
    REQUIRE(group.count(change_action_kind::hold) == 0);
    // Two replicas, each 30 ms, and the primary that doesn't answer, each 250 ms.
    CHECK(group.count(change_action_kind::request_state) <= 2 * 34 + 5);
}

TEST_CASE(
    "A leaving replica that alone has the commits is promoted before it is gone",
    "[leadership][premises]") {
    acting_group group = group_of_three();
    group.copies["r1"].receives = false;
    group.write();
    group.leaving = "r0";
    group.copies["p"].alive = false;
    leadership_change change = group.begin_change(start, change_reason::primary_lost);
    instant now = start;
    group.run(change, now, seconds(3));
    CHECK(change.is_over());
    CHECK(group.leader == "r0");
    CHECK_FALSE(group.lost_commit);
}

TEST_CASE(
    "The replacement of a primary that leaves doesn't wait long for a silent replica",
    "[leadership][premises]") {
    acting_group group = group_of_three();
    group.leaving = "p";
    group.copies["r1"].alive = false;
    leadership_change change = group.begin_change(start, change_reason::primary_leaving);
    instant now = start;
    for (int i = 0; i < 500 && !change.is_over(); ++i) {
        group.write();
        group.run(change, now, milliseconds(10));
    }
    CHECK(change.is_over());
    CHECK(group.leader == "r0");
    CHECK(group.count(change_action_kind::stop_primary) == 1);
    CHECK_FALSE(group.lost_commit);
}

TEST_CASE(
    "A primary that leaves acknowledges nothing by a replica that is silent to the host "
    "which replaces it",
    "[leadership][premises]") {
    acting_group group = group_of_three();
    group.leaving = "p";
    group.silent = "r1";
    leadership_change change = group.begin_change(start, change_reason::primary_leaving);
    instant now = start;
    for (int i = 0; i < 800 && !change.is_over(); ++i) {
        bool const is_called = group.count(change_action_kind::promote) > 0;
        group.copies["r0"].receives = !is_called;
        group.write();
        group.run(change, now, milliseconds(10));
    }
    CHECK(change.is_over());
    CHECK(group.leader == "r0");
    CHECK_FALSE(group.lost_commit);
}

TEST_CASE(
    "The replacement of a primary that leaves ends though another host held the replicas",
    "[leadership][premises]") {
    acting_group group = group_of_three();
    group.leaving = "p";
    group.copies["r0"].held = 5;
    group.copies["r1"].held = 5;
    leadership_change change = group.begin_change(start, change_reason::primary_leaving);
    instant now = start;
    group.run(change, now, seconds(8));
    CHECK(change.is_over());
    CHECK(group.leader != "p");
    CHECK_FALSE(group.any_held());
    CHECK_FALSE(group.lost_commit);
}

TEST_CASE(
    "A change whose promotion is unsettled ends though a host with a newer token is gone",
    "[leadership][premises]") {
    acting_group group = group_of_three();
    group.copies["p"].alive = false;
    group.promotion_fails_with = promotion_result::unanswered;
    leadership_change change = group.begin_change(start, change_reason::primary_lost);
    instant now = start;
    while (group.count(change_action_kind::promote) == 0 && now < start + seconds(5)) {
        group.run(change, now, milliseconds(10));
    }
    group.promotion_fails_with = promotion_result::conflict;
    ++group.token;
    while (group.count(change_action_kind::request_token) == 1 &&
           now < start + seconds(5)) {
        group.run(change, now, milliseconds(10));
    }
    REQUIRE(group.count(change_action_kind::request_token) == 2);
    group.copies["r0"].held = (group.token + 1) << 20U;
    group.copies["r1"].held = (group.token + 1) << 20U;
    group.token += 2;
    group.promotion_fails_with.reset();
    group.run(change, now, seconds(8));
    CHECK(change.is_over());
    CHECK(group.leader != "p");
    CHECK_FALSE(group.any_held());
}

TEST_CASE(
    "A primary that leaves is not replaced by a replica that lags behind it",
    "[leadership][premises]") {
    acting_group group = group_of_three();
    group.leaving = "p";
    group.copies["r1"].receives = false;
    group.write();
    group.copies.erase("r0");
    leadership_change change =
        group.begin_change(start, change_reason::primary_leaving, departure::seen);
    instant now = start;
    group.run(change, now, seconds(3));
    CHECK_FALSE(group.lost_commit);
    CHECK(group.leader == "p");
}

TEST_CASE(
    "A database that comes to lead while it is to be held ends the change",
    "[leadership][premises]") {
    acting_group group = group_of_three();
    group.copies["p"].alive = false;
    group.leads_when_held = "r1";
    leadership_change change = group.begin_change(start, change_reason::primary_lost);
    instant now = start;
    group.run(change, now, seconds(5));
    CHECK(change.is_over());
    CHECK(group.leader == "r1");
    CHECK(group.count(change_action_kind::hold) < 5);
    CHECK_FALSE(group.any_held());
}

TEST_CASE(
    "A leader that is lost before it is confirmed is replaced",
    "[leadership][premises]") {
    acting_group group = group_of_three();
    group.leader = "r1";
    ++group.term;
    group.copies["r0"].held = 1;
    leadership_change change = group.begin_change(start, change_reason::primary_lost);
    instant now = start;
    group.run(change, now, milliseconds(1250));
    group.leader.clear();
    group.run(change, now, seconds(10));
    CHECK(change.is_over());
    CHECK_FALSE(group.leader.empty());
    CHECK_FALSE(group.any_held());
}

TEST_CASE(
    "A change that waits for its token ends once another host's leader is known",
    "[leadership][premises]") {
    acting_group group = group_of_three();
    leadership_change change = group.begin_change(start, change_reason::primary_leaving);
    change.step(start);
    SECTION("that leads a later term") {
        change.leader_learned("r0", acting_group::first_term + 1);
        change.step(start + milliseconds(10));
        CHECK(change.is_over());
    }
    SECTION("but not for what it knew before") {
        change.leader_learned("p", acting_group::first_term);
        change.leader_learned("r0", acting_group::first_term);
        change.step(start + milliseconds(10));
        CHECK_FALSE(change.is_over());
    }
}

TEST_CASE(
    "A change doesn't wait to resume a database that is silent",
    "[leadership][premises]") {
    acting_group group = group_of_three();
    group.copies["r0"].receives = false;
    group.copies["r1"].receives = false;
    leadership_change change = group.begin_change(start, change_reason::commits_stalled);
    instant now = start;
    while (group.count(change_action_kind::promote) == 0 && now < start + seconds(5)) {
        group.run(change, now, milliseconds(10));
    }
    group.copies["p"].alive = false;
    group.run(change, now, seconds(2));
    CHECK(change.is_over());
}

TEST_CASE(
    "No promotion is called for while a replica may be missing by which other hosts pass "
    "acknowledgements on",
    "[leadership][premises]") {
    acting_group group = group_of_three();
    group.copies["p"].alive = false;
    group.known.lists_settled = false;
    leadership_change change = group.begin_change(start, change_reason::primary_lost);
    instant now = start;
    group.run(change, now, seconds(2));
    CHECK(group.count(change_action_kind::promote) == 0);
    group.known.lists_settled = true;
    group.run(change, now, seconds(2));
    CHECK(change.is_over());
    CHECK(group.leader != "p");
}

TEST_CASE(
    "A promotion that was not carried out isn't called for again while a replica may be "
    "missing",
    "[leadership][premises]") {
    acting_group group = group_of_three();
    group.copies["p"].alive = false;
    group.promotion_fails_with = promotion_result::not_applied;
    leadership_change change = group.begin_change(start, change_reason::primary_lost);
    instant now = start;
    group.run(change, now, seconds(1));
    std::size_t const calls = group.count(change_action_kind::promote);
    REQUIRE(calls > 1);
    group.known.lists_settled = false;
    group.run(change, now, seconds(1));
    CHECK(group.count(change_action_kind::promote) <= calls + 1);
}

TEST_CASE(
    "A change that waited for longer than its lease lasts doesn't call for a promotion "
    "beside the next holder",
    "[leadership][premises]") {
    acting_group group = group_of_three();
    group.copies["p"].alive = false;
    group.known.lists_settled = false;
    leadership_change change = group.begin_change(start, change_reason::primary_lost);
    instant now = start;
    group.run(change, now, seconds(1));
    REQUIRE(group.count(change_action_kind::request_token) == 1);
    group.known.lists_settled = true;
    group.known.lease_is_fresh = false;
    group.run(change, now, milliseconds(50));
    CHECK(group.count(change_action_kind::promote) == 0);
    CHECK(group.count(change_action_kind::request_token) > 1);
    group.known.lease_is_fresh = true;
    group.run(change, now, seconds(3));
    CHECK(group.count(change_action_kind::promote) > 0);
    CHECK_FALSE(group.leader.empty());
    CHECK_FALSE(group.lost_commit);
}

TEST_CASE(
    "No promotion is called for while other hosts may send the old primary commits",
    "[leadership][premises][fence]") {
    acting_group group = group_of_three();
    group.copies["p"].alive = false;
    group.known.fence_stands = false;
    leadership_change change = group.begin_change(start, change_reason::primary_lost);
    instant now = start;
    group.run(change, now, seconds(2));
    CHECK(group.count(change_action_kind::promote) == 0);
    group.known.fence_stands = true;
    group.run(change, now, seconds(2));
    CHECK(change.is_over());
    CHECK(group.leader != "p");
}

TEST_CASE(
    "A leaving primary isn't kept beyond its end for a replica that is silent",
    "[leadership][premises]") {
    acting_group group = group_of_three();
    group.copies["r0"].alive = false;
    group.leaving = "p";
    group.ends_at = start + seconds(2);
    leadership_change change = group.begin_change(start, change_reason::primary_leaving);
    instant now = start;
    group.run(change, now, milliseconds(1500));
    CHECK(group.leader == "r1");
    CHECK_FALSE(group.lost_commit);
}
