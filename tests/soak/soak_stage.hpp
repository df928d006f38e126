#ifndef PERSIMMONPOINT_TESTS_SOAK_SOAK_STAGE_HPP_INCLUDED
#define PERSIMMONPOINT_TESTS_SOAK_SOAK_STAGE_HPP_INCLUDED

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <filesystem>
#include <fstream>
#include <functional>
#include <memory>
#include <persimmonpoint/standin/line_group.hpp>
#include <persimmonpoint/standin/row_store.hpp>
#include <set>
#include <soak/fault_proxy.hpp>
#include <soak/host_process.hpp>
#include <soak/soak_record.hpp>
#include <thread>
#include <utility>

namespace persimmonpoint::tests {

/// The key that may be withdrawn.
inline constexpr char const* passing_key = "key-passing";
inline constexpr char const* lasting_key = "key-lasting";
inline constexpr char const* metered_key = "key-metered";

/// Hosts as processes, the stand-ins of store and databases, and the proxies between.
class soak_stage {
public:
    /// Starts the hosts; wait_ready tells when they serve.
    soak_stage(
        std::filesystem::path program, std::filesystem::path folder, std::size_t hosts);
    ~soak_stage();

    std::size_t host_count() const { return this->hosts.size(); }
    std::size_t database_count() const { return this->databases.size(); }
    std::uint16_t caller_port(std::size_t host) const;

    /// The fault as it is played, with the target that it met.
    planned_fault begin(planned_fault fault);
    /// Heals a fault, unless another of its kind still lasts on the same target.
    void end(planned_fault const& fault);
    /// Everything works again; hosts that are gone are started.
    void heal();
    /// Waits until each host is ready; false if one isn't in time.
    bool wait_ready(std::chrono::milliseconds patience);

    /// Replicas that a PAUSE holds.
    std::vector<std::string> held_replicas();
    /// What the databases saw, and what was withdrawn.
    void collect(soak_evidence& evidence);
    /// Endings of processes that nobody asked for.
    std::vector<std::string> unasked_endings();
    /// What the report's reader can't read of the hosts' logs.
    std::vector<std::string> unreadable_logs() const;

private:
    struct host_slot {
        std::uint16_t callers = 0;
        std::uint16_t readiness = 0;
        std::uint16_t peers = 0;
        std::unique_ptr<fault_proxy> store;
        std::unique_ptr<host_process> process;
        std::atomic<pid_t> process_id{-1}; ///< Of the last one that was started.
        bool ending = false;               ///< Was sent SIGTERM or SIGKILL.
    };
    struct database_slot {
        std::string id;
        std::uint64_t born = 0; ///< Milliseconds of Unix time.
        std::unique_ptr<fault_proxy> proxy;
        std::set<std::size_t> silent_to; ///< Hosts; while it is silent to some.
        bool alive = true;
        bool registered = false;
        bool draining = false;
        bool unheard = false; ///< Since the store was away; it keeps its row or has none.
        bool gone = false;    ///< Has ended for good.
        std::optional<soak_time>
            silent_since{}; ///< Its heartbeats don't reach the store.
    };

    bool lasts(soak_fault kind, std::size_t target) const;
    bool lasts_anywhere(soak_fault kind) const;
    void on_loop(std::function<void()> const& action);
    database_slot make_slot(std::string const& id, std::uint64_t born);
    /// Whose connection has these ports at its ends; the number of hosts if it is
    /// nobody's.
    std::size_t host_at(std::uint16_t near, std::uint16_t far) const;
    /// Numbers of the hosts in the order in which they serve a database.
    std::vector<std::size_t> ranked_hosts(std::string const& database) const;
    void cut_first_hosts(database_slot& slot, std::size_t rank);
    void configure();
    void register_databases();
    void register_database(database_slot& slot);
    void set_silent(database_slot& slot, bool silent);
    void begin_replacement(std::size_t database);
    void end_replacement(std::size_t database);
    /// Its number; it has no row before it is heard.
    std::size_t join_replica();
    void end_departure(database_slot& slot);
    bool is_store_away() const;
    void lose_store();
    /// Rows come back with the databases' next heartbeats.
    void regain_store();
    std::size_t primary_number();
    /// Writes a line to the stage's own log, beside the hosts'; on the loop's thread.
    void note(std::string const& text);
    void write_settings(std::size_t host);
    void start_host(std::size_t host);
    void end_process(std::size_t host, int signal);
    // Each puts a part into the state that the lasting faults give it.
    void refresh_host(std::size_t host);
    void refresh_database(std::size_t database);
    void refresh_store();
    void act_once(planned_fault const& fault);

    std::filesystem::path program;
    std::filesystem::path folder;
    std::ofstream notes;
    boost::asio::io_context loop{1};
    std::thread thread;
    std::unique_ptr<standin::line_group> group;
    std::unique_ptr<standin::row_store> store;
    std::vector<std::unique_ptr<host_slot>> hosts;
    std::vector<database_slot> databases;
    /// By the number of the database that drains.
    std::map<std::size_t, database_slot> successors;
    std::map<std::string, soak_time> withdrawn;
    std::vector<std::string> endings;
    std::uint64_t version = 0;
    std::size_t extra_routes = 0;
    std::multiset<std::pair<soak_fault, std::size_t>> lasting;
    bool store_lost = false;
    bool rows_lapse = false;
    std::chrono::milliseconds heartbeat_phase{0};
};

} // namespace persimmonpoint::tests

#endif // PERSIMMONPOINT_TESTS_SOAK_SOAK_STAGE_HPP_INCLUDED
