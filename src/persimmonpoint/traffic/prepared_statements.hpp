#ifndef PERSIMMONPOINT_TRAFFIC_PREPARED_STATEMENTS_HPP_INCLUDED
#define PERSIMMONPOINT_TRAFFIC_PREPARED_STATEMENTS_HPP_INCLUDED

#include <map>
#include <memory>
#include <optional>
#include <persimmonpoint/core/error.hpp>
#include <persimmonpoint/interfaces/statement_classifier.hpp>
#include <persimmonpoint/postgres/frontend_message.hpp>
#include <persimmonpoint/traffic/answer_buffer.hpp>
#include <persimmonpoint/traffic/statement_executor.hpp>
#include <string>
#include <string_view>

namespace persimmonpoint::traffic {

struct prepared_statement {
    classified_statement statement;
    std::vector<std::uint32_t> types;
};

struct portal {
    statement_request request;
    std::optional<answer_buffer> suspended; ///< What a row limit has held back.
    std::size_t next_row = 0;
};

/// A session's prepared statements and portals. They live here rather than in a database,
/// since each execution may run on another connection.
class prepared_statements {
public:
    result<void>
    parse(postgres::parse_message const& message, statement_classifier& classifier);
    result<void> bind(postgres::bind_message const& message);
    void close(postgres::close_message const& message);
    void close_portals() { this->portals.clear(); }

    prepared_statement const* find_statement(std::string_view name) const;
    portal* find_portal(std::string_view name);

private:
    std::map<std::string, prepared_statement, std::less<>> statements;
    std::map<std::string, portal, std::less<>> portals;
};

} // namespace persimmonpoint::traffic

#endif // PERSIMMONPOINT_TRAFFIC_PREPARED_STATEMENTS_HPP_INCLUDED
