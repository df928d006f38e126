#include <persimmonpoint/core/recovery/attempt_plan.hpp>

namespace persimmonpoint {

namespace {

/// Limit for one statement, across all databases.
constexpr unsigned max_attempts = 8;
/// With less time left, no further attempt is made.
constexpr duration min_attempt_time = std::chrono::milliseconds(5);

attempt_decision refuse(statement_error code, std::string text) {
    return attempt_decision{attempt_step::refuse, code, std::move(text)};
}

} // namespace

attempt_plan::attempt_plan(attempt_subject subject) : statement(subject) {}

duration attempt_plan::remaining(instant now) const {
    return this->statement.started + this->statement.time_limit - now;
}

attempt_decision attempt_plan::answered(
    work_answer const& answer, std::string const& database, instant now) {
    ++this->attempt_count;
    if (answer.succeeded()) {
        return attempt_decision{};
    }
    if (answer.outcome == order_outcome::answered) {
        return this->answered_error(answer, database, now);
    }
    if (answer.outcome == order_outcome::unknown && this->statement.keeps_effect) {
        return refuse(
            statement_error::in_doubt,
            "the database's answer to " + database + " was lost");
    }
    if (this->statement.in_transaction) {
        return refuse(
            statement_error::aborted, "the connection to " + database + " was lost");
    }
    if (answer.refusal == order_refusal::expired) {
        return refuse(statement_error::busy, "no slot became free in time");
    }
    return this->retry_or_refuse(
        database, statement_error::busy, "no database answered in time", now);
}

attempt_decision attempt_plan::answered_error(
    work_answer const& answer, std::string const& database, instant now) {
    bool const may_retry =
        proves_not_run(answer.error) ||
        (answer.error == statement_error::failed && !this->statement.keeps_effect);
    if (this->statement.in_transaction || !may_retry) {
        return attempt_decision{};
    }
    return this->retry_or_refuse(database, answer.error, answer.error_text, now);
}

attempt_decision attempt_plan::retry_or_refuse(
    std::string const& database,
    statement_error last_error,
    std::string text,
    instant now) {
    this->excluded.push_back(database);
    if (this->attempt_count >= max_attempts || this->remaining(now) < min_attempt_time) {
        return refuse(last_error, std::move(text));
    }
    if (this->statement.needs_leader) {
        return attempt_decision{attempt_step::try_later, {}, {}};
    }
    return attempt_decision{attempt_step::try_again, {}, {}};
}

attempt_decision attempt_plan::no_database(instant now) {
    this->excluded.clear();
    bool const waited_too_long =
        now - this->statement.started >= this->statement.patience;
    if (waited_too_long || this->remaining(now) < min_attempt_time) {
        return refuse(statement_error::busy, "no database can take the statement now");
    }
    return attempt_decision{attempt_step::try_later, {}, {}};
}

} // namespace persimmonpoint
