#include <catch2/catch.hpp>
#include <soak/soak_record.hpp>

using namespace persimmonpoint::tests;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

soak_time const start{seconds(1000)};

soak_operation operation(bool writes, std::string const& data, milliseconds at) {
    soak_operation out;
    out.writes = writes;
    out.item = "c0-0";
    out.data = data;
    out.key = "key";
    out.session = 1;
    out.begun = start + at;
    out.ended = start + at + milliseconds(5);
    out.outcome = soak_outcome::succeeded;
    return out;
}

/// Two acknowledged writes of one item, both in the log.
soak_evidence two_writes() {
    soak_evidence evidence;
    evidence.operations = {
        operation(true, "first", milliseconds(0)),
        operation(true, "second", milliseconds(10))};
    evidence.log = {{"c0-0", "first"}, {"c0-0", "second"}};
    evidence.teams_known = {"hatchery"};
    return evidence;
}

void check_finds(soak_evidence const& evidence, std::string const& what) {
    auto const found = check_soak(evidence);
    REQUIRE(found.size() == 1);
    CHECK_THAT(found.front(), Catch::Contains(what));
}

/// What is found if the second write was acknowledged to a host and dropped.
std::string const acknowledged_and_dropped =
    "promoted without commits that its database had acknowledged: "
    "db-1 in term 2 lacked 1, db-0 (alive) had 1";

void drop_acknowledged(soak_evidence& evidence) {
    evidence.dropped = {{"c0-0", "second", "db-1", 2, start + milliseconds(20)}};
    evidence.lossy_promotions = {{"db-1", 2, 1, {{"db-0", 1, true}}}};
}

using persimmonpoint::standin::line_group;

line_group::ran_statement
ran(std::string const& id, std::string const& text, line_group::session_values values) {
    line_group::ran_statement out{id, text};
    out.database = "db-0";
    out.team = "hatchery";
    out.values = std::make_shared<line_group::session_values const>(std::move(values));
    return out;
}

/// An EXECUTE, a write and a COMMIT, each run as it was sent.
soak_evidence three_runs() {
    soak_evidence evidence = two_writes();
    line_group::prepared_statement const shape{true, " q1 WRITE "};
    line_group::session_values const values{{"lang", "a b "}};
    evidence.sent = {
        {"s1.1", "EXECUTE s  item data ", shape, values},
        {"s1.2", "WRITE item data", {}, values},
        {"s1.3", "COMMIT", {}, values}};
    evidence.ran = {
        ran("s1.1", "EXECUTE p7  item data ", values),
        ran("s1.2", "WRITE item data", values), ran("s1.3", "COMMIT", values)};
    evidence.ran[0].prepared = shape;
    return evidence;
}

} // namespace

TEST_CASE("The soak's checks let a right history pass", "[soak]") {
    soak_evidence evidence = two_writes();
    evidence.operations.push_back(operation(false, "second", milliseconds(20)));
    CHECK(check_soak(evidence).empty());
}

TEST_CASE(
    "A promotion may drop what was acknowledged to no host and no caller", "[soak]") {
    soak_evidence evidence = two_writes();
    SECTION("as its outcome is unknown") {
        evidence.dropped = {{"c0-0", "second", "db-1", 2, start + milliseconds(20)}};
        evidence.operations[1].outcome = soak_outcome::unknown;
        evidence.log.pop_back();
    }
    SECTION("and whose second run was acknowledged") {
        evidence.dropped = {{"c0-0", "second", "db-1", 2, start + milliseconds(12)}};
        evidence.log[1].term = 2;
    }
    CHECK(check_soak(evidence).empty());
}

TEST_CASE(
    "A promotion doesn't drop what a database acknowledged to a host, though no caller "
    "heard",
    "[soak]") {
    soak_evidence evidence = two_writes();
    drop_acknowledged(evidence);
    SECTION("as its outcome is unknown") {
        evidence.operations[1].outcome = soak_outcome::unknown;
        evidence.log.pop_back();
        check_finds(evidence, acknowledged_and_dropped);
    }
    SECTION("before its second run was acknowledged") {
        evidence.dropped.front().at = start + milliseconds(12);
        evidence.log[1].term = 2;
        check_finds(evidence, acknowledged_and_dropped);
    }
    SECTION("and whose holder died") {
        evidence.operations[1].outcome = soak_outcome::unknown;
        evidence.log.pop_back();
        evidence.lossy_promotions.front().holders.front().alive = false;
        check_finds(evidence, "db-1 in term 2 lacked 1, db-0 (dead) had 1");
    }
    SECTION("and which nobody has any longer") {
        evidence.operations[1].outcome = soak_outcome::unknown;
        evidence.log.pop_back();
        evidence.lossy_promotions.front().holders.clear();
        check_finds(evidence, "database had acknowledged: db-1 in term 2 lacked 1");
    }
    SECTION("at each of two promotions") {
        evidence.operations[1].outcome = soak_outcome::unknown;
        evidence.log.pop_back();
        evidence.lossy_promotions.push_back({"db-2", 3, 4, {{"db-1", 4, true}}});
        auto const found = check_soak(evidence);
        REQUIRE(found.size() == 2);
        CHECK(found[0] == acknowledged_and_dropped);
        CHECK_THAT(
            found[1], Catch::EndsWith("db-2 in term 3 lacked 4, db-1 (alive) had 4"));
    }
}

TEST_CASE("The soak's checks catch what is planted in a history", "[soak]") {
    soak_evidence evidence = two_writes();
    SECTION("an acknowledged write that is gone") {
        evidence.log.pop_back();
        check_finds(evidence, "acknowledged and lost");
    }
    SECTION("a promotion that dropped a write that host and caller were told of") {
        drop_acknowledged(evidence);
        auto const found = check_soak(evidence);
        REQUIRE(found.size() == 2);
        CHECK_THAT(
            found[0], Catch::Contains("promoted without acknowledged commits: db-1"));
        CHECK_THAT(found[0], Catch::Contains("db-0 (alive) had 1"));
        CHECK(found[1] == acknowledged_and_dropped);
    }
    SECTION("a promotion that dropped a write that only its caller was told of") {
        evidence.dropped = {{"c0-0", "second", "db-1", 2, start + milliseconds(20)}};
        check_finds(evidence, "promoted without acknowledged commits: db-1");
    }
    SECTION("a promotion that dropped a write of which a caller hears later") {
        evidence.dropped = {{"c0-0", "second", "db-1", 2, start + milliseconds(12)}};
        check_finds(evidence, "promoted without acknowledged commits: db-1");
    }
    SECTION("a promotion that dropped a write before it was run again") {
        evidence.dropped = {{"c0-0", "second", "db-1", 2, start + milliseconds(20)}};
        evidence.log[1].term = 2;
        check_finds(evidence, "promoted without acknowledged commits: db-1");
    }
    SECTION("a write that took effect twice") {
        evidence.log.push_back({"c0-0", "second"});
        check_finds(evidence, "took effect twice");
    }
    SECTION("a write that was refused and kept") {
        evidence.operations[1].outcome = soak_outcome::not_run;
        check_finds(evidence, "refused and took effect");
    }
    SECTION("a read that lacks a commit") {
        evidence.operations.push_back(operation(false, "first", milliseconds(20)));
        check_finds(evidence, "too old");
    }
    SECTION("a read of an age that lacks an old commit") {
        evidence.operations.push_back(operation(false, "first", milliseconds(1600)));
        evidence.operations.back().freshness = soak_freshness::of_an_age;
        check_finds(evidence, "too old");
    }
    SECTION("a session that does not see its own commit") {
        evidence.operations.push_back(operation(false, "first", milliseconds(20)));
        evidence.operations.back().freshness = soak_freshness::own;
        check_finds(evidence, "too old");
    }
    SECTION("rows of another item") {
        evidence.operations.push_back(operation(false, "other", milliseconds(20)));
        check_finds(evidence, "nobody wrote");
    }
    SECTION("a withdrawn key that is still served") {
        evidence.withdrawn_keys["key"] = start - seconds(4);
        evidence.operations.pop_back();
        check_finds(evidence, "withdrawn key");
    }
    SECTION("a request that planned work cut") {
        evidence.operations.push_back(operation(false, "", milliseconds(20)));
        evidence.operations.back().outcome = soak_outcome::cut;
        check_finds(evidence, "cut by planned work");
    }
    SECTION("a key that a database was told") {
        evidence.teams_seen = {"hatchery", "key"};
        check_finds(evidence, "was told of");
    }
    SECTION("a team over its quota") {
        evidence.quotas = {{"metered", 10, 10}};
        for (int i = 0; i < 90; ++i) {
            evidence.runs["metered"].push_back(start + milliseconds(50) * i);
        }
        check_finds(evidence, "over its quota");
    }
}

TEST_CASE("What the users' rules allow is no violation of the soak", "[soak]") {
    soak_evidence evidence = two_writes();
    SECTION("a read of an age that lacks a new commit") {
        evidence.operations.push_back(operation(false, "first", milliseconds(20)));
        evidence.operations.back().freshness = soak_freshness::of_an_age;
    }
    SECTION("a request cut by a host that was killed") {
        evidence.operations.push_back(operation(false, "", milliseconds(20)));
        evidence.operations.back().outcome = soak_outcome::cut;
        planned_fault const killed{soak_fault::host_killed, 0, {}, {}};
        evidence.disturbances = {{killed, start, start + seconds(1)}};
    }
    SECTION("a withdrawn key on a host that the store turns away") {
        evidence.withdrawn_keys["key"] = start - seconds(4);
        planned_fault const cut{soak_fault::host_store_cut, 0, {}, {}};
        evidence.disturbances = {{cut, start - seconds(5), start}};
    }
    CHECK(check_soak(evidence).empty());
}

TEST_CASE("The soak's checks catch a statement that ran otherwise than sent", "[soak]") {
    soak_evidence evidence = three_runs();
    std::string const not_sent = "a database ran what nobody sent";
    std::string const other_shape = "ran another shape than its caller prepared";
    std::string const other_values = "ran with other session values";
    SECTION("an id that nobody sent") {
        evidence.ran[1].id = "s1.9";
        check_finds(evidence, not_sent);
    }
    SECTION("a write of the system's own") {
        evidence.ran[1].id = "-";
        check_finds(evidence, not_sent);
    }
    SECTION("an EXECUTE of the system's own") {
        evidence.ran[0].id = "-";
        check_finds(evidence, not_sent);
    }
    SECTION("a COMMIT of the system's own") {
        evidence.ran[2].id = "-";
        check_finds(evidence, not_sent);
    }
    SECTION("a write of other data") {
        evidence.ran[1].text = "WRITE item other";
        check_finds(evidence, not_sent);
    }
    SECTION("a write with a blank more") {
        evidence.ran[1].text = "WRITE item data ";
        check_finds(evidence, not_sent);
    }
    SECTION("a COMMIT in place of a write") {
        evidence.ran[1].text = "COMMIT";
        check_finds(evidence, not_sent);
    }
    SECTION("words between the name and the item of an EXECUTE") {
        evidence.ran[0].text = "EXECUTE w_q1 WRITE  item data ";
        check_finds(evidence, not_sent);
    }
    SECTION("an EXECUTE with a blank less at the item's beginning") {
        evidence.ran[0].text = "EXECUTE p7 item data ";
        check_finds(evidence, not_sent);
    }
    SECTION("an EXECUTE with a blank less at the end") {
        evidence.ran[0].text = "EXECUTE p7  item data";
        check_finds(evidence, not_sent);
    }
    SECTION("an EXECUTE in place of a write") {
        evidence.ran[1].text = "EXECUTE p7 item data";
        check_finds(evidence, not_sent);
    }
    SECTION("another shape") {
        evidence.ran[0].prepared->shape = " q1 WRITE";
        check_finds(evidence, other_shape);
    }
    SECTION("another access") {
        evidence.ran[0].prepared->writes = false;
        check_finds(evidence, other_shape);
    }
    SECTION("a name that its caller had not prepared") {
        evidence.sent[0].prepared.reset();
        check_finds(evidence, other_shape);
    }
    SECTION("another value") {
        evidence.ran[1] = ran("s1.2", "WRITE item data", {{"lang", "a b"}});
        check_finds(evidence, other_values);
    }
    SECTION("a value that another session set") {
        evidence.ran[0].values = std::make_shared<line_group::session_values const>(
            line_group::session_values{{"lang", "a b "}, {"zone", "x"}});
        check_finds(evidence, other_values);
    }
    SECTION("a COMMIT without the values") {
        evidence.ran[2] = ran("s1.3", "COMMIT", {});
        check_finds(evidence, other_values);
    }
    SECTION("an id that two callers used") {
        evidence.sent.push_back(evidence.sent.back());
        check_finds(evidence, "two statements with the id");
    }
}

TEST_CASE("A soak finds nothing wrong with what ran as it was sent", "[soak]") {
    soak_evidence evidence = three_runs();
    SECTION("once each") {}
    SECTION("more than once") {
        evidence.ran.push_back(evidence.ran[0]);
    }
    SECTION("not at all") {
        evidence.ran.clear();
    }
    SECTION("beside a read of the system's own") {
        evidence.ran.push_back(ran("-", "READ item", {}));
    }
    SECTION("though its caller heard nothing") {
        evidence.operations[1].outcome = soak_outcome::unknown;
    }
    CHECK(check_soak(evidence).empty());
}

TEST_CASE("A soak's plan is the same for the same seed", "[soak]") {
    auto const plan = GENERATE(plan_soak, plan_leadership_soak, plan_unseen_soak);
    auto const first = plan(7, seconds(20), 3, 3);
    auto const again = plan(7, seconds(20), 3, 3);
    REQUIRE(first.size() == again.size());
    REQUIRE_FALSE(first.empty());
    for (std::size_t i = 0; i < first.size(); ++i) {
        CHECK(first[i].kind == again[i].kind);
        CHECK(first[i].at == again[i].at);
    }
    CHECK(std::is_sorted(
        first.begin(), first.end(),
        [](auto const& left, auto const& right) { return left.at < right.at; }));
}

TEST_CASE("The soak's seeds that failed once keep their plans", "[soak]") {
    // Drawn before the faults of leadership were added.
    auto const plan = plan_soak(105, seconds(10), 3, 3);
    REQUIRE(plan.size() == 10);
    CHECK(plan.front().kind == soak_fault::database_slow);
    CHECK(plan.front().at == milliseconds(816));
    CHECK(plan.back().kind == soak_fault::host_reloaded);
    CHECK(plan.back().at == milliseconds(9007));
}
