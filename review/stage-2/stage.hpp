#ifndef PERSIMMONPOINT_REVIEW_STAGE_HPP_INCLUDED
#define PERSIMMONPOINT_REVIEW_STAGE_HPP_INCLUDED

/// Stand-ins for the scripts of the second review: the store, the platform's promotion
/// call and the databases, and the project's own program as processes.

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <sys/types.h>
#include <thread>
#include <vector>

namespace review {

using std::chrono::milliseconds;

/// Lines of record.txt, each with the milliseconds since the start.
class record {
public:
    explicit record(std::filesystem::path const& file);
    void write(std::string const& line);
    double now_ms() const;

private:
    std::mutex mutex;
    std::ofstream out;
    std::chrono::steady_clock::time_point began = std::chrono::steady_clock::now();
};

/// Set from the environment: false for TROUBLE=0.
bool with_trouble();

std::uint16_t free_port();
/// Negative if it can't connect.
int connect_to(std::uint16_t port);
void sleep_for(milliseconds time);

/// One service: a primary and replicas. A commit is acknowledged once a replica has
/// received it. They speak the wire of the users' PROTOCOL page.
class service {
public:
    struct options {
        std::string name;
        std::size_t databases = 3;
        std::size_t slots = 2;
        std::size_t max_connections = 16;
        milliseconds work{4};
        milliseconds promotion_time{600};
        std::vector<std::string> zones;
    };
    /// A statement as a database was sent it.
    struct sent_statement {
        std::string id;
        std::string text; ///< As it came.
        std::string database;
        bool in_transaction = false; ///< One was open on the connection.
    };
    service(options given, record& log);
    ~service();

    std::string const& name() const { return this->given.name; }
    std::vector<std::string> ids() const;
    std::string entry(std::string const& id, std::uint64_t sequence) const;
    std::string primary() const;
    /// Status of the platform's answer. The database leads `promotion_time` later.
    unsigned promote(std::string const& id);
    /// Its process is gone, until it is started again, with its log or without one.
    void crash(std::string const& id);
    void start(std::string const& id, bool with_log);
    bool is_down(std::string const& id) const;
    /// True while it receives nothing after a PAUSE.
    bool is_held(std::string const& id) const;
    /// Partitions a database from the others of the service; an empty id ends that.
    void cut_off(std::string const& id);
    /// From now on the present primary runs what it is sent, but this share of its
    /// answers to QUERY is lost; its connections stay. 0 ends that.
    void lose_answers(double share);
    std::size_t times_written(std::string const& item, std::string const& data) const;
    /// Statements that carry another id than a dash, in order.
    std::vector<sent_statement> statements() const;

private:
    struct database;
    struct session;
    void accept(database& on);
    void serve(database& on, int socket);
    /// What is sent for a line; nothing if the session ends.
    std::optional<std::string> answer(database& on, session& of, std::string_view line);
    bool loses_answer(database const& on, std::string_view line);
    std::string
    query(database& on, session& of, std::string_view id, std::string_view text);
    std::string position(database const& on) const;
    std::string ready(database const& on, session const& of) const;
    void take_slot(database& on);
    database& at(std::string const& id) const;
    bool leads(database const& on) const;
    /// Brings each replica that receives up to the primary's log.
    void deliver();
    bool is_received(std::uint64_t commit) const;
    /// Adds to the log and waits for a replica; false if the lead was lost meanwhile.
    bool commit(
        std::unique_lock<std::mutex>& lock,
        database& on,
        std::vector<std::pair<std::string, std::string>> changes);
    void lead(std::string const& id);

    options given;
    record& log;
    mutable std::mutex mutex;
    std::vector<std::unique_ptr<database>> databases;
    std::condition_variable changed;
    std::string leader;
    std::string isolated;
    std::string loses_answers; ///< Id.
    double lost_share = 0;
    std::mt19937 chance{1};
    bool stopped = false; ///< The primary was demoted, and nobody leads yet.
    std::uint64_t term = 1;
    /// The primary's log: each commit's changes.
    std::vector<std::vector<std::pair<std::string, std::string>>> log_entries;
    std::uint64_t signatures = 0;
    std::vector<sent_statement> received_statements;
    std::vector<std::thread> promotions;
    std::atomic<bool> stopping{false};
};

struct fleet_options {
    std::size_t hosts = 3;
    std::size_t services = 3;
    std::size_t databases = 3;
    std::size_t teams = 8;
    std::size_t slots = 2;
    std::size_t max_connections = 16;
    std::vector<std::string> zones = {"caroni-a", "ortoire-b", "arima-c"};
    int memory_mb = 260;
    double rate_per_s = 400;
    double burst = 400;
    milliseconds work{4};
};

/// A small deployment: the stand-ins, and hosts as processes of the deploy file's
/// command.
class fleet {
public:
    fleet(fleet_options options, record& log);
    ~fleet();

    struct host {
        std::string name;
        std::string zone;
        std::uint16_t callers = 0;
        std::uint16_t readiness = 0;
        std::uint16_t peers = 0;
        std::uint16_t metrics = 0;
        std::filesystem::path settings;
        pid_t process = -1;
        std::size_t peak_mb = 0;
        std::size_t kills = 0; ///< By the platform, for its memory.
        std::size_t ends = 0;  ///< By itself.
    };
    std::vector<host>& hosts() { return this->all; }
    /// From now on each second call for a promotion, the next one first, gets no answer
    /// and is carried out this much later.
    void delay_promotions(milliseconds delay);
    /// Calls for promotions that have arrived, answered or not.
    std::size_t promotion_calls() const;
    service& service_at(std::size_t index) { return *this->services.at(index); }
    /// The database name of a route: kinds are primary, bounded and own.
    static std::string route(std::size_t service, std::string const& kind);
    static std::string key(std::size_t team);

    void start(host& which);
    void stop(host& which);
    /// True once the host answers its readiness probe with 200.
    bool is_ready(host const& which) const;
    bool wait_until_all_ready(milliseconds patience);
    /// Memory that the process has now, in MiB.
    std::size_t memory_mb(host const& which) const;
    /// As the platform does: a process above the limit is killed, and started again
    /// behind a short delay; one that ended by itself, too. True if a process ended.
    bool enforce_memory();

private:
    void write_configuration();
    void beat();
    void write_settings(host& which);

    struct store;
    fleet_options given;
    record& log;
    std::filesystem::path folder;
    std::unique_ptr<store> rows;
    std::vector<std::unique_ptr<service>> services;
    std::vector<host> all;
    std::atomic<bool> stopping{false};
    std::thread heart;
};

/// A client session that waits for each answer.
class client {
public:
    struct reply {
        bool closed = false;
        std::string error; ///< The code; empty for success.
        std::string signature;
        std::string state;
        std::vector<std::string> rows;
        bool good() const { return !this->closed && this->error.empty(); }
    };
    client(std::uint16_t port, std::string id_prefix, milliseconds patience);
    ~client();
    client(client const&) = delete;
    client& operator=(client const&) = delete;

    reply start(std::string const& database, std::string const& key);
    reply query(std::string const& text);
    std::string const& last_id() const { return this->id; }
    /// Sends bytes and waits for nothing. False if they could not all be sent.
    bool send(std::string_view bytes);
    /// Takes what has arrived and throws it away; the number of bytes, or -1 at the end.
    long drain();

private:
    reply read();
    std::optional<std::string> line();

    int socket = -1;
    std::string prefix;
    std::string id;
    std::uint64_t number = 0;
    std::string buffer;
};

} // namespace review

#endif // PERSIMMONPOINT_REVIEW_STAGE_HPP_INCLUDED
