#ifndef PERSIMMONPOINT_CORE_RECOVERY_RETRY_POLICY_HPP_INCLUDED
#define PERSIMMONPOINT_CORE_RECOVERY_RETRY_POLICY_HPP_INCLUDED

#include <persimmonpoint/core/statement/upstream_request.hpp>
#include <persimmonpoint/core/time.hpp>
#include <string>
#include <vector>

namespace persimmonpoint {

/// Properties of a statement that its retries depend on.
struct retry_subject {
    bool non_idempotent = false; ///< A write or a COMMIT, which must not run twice.
    bool in_transaction = false; ///< Any statement of a transaction but the first.
    bool needs_leader = false;
    instant started{};
    duration time_limit{0}; ///< Statement timeout, counted from `started`.
    duration max_wait{0};   ///< Refused if no database can run it this long after
                            ///< `started`, earlier attempts included.
};

/// What follows an attempt.
enum class retry_step {
    deliver,     ///< Forward the database's answer to the caller.
    retry_now,   ///< Retry immediately, on a database not tried yet.
    retry_later, ///< Retry after a pause.
    refuse       ///< Return `error` and `error_text` to the caller.
};

struct retry_decision {
    retry_step step = retry_step::deliver;
    statement_error error = statement_error::none;
    std::string error_text;
};

/// Retry policy of one statement: decides which failures are retried and which error the
/// caller gets if there is no further attempt.
///
/// A non-idempotent statement is retried only if the previous attempt is known to have
/// had no effect. A returned error that implies "not run" therefore holds for all its
/// attempts. Other statements are also retried if they failed on the database or their
/// outcome is unknown, unless `in_transaction`.
class retry_policy {
public:
    explicit retry_policy(retry_subject subject);

    /// Decides what follows the outcome of an attempt on `database`.
    retry_decision
    answered(upstream_response const& answer, std::string const& database, instant now);
    /// Decides what follows if no database can run the statement now.
    retry_decision no_database(instant now);

    /// Error for a caller whose statement is given up. `busy` states that the statement
    /// has not run; it is `timeout` once an attempt may have run.
    statement_error refusal() const;

    /// Databases tried since the last call of no_database(). The router skips them.
    std::vector<std::string> const& tried() const { return this->excluded; }
    duration remaining(instant now) const;
    unsigned attempts() const { return this->attempt_count; }
    retry_subject const& subject() const { return this->statement; }

private:
    retry_decision answered_error(
        upstream_response const& answer, std::string const& database, instant now);
    retry_decision retry_or_refuse(
        std::string const& database,
        statement_error last_error,
        std::string text,
        instant now);

    retry_subject statement;
    std::vector<std::string> excluded;
    unsigned attempt_count = 0;
    bool may_have_run = false; ///< The outcome of an attempt is unknown.
};

} // namespace persimmonpoint

#endif // PERSIMMONPOINT_CORE_RECOVERY_RETRY_POLICY_HPP_INCLUDED
