#ifndef PERSIMMONPOINT_POSTGRES_FRONTEND_MESSAGE_HPP_INCLUDED
#define PERSIMMONPOINT_POSTGRES_FRONTEND_MESSAGE_HPP_INCLUDED

/// The messages a caller sends. Source: PostgreSQL 15 documentation, chapter 55.7.
/// Views point into the buffer that was decoded and end with it.

#include <cstdint>
#include <optional>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

namespace persimmonpoint::postgres {

struct ssl_request {};
struct gss_request {};

struct cancel_request {
    std::uint32_t process_id = 0;
    std::uint32_t secret = 0;
};

struct startup_message {
    std::uint16_t major = 3;
    std::uint16_t minor = 0;
    std::vector<std::pair<std::string_view, std::string_view>> parameters;

    /// Empty if the parameter was not sent.
    std::string_view parameter(std::string_view name) const;
};

struct password_message {
    std::string_view password;
};

struct query_message {
    std::string_view text;
};

struct parse_message {
    std::string_view statement;
    std::string_view text;
    std::vector<std::uint32_t> parameter_types;
};

struct bind_message {
    std::string_view portal;
    std::string_view statement;
    std::vector<std::int16_t> parameter_formats;
    std::vector<std::optional<std::string_view>> parameters;
    std::vector<std::int16_t> result_formats;
};

/// What describe and close refer to.
enum class target_kind { statement, portal };

struct describe_message {
    target_kind kind = target_kind::statement;
    std::string_view name;
};

struct execute_message {
    std::string_view portal;
    std::int32_t row_limit = 0; ///< 0: all rows.
};

struct close_message {
    target_kind kind = target_kind::statement;
    std::string_view name;
};

struct sync_message {};
struct flush_message {};
struct terminate_message {};

/// A message of the protocol that this system doesn't serve.
struct unsupported_message {
    char type = 0;
};

using frontend_message = std::variant<
    ssl_request,
    gss_request,
    cancel_request,
    startup_message,
    password_message,
    query_message,
    parse_message,
    bind_message,
    describe_message,
    execute_message,
    close_message,
    sync_message,
    flush_message,
    terminate_message,
    unsupported_message>;

} // namespace persimmonpoint::postgres

#endif // PERSIMMONPOINT_POSTGRES_FRONTEND_MESSAGE_HPP_INCLUDED
