#ifndef PERSIMMONPOINT_STANDIN_DATABASE_HPP_INCLUDED
#define PERSIMMONPOINT_STANDIN_DATABASE_HPP_INCLUDED

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <cstdint>
#include <memory>
#include <persimmonpoint/core/routing/log_position.hpp>
#include <persimmonpoint/standin/tables.hpp>
#include <span>
#include <string>
#include <vector>

namespace persimmonpoint::standin {

using milliseconds = std::chrono::milliseconds;
using microseconds = std::chrono::microseconds;

/// How one stand-in database behaves.
struct database_options {
    std::string name;
    std::string address = "127.0.0.1";
    std::uint16_t port = 0; ///< 0: any free port.
    std::string user = "persimmonpoint";
    std::string password = "upstream-secret";
    std::size_t connections = 16;
    std::size_t slots = 2;              ///< Statements that run at the same time.
    microseconds connect_time{0};       ///< Until a new connection is ready.
    microseconds round_trip{0};         ///< Added to each answer.
    microseconds replication_lag{1000}; ///< One way, from a primary to its replicas.
    microseconds service_time{0};       ///< Time that a statement holds a slot.
};

/// One transaction in a database's log.
struct log_entry {
    log_position position;
    std::vector<change> changes;
};

/// Stand-in for one database of a replicated group.
///
/// All members run on the event loop given at construction. Peers live in one process.
class database {
public:
    database(boost::asio::io_context& loop, database_options options);
    ~database();
    database(database const&) = delete;
    database& operator=(database const&) = delete;

    std::uint16_t port() const;
    database_options const& options() const;
    /// The other databases of the group.
    void set_peers(std::vector<database*> peers);
    /// Starts the group's first term with this database as the primary.
    void lead_first_term();

    /// @name Faults
    /// @{
    void die();     ///< Closes everything; the log stays.
    void restart(); ///< Back after die(), with the role it had.
    void set_cut_from_peers(bool cut);
    void set_cut_from_hosts(bool cut); ///< Connections are accepted but never answered.
    void pause(milliseconds length);   ///< Does nothing at all, then goes on.
    void silence_open_connections();   ///< Those open now never answer again.
    void set_replication_lag(microseconds lag);
    void set_service_time(microseconds time);
    /// @}

    /// @name What a test may look at
    /// @{
    bool is_primary() const;
    log_position end_of_log() const;
    std::span<std::shared_ptr<log_entry const> const> log() const;
    std::size_t connection_count() const;
    std::size_t peak_connection_count() const;
    std::size_t open_transaction_count() const;
    table const* find_table(std::string const& name) const;
    /// True if any byte ever received contained the text.
    void watch_for(std::string text);
    bool has_seen_watched_text() const;
    /// @}

    struct implementation; ///< Shared with the sessions of the source file.

private:
    std::shared_ptr<implementation> impl;
};

} // namespace persimmonpoint::standin

#endif // PERSIMMONPOINT_STANDIN_DATABASE_HPP_INCLUDED
