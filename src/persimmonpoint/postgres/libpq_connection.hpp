#ifndef PERSIMMONPOINT_POSTGRES_LIBPQ_CONNECTION_HPP_INCLUDED
#define PERSIMMONPOINT_POSTGRES_LIBPQ_CONNECTION_HPP_INCLUDED

#include <boost/asio/io_context.hpp>
#include <persimmonpoint/postgres/database_connection.hpp>

namespace persimmonpoint::postgres {

/// Where a database is and as whom to log in.
struct connection_target {
    std::string address; ///< IP number.
    std::uint16_t port = 0;
    std::string user;
    std::string password;
    std::string database;
    std::string application_name;     ///< Tells the host that owns the connection.
    std::string ssl_mode = "disable"; ///< As libpq's sslmode.
};

/// Makes a connection on libpq in non-blocking pipeline mode. It is not connected yet.
std::shared_ptr<database_connection>
make_libpq_connection(boost::asio::io_context& loop, connection_target target);

} // namespace persimmonpoint::postgres

#endif // PERSIMMONPOINT_POSTGRES_LIBPQ_CONNECTION_HPP_INCLUDED
