#include <catch2/catch.hpp>
#include <persimmonpoint/core/recovery/retry_policy.hpp>
#include <persimmonpoint/core/session/client_session_state.hpp>

using namespace persimmonpoint;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

instant const start{seconds(1000)};

statement make(statement_verb verb, std::string name = {}, std::string argument = {}) {
    return statement{"id", "TEXT", verb, std::move(name), std::move(argument)};
}

retry_subject subject(bool non_idempotent, bool in_transaction, bool needs_leader) {
    retry_subject what;
    what.non_idempotent = non_idempotent;
    what.in_transaction = in_transaction;
    what.needs_leader = needs_leader;
    what.started = start;
    what.time_limit = seconds(1);
    what.max_wait = milliseconds(30);
    return what;
}

upstream_response answered(statement_error error) {
    upstream_response answer;
    answer.outcome = upstream_outcome::answered;
    answer.error = error;
    return answer;
}

upstream_response lost() {
    upstream_response answer;
    answer.outcome = upstream_outcome::unknown;
    answer.refusal = upstream_refusal::unreachable;
    return answer;
}

upstream_response refused(upstream_refusal refusal) {
    upstream_response answer;
    answer.refusal = refusal;
    return answer;
}

} // namespace

TEST_CASE("BEGIN is answered at once and holds no connection", "[session]") {
    client_session_state session;
    CHECK(
        session.decide(make(statement_verb::begin)).step ==
        statement_action::reply_success);
    CHECK(session.state() == transaction_state::open);
    CHECK_FALSE(session.transaction().is_set());
    CHECK(session.decide(make(statement_verb::read)).step == statement_action::open);
    session.opened("db", transaction_id{{1, 2}, 7});
    CHECK(
        session.decide(make(statement_verb::write)).step ==
        statement_action::execute_in_transaction);
    CHECK(
        session.decide(make(statement_verb::commit)).step ==
        statement_action::commit_in_transaction);
}

TEST_CASE("COMMIT of an empty transaction still goes to a database", "[session]") {
    client_session_state session;
    session.decide(make(statement_verb::begin));
    CHECK(session.decide(make(statement_verb::commit)).step == statement_action::open);
}

TEST_CASE(
    "ROLLBACK ends a transaction that no database has without asking one", "[session]") {
    client_session_state session;
    session.decide(make(statement_verb::begin));
    CHECK(
        session.decide(make(statement_verb::rollback)).step ==
        statement_action::reply_success);
    CHECK(session.state() == transaction_state::idle);
}

TEST_CASE("A failed transaction takes only its end", "[session]") {
    client_session_state session;
    session.decide(make(statement_verb::begin));
    session.opened("db", transaction_id{{1, 2}, 7});
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
    client_session_state session;
    session.decide(make(statement_verb::begin_read));
    CHECK(
        session.decide(make(statement_verb::write)).error == statement_error::read_only);
    CHECK(session.decide(make(statement_verb::read)).step == statement_action::open);
}

TEST_CASE("Prepared statements belong to the session and run by shape", "[session]") {
    client_session_state session;
    CHECK(
        session.decide(make(statement_verb::execute, "s1", "k v")).error ==
        statement_error::unknown_statement);
    session.decide(make(statement_verb::prepare_write, "s1", "q2c"));
    auto const decision = session.decide(make(statement_verb::execute, "s1", "k v"));
    CHECK(decision.step == statement_action::execute_single);
    CHECK(decision.writes);
    CHECK(decision.text == "k v");
    CHECK(decision.prepared == prepared_shape{"q2c", true});
    session.decide(make(statement_verb::deallocate, "s1"));
    CHECK(
        session.decide(make(statement_verb::execute, "s1", "k v")).error ==
        statement_error::unknown_statement);
}

TEST_CASE("A session remembers its newest commit for each group", "[session]") {
    client_session_state session;
    session.acknowledged("g1", {3, 10});
    session.acknowledged("g1", {3, 8});
    session.acknowledged("g2", {1, 1});
    CHECK(session.last_commit_position("g1") == log_position{3, 10});
    CHECK_FALSE(session.last_commit_position("g3"));
}

TEST_CASE("A session can't fill the memory with names", "[session]") {
    client_session_state session;
    statement_decision last;
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
    retry_policy plan(subject(true, false, true));
    auto const decision = plan.answered(lost(), "db", start);
    CHECK(decision.step == retry_step::refuse);
    CHECK(decision.error == statement_error::in_doubt);
}

TEST_CASE("A read whose answer was lost is tried elsewhere", "[attempts]") {
    retry_policy plan(subject(false, false, false));
    CHECK(plan.answered(lost(), "db", start).step == retry_step::retry_now);
    CHECK(plan.tried() == std::vector<std::string>{"db"});
}

TEST_CASE(
    "A statement that may have run is never refused as one that has not", "[attempts]") {
    auto const give_up = GENERATE(
        refused(upstream_refusal::expired), refused(upstream_refusal::unreachable),
        answered(statement_error::lagging));
    retry_policy plan(subject(false, false, false));
    CHECK(plan.refusal() == statement_error::busy);
    REQUIRE(plan.answered(lost(), "db", start).step == retry_step::retry_now);
    CHECK(plan.refusal() == statement_error::timeout);
    auto const decision = plan.answered(give_up, "other", start + seconds(1));
    CHECK(decision.step == retry_step::refuse);
    CHECK(decision.error == statement_error::timeout);
    auto const nobody = plan.no_database(start + seconds(1));
    CHECK(nobody.error == statement_error::timeout);
}

TEST_CASE("A write that certainly did not run is tried again", "[attempts]") {
    retry_policy plan(subject(true, false, true));
    CHECK(
        plan.answered(answered(statement_error::read_only), "db", start).step ==
        retry_step::retry_later);
    CHECK(
        plan.answered(refused(upstream_refusal::unreachable), "db", start).step ==
        retry_step::retry_later);
}

// Guards against a caller that hears UNKNOWN for a name whose preparing was acknowledged.
TEST_CASE("A name that a database forgot is no error of the caller", "[attempts]") {
    retry_policy plan(subject(true, false, true));
    retry_decision decision;
    for (int i = 0; i < 100 && decision.step != retry_step::refuse; ++i) {
        decision =
            plan.answered(answered(statement_error::unknown_statement), "db", start);
        CHECK(decision.step != retry_step::deliver);
    }
    CHECK(decision.step == retry_step::refuse);
    CHECK(decision.error == statement_error::busy);
}

TEST_CASE("A failed write goes to the caller as the database said it", "[attempts]") {
    retry_policy plan(subject(true, false, true));
    CHECK(
        plan.answered(answered(statement_error::failed), "db", start).step ==
        retry_step::deliver);
    CHECK(
        plan.answered(answered(statement_error::timeout), "db", start).step ==
        retry_step::deliver);
}

TEST_CASE(
    "A lost connection aborts a transaction, but leaves its COMMIT in doubt",
    "[attempts]") {
    retry_policy inside(subject(false, true, true));
    CHECK(inside.answered(lost(), "db", start).error == statement_error::aborted);
    retry_policy commit(subject(true, true, true));
    CHECK(commit.answered(lost(), "db", start).error == statement_error::in_doubt);
    retry_policy unsent(subject(true, true, true));
    CHECK(
        unsent.answered(refused(upstream_refusal::transaction_lost), "db", start).error ==
        statement_error::aborted);
}

TEST_CASE("What can't be served is refused once its patience is over", "[attempts]") {
    retry_policy plan(subject(true, false, true));
    CHECK(plan.no_database(start).step == retry_step::retry_later);
    auto const decision = plan.no_database(start + milliseconds(31));
    CHECK(decision.step == retry_step::refuse);
    CHECK(decision.error == statement_error::busy);
}

TEST_CASE("Attempts end, however often a database refuses", "[attempts]") {
    retry_policy plan(subject(false, false, false));
    int tries = 0;
    while (plan.answered(answered(statement_error::busy), "db", start).step !=
           retry_step::refuse) {
        ++tries;
        REQUIRE(tries < 100);
    }
    CHECK(tries >= 3);
}
