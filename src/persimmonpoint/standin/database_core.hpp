#ifndef PERSIMMONPOINT_STANDIN_DATABASE_CORE_HPP_INCLUDED
#define PERSIMMONPOINT_STANDIN_DATABASE_CORE_HPP_INCLUDED

/// Inside of the stand-in database: log, terms, replication, and its sessions.

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <functional>
#include <map>
#include <persimmonpoint/standin/database.hpp>
#include <set>
#include <unordered_map>

namespace persimmonpoint::standin {

class session;

/// A statement text parsed once.
using parsed_text = std::shared_ptr<result<std::vector<sql_statement>> const>;

struct database::implementation : std::enable_shared_from_this<database::implementation>,
                                  system_catalog {
    implementation(boost::asio::io_context& loop, database_options options);

    void listen();
    void accept();
    void schedule_heartbeat();

    parsed_text parse(std::string const& text);
    std::shared_ptr<table const> system_table(std::string const& name) override;
    std::shared_ptr<table const> group_state();
    std::optional<result<value>>
    call(std::string const& function, std::span<value const> arguments) override;

    /// Appends the changes as one transaction. False if this is not a primary any more.
    bool commit(open_changes& changes);
    void append(std::vector<change> changes);
    void truncate_to(std::size_t length);
    log_position end_of_log() const;

    void replicate();
    void deliver_to(implementation& peer);
    void receive(implementation const& from);
    bool reaches(implementation const& peer) const;
    bool grant_term(std::uint64_t wanted, std::string const& candidate);
    void step_down();

    /// Runs the job when one of the slots is free, after the service time.
    void with_slot(std::function<void()> job);
    void slot_freed();
    /// Runs the job once another transaction has released its rows.
    void wait_for_release(std::function<void()> job);
    void released(std::uint64_t owner);

    /// Runs the job now, or at the end of a pause.
    void when_running(std::function<void()> job);

    boost::asio::io_context& loop;
    database_options options;
    boost::asio::ip::tcp::acceptor acceptor;
    boost::asio::steady_timer heartbeat;
    boost::asio::steady_timer replication;
    boost::asio::steady_timer pause_end;
    std::vector<implementation*> peers;

    bool primary = false;
    std::uint64_t term = 0;
    std::string voted_for;
    std::vector<std::shared_ptr<log_entry const>> log;
    table_set tables;
    row_locks locks;
    std::shared_ptr<table> state_table;
    std::chrono::steady_clock::time_point heard_from_primary;

    bool dead = false;
    bool cut_from_peers = false;
    bool cut_from_hosts = false;
    bool paused = false;
    bool replication_due = false;
    std::vector<std::function<void()>> held_jobs;

    std::uint64_t next_session_id = 1;
    std::set<std::shared_ptr<session>> sessions;
    std::size_t peak_connections = 0;
    std::size_t busy_slots = 0;
    std::deque<std::function<void()>> slot_queue;
    std::deque<std::function<void()>> release_queue;
    std::unordered_map<std::string, parsed_text> parsed;
    std::string watched_text;
    bool watched_seen = false;
};

} // namespace persimmonpoint::standin

#endif // PERSIMMONPOINT_STANDIN_DATABASE_CORE_HPP_INCLUDED
