#include "stage.hpp"

#include <arpa/inet.h>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <condition_variable>
#include <csignal>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <future>
#include <iomanip>
#include <netinet/tcp.h>
#include <persimmonpoint/standin/row_store.hpp>
#include <poll.h>
#include <spawn.h>
#include <sstream>
#include <stdexcept>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>
#include <utility>

namespace review {

namespace {

constexpr std::size_t most_message = 1024 * 1024;

sockaddr_in loopback(std::uint16_t port) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(port);
    return address;
}

std::string address_of(std::uint16_t port) {
    return "127.0.0.1:" + std::to_string(port);
}

std::string_view take_word(std::string_view& rest) {
    std::size_t const end = std::min(rest.find(' '), rest.size());
    std::string_view const word = rest.substr(0, end);
    rest.remove_prefix(std::min(end + 1, rest.size()));
    return word;
}

bool send_all(int socket, std::string_view bytes) {
    while (!bytes.empty()) {
        ssize_t const sent = ::send(socket, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (sent <= 0) {
            return false;
        }
        bytes.remove_prefix(static_cast<std::size_t>(sent));
    }
    return true;
}

/// The parent's descriptors aren't the program's.
int closed_on_exec(int descriptor) {
    if (descriptor >= 0) {
        ::fcntl(descriptor, F_SETFD, FD_CLOEXEC);
    }
    return descriptor;
}

int listen_on(std::uint16_t& port) {
    int const socket = closed_on_exec(::socket(AF_INET, SOCK_STREAM, 0));
    int const on = 1;
    ::setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    sockaddr_in address = loopback(port);
    socklen_t size = sizeof(address);
    ::bind(socket, reinterpret_cast<sockaddr*>(&address), size);
    ::listen(socket, 512);
    ::getsockname(socket, reinterpret_cast<sockaddr*>(&address), &size);
    port = ntohs(address.sin_port);
    return socket;
}

} // namespace

record::record(std::filesystem::path const& file) : out(file) {}

double record::now_ms() const {
    return std::chrono::duration<double, std::milli>(
               std::chrono::steady_clock::now() - this->began)
        .count();
}

void record::write(std::string const& line) {
    std::lock_guard const lock(this->mutex);
    this->out << std::fixed << std::setprecision(1) << std::setw(10) << this->now_ms()
              << " " << line << "\n";
    this->out.flush();
}

bool with_trouble() {
    char const* const value = std::getenv("TROUBLE");
    return value == nullptr || std::string_view(value) != "0";
}

std::uint16_t free_port() {
    // Below the range that the kernel takes for connections, so that a host finds its own
    // ports free again when it starts anew.
    static unsigned next = static_cast<unsigned>(::getpid()) * 97;
    for (unsigned tries = 0; tries < 20000; ++tries) {
        auto const port = static_cast<std::uint16_t>(10000 + next++ % 20000);
        int const socket = ::socket(AF_INET, SOCK_STREAM, 0);
        sockaddr_in const address = loopback(port);
        int const failed =
            ::bind(socket, reinterpret_cast<sockaddr const*>(&address), sizeof(address));
        ::close(socket);
        if (failed == 0) {
            return port;
        }
    }
    throw std::runtime_error("no port is free");
}

int connect_to(std::uint16_t port) {
    int const socket = closed_on_exec(::socket(AF_INET, SOCK_STREAM, 0));
    sockaddr_in const address = loopback(port);
    if (::connect(socket, reinterpret_cast<sockaddr const*>(&address), sizeof(address)) !=
        0) {
        ::close(socket);
        return -1;
    }
    int const on = 1;
    ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    return socket;
}

void sleep_for(milliseconds time) {
    std::this_thread::sleep_for(time);
}

// The databases

struct service::database {
    std::string id;
    std::string zone;
    std::uint16_t port = 0;
    std::atomic<int> listener = -1;
    std::atomic<bool> down = false;
    std::uint64_t born = 1774494050000; ///< Differs in each run of its process.
    std::thread acceptor;
    std::size_t connections = 0;
    std::set<int> sockets;
    std::vector<std::thread> sessions;
    std::size_t busy = 0;
    std::condition_variable slot_free;
    std::uint64_t received = 0; ///< Commits in its log.
    std::uint64_t log_term = 1;
    std::uint64_t held_term = 0;
};

struct service::session {
    bool started = false;
    std::string team;
    bool open = false;
    bool plain = false;
    bool failed = false;
    std::vector<std::pair<std::string, std::string>> writes;
    std::map<std::string, std::string> values;
    std::map<std::string, std::pair<bool, std::string>> prepared;
};

service::service(options wanted, record& log) : given(std::move(wanted)), log(log) {
    for (std::size_t i = 0; i < this->given.databases; ++i) {
        auto made = std::make_unique<database>();
        made->id = "i-" + this->given.name + "-" + std::to_string(i);
        made->zone = this->given.zones[i % this->given.zones.size()];
        made->listener = listen_on(made->port);
        this->databases.push_back(std::move(made));
    }
    this->leader = this->databases.front()->id;
    for (auto& each : this->databases) {
        each->acceptor = std::thread([this, &on = *each] { this->accept(on); });
    }
}

service::~service() {
    {
        std::lock_guard const lock(this->mutex);
        this->stopping = true;
    }
    this->changed.notify_all();
    for (std::thread& each : this->promotions) {
        each.join();
    }
    for (auto& each : this->databases) {
        ::shutdown(each->listener, SHUT_RDWR);
        each->acceptor.join();
        ::close(each->listener);
        {
            std::lock_guard const lock(this->mutex);
            for (int const socket : each->sockets) {
                ::shutdown(socket, SHUT_RDWR);
            }
        }
        for (std::thread& session : each->sessions) {
            session.join();
        }
    }
}

std::vector<std::string> service::ids() const {
    std::vector<std::string> out;
    for (auto const& each : this->databases) {
        out.push_back(each->id);
    }
    return out;
}

std::string service::entry(std::string const& id, std::uint64_t sequence) const {
    std::lock_guard const lock(this->mutex);
    std::ostringstream out;
    for (auto const& each : this->databases) {
        if (each->id == id) {
            out << R"({"service":")" << this->given.name << R"(","address":")"
                << address_of(each->port) << R"(","zone":")" << each->zone
                << R"(","version":"v1","slots":)" << this->given.slots
                << R"(,"state":"ready","cold_remaining_ms":0,"sequence":)" << sequence
                << R"(,"database_role":")" << (id == this->leader ? "primary" : "replica")
                << R"(","born":)" << each->born << "}";
        }
    }
    return out.str();
}

std::string service::primary() const {
    std::lock_guard const lock(this->mutex);
    return this->leader;
}

service::database& service::at(std::string const& id) const {
    for (auto const& each : this->databases) {
        if (each->id == id) {
            return *each;
        }
    }
    throw std::runtime_error("there is no database " + id);
}

bool service::leads(database const& on) const {
    return on.id == this->leader && !this->stopped;
}

unsigned service::promote(std::string const& id) {
    std::lock_guard const lock(this->mutex);
    if (this->at(id).down) {
        return 409;
    }
    if (id == this->leader && !this->stopped) {
        return 200;
    }
    this->promotions.emplace_back([this, id] {
        sleep_for(this->given.promotion_time);
        std::lock_guard const leading(this->mutex);
        this->lead(id);
    });
    return 200;
}

void service::lead(std::string const& id) {
    database& next = this->at(id);
    this->log.write(
        "leads: " + id + " with " + std::to_string(next.received) + " of " +
        std::to_string(this->log_entries.size()) + " commits");
    this->leader = id;
    this->stopped = false;
    ++this->term;
    next.held_term = 0;
    next.log_term = this->term;
    this->log_entries.resize(next.received);
    for (auto& each : this->databases) {
        if (each->received > next.received && each->id != this->isolated) {
            each->received = next.received;
        }
    }
    this->deliver();
    this->changed.notify_all();
}

void service::crash(std::string const& id) {
    std::lock_guard const lock(this->mutex);
    this->log.write("crashes: " + id);
    database& on = this->at(id);
    on.down = true;
    ::shutdown(on.listener, SHUT_RDWR);
    for (int const socket : on.sockets) {
        ::shutdown(socket, SHUT_RDWR);
    }
    this->changed.notify_all();
}

void service::start(std::string const& id, bool with_log) {
    std::lock_guard const lock(this->mutex);
    this->log.write("starts" + std::string(with_log ? "" : " without a log") + ": " + id);
    database& on = this->at(id);
    on.held_term = 0;
    ++on.born;
    if (!with_log) {
        on.received = 0;
        on.log_term = 1;
    }
    ::close(on.listener);
    on.listener = listen_on(on.port);
    on.down = false;
    this->deliver();
    this->changed.notify_all();
}

bool service::is_down(std::string const& id) const {
    std::lock_guard const lock(this->mutex);
    return this->at(id).down;
}

bool service::is_held(std::string const& id) const {
    std::lock_guard const lock(this->mutex);
    return this->at(id).held_term > 0;
}

void service::cut_off(std::string const& id) {
    std::lock_guard const lock(this->mutex);
    this->log.write(
        id.empty() ? "the cut is over" : "cut from the other databases: " + id);
    this->isolated = id;
    this->deliver();
    this->changed.notify_all();
}

void service::deliver() {
    database const& primary = this->at(this->leader);
    for (auto& each : this->databases) {
        bool const receives = !each->down && !primary.down && each->id != this->leader &&
                              each->held_term == 0 && each->id != this->isolated &&
                              this->leader != this->isolated && !this->stopped;
        if (receives) {
            each->received = primary.received;
            each->log_term = this->term;
        }
    }
}

bool service::is_received(std::uint64_t number) const {
    for (auto const& each : this->databases) {
        bool const has = each->id != this->leader && each->id != this->isolated &&
                         each->log_term == this->term && each->received >= number;
        if (has) {
            return true;
        }
    }
    return false;
}

bool service::commit(
    std::unique_lock<std::mutex>& lock,
    database& on,
    std::vector<std::pair<std::string, std::string>> changes) {
    std::uint64_t const own_term = this->term;
    this->log_entries.push_back(std::move(changes));
    std::uint64_t const number = ++on.received;
    this->deliver();
    this->changed.wait(lock, [&] {
        return this->stopping || this->term != own_term ||
               (!this->stopped && this->is_received(number));
    });
    return this->term == own_term;
}

std::vector<service::sent_statement> service::statements() const {
    std::lock_guard const lock(this->mutex);
    return this->received_statements;
}

std::size_t
service::times_written(std::string const& item, std::string const& data) const {
    std::lock_guard const lock(this->mutex);
    std::size_t count = 0;
    for (auto const& entry : this->log_entries) {
        for (auto const& each : entry) {
            count += each.first == item && each.second == data ? 1 : 0;
        }
    }
    return count;
}

void service::accept(database& on) {
    while (!this->stopping) {
        int const socket =
            on.down ? -1 : closed_on_exec(::accept(on.listener, nullptr, nullptr));
        if (socket < 0) {
            sleep_for(milliseconds(1));
            continue;
        }
        int const no_delay = 1;
        ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &no_delay, sizeof(no_delay));
        std::lock_guard const lock(this->mutex);
        on.sockets.insert(socket);
        on.sessions.emplace_back([this, &on, socket] { this->serve(on, socket); });
    }
}

void service::serve(database& on, int socket) {
    session of;
    bool is_over = false;
    {
        std::lock_guard const lock(this->mutex);
        is_over = ++on.connections > this->given.max_connections;
    }
    std::string buffer;
    std::size_t searched = 0;
    std::vector<char> bytes(64 * 1024);
    bool serves = true;
    while (serves) {
        ssize_t const size = ::recv(socket, bytes.data(), bytes.size(), 0);
        if (size <= 0) {
            break;
        }
        buffer.append(bytes.data(), static_cast<std::size_t>(size));
        std::size_t begin = 0;
        while (serves) {
            std::size_t const end = buffer.find("\r\n", std::max(begin, searched));
            if (end == std::string::npos) {
                break;
            }
            searched = 0;
            std::string_view const line(buffer.data() + begin, end - begin);
            begin = end + 2;
            if (is_over || line.size() > most_message) {
                send_all(socket, "ERROR OVERLOADED " + on.id + "\r\n");
                serves = false;
                break;
            }
            auto const reply = this->answer(on, of, line);
            serves = reply && (this->loses_answer(on, line) || send_all(socket, *reply));
        }
        buffer.erase(0, begin);
        searched = buffer.empty() ? 0 : buffer.size() - 1;
    }
    std::lock_guard const lock(this->mutex);
    --on.connections;
    on.sockets.erase(socket);
    ::close(socket);
}

void service::lose_answers(double share) {
    std::lock_guard const lock(this->mutex);
    this->log.write(
        share > 0 ? "the primary's answers get lost" : "no more answers get lost");
    this->loses_answers = this->leader;
    this->lost_share = share;
}

bool service::loses_answer(database const& on, std::string_view line) {
    std::lock_guard const lock(this->mutex);
    bool const lost =
        this->lost_share > 0 && on.id == this->loses_answers &&
        line.substr(0, 6) == "QUERY " &&
        std::uniform_real_distribution(0.0, 1.0)(this->chance) < this->lost_share;
    if (lost) {
        this->log.write("answer lost: " + std::string(line.substr(0, 60)));
    }
    return lost;
}

std::string service::position(database const& on) const {
    return std::to_string(on.log_term) + "." + std::to_string(on.received);
}

std::string service::ready(database const& on, session const& of) const {
    std::string const state = of.failed ? "E" : of.open ? "T" : "I";
    return "READY " + state + " " + this->position(on) + "\r\n";
}

std::optional<std::string>
service::answer(database& on, session& of, std::string_view line) {
    std::string_view rest = line;
    std::string_view const word = take_word(rest);
    if (word == "TERMINATE") {
        return std::nullopt;
    }
    if (word == "START" && !of.started) {
        std::string_view const name = take_word(rest);
        of.team = take_word(rest);
        of.started = name == this->given.name && (rest.empty() || rest == on.id);
        std::lock_guard const lock(this->mutex);
        return of.started ? this->ready(on, of) : "ERROR MISROUTED " + on.id + "\r\n";
    }
    if (word != "QUERY" || !of.started) {
        return std::nullopt;
    }
    std::string_view const id = take_word(rest);
    return this->query(on, of, id, rest);
}

/// Work takes one of the database's slots.
void service::take_slot(database& on) {
    {
        std::unique_lock lock(this->mutex);
        on.slot_free.wait(lock, [&] { return on.busy < this->given.slots; });
        ++on.busy;
    }
    sleep_for(this->given.work);
    {
        std::lock_guard const lock(this->mutex);
        --on.busy;
    }
    on.slot_free.notify_one();
}

std::string
service::query(database& on, session& of, std::string_view id, std::string_view text) {
    std::string_view rest = text;
    std::string_view word = take_word(rest);
    std::optional<std::pair<std::uint64_t, std::uint64_t>> floor;
    if (word == "AFTER") {
        std::string const wanted(take_word(rest));
        floor = {std::stoull(wanted), std::stoull(wanted.substr(wanted.find('.') + 1))};
        text = rest;
        word = take_word(rest);
    }
    bool writes = word == "WRITE";
    std::string_view arguments = rest;
    if (word == "EXECUTE") {
        auto const found = of.prepared.find(std::string(take_word(arguments)));
        if (found == of.prepared.end()) {
            std::lock_guard const lock(this->mutex);
            return "ERROR UNKNOWN " + on.id + "\r\n" + this->ready(on, of);
        }
        writes = found->second.first;
    }
    bool const works = word == "READ" || writes || word == "EXECUTE" || word == "COMMIT";
    if (works) {
        this->take_slot(on);
    }
    std::unique_lock lock(this->mutex);
    auto const fail = [&](std::string_view code) {
        of.failed = of.open;
        return "ERROR " + std::string(code) + " " + on.id + "\r\n" + this->ready(on, of);
    };
    auto const complete = [&](std::string const& with) {
        return "COMPLETE " + with + "\r\n" + this->ready(on, of);
    };
    auto const signature = [&] {
        return on.id + "." + std::to_string(++this->signatures);
    };
    if (id != "-") {
        this->received_statements.push_back(
            {std::string(id), std::string(text.substr(0, 200)), on.id, of.open});
        this->log.write(
            "run " + std::string(id) + " " + std::string(text.substr(0, 60)) + " at " +
            on.id);
    }
    if (floor && std::pair(on.log_term, on.received) < *floor) {
        return fail("LAGGING");
    }
    if (word == "PAUSE" && !this->leads(on)) {
        on.held_term = std::stoull(std::string(rest));
    } else if (word == "RESUME") {
        on.held_term = 0;
        this->deliver();
        this->changed.notify_all();
    } else if (
        word == "DEMOTE" && this->leads(on) &&
        std::stoull(std::string(rest)) > this->term) {
        this->stopped = true;
    }
    if (word == "STATUS" || word == "PAUSE" || word == "RESUME" || word == "DEMOTE") {
        return "ROW " + std::string(this->leads(on) ? "primary " : "replica ") +
               std::to_string(on.log_term) + " " + this->position(on) + " " +
               std::to_string(on.held_term) + " 0 " + std::to_string(on.busy) + " " +
               std::to_string(on.connections) + "\r\n" + complete("-");
    }
    if (word == "ROLLBACK") {
        of.open = of.failed = false;
        of.writes.clear();
        return complete("-");
    }
    if (word == "RESET") {
        of.values.clear();
        of.prepared.clear();
        return complete("-");
    }
    if (of.failed) {
        return fail("MALFORMED");
    }
    if (word == "BEGIN") {
        if (rest.empty() && !this->leads(on)) {
            return fail("READONLY");
        }
        of.open = true;
        of.plain = rest.empty();
        return complete("-");
    }
    if (word == "SET") {
        std::string const name(take_word(rest));
        of.values[name] = rest;
        return complete("-");
    }
    if (word == "PREPARE") {
        std::string const name(take_word(rest));
        bool const is_write = take_word(rest) == "WRITE";
        of.prepared[name] = {is_write, std::string(rest)};
        return complete("-");
    }
    if (word == "DEALLOCATE") {
        of.prepared.erase(std::string(rest));
        return complete("-");
    }
    bool const ends_unwritten = word == "COMMIT" && of.writes.empty();
    bool const needs_lead = writes || (of.open && of.plain && !ends_unwritten);
    if (needs_lead && !this->leads(on)) {
        return fail("READONLY");
    }
    if (word == "COMMIT") {
        auto changes = std::exchange(of.writes, {});
        of.open = false;
        if (!changes.empty() && !this->commit(lock, on, std::move(changes))) {
            return fail("READONLY"); // The log was cut back: nothing is kept.
        }
        return complete(signature());
    }
    if (writes) {
        std::string const item(take_word(arguments));
        std::string const data(arguments);
        if (of.open) {
            of.writes.emplace_back(item, data);
        } else if (!this->commit(lock, on, {{item, data}})) {
            return fail("READONLY");
        }
        return complete(signature());
    }
    if (works) {
        std::string const item(take_word(arguments));
        std::string data = "-";
        for (std::size_t i = 0;
             i < std::min<std::size_t>(on.received, this->log_entries.size()); ++i) {
            for (auto const& each : this->log_entries[i]) {
                data = each.first == item ? each.second : data;
            }
        }
        for (auto const& each : of.writes) {
            data = each.first == item ? each.second : data;
        }
        return "ROW " + data + "\r\n" + complete(signature());
    }
    return fail("MALFORMED");
}

// The deployment

struct fleet::store {
    explicit store(
        std::function<unsigned(std::string const&, std::string const&)> promote)
        : thread([this] {
              auto const keep = boost::asio::make_work_guard(this->loop);
              this->loop.run();
          }) {
        this->on_loop([&] {
            this->rows = std::make_unique<persimmonpoint::standin::row_store>(
                this->loop,
                [](std::string const&, std::string const&, std::uint64_t) -> unsigned {
                    return 409;
                });
            this->cloud = std::make_unique<persimmonpoint::standin::row_store>(
                this->loop,
                [this, promote](
                    std::string const& group, std::string const& database,
                    std::uint64_t token) -> unsigned {
                    std::uint64_t& highest = this->tokens[group];
                    if (token < highest) {
                        return 409;
                    }
                    highest = token;
                    return promote(group, database);
                });
        });
    }
    ~store() {
        this->on_loop([this] {
            this->rows.reset();
            this->cloud.reset();
        });
        this->loop.stop();
        this->thread.join();
    }
    void on_loop(std::function<void()> const& action) {
        std::promise<void> done;
        boost::asio::post(this->loop, [&] {
            action();
            done.set_value();
        });
        done.get_future().wait();
    }

    boost::asio::io_context loop;
    std::thread thread;
    std::map<std::string, std::uint64_t> tokens;
    std::unique_ptr<persimmonpoint::standin::row_store> rows;
    /// Takes the calls for promotions alone.
    std::unique_ptr<persimmonpoint::standin::row_store> cloud;
};

std::string fleet::route(std::size_t service, std::string const& kind) {
    return kind + std::to_string(service);
}

std::string fleet::key(std::size_t team) {
    return "key" + std::to_string(team);
}

fleet::fleet(fleet_options options, record& log)
    : given(std::move(options)),
      log(log),
      folder(
          std::filesystem::temp_directory_path() /
          ("persimmonpoint-review-" + std::to_string(::getpid()))) {
    std::filesystem::create_directories(this->folder);
    for (std::size_t i = 0; i < this->given.services; ++i) {
        service::options wanted;
        wanted.name = "passcount" + std::to_string(i);
        wanted.databases = this->given.databases;
        wanted.work = this->given.work;
        wanted.slots = this->given.slots;
        wanted.max_connections = this->given.max_connections;
        wanted.zones = this->given.zones;
        this->services.push_back(std::make_unique<service>(wanted, log));
    }
    this->rows = std::make_unique<store>(
        [this](std::string const& group, std::string const& database) -> unsigned {
            for (auto& each : this->services) {
                if (each->name() == group) {
                    this->log.write("promote " + database);
                    return each->promote(database);
                }
            }
            return 409;
        });
    this->write_configuration();
    this->heart = std::thread([this] { this->beat(); });
    for (std::size_t i = 0; i < this->given.hosts; ++i) {
        host made;
        made.zone = this->given.zones[i % this->given.zones.size()];
        made.name = "front-" + made.zone + "-" + std::to_string(i);
        made.callers = free_port();
        made.readiness = free_port();
        made.peers = free_port();
        made.metrics = free_port();
        this->all.push_back(made);
    }
    for (host& each : this->all) {
        this->write_settings(each);
        this->start(each);
    }
}

fleet::~fleet() {
    for (host& each : this->all) {
        this->stop(each);
    }
    this->stopping = true;
    this->heart.join();
    this->rows.reset();
    this->services.clear();
    std::filesystem::remove_all(this->folder);
}

void fleet::write_configuration() {
    std::ostringstream out;
    out << R"({"version":5,"limits":{"transaction_idle_ms":5000},"services":[)";
    for (std::size_t i = 0; i < this->given.services; ++i) {
        out << (i > 0 ? "," : "") << R"({"name":"passcount)" << i
            << R"(","max_connections":)" << this->given.max_connections
            << R"(,"sync_replicas":1})";
    }
    out << R"(],"routes":[)";
    for (std::size_t i = 0; i < this->given.services; ++i) {
        char const* const kinds[][3] = {
            {"primary", "primary", "800"},
            {"bounded", "bounded_staleness", "1500"},
            {"own", "read_own_writes", "800"}};
        for (auto const& kind : kinds) {
            out << (i > 0 || &kind != &kinds[0] ? "," : "") << R"({"name":"r-)" << kind[0]
                << i << R"(","host":")" << route(i, kind[0])
                << R"(","service":"passcount)" << i << R"(","kind":")" << kind[1]
                << R"(","timeout_ms":)" << kind[2]
                << R"(,"target_latency_ms":200,"max_staleness_ms":1500,"priority":1,)"
                << R"("allow_anonymous":false})";
        }
    }
    out << R"(],"tenants":[)";
    for (std::size_t i = 0; i < this->given.teams; ++i) {
        out << (i > 0 ? "," : "") << R"({"name":"tenant)" << i << R"(","api_keys":[")"
            << key(i) << R"("],"rate_per_s":)" << this->given.rate_per_s << R"(,"burst":)"
            << this->given.burst << "}";
    }
    out << "]}";
    this->rows->on_loop([&] { this->rows->rows->put("op", "config", out.str()); });
}

/// Writes the databases' rows about as often as they do.
void fleet::delay_promotions(milliseconds delay) {
    this->rows->on_loop([&] { this->rows->cloud->set_promotion_delay(delay); });
}

std::size_t fleet::promotion_calls() const {
    std::size_t calls = 0;
    this->rows->on_loop([&] { calls = this->rows->cloud->calls(); });
    return calls;
}

void fleet::beat() {
    constexpr milliseconds heartbeat{1200};
    constexpr milliseconds step{100};
    // A row is removed after three intervals of silence.
    constexpr int silent_intervals = 3;
    std::map<std::string, int> silent;
    for (std::uint64_t sequence = 1; !this->stopping; ++sequence) {
        this->rows->on_loop([&] {
            for (auto const& each : this->services) {
                for (std::string const& id : each->ids()) {
                    if (each->is_down(id)) {
                        if (++silent[id] > silent_intervals) {
                            this->rows->rows->remove("servers", id);
                        }
                        continue;
                    }
                    silent[id] = 0;
                    this->rows->rows->put("servers", id, each->entry(id, sequence));
                }
            }
        });
        for (milliseconds waited{0}; waited < heartbeat && !this->stopping;
             waited += step) {
            sleep_for(step);
        }
    }
}

/// What deploy/front.toml.template gives for a small deployment.
void fleet::write_settings(host& which) {
    std::uint16_t store_port = 0;
    std::uint16_t cloud_port = 0;
    this->rows->on_loop([&] {
        store_port = this->rows->rows->port();
        cloud_port = this->rows->cloud->port();
    });
    which.settings = this->folder / (which.name + ".toml");
    std::string seeds;
    for (std::size_t i = 0; i < std::min<std::size_t>(this->all.size(), 3); ++i) {
        seeds += (i > 0 ? "," : "") + address_of(this->all[i].peers);
    }
    std::ofstream out(which.settings);
    out << "[host]\nname = \"" << which.name << "\"\navailability_zone = \"" << which.zone
        << "\"\nprocessor = \"0.25\"\n[listen]\ncallers = \"" << address_of(which.callers)
        << "\"\nreadiness = \"" << address_of(which.readiness) << "\"\npeers = \""
        << address_of(which.peers) << "\"\nmetrics = \"" << address_of(which.metrics)
        << "\"\n[callers]\ndescriptors = \"4200\"\n[platform]\nstore = \""
        << address_of(store_port) << "\"\npromotion = \"" << address_of(cloud_port)
        << "\"\n[peers]\nseeds = \"" << seeds
        << "\"\n[limits]\nin_force_within = \"3000ms\"\nquota_window = \"5s\"\n"
        << "quota_overrun = \"0.1\"\nquota_slack = \"20\"\n[zones]\n";
    for (std::string const& zone : this->given.zones) {
        out << "\"" << zone << "\" = \"tt-north\"\n";
    }
    out << "[databases]\ndrain = \"7000ms\"\nevacuation = \"ms\"\ncold_overrun = \"\"\n"
        << "[stop]\ngrace = \"6s\"\n";
}

void fleet::start(host& which) {
    // The command of deploy/system.toml, from the repository's root.
    std::string program = "target/src/persimmonpoint";
    std::string role = "front";
    std::string const log_file = (this->folder / (which.name + ".log")).string();
    std::string settings = "PERSIMMONPOINT_CONFIG=" + which.settings.string();
    char* const words[] = {program.data(), role.data(), nullptr};
    char* const environment[] = {settings.data(), nullptr};
    posix_spawn_file_actions_t files;
    ::posix_spawn_file_actions_init(&files);
    ::posix_spawn_file_actions_addopen(
        &files, STDOUT_FILENO, log_file.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    ::posix_spawn_file_actions_adddup2(&files, STDOUT_FILENO, STDERR_FILENO);
    pid_t id = -1;
    int const failure =
        ::posix_spawn(&id, program.c_str(), &files, nullptr, words, environment);
    ::posix_spawn_file_actions_destroy(&files);
    if (failure != 0) {
        throw std::runtime_error("the program can't be started");
    }
    which.process = id;
    this->log.write("start " + which.name + " process " + std::to_string(id));
}

void fleet::stop(host& which) {
    if (which.process > 0) {
        ::kill(which.process, SIGKILL);
        ::waitpid(which.process, nullptr, 0);
        which.process = -1;
    }
}

bool fleet::is_ready(host const& which) const {
    int const socket = connect_to(which.readiness);
    if (socket < 0) {
        return false;
    }
    timeval const patience{1, 0};
    ::setsockopt(socket, SOL_SOCKET, SO_RCVTIMEO, &patience, sizeof(patience));
    send_all(
        socket, "GET /api/readiness HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
    char bytes[64] = {};
    ssize_t const size = ::recv(socket, bytes, sizeof(bytes) - 1, 0);
    ::close(socket);
    return size > 0 && std::string_view(bytes).find(" 200 ") != std::string_view::npos;
}

bool fleet::wait_until_all_ready(milliseconds patience) {
    auto const until = std::chrono::steady_clock::now() + patience;
    while (std::chrono::steady_clock::now() < until) {
        bool all_ready = true;
        for (host const& each : this->all) {
            all_ready = all_ready && this->is_ready(each);
        }
        if (all_ready) {
            return true;
        }
        sleep_for(milliseconds(50));
    }
    return false;
}

std::size_t fleet::memory_mb(host const& which) const {
    std::ifstream status("/proc/" + std::to_string(which.process) + "/status");
    for (std::string line; std::getline(status, line);) {
        if (line.rfind("VmRSS:", 0) == 0) {
            return std::stoul(line.substr(6)) / 1024;
        }
    }
    return 0;
}

bool fleet::enforce_memory() {
    constexpr milliseconds restart_delay{500};
    bool any = false;
    for (host& each : this->all) {
        int status = 0;
        if (::waitpid(each.process, &status, WNOHANG) == each.process) {
            ++each.ends;
            this->log.write("ended by itself: " + each.name);
            any = true;
            sleep_for(restart_delay);
            this->start(each);
            continue;
        }
        std::size_t const present = this->memory_mb(each);
        each.peak_mb = std::max(each.peak_mb, present);
        if (present > static_cast<std::size_t>(this->given.memory_mb)) {
            ++each.kills;
            this->log.write(
                each.name + " has " + std::to_string(present) + " MiB of " +
                std::to_string(this->given.memory_mb) + ": killed as the platform does");
            this->stop(each);
            any = true;
            sleep_for(restart_delay);
            this->start(each);
        }
    }
    return any;
}

// Clients

client::client(std::uint16_t port, std::string id_prefix, milliseconds patience)
    : socket(connect_to(port)), prefix(std::move(id_prefix)) {
    if (this->socket >= 0) {
        timeval const limit{
            static_cast<time_t>(patience.count() / 1000),
            static_cast<suseconds_t>(patience.count() % 1000 * 1000)};
        ::setsockopt(this->socket, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
        ::setsockopt(this->socket, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof(limit));
    }
}

client::~client() {
    if (this->socket >= 0) {
        ::close(this->socket);
    }
}

bool client::send(std::string_view bytes) {
    return this->socket >= 0 && send_all(this->socket, bytes);
}

long client::drain() {
    char bytes[16 * 1024];
    ssize_t const size = ::recv(this->socket, bytes, sizeof(bytes), MSG_DONTWAIT);
    if (size > 0) {
        return size;
    }
    return size < 0 && (errno == EAGAIN || errno == EWOULDBLOCK) ? 0 : -1;
}

client::reply client::start(std::string const& database, std::string const& key) {
    reply failed;
    failed.closed = true;
    return this->send("START " + database + " " + key + "\r\n") ? this->read() : failed;
}

client::reply client::query(std::string const& text) {
    this->id = this->prefix + std::to_string(++this->number);
    reply failed;
    failed.closed = true;
    return this->send("QUERY " + this->id + " " + text + "\r\n") ? this->read() : failed;
}

client::reply client::read() {
    reply out;
    while (true) {
        auto const next = this->line();
        if (!next) {
            out.closed = true;
            return out;
        }
        std::string_view rest = *next;
        std::string_view const word = take_word(rest);
        if (word == "ROW") {
            out.rows.emplace_back(rest);
        } else if (word == "COMPLETE") {
            out.signature = rest;
        } else if (word == "ERROR") {
            out.error = take_word(rest);
        } else if (word == "READY") {
            out.state = take_word(rest);
            return out;
        }
    }
}

std::optional<std::string> client::line() {
    while (true) {
        std::size_t const end = this->buffer.find("\r\n");
        if (end != std::string::npos) {
            std::string out = this->buffer.substr(0, end);
            this->buffer.erase(0, end + 2);
            return out;
        }
        char bytes[16 * 1024];
        ssize_t const size = ::recv(this->socket, bytes, sizeof(bytes), 0);
        if (size <= 0) {
            return std::nullopt;
        }
        this->buffer.append(bytes, static_cast<std::size_t>(size));
    }
}

} // namespace review
