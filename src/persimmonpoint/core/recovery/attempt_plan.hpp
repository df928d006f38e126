#ifndef PERSIMMONPOINT_CORE_RECOVERY_ATTEMPT_PLAN_HPP_INCLUDED
#define PERSIMMONPOINT_CORE_RECOVERY_ATTEMPT_PLAN_HPP_INCLUDED

#include <persimmonpoint/core/statement/work_order.hpp>
#include <persimmonpoint/core/time.hpp>
#include <string>
#include <vector>

namespace persimmonpoint {

/// What a statement is, as far as its retries depend on it.
struct attempt_subject {
    bool keeps_effect = false;   ///< A write or a COMMIT, which must not run twice.
    bool in_transaction = false; ///< Behind the first statement of a transaction.
    bool needs_leader = false;
    instant started{};
    duration time_limit{0}; ///< From the start to the statement's timeout.
    duration patience{0};   ///< How long it may wait for a database that can take it.
};

enum class attempt_step {
    deliver,   ///< The database's own answer goes to the caller.
    try_again, ///< At once, at a database not tried yet.
    try_later, ///< Behind a pause; all databases may be tried again.
    refuse     ///< The caller gets the decision's error.
};

struct attempt_decision {
    attempt_step step = attempt_step::deliver;
    statement_error error = statement_error::none;
    std::string error_text;
};

/// The attempts at one statement: which failures are hidden from the caller by another
/// attempt, and what the caller is told when none is made.
///
/// A statement is tried again only if the attempt before certainly left no effect. A
/// refusal names an error that promises so only if that holds for all attempts.
class attempt_plan {
public:
    explicit attempt_plan(attempt_subject subject);

    /// What follows on the answer of a database.
    attempt_decision
    answered(work_answer const& answer, std::string const& database, instant now);
    /// What follows if no database can take the statement now.
    attempt_decision no_database(instant now);

    /// Databases tried since the last pause.
    std::vector<std::string> const& tried() const { return this->excluded; }
    duration remaining(instant now) const;
    unsigned attempts() const { return this->count; }
    attempt_subject const& subject() const { return this->what; }

private:
    attempt_decision
    answered_error(work_answer const& answer, std::string const& database, instant now);
    attempt_decision next(
        std::string const& database, statement_error last, std::string text, instant now);

    attempt_subject what;
    std::vector<std::string> excluded;
    unsigned count = 0;
};

} // namespace persimmonpoint

#endif // PERSIMMONPOINT_CORE_RECOVERY_ATTEMPT_PLAN_HPP_INCLUDED
