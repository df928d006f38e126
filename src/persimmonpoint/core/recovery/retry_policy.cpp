#include <persimmonpoint/core/recovery/retry_policy.hpp>

namespace persimmonpoint {

namespace {

/// Limit for one statement, across all databases.
constexpr unsigned max_attempts = 8;
/// With less time left, no further attempt is made.
constexpr duration min_attempt_time = std::chrono::milliseconds(5);

retry_decision refuse(statement_error code, std::string text) {
    return retry_decision{retry_step::refuse, code, std::move(text)};
}

} // namespace

retry_policy::retry_policy(retry_subject subject) : statement(subject) {}

duration retry_policy::remaining(instant now) const {
    return this->statement.started + this->statement.time_limit - now;
}

retry_decision retry_policy::answered(
    upstream_response const& answer, std::string const& database, instant now) {
    ++this->attempt_count;
    this->may_have_run =
        this->may_have_run || answer.outcome == upstream_outcome::unknown;
    if (answer.succeeded()) {
        return retry_decision{};
    }
    if (answer.outcome == upstream_outcome::answered) {
        return this->answered_error(answer, database, now);
    }
    if (answer.outcome == upstream_outcome::unknown && this->statement.non_idempotent) {
        bool const is_unconfirmed = answer.refusal == upstream_refusal::unconfirmed;
        return refuse(
            statement_error::in_doubt,
            is_unconfirmed ? "no replica confirmed the commit of " + database
                           : "the database's answer to " + database + " was lost");
    }
    if (this->statement.in_transaction) {
        return refuse(
            statement_error::aborted, "the connection to " + database + " was lost");
    }
    if (answer.refusal == upstream_refusal::expired) {
        return refuse(this->refusal(), "no slot became free in time");
    }
    bool const is_overloaded = answer.refusal == upstream_refusal::overloaded;
    if (is_overloaded && this->statement.needs_leader) {
        return refuse(this->refusal(), "the queue for " + database + " is too long");
    }
    return this->retry_or_refuse(
        database, this->refusal(),
        is_overloaded ? "the queue for each database is too long"
                      : "no database answered in time",
        now);
}

retry_decision retry_policy::answered_error(
    upstream_response const& answer, std::string const& database, instant now) {
    bool const may_retry =
        proves_not_run(answer.error) ||
        (answer.error == statement_error::failed && !this->statement.non_idempotent);
    if (this->statement.in_transaction || !may_retry) {
        return retry_decision{};
    }
    bool const hides_a_run = this->may_have_run && proves_not_run(answer.error);
    // The caller's name is known to its session; the database lost a name of ours.
    bool const is_ours = answer.error == statement_error::unknown_statement;
    return this->retry_or_refuse(
        database, hides_a_run || is_ours ? this->refusal() : answer.error,
        answer.error_text, now);
}

retry_decision retry_policy::retry_or_refuse(
    std::string const& database,
    statement_error last_error,
    std::string text,
    instant now) {
    this->excluded.push_back(database);
    if (this->attempt_count >= max_attempts || this->remaining(now) < min_attempt_time) {
        return refuse(last_error, std::move(text));
    }
    if (this->statement.needs_leader) {
        return retry_decision{retry_step::retry_later, {}, {}};
    }
    return retry_decision{retry_step::retry_now, {}, {}};
}

statement_error retry_policy::refusal() const {
    return this->may_have_run ? statement_error::timeout : statement_error::busy;
}

retry_decision retry_policy::no_database(instant now) {
    this->excluded.clear();
    bool const waited_too_long =
        now - this->statement.started >= this->statement.max_wait;
    if (waited_too_long || this->remaining(now) < min_attempt_time) {
        return refuse(this->refusal(), "no database can take the statement now");
    }
    return retry_decision{retry_step::retry_later, {}, {}};
}

} // namespace persimmonpoint
