#ifndef PERSIMMONPOINT_APP_SQL_CLIENT_HPP_INCLUDED
#define PERSIMMONPOINT_APP_SQL_CLIENT_HPP_INCLUDED

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace persimmonpoint::app {

/// Where a caller connects, as whom, and with what startup options.
struct caller_target {
    std::uint16_t port = 0;
    std::string route;
    std::string team;
    std::string key;
    std::string options;
};

/// What a caller gets for a statement.
struct caller_answer {
    bool ok = false;
    std::string sqlstate; ///< Of an error.
    std::string message;
    std::string detail;
    std::string hint;
    std::string tag;
    std::vector<std::vector<std::optional<std::string>>> rows;
};

/// A blocking caller on libpq, for demonstrations, benches and tests.
class sql_client {
public:
    explicit sql_client(caller_target const& target);
    ~sql_client();
    sql_client(sql_client&&) noexcept;
    sql_client& operator=(sql_client&&) noexcept;

    bool is_connected() const;
    /// SQLSTATE-less text of why there is no connection.
    std::string connect_error() const;
    caller_answer run(std::string const& sql);
    caller_answer
    run(std::string const& sql,
        std::vector<std::optional<std::string>> const& parameters);
    /// The newest value that the server reported; empty if none.
    std::string reported(std::string const& parameter) const;
    /// libpq's handle, for what this class doesn't offer.
    void* handle();

private:
    struct implementation;
    std::unique_ptr<implementation> impl;
};

} // namespace persimmonpoint::app

#endif // PERSIMMONPOINT_APP_SQL_CLIENT_HPP_INCLUDED
