#include <catch2/catch.hpp>
#include <persimmonpoint/core/recovery/attempt_plan.hpp>
#include <persimmonpoint/core/session/caller_state.hpp>

using namespace persimmonpoint;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

instant const start{seconds(1000)};

statement make(statement_verb verb, std::string name = {}, std::string argument = {}) {
    return statement{"id", "TEXT", verb, std::move(name), std::move(argument)};
}

attempt_subject subject(bool keeps_effect, bool in_transaction, bool needs_leader) {
    attempt_subject what;
    what.keeps_effect = keeps_effect;
    what.in_transaction = in_transaction;
    what.needs_leader = needs_leader;
    what.started = start;
    what.time_limit = seconds(1);
    what.patience = milliseconds(30);
    return what;
}

work_answer answered(statement_error error) {
    work_answer answer;
    answer.outcome = order_outcome::answered;
    answer.error = error;
    return answer;
}

work_answer lost() {
    work_answer answer;
    answer.outcome = order_outcome::unknown;
    answer.refusal = order_refusal::unreachable;
    return answer;
}

work_answer refused(order_refusal refusal) {
    work_answer answer;
    answer.refusal = refusal;
    return answer;
}

} // namespace

TEST_CASE("BEGIN is answered at once and holds no connection", "[session]") {
    caller_state session;
    CHECK(session.decide(make(statement_verb::begin)).step == statement_step::reply_done);
    CHECK(session.state() == transaction_state::open);
    CHECK(session.lane() == 0);
    CHECK(session.decide(make(statement_verb::read)).step == statement_step::open);
    session.opened("db", 7);
    CHECK(session.decide(make(statement_verb::write)).step == statement_step::run_inside);
    CHECK(
        session.decide(make(statement_verb::commit)).step ==
        statement_step::commit_inside);
}

TEST_CASE("COMMIT of an empty transaction still goes to a database", "[session]") {
    caller_state session;
    session.decide(make(statement_verb::begin));
    CHECK(session.decide(make(statement_verb::commit)).step == statement_step::open);
}

TEST_CASE(
    "ROLLBACK ends a transaction that no database has without asking one", "[session]") {
    caller_state session;
    session.decide(make(statement_verb::begin));
    CHECK(
        session.decide(make(statement_verb::rollback)).step ==
        statement_step::reply_done);
    CHECK(session.state() == transaction_state::idle);
}

TEST_CASE("A failed transaction takes only its end", "[session]") {
    caller_state session;
    session.decide(make(statement_verb::begin));
    session.opened("db", 7);
    session.failed();
    CHECK(session.state() == transaction_state::failed);
    CHECK(session.decide(make(statement_verb::read)).error == statement_error::malformed);
    SECTION("COMMIT says that it was rolled back") {
        CHECK(
            session.decide(make(statement_verb::commit)).error ==
            statement_error::aborted);
    }
    SECTION("ROLLBACK succeeds") {
        CHECK(
            session.decide(make(statement_verb::rollback)).error ==
            statement_error::none);
    }
    CHECK(session.state() == transaction_state::idle);
}

TEST_CASE("A transaction that only reads refuses to write", "[session]") {
    caller_state session;
    session.decide(make(statement_verb::begin_read));
    CHECK(
        session.decide(make(statement_verb::write)).error == statement_error::read_only);
    CHECK(session.decide(make(statement_verb::read)).step == statement_step::open);
}

TEST_CASE("Prepared statements belong to the session and run by shape", "[session]") {
    caller_state session;
    CHECK(
        session.decide(make(statement_verb::execute, "s1", "k v")).error ==
        statement_error::unknown_statement);
    session.decide(make(statement_verb::prepare_write, "s1", "q2c"));
    auto const decision = session.decide(make(statement_verb::execute, "s1", "k v"));
    CHECK(decision.step == statement_step::run_single);
    CHECK(decision.writes);
    CHECK(decision.text == "k v");
    CHECK(decision.prepared == prepared_shape{"q2c", true});
    session.decide(make(statement_verb::deallocate, "s1"));
    CHECK(
        session.decide(make(statement_verb::execute, "s1", "k v")).error ==
        statement_error::unknown_statement);
}

TEST_CASE("A session remembers its newest commit for each group", "[session]") {
    caller_state session;
    session.acknowledged("g1", {3, 10});
    session.acknowledged("g1", {3, 8});
    session.acknowledged("g2", {1, 1});
    CHECK(session.own_commit("g1") == log_position{3, 10});
    CHECK_FALSE(session.own_commit("g3"));
}

TEST_CASE("A session can't fill the memory with names", "[session]") {
    caller_state session;
    caller_decision last;
    for (int i = 0; i < 1200; ++i) {
        last = session.decide(make(statement_verb::set, "v" + std::to_string(i), "x"));
    }
    CHECK(last.error == statement_error::too_large);
    CHECK(
        session.decide(make(statement_verb::set, "v0", "y")).error ==
        statement_error::none);
}

TEST_CASE(
    "A write whose answer was lost is in doubt and never tried again", "[attempts]") {
    attempt_plan plan(subject(true, false, true));
    auto const decision = plan.answered(lost(), "db", start);
    CHECK(decision.step == attempt_step::refuse);
    CHECK(decision.error == statement_error::in_doubt);
}

TEST_CASE("A read whose answer was lost is tried elsewhere", "[attempts]") {
    attempt_plan plan(subject(false, false, false));
    CHECK(plan.answered(lost(), "db", start).step == attempt_step::try_again);
    CHECK(plan.tried() == std::vector<std::string>{"db"});
}

TEST_CASE("A write that certainly did not run is tried again", "[attempts]") {
    attempt_plan plan(subject(true, false, true));
    CHECK(
        plan.answered(answered(statement_error::read_only), "db", start).step ==
        attempt_step::try_later);
    CHECK(
        plan.answered(refused(order_refusal::unreachable), "db", start).step ==
        attempt_step::try_later);
}

TEST_CASE("A failed write goes to the caller as the database said it", "[attempts]") {
    attempt_plan plan(subject(true, false, true));
    CHECK(
        plan.answered(answered(statement_error::failed), "db", start).step ==
        attempt_step::deliver);
    CHECK(
        plan.answered(answered(statement_error::timeout), "db", start).step ==
        attempt_step::deliver);
}

TEST_CASE(
    "A lost connection aborts a transaction, but leaves its COMMIT in doubt",
    "[attempts]") {
    attempt_plan inside(subject(false, true, true));
    CHECK(inside.answered(lost(), "db", start).error == statement_error::aborted);
    attempt_plan commit(subject(true, true, true));
    CHECK(commit.answered(lost(), "db", start).error == statement_error::in_doubt);
    attempt_plan unsent(subject(true, true, true));
    CHECK(
        unsent.answered(refused(order_refusal::lane_lost), "db", start).error ==
        statement_error::aborted);
}

TEST_CASE("What can't be served is refused once its patience is over", "[attempts]") {
    attempt_plan plan(subject(true, false, true));
    CHECK(plan.no_database(start).step == attempt_step::try_later);
    auto const decision = plan.no_database(start + milliseconds(31));
    CHECK(decision.step == attempt_step::refuse);
    CHECK(decision.error == statement_error::busy);
}

TEST_CASE("Attempts end, however often a database refuses", "[attempts]") {
    attempt_plan plan(subject(false, false, false));
    int tries = 0;
    while (plan.answered(answered(statement_error::busy), "db", start).step !=
           attempt_step::refuse) {
        ++tries;
        REQUIRE(tries < 100);
    }
    CHECK(tries >= 3);
}
