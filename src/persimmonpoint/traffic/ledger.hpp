#ifndef PERSIMMONPOINT_TRAFFIC_LEDGER_HPP_INCLUDED
#define PERSIMMONPOINT_TRAFFIC_LEDGER_HPP_INCLUDED

/// The ledger of request ids, a table in each group's databases. A request's row is
/// written in the transaction of its statement, so that one is there if and only if the
/// other is.

#include <optional>
#include <persimmonpoint/postgres/database_connection.hpp>
#include <persimmonpoint/traffic/answer_buffer.hpp>
#include <string>
#include <string_view>

namespace persimmonpoint::traffic::ledger {

/// Answers over this size (bytes) are stored without their rows.
inline constexpr std::size_t max_stored_rows = 65536;

struct entry {
    std::string digest;
    std::string answer;
};

/// Run by control on every new primary.
inline constexpr std::string_view create_table =
    "CREATE TABLE IF NOT EXISTS persimmonpoint_ledger "
    "(id text PRIMARY KEY, digest text, answer text)";

/// Fails with a unique violation if the id was used before.
upstream_query insert(std::string_view id, std::string_view digest);
upstream_query store(std::string_view id, std::string_view answer);
upstream_query find(std::string_view id);
std::optional<entry> parse(std::span<postgres::field const> fields);

/// An answer in a form that fits a text column.
std::string pack(answer_buffer const& answer);
answer_buffer unpack(std::string_view packed);
std::string stored_commit();

} // namespace persimmonpoint::traffic::ledger

#endif // PERSIMMONPOINT_TRAFFIC_LEDGER_HPP_INCLUDED
