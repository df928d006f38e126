#ifndef PERSIMMONPOINT_CONTROL_DATABASE_PROBE_HPP_INCLUDED
#define PERSIMMONPOINT_CONTROL_DATABASE_PROBE_HPP_INCLUDED

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <persimmonpoint/core/time.hpp>
#include <persimmonpoint/postgres/database_connection.hpp>
#include <string>
#include <vector>

namespace persimmonpoint::control {

using probe_row = std::vector<std::optional<std::string>>;
using probe_rows = std::vector<probe_row>;

/// Control's own connection to one database, for small questions. A question that is not
/// answered in time ends the connection; the next question opens a fresh one.
class database_probe {
public:
    using factory = std::function<std::shared_ptr<database_connection>()>;
    /// Rows of all queries of the question, in order.
    using handler = std::function<void(result<probe_rows>)>;

    database_probe(boost::asio::io_context& loop, factory make, duration timeout);
    ~database_probe();

    void ask(std::vector<upstream_query> question, handler done);
    void close();

private:
    struct implementation;
    std::shared_ptr<implementation> impl;
};

} // namespace persimmonpoint::control

#endif // PERSIMMONPOINT_CONTROL_DATABASE_PROBE_HPP_INCLUDED
