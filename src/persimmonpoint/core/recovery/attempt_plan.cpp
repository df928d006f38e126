#include <persimmonpoint/core/recovery/attempt_plan.hpp>

namespace persimmonpoint {

namespace {

/// Attempts at one statement, all databases together.
constexpr unsigned most_attempts = 8;
/// An attempt that can't have this long isn't made.
constexpr duration least_useful_time = std::chrono::milliseconds(5);

attempt_decision refuse(statement_error code, std::string text) {
    return attempt_decision{attempt_step::refuse, code, std::move(text)};
}

} // namespace

attempt_plan::attempt_plan(attempt_subject subject) : what(subject) {}

duration attempt_plan::remaining(instant now) const {
    return this->what.started + this->what.time_limit - now;
}

attempt_decision attempt_plan::answered(
    work_answer const& answer, std::string const& database, instant now) {
    ++this->count;
    if (answer.succeeded()) {
        return attempt_decision{};
    }
    if (answer.outcome == order_outcome::answered) {
        return this->answered_error(answer, database, now);
    }
    if (answer.outcome == order_outcome::unknown && this->what.keeps_effect) {
        return refuse(
            statement_error::in_doubt,
            "the database's answer to " + database + " was lost");
    }
    if (this->what.in_transaction) {
        return refuse(
            statement_error::aborted, "the connection to " + database + " was lost");
    }
    if (answer.refusal == order_refusal::expired) {
        return refuse(statement_error::busy, "no slot became free in time");
    }
    return this->next(
        database, statement_error::busy, "no database answered in time", now);
}

attempt_decision attempt_plan::answered_error(
    work_answer const& answer, std::string const& database, instant now) {
    bool const may_run_again =
        proves_not_run(answer.error) ||
        (answer.error == statement_error::failed && !this->what.keeps_effect);
    if (this->what.in_transaction || !may_run_again) {
        return attempt_decision{};
    }
    return this->next(database, answer.error, answer.error_text, now);
}

attempt_decision attempt_plan::next(
    std::string const& database, statement_error last, std::string text, instant now) {
    this->excluded.push_back(database);
    if (this->count >= most_attempts || this->remaining(now) < least_useful_time) {
        return refuse(last, std::move(text));
    }
    if (this->what.needs_leader) {
        return attempt_decision{attempt_step::try_later, {}, {}};
    }
    return attempt_decision{attempt_step::try_again, {}, {}};
}

attempt_decision attempt_plan::no_database(instant now) {
    this->excluded.clear();
    bool const waited = now - this->what.started >= this->what.patience;
    if (waited || this->remaining(now) < least_useful_time) {
        return refuse(statement_error::busy, "no database can take the statement now");
    }
    return attempt_decision{attempt_step::try_later, {}, {}};
}

} // namespace persimmonpoint
