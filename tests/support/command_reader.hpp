#ifndef PERSIMMONPOINT_TESTS_SUPPORT_COMMAND_READER_HPP_INCLUDED
#define PERSIMMONPOINT_TESTS_SUPPORT_COMMAND_READER_HPP_INCLUDED

/// Reads commands back from their bytes, as a database does.

#include <map>
#include <optional>
#include <persimmonpoint/core/routing/log_position.hpp>
#include <persimmonpoint/core/statement/statement.hpp>
#include <string>
#include <string_view>

namespace persimmonpoint::tests {

/// A read, write, EXECUTE or COMMIT as a database runs it.
struct executed_statement {
    std::string id;
    std::string text; ///< Of an EXECUTE: all that stands behind the name.
    std::optional<prepared_shape> prepared;
    session_values values; ///< In force while it runs.
    bool in_transaction = false;
    bool read_only_transaction = false;

    friend bool
    operator==(executed_statement const&, executed_statement const&) = default;
};

/// What one command did.
struct command_effect {
    std::string fault; ///< Why a database can't carry it out; empty if it can.
    std::optional<executed_statement> executed;
    std::optional<log_position> floor;
};

/// One session at a database: its values, its prepared statements and its transaction.
class database_session {
public:
    /// Takes bytes that must be exactly one message, and carries it out.
    command_effect take(std::string_view bytes);

private:
    command_effect take_line(std::string_view line);
    command_effect take_text(std::string_view id, std::string_view text);
    command_effect begin(std::string_view access);
    command_effect end_transaction();
    command_effect prepare(std::string_view rest);
    command_effect deallocate(std::string_view name);
    command_effect execute(std::string_view id, std::string_view rest);
    command_effect run(std::string_view id, std::string_view text) const;

    session_values values;
    std::map<std::string, prepared_shape, std::less<>> prepared;
    bool in_transaction = false;
    bool read_only = false;
};

} // namespace persimmonpoint::tests

#endif // PERSIMMONPOINT_TESTS_SUPPORT_COMMAND_READER_HPP_INCLUDED
