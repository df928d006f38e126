#ifndef PERSIMMONPOINT_STANDIN_TABLES_HPP_INCLUDED
#define PERSIMMONPOINT_STANDIN_TABLES_HPP_INCLUDED

/// Rows, transactions and statement execution of the stand-in database.

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <persimmonpoint/core/error.hpp>
#include <persimmonpoint/standin/sql.hpp>
#include <span>
#include <string>
#include <variant>
#include <vector>

namespace persimmonpoint::standin {

using value = std::optional<std::string>;
using row = std::vector<value>;

/// Orders keys by number where both are numbers.
struct key_less {
    bool operator()(std::string const& left, std::string const& right) const;
};

struct table {
    std::vector<column_definition> columns;
    std::size_t primary_key = 0;
    std::map<std::string, row, key_less> rows;
};

/// One step of a committed transaction: a new table, or a row's new state.
struct change {
    std::string table_name;
    std::string key;
    std::optional<row> after;                   ///< Nothing: the row was removed.
    std::shared_ptr<table const> created_table; ///< Set for a new table only.
};

class table_set {
public:
    table const* find(std::string const& name) const;
    void apply(change const& step);
    void clear();

private:
    std::map<std::string, table> tables;
};

/// Which connection holds which row until its transaction ends.
class row_locks {
public:
    /// True if the owner now holds the row.
    bool
    acquire(std::string const& table_name, std::string const& key, std::uint64_t owner);
    void release_all(std::uint64_t owner);

private:
    std::map<std::pair<std::string, std::string>, std::uint64_t> owners;
};

/// Changes of a transaction that nobody else sees yet.
struct open_changes {
    std::map<std::string, std::map<std::string, std::optional<row>, key_less>> rows;
    std::map<std::string, std::shared_ptr<table const>> created;
    std::vector<change> steps;
};

struct output_column {
    std::string name;
    std::uint32_t type = text_oid;
};

struct answer {
    std::vector<output_column> columns; ///< Empty if the command returns no rows.
    std::vector<row> rows;
    std::string tag;
    bool returns_rows = false;
};

/// Another transaction holds a row that the statement needs.
struct blocked {};

using execution = std::variant<answer, error, blocked>;

/// What the database adds to plain tables: system tables and functions.
class system_catalog {
public:
    virtual ~system_catalog() = default;
    /// Nothing if there is no such system table.
    virtual std::shared_ptr<table const> system_table(std::string const& name) = 0;
    /// Nothing if there is no such function.
    virtual std::optional<result<value>>
    call(std::string const& function, std::span<value const> arguments) = 0;
};

/// One statement's way to the data: committed rows below, the transaction's own on top.
struct data_access {
    table_set const& committed;
    open_changes& own;
    row_locks& locks;
    std::uint64_t owner = 0;
    system_catalog& system;
};

/// Runs a statement that touches data. Transaction control is not for here.
execution execute(
    sql_statement const& statement,
    std::span<value const> parameters,
    data_access access);

/// Columns that a statement would return.
result<std::vector<output_column>>
describe(sql_statement const& statement, data_access access);

} // namespace persimmonpoint::standin

#endif // PERSIMMONPOINT_STANDIN_TABLES_HPP_INCLUDED
