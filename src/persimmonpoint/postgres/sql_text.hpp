#ifndef PERSIMMONPOINT_POSTGRES_SQL_TEXT_HPP_INCLUDED
#define PERSIMMONPOINT_POSTGRES_SQL_TEXT_HPP_INCLUDED

/// SQL around texts from outside, which must not become part of its structure.

#include <string>
#include <string_view>

namespace persimmonpoint::postgres {

/// True for words of letters, digits and underscores that are joined by dots; no word
/// begins with a digit.
bool is_parameter_name(std::string_view name);

/// The text as one constant, whatever the database's `standard_conforming_strings`.
/// The text must not hold NUL, which no message can carry.
std::string sql_literal(std::string_view text);

/// A command that sets a parameter whose name is_parameter_name().
///
/// Not `SELECT set_config(...)`, though its parameters could be bound: a query in front
/// of `BEGIN ISOLATION LEVEL ...` makes that fail.
std::string set_command(std::string_view name, std::string_view value);

} // namespace persimmonpoint::postgres

#endif // PERSIMMONPOINT_POSTGRES_SQL_TEXT_HPP_INCLUDED
