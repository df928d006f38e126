#ifndef PERSIMMONPOINT_TRAFFIC_STATEMENT_EXECUTOR_HPP_INCLUDED
#define PERSIMMONPOINT_TRAFFIC_STATEMENT_EXECUTOR_HPP_INCLUDED

#include <functional>
#include <memory>
#include <optional>
#include <persimmonpoint/core/routing/statement_class.hpp>
#include <persimmonpoint/traffic/session_parameters.hpp>
#include <persimmonpoint/traffic/statement_runner.hpp>
#include <persimmonpoint/traffic/worker_context.hpp>
#include <string>

namespace persimmonpoint::traffic {

/// Whose requests a session's are, and where they go.
struct session_identity {
    std::string team; ///< Empty for a caller of an open route.
    std::string key_id;
    std::string key_digest;
    std::string route;
    std::string group;
    std::string limit_name; ///< Whose rate is charged.
};

/// A statement as a caller sent it.
struct statement_request {
    classified_statement statement;
    upstream_query query; ///< Parameters and formats; its text is the statement's.
    bool keep_row_ends = false;
    bool want_columns = true;
    std::function<bool(std::string_view)> forward;
};

struct statement_reply {
    std::optional<error> refusal;
    answer_buffer answer;
    bool wrote = false; ///< The session's position has moved.
    bool failed() const {
        return this->refusal.has_value() || this->answer.failure.has_value();
    }
};

/// A session's statements and its transaction: decides what each needs, runs them one at
/// a time, and keeps the position the session has seen.
class statement_executor {
public:
    using handler = std::function<void(statement_reply)>;

    explicit statement_executor(worker_context& worker);
    ~statement_executor();

    void set_identity(session_identity identity);
    session_identity const& identity() const;
    session_parameters& parameters();
    /// Raises the position that reads must have reached.
    void raise_floor(log_position position);
    /// The session's position as a token; empty if it has seen none.
    std::string token() const;

    void execute(statement_request request, handler done);
    /// Opens a transaction that the caller didn't ask for, around several statements.
    void begin_implicit(handler done);
    /// Commits it, or rolls it back if `keep` is false.
    void end_implicit(bool keep, handler done);
    bool in_implicit() const;

    bool in_transaction() const;
    postgres::transaction_status status() const;
    void resume();
    void cancel();
    /// The caller is gone. Nothing is called any more; an open transaction is rolled
    /// back.
    void abandon();

private:
    struct implementation;
    std::shared_ptr<implementation> impl;
};

} // namespace persimmonpoint::traffic

#endif // PERSIMMONPOINT_TRAFFIC_STATEMENT_EXECUTOR_HPP_INCLUDED
