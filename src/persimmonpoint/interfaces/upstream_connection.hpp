#ifndef PERSIMMONPOINT_INTERFACES_UPSTREAM_CONNECTION_HPP_INCLUDED
#define PERSIMMONPOINT_INTERFACES_UPSTREAM_CONNECTION_HPP_INCLUDED

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <persimmonpoint/core/routing/prepared_names.hpp>
#include <persimmonpoint/core/statement/upstream_request.hpp>
#include <string>
#include <vector>

namespace persimmonpoint {

enum class upstream_action {
    forward, ///< The caller's text, unchanged.
    execute_prepared,
    begin,
    begin_read,
    rollback,
    set,
    prepare,
    reset,
    report_state,
    hold,
    resume,
    stop_primary
};

/// One statement to a database.
struct upstream_command {
    upstream_action action = upstream_action::forward;
    std::string id;   ///< The caller's; empty for a statement of the system's own.
    std::string text; ///< Text, arguments, or the value to set.
    std::string name; ///< Of the value to set.
    prepared_shape prepared;
    prepared_name statement;           ///< Name of `prepared` on the connection.
    std::optional<log_position> floor; ///< The database refuses if its log lacks it.
    std::uint64_t term = 0;
};

struct upstream_answer {
    bool lost = false; ///< No answer came; the connection is of no further use.
    statement_error error = statement_error::none;
    std::string error_text;
    std::vector<std::string> rows;
    std::string signature;
    transaction_state state = transaction_state::idle;
    std::optional<log_position> position;
    std::optional<database_state> report;
};

enum class open_result {
    opened,
    refused, ///< Nothing listens at the address.
    silent,  ///< No answer in time, or the connection broke.
    crowded, ///< The database has too many connections.
    wrong_database
};

struct upstream_target {
    std::string address; ///< IP number and port.
    std::string group;
    std::string database; ///< Its id.
    std::string team;
};

/// A connection to one upstream database. Used from one event loop only.
class upstream_connection {
public:
    using open_handler = std::function<void(open_result, std::optional<log_position>)>;
    using command_handler = std::function<void(upstream_answer)>;

    virtual ~upstream_connection() = default;
    /// The handler is called within a time limit of the connection's own.
    virtual void open(upstream_target const& target, open_handler handler) = 0;
    /// Commands are answered in the order in which they were sent.
    virtual void execute(upstream_command const& command, command_handler handler) = 0;
    /// No handler is called any more.
    virtual void close() = 0;
};

/// Makes connections of one protocol.
class upstream_connector {
public:
    virtual ~upstream_connector() = default;
    virtual std::shared_ptr<upstream_connection> make() = 0;
};

} // namespace persimmonpoint

#endif // PERSIMMONPOINT_INTERFACES_UPSTREAM_CONNECTION_HPP_INCLUDED
