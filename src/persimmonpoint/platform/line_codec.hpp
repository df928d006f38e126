#ifndef PERSIMMONPOINT_PLATFORM_LINE_CODEC_HPP_INCLUDED
#define PERSIMMONPOINT_PLATFORM_LINE_CODEC_HPP_INCLUDED

/// The words of the platform's line protocol, and what they stand for.

#include <cstddef>
#include <optional>
#include <persimmonpoint/core/routing/log_position.hpp>
#include <persimmonpoint/core/statement/statement.hpp>
#include <persimmonpoint/interfaces/caller_channel.hpp>
#include <persimmonpoint/interfaces/upstream_connection.hpp>
#include <string>
#include <string_view>

namespace persimmonpoint::platform {

/// Longest message, its end of line not counted.
inline constexpr std::size_t most_message_bytes = 1024 * 1024;

/// Takes the first word off a line, with the blank behind it.
std::string_view take_word(std::string_view& line);

/// A query's text. Nothing if it is none of the protocol's statements.
std::optional<statement> parse_statement(std::string_view id, std::string_view text);

statement_error parse_error(std::string_view word);
std::string_view error_word(statement_error error);

/// TERM.NUMBER; nothing for a dash or anything else.
std::optional<log_position> parse_position(std::string_view word);
std::string format_position(std::optional<log_position> position);

transaction_state parse_state(std::string_view word);

/// The row that a database answers about itself. Nothing if it can't be read.
std::optional<database_state> parse_report(std::string_view row);

std::string format_ready(transaction_state state, std::optional<log_position> position);
std::string format_answer(caller_answer const& answer);
std::string format_start(upstream_target const& target);
std::string format_command(upstream_command const& command);

} // namespace persimmonpoint::platform

#endif // PERSIMMONPOINT_PLATFORM_LINE_CODEC_HPP_INCLUDED
