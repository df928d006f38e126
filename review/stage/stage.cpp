#include "stage.hpp"

#include <algorithm>
#include <arpa/inet.h>
#include <atomic>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <fcntl.h>
#include <fstream>
#include <iostream>
#include <netinet/tcp.h>
#include <stdexcept>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {

namespace {

using clock = std::chrono::steady_clock;

clock::time_point const started = clock::now();
std::mutex record_mutex;
std::ofstream record_file;

/// As PROTOCOL.md has it: about every 1,200 ms; a row goes after three of them.
constexpr std::int64_t heartbeat_ms = 1200;
constexpr std::int64_t silent_beats = 3;
/// SYSTEM.md: 600 ms a promote.
constexpr milliseconds promote_delay(600);
constexpr char const* service_name = "passcount-db";

std::string take_word(std::string& line) {
    std::size_t const end = std::min(line.find(' '), line.size());
    std::string word = line.substr(0, end);
    line.erase(0, std::min(end + 1, line.size()));
    return word;
}

sockaddr_in loopback(std::uint16_t port) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

/// False if the port is taken.
bool bind_to(int socket, std::uint16_t port) {
    int const yes = 1;
    ::setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof(yes));
    sockaddr_in address = loopback(port);
    return ::bind(socket, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0 &&
           ::listen(socket, 64) == 0;
}

/// A listening socket on a port that no other caller of this function gets. The ports lie
/// below those that the system gives to connections.
int listen_on(std::uint16_t& port) {
    constexpr std::uint16_t first_port = 20000;
    constexpr std::uint16_t ports = 12000;
    static std::atomic<unsigned> next{static_cast<unsigned>(::getpid()) * 37U};
    for (unsigned tries = 0; tries < ports; ++tries) {
        port = static_cast<std::uint16_t>(first_port + next++ % ports);
        int const made = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        if (bind_to(made, port)) {
            return made;
        }
        ::close(made);
    }
    throw std::runtime_error("no port is free");
}

int connect_to(std::uint16_t port) {
    int const made = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address = loopback(port);
    if (::connect(made, reinterpret_cast<sockaddr*>(&address), sizeof(address)) != 0) {
        ::close(made);
        return -1;
    }
    int const yes = 1;
    ::setsockopt(made, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof(yes));
    return made;
}

bool send_all(int socket, std::string const& bytes) {
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        ssize_t const size =
            ::send(socket, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (size <= 0) {
            return false;
        }
        sent += static_cast<std::size_t>(size);
    }
    return true;
}

/// The next line without its end; nothing if the connection ended.
std::optional<std::string> read_line(int socket, std::string& buffer) {
    for (;;) {
        std::size_t const end = buffer.find("\r\n");
        if (end != std::string::npos) {
            std::string line = buffer.substr(0, end);
            buffer.erase(0, end + 2);
            return line;
        }
        char bytes[4096];
        ssize_t const size = ::recv(socket, bytes, sizeof(bytes), 0);
        if (size <= 0) {
            return std::nullopt;
        }
        buffer.append(bytes, static_cast<std::size_t>(size));
    }
}

/// The caller's name in an id of the form NAME-NUMBER.
std::string caller_in(std::string const& id) {
    return id.substr(0, id.find('-'));
}

} // namespace

void open_record(std::string const& path) {
    record_file.open(path, std::ios::trunc);
}

void record(std::string const& line) {
    std::lock_guard const lock(record_mutex);
    char time[32];
    std::snprintf(time, sizeof(time), "%8.3f ", static_cast<double>(now_ms()) / 1000.0);
    record_file << time << line << '\n' << std::flush;
}

std::int64_t now_ms() {
    return std::chrono::duration_cast<milliseconds>(clock::now() - started).count();
}

void sleep_ms(std::int64_t ms) {
    std::this_thread::sleep_for(milliseconds(std::max<std::int64_t>(ms, 0)));
}

void sleep_until_ms(std::int64_t at) {
    sleep_ms(at - now_ms());
}

std::uint16_t free_port() {
    std::uint16_t port = 0;
    ::close(listen_on(port));
    return port;
}

bool with_trouble() {
    char const* const given = std::getenv("TROUBLE");
    return given == nullptr || std::string(given) != "0";
}

// Databases

struct database_group::session {
    member* home = nullptr;
    std::uint64_t number = 0;
    std::string team;
    std::map<std::string, std::string> values;
    std::map<std::string, std::string> prepared;
    std::vector<std::string> writes;
    std::string owner; ///< Caller whose statement was the first of the transaction.
    std::uint64_t begun_in = 0;
    bool open = false;
    bool plain = false;
    bool broken = false;
    bool greeted = false;

    void end() {
        this->open = false;
        this->broken = false;
        this->writes.clear();
        this->owner.clear();
    }
};

database_group::database_group(
    std::string name, std::vector<database_plan> const& plans, milliseconds time)
    : service(std::move(name)), work(time) {
    for (database_plan const& each : plans) {
        auto made = std::make_unique<member>();
        made->id = each.id;
        made->listener = listen_on(made->port);
        member& on = *made;
        this->primary = this->primary != nullptr ? this->primary : made.get();
        this->members.emplace(each.id, std::move(made));
        std::thread([this, &on] { this->accept(on); }).detach();
    }
}

std::uint16_t database_group::port(std::string const& id) {
    return this->members.at(id)->port;
}

std::string database_group::leader() {
    std::lock_guard const lock(this->mutex);
    return this->primary->id;
}

std::uint64_t database_group::term() {
    std::lock_guard const lock(this->mutex);
    return this->current_term;
}

bool database_group::promote(std::string const& id, milliseconds delay) {
    {
        std::lock_guard const lock(this->mutex);
        auto const found = this->members.find(id);
        if (found == this->members.end() || !found->second->alive) {
            return false;
        }
        if (this->primary == found->second.get()) {
            return true;
        }
    }
    std::thread([this, id, delay] {
        std::this_thread::sleep_for(delay);
        std::lock_guard const lock(this->mutex);
        member& next = *this->members.at(id);
        if (!next.alive || this->primary == &next) {
            return;
        }
        std::set<std::string> has;
        for (auto const& each : next.log) {
            has.insert(each->writes.begin(), each->writes.end());
        }
        for (std::string const& each : this->acked) {
            if (has.count(each) == 0) {
                this->lost_writes.push_back(each);
            }
        }
        ++this->current_term;
        this->primary = &next;
        next.held_term = 0;
        next.log_term = this->current_term;
        record(
            "database " + id + " leads term " + std::to_string(this->current_term) +
            " with " + std::to_string(next.log.size()) + " log entries; lacks " +
            std::to_string(this->lost_writes.size()) + " acknowledged writes");
        this->deliver();
        this->changed.notify_all();
    }).detach();
    return true;
}

void database_group::kill(std::string const& id) {
    std::lock_guard const lock(this->mutex);
    member& victim = *this->members.at(id);
    victim.alive = false;
    ::shutdown(victim.listener, SHUT_RDWR);
    ::close(victim.listener);
    for (int const each : victim.sockets) {
        linger const reset{1, 0};
        ::setsockopt(each, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
        ::shutdown(each, SHUT_RDWR);
    }
    this->changed.notify_all();
}

void database_group::set_deaf(std::string const& id, bool deaf) {
    std::lock_guard const lock(this->mutex);
    this->members.at(id)->deaf = deaf;
    this->deliver();
}

std::vector<std::string> database_group::acknowledged() {
    std::lock_guard const lock(this->mutex);
    return this->acked;
}

std::vector<std::string> database_group::log_of(std::string const& id) {
    std::lock_guard const lock(this->mutex);
    std::vector<std::string> all;
    for (auto const& each : this->members.at(id)->log) {
        all.insert(all.end(), each->writes.begin(), each->writes.end());
    }
    return all;
}

std::vector<database_event> database_group::events() {
    std::lock_guard const lock(this->mutex);
    return this->seen;
}

std::vector<std::string> database_group::lost() {
    std::lock_guard const lock(this->mutex);
    return this->lost_writes;
}

std::vector<std::string> database_group::foreign() {
    std::lock_guard const lock(this->mutex);
    return this->foreign_runs;
}

/// Replicas that receive get what they lack; commits that one has can be answered.
void database_group::deliver() {
    for (auto& each : this->members) {
        member& copy = *each.second;
        bool const receives = &copy != this->primary && copy.alive && !copy.deaf &&
                              copy.held_term == 0 && this->primary->alive;
        if (receives) {
            copy.log = this->primary->log;
            copy.log_term = this->current_term;
        }
    }
    this->changed.notify_all();
}

void database_group::accept(member& on) {
    for (;;) {
        int const socket = ::accept4(on.listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (socket < 0) {
            return;
        }
        int const yes = 1;
        ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof(yes));
        {
            std::lock_guard const lock(this->mutex);
            on.sockets.insert(socket);
        }
        std::thread([this, &on, socket] {
            this->serve(on, socket);
            {
                std::lock_guard const lock(this->mutex);
                on.sockets.erase(socket);
            }
            ::close(socket);
        }).detach();
    }
}

void database_group::serve(member& on, int socket) {
    session made;
    made.home = &on;
    {
        std::lock_guard const lock(this->mutex);
        made.number = ++this->last_connection;
    }
    std::string buffer;
    bool close = false;
    while (!close) {
        auto const line = read_line(socket, buffer);
        if (!line) {
            break;
        }
        std::string const bytes = this->answer(made, *line, close);
        {
            std::lock_guard const lock(this->mutex);
            if (!on.alive) {
                break;
            }
        }
        if (!send_all(socket, bytes)) {
            break;
        }
    }
    if (!made.owner.empty()) {
        record(
            "database " + on.id + " connection " + std::to_string(made.number) +
            " closed; the transaction of " + made.owner + " is rolled back");
    }
}

std::string database_group::answer(session& of, std::string const& line, bool& close) {
    std::string rest = line;
    std::string const word = take_word(rest);
    if (word == "START") {
        std::string const named = take_word(rest);
        of.team = take_word(rest);
        if (named != this->service || (!rest.empty() && rest != of.home->id)) {
            close = true;
            return "ERROR MISROUTED " + of.home->id + "\r\n";
        }
        of.greeted = true;
        std::lock_guard const lock(this->mutex);
        return this->ready(of);
    }
    if (word != "QUERY" || !of.greeted) {
        close = true;
        return {};
    }
    std::string const id = take_word(rest);
    return this->query(of, id, rest);
}

std::string
database_group::query(session& of, std::string const& id, std::string const& text) {
    std::int64_t const received = now_ms();
    std::string result;
    std::size_t place = 0;
    {
        std::unique_lock lock(this->mutex);
        place = this->seen.size();
        this->seen.push_back(
            {received, -1, of.home->id, of.number, id, text, std::string()});
        result = this->run(of, id, text, lock);
        std::string first = result.substr(0, result.find("\r\n"));
        this->seen[place].answered = now_ms();
        this->seen[place].result = first;
    }
    if (id != "-") {
        record(
            "database " + of.home->id + " connection " + std::to_string(of.number) +
            " id " + id + ": " + text + " -> " + result.substr(0, result.find("\r\n")));
    }
    return result;
}

std::string database_group::run(
    session& of,
    std::string const& id,
    std::string const& text,
    std::unique_lock<std::mutex>& lock) {
    std::string rest = text;
    std::string word = take_word(rest);
    if (word == "STATUS" || word == "PAUSE" || word == "RESUME") {
        if (word == "PAUSE" && !this->leads(*of.home)) {
            of.home->held_term = std::stoull(rest);
        } else if (word == "RESUME") {
            of.home->held_term = 0;
            this->deliver();
        }
        record("database " + of.home->id + " " + text);
        return "ROW " + std::string(this->leads(*of.home) ? "primary " : "replica ") +
               std::to_string(this->current_term) + " " +
               std::to_string(of.home->log_term) + "." +
               std::to_string(of.home->log.size()) + " " +
               std::to_string(of.home->held_term) + " 0 0 1\r\n" + this->done(of, "-");
    }
    if (word == "AFTER") {
        std::string floor = take_word(rest);
        std::size_t const dot = floor.find('.');
        std::pair<std::uint64_t, std::uint64_t> const wanted{
            std::stoull(floor.substr(0, dot)), std::stoull(floor.substr(dot + 1))};
        if (std::pair<std::uint64_t, std::uint64_t>{
                of.home->log_term, of.home->log.size()} < wanted) {
            return this->fail(of, "LAGGING");
        }
        word = take_word(rest);
    }
    if (of.broken && word != "ROLLBACK" && word != "COMMIT") {
        return this->fail(of, "MALFORMED");
    }
    if (word == "SET" || word == "PREPARE") {
        std::string const name = take_word(rest);
        (word == "SET" ? of.values : of.prepared)[name] =
            word == "SET" ? rest : take_word(rest);
        return this->done(of, "-");
    }
    if (word == "RESET") {
        of.values.clear();
        of.prepared.clear();
        return this->done(of, "-");
    }
    if (word == "BEGIN") {
        if (rest != "READ" && !this->leads(*of.home)) {
            return this->fail(of, "READONLY");
        }
        of.open = true;
        of.plain = rest != "READ";
        of.begun_in = this->current_term;
        return this->done(of, "-");
    }
    if (word == "ROLLBACK") {
        of.end();
        return this->done(of, "-");
    }
    if (id != "-" && of.open) {
        std::string const from = caller_in(id);
        if (of.owner.empty()) {
            of.owner = from;
        } else if (of.owner != from) {
            this->foreign_runs.push_back(
                "statement " + id + " (" + text + ") of caller " + from +
                " ran inside the transaction of caller " + of.owner + " at " +
                of.home->id + ", connection " + std::to_string(of.number));
        }
    }
    lock.unlock();
    std::this_thread::sleep_for(this->work);
    lock.lock();
    bool const lost_lead = of.open && of.plain &&
                           (!this->leads(*of.home) || of.begun_in != this->current_term);
    if (word == "COMMIT") {
        if (of.broken || (lost_lead && !of.writes.empty())) {
            of.end();
            return this->fail(of, of.broken ? "ABORTED" : "READONLY");
        }
        return this->commit(of, lock);
    }
    if (word == "EXECUTE") {
        auto const found = of.prepared.find(take_word(rest));
        if (found == of.prepared.end()) {
            of.broken = of.open;
            return this->fail(of, "UNKNOWN");
        }
        word = found->second;
    }
    if (lost_lead || (word == "WRITE" && !this->leads(*of.home))) {
        of.broken = of.open;
        return this->fail(of, "READONLY");
    }
    std::string const item = take_word(rest);
    if (word == "READ") {
        std::string data = "-";
        auto const look = [&](std::string const& write) {
            if (write.rfind(item + "=", 0) == 0) {
                data = write.substr(item.size() + 1);
            }
        };
        for (auto const& each : of.home->log) {
            std::for_each(each->writes.begin(), each->writes.end(), look);
        }
        std::for_each(of.writes.begin(), of.writes.end(), look);
        return "ROW " + data + "\r\n" +
               this->done(of, "sig." + std::to_string(++this->last_signature));
    }
    of.writes.push_back(item + "=" + rest);
    if (of.open) {
        return this->done(of, "sig." + std::to_string(++this->last_signature));
    }
    return this->commit(of, lock);
}

std::string database_group::commit(session& of, std::unique_lock<std::mutex>& lock) {
    std::vector<std::string> const writes = of.writes;
    of.end();
    if (!writes.empty()) {
        auto const made = std::make_shared<entry>();
        made->number = this->primary->log.size() + 1;
        made->writes = writes;
        this->primary->log.push_back(made);
        std::uint64_t const in = this->current_term;
        this->deliver();
        auto const received = [this, &made] {
            return std::any_of(
                this->members.begin(), this->members.end(), [&](auto const& each) {
                    auto const& log = each.second->log;
                    return each.second.get() != this->primary &&
                           log.size() >= made->number && log[made->number - 1] == made;
                });
        };
        this->changed.wait(lock, [&] {
            return received() || !of.home->alive || this->current_term != in;
        });
        if (this->current_term != in || !of.home->alive) {
            // The connection is closed without an answer.
            return {};
        }
        this->acked.insert(this->acked.end(), writes.begin(), writes.end());
    }
    return this->done(of, "sig." + std::to_string(++this->last_signature));
}

std::string database_group::ready(session const& of) {
    return std::string("READY ") +
           (of.broken ? "E"
            : of.open ? "T"
                      : "I") +
           " " + std::to_string(of.home->log_term) + "." +
           std::to_string(of.home->log.size()) + "\r\n";
}

std::string database_group::done(session const& of, std::string const& signature) {
    return "COMPLETE " + signature + "\r\n" + this->ready(of);
}

std::string database_group::fail(session const& of, std::string const& code) {
    return "ERROR " + code + " " + of.home->id + "\r\n" + this->ready(of);
}

// Callers

std::string reply::text() const {
    if (this->closed) {
        return "connection ended without an answer";
    }
    std::string out;
    for (std::string const& each : this->rows) {
        out += "ROW " + each + " / ";
    }
    out += this->error.empty() ? "COMPLETE " + this->signature : "ERROR " + this->error;
    return out + " / READY " + this->state;
}

caller::caller(std::string given, std::uint16_t port)
    : name(std::move(given)), socket(connect_to(port)) {}

caller::~caller() {
    this->close();
}

void caller::close() {
    if (this->socket >= 0) {
        ::close(this->socket);
        this->socket = -1;
    }
}

reply caller::start(std::string const& database, std::string const& key) {
    return this->exchange("START " + database + " " + key + "\r\n", "START " + database);
}

reply caller::query(std::string const& text) {
    std::string const id = this->name + "-" + std::to_string(++this->number);
    reply out = this->exchange("QUERY " + id + " " + text + "\r\n", text);
    out.id = id;
    return out;
}

reply caller::exchange(std::string const& line, std::string const& what) {
    reply out;
    out.sent = now_ms();
    out.closed = this->socket < 0 || !send_all(this->socket, line);
    while (!out.closed) {
        auto got = read_line(this->socket, this->buffer);
        if (!got) {
            out.closed = true;
            break;
        }
        std::string rest = *got;
        std::string const word = take_word(rest);
        if (word == "ROW") {
            out.rows.push_back(rest);
        } else if (word == "COMPLETE") {
            out.signature = rest;
        } else if (word == "ERROR") {
            out.error = rest;
        } else if (word == "READY") {
            out.state = rest.substr(0, 1);
            break;
        }
    }
    out.answered = now_ms();
    record(
        "caller " + this->name + ": " + what + " (sent " +
        std::to_string(out.answered - out.sent) + " ms before) -> " + out.text());
    return out;
}

// The deployment

stage::stage(stage_plan given)
    : plan(std::move(given)), keep(boost::asio::make_work_guard(this->loop)) {
    ::signal(SIGPIPE, SIG_IGN);
    char folder[] = "/tmp/review-XXXXXX";
    if (::mkdtemp(folder) == nullptr) {
        throw std::runtime_error("no temporary folder");
    }
    this->directory = folder;
    this->group = std::make_unique<database_group>(
        service_name, this->plan.databases, this->plan.work);
    this->store = std::make_unique<persimmonpoint::standin::row_store>(
        this->loop,
        [this](std::string const&, std::string const& id, std::uint64_t token) {
            bool const taken = this->group->promote(id, promote_delay);
            this->accepted += taken ? 1 : 0;
            record(
                "platform: promote " + id + " with token " + std::to_string(token) +
                " -> " + (taken ? "200" : "409"));
            return taken ? 200U : 409U;
        });
    for (database_plan const& each : this->plan.databases) {
        this->heartbeats[each.id].zone = each.zone;
    }
    this->configure();
    this->thread = std::thread([this] { this->loop.run(); });
    this->beats = std::thread([this] {
        while (!this->stopping) {
            this->beat_databases();
            this->on_loop([this] { this->watch_readings(); });
            sleep_ms(2);
        }
    });
    for (host_plan const& each : this->plan.hosts) {
        this->hosts.push_back({each, free_port(), free_port(), free_port(), free_port()});
    }
    for (std::size_t i = 0; i < this->hosts.size(); ++i) {
        this->start_host(i);
    }
}

stage::~stage() {
    for (host& each : this->hosts) {
        if (each.process > 0) {
            ::kill(each.process, SIGKILL);
            ::waitpid(each.process, nullptr, 0);
        }
    }
    this->stopping = true;
    this->beats.join();
    this->loop.stop();
    this->thread.join();
}

void stage::on_loop(std::function<void()> const& action) {
    boost::asio::post(this->loop, action);
}

void stage::configure() {
    auto const route = [this](std::string const& database, std::string const& kind) {
        return R"({"name":"r-)" + database + R"(","host":")" + database +
               R"(","prefix":"/","kind":")" + kind + R"(","timeout_ms":)" +
               std::to_string(this->plan.statement_timeout.count()) +
               R"(,"target_latency_ms":)" +
               std::to_string(this->plan.target_latency.count()) +
               R"(,"priority":1,"service":")" + service_name +
               R"(","max_attempts":2,"max_staleness_ms":2500,"allow_anonymous":false})";
    };
    std::string const body =
        R"({"version":7,"routes":[)" + route(primary_route, "primary") + "," +
        route(own_route, "read_own_writes") + R"(],"services":[{"name":")" +
        service_name + R"(","health_check_path":"/health","max_connections":)" +
        std::to_string(this->plan.max_connections) +
        R"(,"protocol":"h1","tls":false,"sync_replicas":1}],)" +
        R"("limits":{"max_header_bytes":16384,"max_body_bytes":262144,)" +
        R"("header_timeout_ms":3000,"idle_timeout_ms":15000,)" +
        R"("transaction_idle_ms":3000},"tenants":[)" +
        R"({"name":"first","api_keys":[")" + key_of_first +
        R"("],"priority":1,"rate_per_s":2000,"burst":2000},)" +
        R"({"name":"second","api_keys":[")" + key_of_second +
        R"("],"priority":1,"rate_per_s":2000,"burst":2000}]})";
    this->on_loop([this, body] { this->store->put("op", "config", body); });
}

void stage::beat_databases() {
    std::lock_guard const lock(this->beat_mutex);
    std::string const leader = this->group->leader();
    for (auto& [id, each] : this->heartbeats) {
        std::int64_t const now = now_ms();
        bool const gone = each.silent && !each.removed &&
                          now - each.last >= silent_beats * heartbeat_ms;
        if (gone) {
            each.removed = true;
            record("store: the row of database " + id + " lapsed");
            this->on_loop([this, id = id] { this->store->remove("servers", id); });
        }
        if (each.silent || now < each.next) {
            continue;
        }
        each.last = now;
        each.next = now + heartbeat_ms + (each.shifted > 0 ? each.shift : 0);
        each.shifted -= each.shifted > 0 ? 1 : 0;
        ++each.sequence;
        std::string const body =
            R"({"service":")" + std::string(service_name) + R"(","address":"127.0.0.1:)" +
            std::to_string(this->group->port(id)) + R"(","zone":")" + each.zone +
            R"(","version":"v1","slots":)" + std::to_string(this->plan.slots) +
            R"(,"state":"ready","cold_remaining_ms":0,"database_role":")" +
            (id == leader ? "primary" : "replica") + R"(","sequence":)" +
            std::to_string(each.sequence) + R"(,"born":1000})";
        this->on_loop([this, id = id, body] { this->store->put("servers", id, body); });
    }
}

void stage::silence(std::string const& id) {
    std::lock_guard const lock(this->beat_mutex);
    this->heartbeats.at(id).silent = true;
}

std::int64_t stage::last_heartbeat(std::string const& id) {
    std::lock_guard const lock(this->beat_mutex);
    return this->heartbeats.at(id).last;
}

void stage::watch_readings() {
    std::size_t const seen = this->store->reads_of("servers");
    std::lock_guard const lock(this->beat_mutex);
    if (seen > this->readings_seen) {
        this->readings.push_back(now_ms());
    }
    this->readings_seen = seen;
}

std::int64_t
stage::align_heartbeats(std::string const& id, std::int64_t before_reading_ms) {
    // How often a host reads the list shows from the readings themselves.
    constexpr std::int64_t shortest_period_ms = 700;
    constexpr std::int64_t longest_period_ms = 1000;
    constexpr std::int64_t tolerance_ms = 6;
    constexpr unsigned intervals = 8;
    std::lock_guard const lock(this->beat_mutex);
    std::int64_t period = 0;
    std::int64_t reading = 0;
    for (std::size_t i = 0; i < this->readings.size(); ++i) {
        for (std::size_t j = 0; j < i; ++j) {
            std::int64_t const gap = this->readings[i] - this->readings[j];
            bool const twice = std::any_of(
                this->readings.begin(), this->readings.end(), [&](std::int64_t third) {
                    return std::abs(third + gap - this->readings[j]) <= tolerance_ms;
                });
            if (gap >= shortest_period_ms && gap <= longest_period_ms && twice) {
                period = gap;
                reading = this->readings[i];
            }
        }
    }
    beat& of = this->heartbeats.at(id);
    if (period == 0) {
        return of.next;
    }
    std::int64_t const last = of.next + intervals * heartbeat_ms;
    std::int64_t const lapses = last + silent_beats * heartbeat_ms;
    std::int64_t const off = (reading - before_reading_ms - lapses) % period;
    std::int64_t const shift = (off + period) % period;
    of.shift = shift / intervals;
    of.shifted = intervals;
    record(
        "a host reads the list of databases each " + std::to_string(period) +
        " ms; eight heartbeats of " + id + " come " + std::to_string(of.shift) +
        " ms later each");
    return last + of.shift * intervals;
}

std::size_t stage::promotions() const {
    return this->accepted;
}

/// Rendered as deploy/front.toml.template has it.
void stage::write_settings(host const& of) {
    auto const at = [](std::uint16_t port) {
        return "\"127.0.0.1:" + std::to_string(port) + "\"\n";
    };
    std::string seeds;
    for (std::size_t i = 0; i < std::min<std::size_t>(this->hosts.size(), 3); ++i) {
        seeds +=
            (i > 0 ? ",127.0.0.1:" : "127.0.0.1:") + std::to_string(this->hosts[i].peers);
    }
    std::string const path = this->directory + "/" + of.plan.name + ".toml";
    std::ofstream(path + ".new")
        << "[host]\nname = \"" << of.plan.name << "\"\navailability_zone = \""
        << of.plan.zone << "\"\n\n[listen]\ncallers = " << at(of.callers)
        << "readiness = " << at(of.readiness) << "peers = " << at(of.peers)
        << "metrics = " << at(of.metrics)
        << "\n[platform]\nstore = " << at(this->store->port())
        << "promotion = " << at(this->store->port()) << "\n[peers]\nseeds = \"" << seeds
        << "\"\n\n[limits]\nin_force_within = \"3000ms\"\nquota_window = \"5s\"\n"
           "quota_overrun = \"0.1\"\nquota_slack = \"20\"\n\n[stop]\ngrace = \"6s\"\n";
    std::rename((path + ".new").c_str(), path.c_str());
}

void stage::start_host(std::size_t index) {
    host& of = this->hosts[index];
    this->write_settings(of);
    std::string const path = this->directory + "/" + of.plan.name + ".toml";
    std::string const log = this->directory + "/" + of.plan.name + ".log";
    int const output =
        ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    std::string const variable = "PERSIMMONPOINT_CONFIG=" + path;
    char const* const arguments[] = {"target/src/persimmonpoint", "front", nullptr};
    char const* const environment[] = {variable.c_str(), "PATH=/usr/bin:/bin", nullptr};
    of.process = ::fork();
    if (of.process == 0) {
        // A host doesn't outlive the script, however that ends.
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        ::dup2(output, STDOUT_FILENO);
        ::dup2(output, STDERR_FILENO);
        ::close_range(STDERR_FILENO + 1, ~0U, 0);
        ::execve(
            arguments[0], const_cast<char* const*>(arguments),
            const_cast<char* const*>(environment));
        ::_exit(127);
    }
    ::close(output);
    record("host " + of.plan.name + " started");
}

void stage::send_signal(std::size_t index, int signal) {
    host& of = this->hosts[index];
    record("host " + of.plan.name + " gets signal " + std::to_string(signal));
    ::kill(of.process, signal);
    if (signal == SIGKILL) {
        ::waitpid(of.process, nullptr, 0);
        of.process = -1;
    }
}

bool stage::running(std::size_t index) {
    host& of = this->hosts[index];
    if (of.process > 0 && ::waitpid(of.process, nullptr, WNOHANG) == of.process) {
        of.process = -1;
        record("host " + of.plan.name + " ended");
    }
    return of.process > 0;
}

bool stage::is_ready(std::size_t index) const {
    int const made = connect_to(this->hosts[index].readiness);
    if (made < 0) {
        return false;
    }
    timeval const patience{1, 0};
    ::setsockopt(made, SOL_SOCKET, SO_RCVTIMEO, &patience, sizeof(patience));
    send_all(made, "GET /api/readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
    char bytes[64];
    ssize_t const size = ::recv(made, bytes, sizeof(bytes), 0);
    ::close(made);
    return size > 0 &&
           std::string(bytes, static_cast<std::size_t>(size)).rfind("HTTP/1.1 200", 0) ==
               0;
}

bool stage::wait_ready(std::int64_t patience_ms) {
    std::int64_t const end = now_ms() + patience_ms;
    while (now_ms() < end) {
        bool all = true;
        for (std::size_t i = 0; i < this->hosts.size(); ++i) {
            all = all && this->is_ready(i);
        }
        if (all) {
            return true;
        }
        sleep_ms(50);
    }
    return false;
}

} // namespace review
