#ifndef PERSIMMONPOINT_CORE_STATEMENT_STATEMENT_HPP_INCLUDED
#define PERSIMMONPOINT_CORE_STATEMENT_STATEMENT_HPP_INCLUDED

/// Protocol-independent statements and statement errors.

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

/// Whether a statement fits into a message to a database, which may need more bytes than
/// the client's message did.
enum class upstream_fit {
    always,
    without_floor, ///< Not together with a position that the database must have reached.
    never
};

/// One decoded client statement.
struct statement {
    std::string id;   ///< Client-chosen id, used in logs and sent upstream.
    std::string text; ///< Original text sent by the client.
    statement_verb verb = statement_verb::read;
    std::string name;     ///< Name of the session value or prepared statement.
    std::string argument; ///< Value for SET, shape for PREPARE, arguments for EXECUTE.
    upstream_fit fit = upstream_fit::always;
};

/// Why a statement failed, as reported by the database or by the proxy.
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

/// True if a database that returns this error is guaranteed not to have executed the
/// statement.
inline bool proves_not_run(statement_error code) {
    return code == statement_error::busy || code == statement_error::lagging ||
           code == statement_error::read_only ||
           code == statement_error::wrong_database ||
           code == statement_error::too_many_connections ||
           code == statement_error::unknown_statement;
}

/// Name of the error as used in logs.
char const* to_string(statement_error code);
/// Inverse of to_string(); empty if the name is unknown.
std::optional<statement_error> parse_statement_error(std::string_view name);

/// Transaction state of a session, as reported to its client.
enum class transaction_state { idle, open, failed };

/// Session values set by the client, by name.
using session_values = std::map<std::string, std::string, std::less<>>;

/// A prepared statement. Statements with equal shapes share one preparation per
/// connection.
struct prepared_shape {
    std::string shape;
    bool writes = false;

    friend auto operator<=>(prepared_shape const&, prepared_shape const&) = default;
};

} // namespace persimmonpoint

#endif // PERSIMMONPOINT_CORE_STATEMENT_STATEMENT_HPP_INCLUDED
