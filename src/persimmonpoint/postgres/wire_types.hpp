#ifndef PERSIMMONPOINT_POSTGRES_WIRE_TYPES_HPP_INCLUDED
#define PERSIMMONPOINT_POSTGRES_WIRE_TYPES_HPP_INCLUDED

/// Parts of rows and answers that both sides of the protocol share.

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace persimmonpoint::postgres {

/// A column of a row description.
struct column {
    std::string name;
    std::uint32_t table_oid = 0;
    std::int16_t table_column = 0;
    std::uint32_t type_oid = 25;
    std::int16_t type_size = -1;
    std::int32_t type_modifier = -1;
    std::int16_t format = 0; ///< 0 text, 1 binary.
};

/// The transaction state that ready-for-query reports.
enum class transaction_status : char { idle = 'I', open = 'T', failed = 'E' };

using field = std::optional<std::string_view>;

/// An error that a database sent. Every field is handed on as it came.
struct database_error {
    std::string sqlstate;
    std::string message;
    /// Field type (PostgreSQL 15 documentation, chapter 55.8) and text, in sending order.
    std::vector<std::pair<char, std::string>> fields;
};

} // namespace persimmonpoint::postgres

#endif // PERSIMMONPOINT_POSTGRES_WIRE_TYPES_HPP_INCLUDED
