#ifndef PERSIMMONPOINT_STANDIN_SQL_HPP_INCLUDED
#define PERSIMMONPOINT_STANDIN_SQL_HPP_INCLUDED

/// The small subset of SQL that the stand-in database runs. docs/STANDINS.md lists it.

#include <cstdint>
#include <optional>
#include <persimmonpoint/core/error.hpp>
#include <string>
#include <string_view>
#include <vector>

namespace persimmonpoint::standin {

inline constexpr std::uint32_t bool_oid = 16;
inline constexpr std::uint32_t int8_oid = 20;
inline constexpr std::uint32_t int4_oid = 23;
inline constexpr std::uint32_t text_oid = 25;

enum class expression_kind { literal, null, parameter, column, binary, call, star };

struct expression {
    expression_kind kind = expression_kind::null;
    std::string text;          ///< Literal text, column, operator or function name.
    std::uint32_t type = 0;    ///< Of a literal or a cast; 0 if not stated.
    std::size_t parameter = 0; ///< From 1.
    std::vector<expression> arguments;
    std::string alias;
};

struct column_definition {
    std::string name;
    std::uint32_t type = text_oid;
};

struct assignment {
    std::string column;
    expression value;
};

enum class sql_kind {
    empty,
    select,
    insert,
    update,
    remove,
    create_table,
    begin,
    commit,
    rollback,
    set,
    show,
    discard
};

enum class on_conflict { fail, nothing, update };

struct sql_statement {
    sql_kind kind = sql_kind::empty;
    std::string table;
    std::vector<expression> outputs;  ///< Select list or RETURNING.
    std::vector<std::string> columns; ///< Of INSERT.
    std::vector<std::vector<expression>> values;
    std::vector<assignment> assignments; ///< Of UPDATE and ON CONFLICT DO UPDATE.
    std::optional<expression> where;
    std::string order_by;
    bool descending = false;
    std::optional<std::uint64_t> limit;
    bool for_update = false;
    bool if_not_exists = false;
    on_conflict conflict = on_conflict::fail;
    std::vector<column_definition> definitions;
    std::size_t primary_key = 0;
    std::string parameter; ///< Of SET and SHOW.
    std::size_t parameter_count = 0;
};

/// Parses a text of one or more statements.
result<std::vector<sql_statement>> parse_sql(std::string_view text);

} // namespace persimmonpoint::standin

#endif // PERSIMMONPOINT_STANDIN_SQL_HPP_INCLUDED
