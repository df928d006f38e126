#ifndef PERSIMMONPOINT_TRAFFIC_STATEMENT_RUNNER_HPP_INCLUDED
#define PERSIMMONPOINT_TRAFFIC_STATEMENT_RUNNER_HPP_INCLUDED

#include <functional>
#include <memory>
#include <optional>
#include <persimmonpoint/core/recovery/request_flow.hpp>
#include <persimmonpoint/traffic/answer_buffer.hpp>
#include <persimmonpoint/traffic/connection_pool.hpp>
#include <persimmonpoint/traffic/worker_context.hpp>
#include <string>

namespace persimmonpoint::traffic {

/// One statement to be run for a session.
struct statement_job {
    request_facts facts;
    upstream_query query;
    std::string team;
    std::string ledger_id;                ///< Empty if the caller gave no request id.
    std::string ledger_digest;            ///< Of the statement and its parameters.
    std::vector<std::string> session_sql; ///< SET commands for a fresh connection.
    bool keep_row_ends = false;
    bool want_columns = true; ///< In front of forwarded rows.
    bool changes_session = false;
    /// Takes rows as they come, with the column message in front of the first. Null: all
    /// rows stay in the answer. Returns false to hold further rows back until resume().
    std::function<bool(std::string_view bytes)> forward;
};

/// How a job ended.
struct statement_outcome {
    std::optional<error>
        refusal;          ///< The system's own error; the statement may not have run.
    answer_buffer answer; ///< Of the database, including its error.
    std::optional<log_position> position; ///< What the session has now seen.
    /// Still in a transaction, or idle; null if none is held any more.
    std::unique_ptr<connection_lease> lease;
};

/// Carries out the decisions of a request_flow on connections and control.
class statement_runner {
public:
    using handler = std::function<void(statement_outcome)>;

    /// `lease`: the transaction's connection for inside and commit; else null.
    statement_runner(
        worker_context& worker,
        statement_job job,
        std::unique_ptr<connection_lease> lease,
        handler done);
    ~statement_runner();

    void start();
    /// The caller can take rows again.
    void resume();
    /// Asks the database to cancel the running statement.
    void cancel();
    /// The caller is gone: nothing is called any more, connections in use are closed.
    void abandon();

private:
    struct implementation;
    std::shared_ptr<implementation> impl;
};

} // namespace persimmonpoint::traffic

#endif // PERSIMMONPOINT_TRAFFIC_STATEMENT_RUNNER_HPP_INCLUDED
