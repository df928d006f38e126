#ifndef PERSIMMONPOINT_CORE_STATEMENT_STATEMENT_HPP_INCLUDED
#define PERSIMMONPOINT_CORE_STATEMENT_STATEMENT_HPP_INCLUDED

/// Statements and errors as the engine knows them, whatever protocol carried them.

#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace persimmonpoint {

enum class statement_verb {
    begin,
    begin_read,
    commit,
    rollback,
    read,
    write,
    set,
    prepare_read,
    prepare_write,
    execute,
    deallocate
};

/// One statement of a caller, decoded.
struct statement {
    std::string id;   ///< Chosen by the caller; names the statement in logs and upstream.
    std::string text; ///< As the caller sent it.
    statement_verb verb = statement_verb::read;
    std::string name;     ///< Of the session value or of the prepared statement.
    std::string argument; ///< Value to set, shape to prepare, or arguments to execute.
};

/// Why a statement failed, upstream or here.
enum class statement_error {
    none,
    busy,
    lagging,
    read_only,
    wrong_database,
    too_many_connections,
    failed,
    unknown_statement,
    timeout,
    denied,
    no_database,
    too_large,
    malformed,
    aborted,
    in_doubt
};

/// True if the database that answered this has certainly not run the statement.
inline bool proves_not_run(statement_error code) {
    return code == statement_error::busy || code == statement_error::lagging ||
           code == statement_error::read_only ||
           code == statement_error::wrong_database ||
           code == statement_error::too_many_connections ||
           code == statement_error::unknown_statement;
}

/// Name of an error in logs.
char const* to_string(statement_error code);
/// The error of that name; empty if there is none.
std::optional<statement_error> statement_error_named(std::string_view name);

/// Where a session stands, as its caller is told.
enum class transaction_state { idle, open, failed };

/// Values that a session has set, by name.
using session_values = std::map<std::string, std::string, std::less<>>;

/// A statement prepared on a connection. Equal shapes share one preparation.
struct prepared_shape {
    std::string shape;
    bool writes = false;

    friend auto operator<=>(prepared_shape const&, prepared_shape const&) = default;
};

} // namespace persimmonpoint

#endif // PERSIMMONPOINT_CORE_STATEMENT_STATEMENT_HPP_INCLUDED
