#ifndef PERSIMMONPOINT_POSTGRES_GROUP_STATE_QUERY_HPP_INCLUDED
#define PERSIMMONPOINT_POSTGRES_GROUP_STATE_QUERY_HPP_INCLUDED

/// How a database is asked for its term, role and log position.
/// docs/STANDINS.md gives the contract with the platform's database groups.

#include <optional>
#include <persimmonpoint/core/routing/group_view.hpp>
#include <persimmonpoint/postgres/wire_types.hpp>
#include <span>
#include <string_view>

namespace persimmonpoint::postgres {

inline constexpr std::string_view group_state_query =
    "SELECT term, role, log_term, log_offset, heard_ms FROM group_state";

/// Nothing if the row doesn't have the query's form.
std::optional<database_report> parse_group_state(std::span<field const> fields);

} // namespace persimmonpoint::postgres

#endif // PERSIMMONPOINT_POSTGRES_GROUP_STATE_QUERY_HPP_INCLUDED
