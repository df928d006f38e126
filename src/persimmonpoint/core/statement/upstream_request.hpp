#ifndef PERSIMMONPOINT_CORE_STATEMENT_UPSTREAM_REQUEST_HPP_INCLUDED
#define PERSIMMONPOINT_CORE_STATEMENT_UPSTREAM_REQUEST_HPP_INCLUDED

/// Request to the host that owns the connections to a database, and its response.

#include <cstdint>
#include <functional>
#include <optional>
#include <persimmonpoint/core/routing/log_position.hpp>
#include <persimmonpoint/core/statement/statement.hpp>
#include <persimmonpoint/core/statement/transaction_id.hpp>
#include <string>
#include <vector>

namespace persimmonpoint {

/// What the owner of the connections has to do.
enum class upstream_request_kind {
    single,           ///< One statement outside a transaction.
    leader_read,      ///< A read in its own transaction, which only a primary accepts.
    open_transaction, ///< Opens a transaction and runs its first statement.
    in_transaction,   ///< A further statement of an open transaction.
    commit,
    rollback,
    leader_check, ///< No statement: confirms the primary and gets its log position.
    report_state, ///< No statement: queries the database's role and log position.
    hold,         ///< Pauses replication on a replica, fenced by `term`.
    resume,       ///< Resumes replication on a paused replica.
    stop_primary  ///< Makes a primary of a term below `term` a replica.
};

/// A statement or control command for one database.
struct upstream_request {
    upstream_request_kind kind = upstream_request_kind::single;
    transaction_id transaction; ///< The open transaction that it belongs to, if any.
    std::string group;
    std::string database;
    std::string team;
    std::string id;   ///< Client-chosen id of the statement.
    std::string text; ///< Statement text, or the arguments of `prepared`.
    std::optional<prepared_shape> prepared; ///< Set to execute a prepared statement.
    bool writes = false;
    bool read_only_transaction = false;
    std::optional<log_position> floor; ///< Minimum log position of the database.
    session_values values;             ///< Session values to apply first.
    std::uint32_t budget_ms = 0;       ///< Time left for the whole request.
    /// Maximum wait for a connection and an execution slot; 0: up to `budget_ms`.
    std::uint32_t wait_ms = 0;
    std::uint32_t priority = 0; ///< 0 is the highest.
    std::uint64_t term = 0;     ///< Fencing term of `hold` and `stop_primary`.
};

/// Role and log state reported by a database.
struct database_state {
    bool leads = false;
    std::uint64_t term = 0;
    log_position received;       ///< End of the log that the database has received.
    std::uint64_t held_term = 0; ///< Term that paused replication; 0: not paused.
};

/// Whether a request was executed.
enum class upstream_outcome {
    answered, ///< The database responded; `error` holds success or failure.
    not_run,  ///< Not sent, or rejected before execution.
    unknown   ///< Sent, but no response arrived; it may have been executed.
};

/// Why the owner got no response from the database. `upstream_response::outcome` tells
/// whether the request may have been executed.
enum class upstream_refusal {
    none,
    /// No connection could be opened or set up, the connection was lost, or the owner was
    /// closed or emptied its queue.
    unreachable,
    queue_full,       ///< The owner's queue for the database is full.
    expired,          ///< The request timed out in the queue.
    transaction_lost, ///< The transaction is not open any more; it was rolled back.
    /// The primary acknowledged the commit, but no replica that all hosts know showed it.
    unconfirmed,
    fenced,    ///< Another host is about to replace the primary, or may be.
    overloaded ///< So much waits that the request would not be started in time.
};

/// Name of the reason as used in logs.
char const* to_string(upstream_refusal refusal);

/// The owner's response to a request.
struct upstream_response {
    upstream_outcome outcome = upstream_outcome::not_run;
    upstream_refusal refusal = upstream_refusal::none;
    statement_error error = statement_error::none;
    std::string error_text;
    std::vector<std::string> rows;
    std::string signature; ///< Signature of the response by the database.
    transaction_state state = transaction_state::idle;
    /// The database's log position after the statement.
    std::optional<log_position> position;
    /// Of a commit that was acknowledged: its own position reaches this one.
    std::optional<log_position> acknowledged;
    /// The replica that confirmed the commit; empty if none had to.
    std::string confirmed_by;
    transaction_id transaction; ///< Set while the request's transaction is open.
    std::uint32_t load = 0; ///< Requests queued or running for the database at the owner.
    /// Mean time that the database took for the last requests like this one; 0: not
    /// known.
    std::uint32_t service_us = 0;
    /// Of a thousand requests, those that the database failed of late.
    std::uint32_t failing_permille = 0;
    bool leader_confirmed = false; ///< The response proves that the database was primary.
    /// Set in responses to `report_state`, `hold`, `resume` and `stop_primary`.
    std::optional<database_state> report;

    bool succeeded() const {
        return this->outcome == upstream_outcome::answered &&
               this->error == statement_error::none;
    }
};

using response_handler = std::function<void(upstream_response)>;

} // namespace persimmonpoint

#endif // PERSIMMONPOINT_CORE_STATEMENT_UPSTREAM_REQUEST_HPP_INCLUDED
