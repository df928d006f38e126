#ifndef PERSIMMONPOINT_CORE_SESSION_CLIENT_SESSION_STATE_HPP_INCLUDED
#define PERSIMMONPOINT_CORE_SESSION_CLIENT_SESSION_STATE_HPP_INCLUDED

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <persimmonpoint/core/catalog/fleet_configuration.hpp>
#include <persimmonpoint/core/limits/memory_budget.hpp>
#include <persimmonpoint/core/routing/log_position.hpp>
#include <persimmonpoint/core/statement/statement.hpp>
#include <persimmonpoint/core/statement/upstream_request.hpp>
#include <string>

namespace persimmonpoint {

/// How a session handles a statement.
enum class statement_action {
    reply_success,  ///< The session replies with success; no database is involved.
    reply_error,    ///< The session rejects it; see statement_decision::error.
    execute_single, ///< Execute one statement outside a transaction.
    open,           ///< Begin a transaction upstream with this statement or COMMIT.
    execute_in_transaction, ///< Execute in the transaction that is already open upstream.
    commit_in_transaction,  ///< COMMIT a transaction that is open upstream.
    rollback_in_transaction ///< Reply immediately and send ROLLBACK to the database.
};

/// The action for one statement and the data needed to carry it out.
struct statement_decision {
    statement_action step = statement_action::reply_success;
    statement_error error = statement_error::none;
    std::string error_text;
    bool writes = false;
    std::optional<prepared_shape> prepared;
    std::string text; ///< The statement to execute, or the arguments of `prepared`.
};

/// Bytes of a session's names, values and shapes. One largest message fits, and all of
/// them fit into an order to another host.
inline constexpr std::size_t max_session_bytes = 4 * 1024 * 1024;
/// So many bytes no session is refused because of others.
inline constexpr std::size_t session_allowance_bytes = 4 * 1024;
/// Counted for each name beside its bytes: what a container needs for it, roughly.
inline constexpr std::size_t session_entry_bytes = 128;

/// Transaction state, session values and prepared statements of one client session.
///
/// BEGIN is deferred: the client gets its reply immediately, and the transaction is
/// opened upstream with the next statement. A client that is idle after BEGIN therefore
/// occupies no upstream connection.
class client_session_state {
public:
    /// @param memory Shared by the sessions of a host.
    explicit client_session_state(
        std::shared_ptr<memory_budget> memory = std::make_shared<memory_budget>());

    /// Decides how to handle a statement and updates the session state. If the statement
    /// is to be executed, its outcome must be reported through the functions below before
    /// the next call. What doesn't fit into a message to a database is refused, and
    /// changes nothing.
    statement_decision decide(statement const& command);

    /// Records that the transaction is open on a database.
    void opened(std::string database, transaction_id id);
    /// Marks the open transaction as failed because a statement failed or the connection
    /// was lost. Only COMMIT and ROLLBACK are accepted afterwards; both roll back.
    void failed();
    /// Ends the transaction: after COMMIT or ROLLBACK, whether it succeeded or failed,
    /// and also if nothing had to be sent upstream.
    void ended();
    /// Records the log position of an acknowledged write or commit in a database group.
    void acknowledged(std::string_view group, log_position position);

    transaction_state state() const { return this->current; }
    bool read_only() const { return this->is_read_only; }
    /// The transaction that is open on a database, if any.
    transaction_id const& transaction() const { return this->open_transaction; }
    std::string const& database() const { return this->open_database; }
    session_values const& values() const { return this->session; }
    /// Bytes that are counted for the values and prepared statements.
    std::size_t held_bytes() const { return this->memory.bytes(); }
    /// Highest log position acknowledged to this session in the group, if any.
    std::optional<log_position> last_commit_position(std::string_view group) const;
    /// True if the statement writes, either directly or by executing a prepared write.
    bool is_write(statement const& command) const;

private:
    statement_decision decide_idle(statement const& command);
    statement_decision decide_open(statement const& command);
    statement_decision decide_failed(statement const& command);
    std::optional<statement_decision> decide_session_command(statement const& command);
    statement_decision set_value(statement const& command);
    statement_decision prepare(statement const& command);
    statement_decision deallocate(statement const& command);
    std::optional<statement_decision>
    replace_entry(std::size_t before, std::size_t after);
    statement_decision
    execute_decision(statement const& command, statement_action step) const;

    transaction_state current = transaction_state::idle;
    bool is_read_only = false;
    transaction_id open_transaction;
    std::string open_database;
    session_values session;
    std::map<std::string, prepared_shape, std::less<>> prepared;
    memory_share memory;
    std::map<std::string, log_position, std::less<>> commits;
};

} // namespace persimmonpoint

#endif // PERSIMMONPOINT_CORE_SESSION_CLIENT_SESSION_STATE_HPP_INCLUDED
