#ifndef PERSIMMONPOINT_REVIEW_STAGE_HPP_INCLUDED
#define PERSIMMONPOINT_REVIEW_STAGE_HPP_INCLUDED

/// What the scripts of the review share: a record, a group of databases that speaks the
/// line protocol of PROTOCOL.md, the store (the project's own stand-in), hosts as
/// processes of their own, and callers.

#include <atomic>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <persimmonpoint/standin/row_store.hpp>
#include <set>
#include <string>
#include <sys/types.h>
#include <thread>
#include <utility>
#include <vector>

namespace review {

using std::chrono::milliseconds;

/// Writes one line with the time since the start to record.txt and standard output.
void record(std::string const& line);
void open_record(std::string const& path);
std::int64_t now_ms();
void sleep_ms(std::int64_t ms);
/// Sleeps until this time since the start.
void sleep_until_ms(std::int64_t at);
std::uint16_t free_port();

struct database_plan {
    std::string id;
    std::string zone;
};

/// A statement that a database ran or refused.
struct database_event {
    std::int64_t received = 0;
    std::int64_t answered = -1;
    std::string database;
    std::uint64_t connection = 0;
    std::string id;
    std::string text;
    std::string result;
};

/// One group of replicated databases. A commit is acknowledged once one replica has it.
class database_group {
public:
    database_group(
        std::string service, std::vector<database_plan> const& plans, milliseconds work);

    std::uint16_t port(std::string const& id);
    std::string leader();
    std::uint64_t term();
    /// Takes effect after the platform's delay. False if it isn't running.
    bool promote(std::string const& id, milliseconds delay);
    void kill(std::string const& id);
    void set_deaf(std::string const& id, bool deaf);
    /// Every acknowledged write as ITEM=DATA, in order.
    std::vector<std::string> acknowledged();
    /// Every write in the log of a database.
    std::vector<std::string> log_of(std::string const& id);
    std::vector<database_event> events();
    /// Acknowledged writes that the promoted database lacked, as it took the lead.
    std::vector<std::string> lost();
    /// Statements that ran in a transaction of another caller.
    std::vector<std::string> foreign();

private:
    struct entry {
        std::uint64_t number = 0;
        std::vector<std::string> writes;
    };
    struct member {
        std::string id;
        std::uint16_t port = 0;
        int listener = -1;
        std::vector<std::shared_ptr<entry>> log;
        std::uint64_t log_term = 1;
        std::uint64_t held_term = 0;
        bool alive = true;
        bool deaf = false;
        std::set<int> sockets;
    };
    struct session;

    void accept(member& on);
    void serve(member& on, int socket);
    std::string answer(session& of, std::string const& line, bool& close);
    std::string query(session& of, std::string const& id, std::string const& text);
    std::string
    run(session& of,
        std::string const& id,
        std::string const& text,
        std::unique_lock<std::mutex>& lock);
    std::string commit(session& of, std::unique_lock<std::mutex>& lock);
    std::string ready(session const& of);
    std::string done(session const& of, std::string const& signature);
    std::string fail(session const& of, std::string const& code);
    void deliver();
    bool leads(member const& one) const { return this->primary == &one; }

    std::string service;
    milliseconds work;
    std::mutex mutex;
    std::condition_variable changed;
    std::map<std::string, std::unique_ptr<member>> members;
    member* primary = nullptr;
    std::uint64_t current_term = 1;
    std::uint64_t last_connection = 0;
    std::uint64_t last_signature = 0;
    std::vector<std::string> acked;
    std::vector<std::string> lost_writes;
    std::vector<std::string> foreign_runs;
    std::vector<database_event> seen;
};

struct reply {
    std::vector<std::string> rows;
    std::string signature;
    std::string error; ///< Code and text; empty after a success.
    std::string state;
    bool closed = false;
    std::int64_t sent = 0;
    std::int64_t answered = 0;
    std::string id;
    bool good() const { return !this->closed && this->error.empty(); }
    std::string text() const;
};

/// A client's session. Ids of its statements are NAME-NUMBER.
class caller {
public:
    caller(std::string name, std::uint16_t port);
    ~caller();
    caller(caller const&) = delete;
    caller& operator=(caller const&) = delete;
    reply start(std::string const& database, std::string const& key);
    reply query(std::string const& text);
    void close();
    std::string const& called() const { return this->name; }

private:
    reply exchange(std::string const& line, std::string const& what);

    std::string name;
    int socket = -1;
    std::string buffer;
    unsigned number = 0;
};

struct host_plan {
    std::string name;
    std::string zone;
};

struct stage_plan {
    std::vector<host_plan> hosts;
    std::vector<database_plan> databases;
    unsigned slots = 2;
    unsigned max_connections = 16;
    milliseconds work{5};
    milliseconds statement_timeout{800};
    milliseconds target_latency{200};
};

/// The whole deployment.
class stage {
public:
    /// `folder` takes record.txt and, below a temporary folder, settings and logs.
    explicit stage(stage_plan plan);
    ~stage();
    stage(stage const&) = delete;
    stage& operator=(stage const&) = delete;

    database_group& databases() { return *this->group; }
    bool wait_ready(std::int64_t patience_ms);
    bool is_ready(std::size_t host) const;
    std::uint16_t port(std::size_t host) const { return this->hosts[host].callers; }
    void start_host(std::size_t host);
    void send_signal(std::size_t host, int signal);
    bool running(std::size_t host);
    /// Stops the heartbeats of a database. Its row goes after three intervals of silence.
    void silence(std::string const& id);
    std::int64_t last_heartbeat(std::string const& id);
    /// Lengthens a few intervals between heartbeats, each by less than a tenth, so that
    /// the row would lapse so long before a host's reading of the list if the last of
    /// these were the last of all. Returns when that one is due.
    std::int64_t align_heartbeats(std::string const& id, std::int64_t before_reading_ms);
    /// Promotions that the platform accepted.
    std::size_t promotions() const;
    std::string const& folder() const { return this->directory; }

private:
    struct host {
        host_plan plan;
        std::uint16_t callers = 0;
        std::uint16_t readiness = 0;
        std::uint16_t peers = 0;
        std::uint16_t metrics = 0;
        pid_t process = -1;
    };
    struct beat {
        std::string zone;
        std::int64_t next = 0;
        std::int64_t last = 0;
        std::int64_t shift = 0; ///< Of each of the next intervals.
        unsigned shifted = 0;   ///< How many these are.
        std::uint64_t sequence = 0;
        bool silent = false;
        bool removed = false;
    };
    void on_loop(std::function<void()> const& action);
    void configure();
    void beat_databases();
    void write_settings(host const& of);
    void watch_readings();

    stage_plan plan;
    std::string directory;
    boost::asio::io_context loop{1};
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> keep;
    std::unique_ptr<database_group> group;
    std::unique_ptr<persimmonpoint::standin::row_store> store;
    std::thread thread;
    std::thread beats;
    std::mutex beat_mutex;
    std::map<std::string, beat> heartbeats;
    std::vector<std::int64_t> readings; ///< Of the list of databases.
    std::size_t readings_seen = 0;
    std::atomic<bool> stopping{false};
    std::atomic<std::size_t> accepted{0};
    std::vector<host> hosts;
};

/// False if the variable TROUBLE is 0.
bool with_trouble();
/// Keys and the database names of the routes that the configuration has.
inline constexpr char const* key_of_first = "key-first";
inline constexpr char const* key_of_second = "key-second";
inline constexpr char const* primary_route = "alerts";
inline constexpr char const* own_route = "tallies";

} // namespace review

#endif // PERSIMMONPOINT_REVIEW_STAGE_HPP_INCLUDED
