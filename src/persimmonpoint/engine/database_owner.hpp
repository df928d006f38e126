#ifndef PERSIMMONPOINT_ENGINE_DATABASE_OWNER_HPP_INCLUDED
#define PERSIMMONPOINT_ENGINE_DATABASE_OWNER_HPP_INCLUDED

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <persimmonpoint/core/catalog/database_directory.hpp>
#include <persimmonpoint/core/limits/cold_pace.hpp>
#include <persimmonpoint/core/recovery/unacknowledged_commits.hpp>
#include <persimmonpoint/core/routing/connection_choice.hpp>
#include <persimmonpoint/core/routing/connection_counts.hpp>
#include <persimmonpoint/core/routing/log_position.hpp>
#include <persimmonpoint/core/statement/transaction_id.hpp>
#include <persimmonpoint/interfaces/clock.hpp>
#include <persimmonpoint/interfaces/upstream_connection.hpp>
#include <string>

namespace persimmonpoint::engine {

/// What an owner sees of its database; told as it happens.
class owner_observer {
public:
    virtual ~owner_observer() = default;
    virtual void on_answer(std::string const& database) = 0;
    virtual void on_refused(std::string const& database) = 0;
    virtual void on_silent(std::string const& database) = 0;
    /// Asked as a write or COMMIT is about to be sent.
    virtual bool may_send_commit(std::string const& /*database*/) { return true; }
    virtual void on_commit_sent(std::string const& database, instant sent_at) = 0;
    /// A write or COMMIT that was sent at `sent_at` was answered, or its connection
    /// broke.
    virtual void
    on_commit_ended(std::string const& database, instant sent_at, commit_end how) = 0;
    /// A write or COMMIT succeeded that was sent at `sent_at`. `reached` is a position
    /// that the commit's own reaches, if one is known.
    virtual void on_commit_acknowledged(
        std::string const& database,
        instant sent_at,
        std::optional<log_position> reached) = 0;
};

/// Identifies who has given an order, so that its transactions end with it.
using order_source = std::uint64_t;

/// The connections of this host to one database: runs orders on them, queues what can't
/// run yet, and keeps the connections of open transactions apart.
class database_owner {
public:
    /// @param transactions Of the whole process, so that an owner that is made anew for
    /// its database numbers none of its transactions as the one before did.
    database_owner(
        boost::asio::io_context& loop,
        upstream_connector& connector,
        clock const& clock,
        owner_observer& observer,
        transaction_numbering& transactions,
        registered_database database);
    ~database_owner();
    database_owner(database_owner const&) = delete;
    database_owner& operator=(database_owner const&) = delete;

    /// Takes an order. The handler is called once, possibly at once.
    void submit(upstream_request order, order_source source, response_handler handler);
    /// Rolls back the transactions of a source that is gone and drops its orders.
    void forget(order_source source);
    void set_database(registered_database const& database);
    /// From `end` on no new work is started, only what belongs to an open transaction and
    /// orders of the system's own; what waits is answered as not run.
    void set_work_end(std::optional<instant> end);
    /// Whether orders that belong to no open transaction, and those that do, are carried
    /// out. Orders of the system's own always are.
    void set_service(bool takes_new_work, bool takes_transactions);
    /// What the database may be sent while it is cold.
    void set_cold_allowance(cold_allowance const& allowance);
    void set_limits(connection_limits limits);
    /// Closes connections that are over the limits or idle for too long.
    void trim();
    /// Each transaction ends with its next statement, which is not run.
    void end_transactions();
    /// Ends everything; waiting orders are answered as not run.
    void close();

    std::uint32_t load() const;
    /// Transactions that wait for their next statement.
    std::size_t open_transactions() const;
    connection_counts connections() const;
    std::uint64_t connections_opened() const;

private:
    struct implementation;
    std::shared_ptr<implementation> impl;
};

} // namespace persimmonpoint::engine

#endif // PERSIMMONPOINT_ENGINE_DATABASE_OWNER_HPP_INCLUDED
