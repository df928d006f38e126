#ifndef PERSIMMONPOINT_CORE_STATEMENT_WORK_ORDER_HPP_INCLUDED
#define PERSIMMONPOINT_CORE_STATEMENT_WORK_ORDER_HPP_INCLUDED

/// What a host asks of the host that owns a database's connections, and its answer.

#include <cstdint>
#include <functional>
#include <optional>
#include <persimmonpoint/core/routing/log_position.hpp>
#include <persimmonpoint/core/statement/statement.hpp>
#include <string>
#include <vector>

namespace persimmonpoint {

enum class order_kind {
    single,      ///< One statement outside a transaction.
    leader_read, ///< A read inside a transaction of its own, which a primary only runs.
    open_transaction, ///< Opens a transaction and runs its first statement.
    in_transaction,
    commit,
    rollback,
    leader_check, ///< No statement: proves that the database leads, gives its position.
    report_state, ///< No statement: asks the database for its role and log.
    hold,         ///< Stops a replica from receiving, under order `term`.
    resume        ///< Lets a held replica receive again.
};

struct work_order {
    order_kind kind = order_kind::single;
    std::uint64_t lane = 0; ///< The transaction's connection at the owner; 0: none yet.
    std::string group;
    std::string database;
    std::string team;
    std::string id;   ///< The caller's id of the statement.
    std::string text; ///< The caller's text; for a prepared statement its arguments.
    std::optional<prepared_shape> prepared; ///< Set if the text is to be executed by it.
    bool writes = false;
    bool read_only_transaction = false;
    std::optional<log_position> floor; ///< The database's log must reach it.
    session_values values;             ///< To be in force on the connection.
    std::uint32_t budget_ms = 0;       ///< Time left for the whole order.
    std::uint32_t wait_ms =
        0; ///< Longest wait for a connection and a slot; 0: the budget.
    std::uint32_t priority = 0; ///< 0 is the highest.
    std::uint64_t term = 0;     ///< For `hold`.
};

/// What a database says of its own role and log.
struct database_state {
    bool leads = false;
    std::uint64_t term = 0;
    log_position received;
    std::uint64_t held_term = 0; ///< 0 unless held.
};

enum class order_outcome {
    answered, ///< The database answered; `error` tells whether with success.
    not_run,  ///< The statement was not sent, or was refused before it ran.
    unknown   ///< It was sent and no answer came.
};

/// Why an order did not run.
enum class order_refusal {
    none,
    unreachable, ///< No connection to the database can be had.
    queue_full,
    expired,  ///< The order's time ended while it waited.
    lane_lost ///< The transaction's connection is gone; its transaction rolled back.
};

/// Name of a refusal in logs.
char const* to_string(order_refusal refusal);

struct work_answer {
    order_outcome outcome = order_outcome::not_run;
    order_refusal refusal = order_refusal::none;
    statement_error error = statement_error::none;
    std::string error_text;
    std::vector<std::string> rows;
    std::string signature; ///< The database's proof of its answer.
    transaction_state state = transaction_state::idle;
    std::optional<log_position> position; ///< The database's log, behind the answer.
    std::uint64_t lane = 0;
    std::uint32_t load = 0; ///< Orders waiting or running for the database at the owner.
    bool leader_confirmed = false; ///< The database proved to lead when it answered.
    std::optional<database_state> report;

    bool succeeded() const {
        return this->outcome == order_outcome::answered &&
               this->error == statement_error::none;
    }
};

using answer_handler = std::function<void(work_answer)>;

} // namespace persimmonpoint

#endif // PERSIMMONPOINT_CORE_STATEMENT_WORK_ORDER_HPP_INCLUDED
