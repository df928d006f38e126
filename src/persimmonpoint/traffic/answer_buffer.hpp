#ifndef PERSIMMONPOINT_TRAFFIC_ANSWER_BUFFER_HPP_INCLUDED
#define PERSIMMONPOINT_TRAFFIC_ANSWER_BUFFER_HPP_INCLUDED

#include <cstddef>
#include <functional>
#include <optional>
#include <persimmonpoint/postgres/backend_writer.hpp>
#include <string>
#include <vector>

namespace persimmonpoint::traffic {

/// One statement's answer in wire form, as it goes to the caller.
struct answer_buffer {
    std::string parameters; ///< Parameter description, for a described statement.
    std::string columns;    ///< Row description; empty if the statement returns no rows.
    std::string rows;       ///< Data rows not yet forwarded.
    std::vector<std::size_t> row_ends; ///< Filled only if asked for.
    std::string tag;
    bool forwarded = false; ///< Columns and some rows have gone to the caller already.
    std::optional<postgres::database_error> failure;

    void clear() { *this = answer_buffer(); }
};

} // namespace persimmonpoint::traffic

#endif // PERSIMMONPOINT_TRAFFIC_ANSWER_BUFFER_HPP_INCLUDED
