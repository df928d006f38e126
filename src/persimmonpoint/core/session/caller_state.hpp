#ifndef PERSIMMONPOINT_CORE_SESSION_CALLER_STATE_HPP_INCLUDED
#define PERSIMMONPOINT_CORE_SESSION_CALLER_STATE_HPP_INCLUDED

#include <cstdint>
#include <map>
#include <optional>
#include <persimmonpoint/core/catalog/fleet_configuration.hpp>
#include <persimmonpoint/core/routing/log_position.hpp>
#include <persimmonpoint/core/statement/statement.hpp>
#include <persimmonpoint/core/statement/work_order.hpp>
#include <string>

namespace persimmonpoint {

/// What a session does with a statement.
enum class statement_step {
    reply_done,     ///< Answered by the session itself, with success.
    reply_error,    ///< Refused by the session itself; see caller_decision::error.
    run_single,     ///< One statement outside a transaction.
    open,           ///< The first statement of a transaction, or its COMMIT.
    run_inside,     ///< A further statement of a transaction.
    commit_inside,  ///< COMMIT of a transaction that a database has open.
    rollback_inside ///< Answered at once; the database is told to roll back.
};

struct caller_decision {
    statement_step step = statement_step::reply_done;
    statement_error error = statement_error::none;
    std::string error_text;
    bool writes = false;
    std::optional<prepared_shape> prepared;
    std::string text; ///< To be run: the caller's text, or the arguments to `prepared`.
};

/// The transaction, values and prepared statements of one session.
///
/// BEGIN is answered at once and a database is asked only with the next statement: a
/// caller that pauses behind BEGIN holds no connection.
class caller_state {
public:
    /// Decides a statement and takes it into account. The outcome of what is to run must
    /// be told by one of the members below before the next statement.
    caller_decision decide(statement const& what);

    /// The transaction now is open at a database, on a connection of its owner.
    void opened(std::string database, std::uint64_t lane);
    /// A statement in a transaction failed, or its connection is gone: only its end is
    /// taken from now on.
    void failed();
    /// COMMIT was answered, with success or not.
    void ended();
    /// A write or a commit was acknowledged at this position of the group's log.
    void acknowledged(std::string_view group, log_position position);

    transaction_state state() const { return this->current; }
    bool read_only() const { return this->reads_only; }
    std::uint64_t lane() const { return this->open_lane; }
    std::string const& database() const { return this->open_database; }
    session_values const& values() const { return this->session; }
    /// The newest commit of this session in the group; nothing if there is none.
    std::optional<log_position> own_commit(std::string_view group) const;
    /// True if a prepared statement writes.
    bool is_write(statement const& what) const;

private:
    caller_decision decide_idle(statement const& what);
    caller_decision decide_open(statement const& what);
    caller_decision decide_failed(statement const& what);
    std::optional<caller_decision> decide_session(statement const& what);
    caller_decision to_run(statement const& what, statement_step step) const;

    transaction_state current = transaction_state::idle;
    bool reads_only = false;
    std::uint64_t open_lane = 0;
    std::string open_database;
    session_values session;
    std::map<std::string, prepared_shape, std::less<>> prepared;
    std::map<std::string, log_position, std::less<>> commits;
};

} // namespace persimmonpoint

#endif // PERSIMMONPOINT_CORE_SESSION_CALLER_STATE_HPP_INCLUDED
