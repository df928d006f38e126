#ifndef PERSIMMONPOINT_TRAFFIC_CONNECTION_POOL_HPP_INCLUDED
#define PERSIMMONPOINT_TRAFFIC_CONNECTION_POOL_HPP_INCLUDED

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <persimmonpoint/core/error.hpp>
#include <persimmonpoint/core/routing/read_router.hpp>
#include <persimmonpoint/core/time.hpp>
#include <persimmonpoint/interfaces/clock.hpp>
#include <persimmonpoint/postgres/database_connection.hpp>
#include <persimmonpoint/traffic/connection_chart.hpp>
#include <string>
#include <string_view>

namespace persimmonpoint::traffic {

class connection_pool;

/// A connection on loan from a pool. Closes it if it is dropped without a release.
class connection_lease {
public:
    connection_lease(
        std::shared_ptr<connection_pool> pool,
        std::shared_ptr<database_connection> link,
        std::shared_ptr<chart::chart const> rules);
    connection_lease(connection_lease const&) = delete;
    connection_lease& operator=(connection_lease const&) = delete;
    ~connection_lease();

    database_connection& link() { return *this->connection; }
    /// Told after each batch; decides what a release does.
    void answered(postgres::transaction_status status);
    bool in_transaction() const;
    postgres::transaction_status status() const { return this->last_status; }
    /// Index of the database in its group.
    std::size_t database() const { return this->database_index; }
    void set_database(std::size_t index) { this->database_index = index; }
    /// The session leaves state on the connection; it is reset before anybody else uses
    /// it.
    void mark_dirty() { this->dirty = true; }
    /// Gives the connection back. One inside a transaction is closed instead.
    void release();
    /// Closes the connection: its state is in doubt.
    void discard();
    /// Closes the connection: the database has not answered on it.
    void give_up();

private:
    std::shared_ptr<connection_pool> pool;
    std::shared_ptr<database_connection> connection;
    connection_machine machine;
    bool dirty = false;
    postgres::transaction_status last_status = postgres::transaction_status::idle;
    std::size_t database_index = 0;
};

struct pool_settings {
    std::size_t limit = 0; ///< Connections of this pool at most.
    duration connect_timeout{std::chrono::seconds(1)};
    duration reset_timeout{std::chrono::seconds(1)};
    std::size_t max_waiting = 10'000; ///< More requests are refused at once.
};

/// Connections of one traffic thread to one database.
class connection_pool : public std::enable_shared_from_this<connection_pool> {
public:
    using factory = std::function<std::shared_ptr<database_connection>()>;
    using handler = std::function<void(result<std::unique_ptr<connection_lease>>)>;

    connection_pool(
        boost::asio::io_context& loop,
        clock const& time,
        std::string name,
        factory make,
        pool_settings settings,
        std::shared_ptr<chart::chart const> rules);
    ~connection_pool();

    /// Calls the handler, possibly at once, with a lease; or with an error by the
    /// deadline. The ticket lets the request be given up.
    std::uint64_t acquire(std::string_view team, instant deadline, handler done);
    void give_up(std::uint64_t ticket);
    void set_limit(std::size_t limit);
    database_load load() const;
    std::size_t open_connections() const;
    /// Closes idle connections and refuses all waiting requests.
    void close();

private:
    friend class connection_lease;
    void give_back(std::shared_ptr<database_connection> link, bool dirty);
    void gone();
    void gave_up();

    struct implementation;
    std::unique_ptr<implementation> impl;
};

} // namespace persimmonpoint::traffic

#endif // PERSIMMONPOINT_TRAFFIC_CONNECTION_POOL_HPP_INCLUDED
