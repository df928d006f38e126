#ifndef PERSIMMONPOINT_CORE_RECOVERY_ATTEMPT_PLAN_HPP_INCLUDED
#define PERSIMMONPOINT_CORE_RECOVERY_ATTEMPT_PLAN_HPP_INCLUDED

#include <persimmonpoint/core/statement/work_order.hpp>
#include <persimmonpoint/core/time.hpp>
#include <string>
#include <vector>

namespace persimmonpoint {

/// Properties of a statement that its retries depend on.
struct attempt_subject {
    bool keeps_effect = false;   ///< A write or a COMMIT, which must not run twice.
    bool in_transaction = false; ///< Any statement of a transaction but the first.
    bool needs_leader = false;
    instant started{};
    duration time_limit{0}; ///< Statement timeout, counted from `started`.
    duration patience{0};   ///< Longest wait for a database that can run it.
};

/// What follows an attempt.
enum class attempt_step {
    deliver,   ///< Forward the database's answer to the caller.
    try_again, ///< Retry immediately, on a database not tried yet.
    try_later, ///< Retry after a pause, on any database.
    refuse     ///< Return `error` and `error_text` to the caller.
};

struct attempt_decision {
    attempt_step step = attempt_step::deliver;
    statement_error error = statement_error::none;
    std::string error_text;
};

/// Retry policy of one statement: decides which failures are retried and which error the
/// caller gets if there is no further attempt.
///
/// A statement is retried only if the previous attempt is known to have had no effect. A
/// returned error that implies "not run" therefore holds for all attempts.
class attempt_plan {
public:
    explicit attempt_plan(attempt_subject subject);

    /// Decides what follows the outcome of an attempt on `database`.
    attempt_decision
    answered(work_answer const& answer, std::string const& database, instant now);
    /// Decides what follows if no database can run the statement now.
    attempt_decision no_database(instant now);

    /// Databases tried since the last pause. The router skips them.
    std::vector<std::string> const& tried() const { return this->excluded; }
    duration remaining(instant now) const;
    unsigned attempts() const { return this->attempt_count; }
    attempt_subject const& subject() const { return this->statement; }

private:
    attempt_decision
    answered_error(work_answer const& answer, std::string const& database, instant now);
    attempt_decision retry_or_refuse(
        std::string const& database,
        statement_error last_error,
        std::string text,
        instant now);

    attempt_subject statement;
    std::vector<std::string> excluded;
    unsigned attempt_count = 0;
};

} // namespace persimmonpoint

#endif // PERSIMMONPOINT_CORE_RECOVERY_ATTEMPT_PLAN_HPP_INCLUDED
