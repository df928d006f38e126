#ifndef PERSIMMONPOINT_POSTGRES_BACKEND_WRITER_HPP_INCLUDED
#define PERSIMMONPOINT_POSTGRES_BACKEND_WRITER_HPP_INCLUDED

#include <cstdint>
#include <persimmonpoint/core/error.hpp>
#include <persimmonpoint/postgres/wire_types.hpp>
#include <span>
#include <string>
#include <string_view>

namespace persimmonpoint::postgres {

/// Appends the messages a server sends to a buffer.
/// Source: PostgreSQL 15 documentation, chapter 55.7.
class backend_writer {
public:
    explicit backend_writer(std::string& output) : output(output) {}

    void authentication_ok();
    void authentication_cleartext();
    void parameter_status(std::string_view name, std::string_view value);
    void backend_key_data(std::uint32_t process_id, std::uint32_t secret);
    void ready_for_query(transaction_status status);
    void row_description(std::span<column const> columns);
    void data_row(std::span<field const> fields);
    void command_complete(std::string_view tag);
    void empty_query();
    void parse_complete();
    void bind_complete();
    void close_complete();
    void no_data();
    void portal_suspended();
    void parameter_description(std::span<std::uint32_t const> types);
    void error_response(error const& failure, std::string_view severity = "ERROR");
    /// An error whose effect is not in question, as a database sends it.
    void plain_error(std::string_view sqlstate, std::string_view message);
    /// An error handed on with all its fields.
    void forwarded_error(database_error const& failure);
    void notice(std::string_view message);

private:
    std::size_t start(char type);
    void finish(std::size_t start);
    void empty_message(char type);
    template <class Int>
    void integer(Int value);
    void text(std::string_view value);
    void tagged(char tag, std::string_view value);

    std::string& output;
};

} // namespace persimmonpoint::postgres

#endif // PERSIMMONPOINT_POSTGRES_BACKEND_WRITER_HPP_INCLUDED
