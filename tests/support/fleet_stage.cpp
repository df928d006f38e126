#include <arpa/inet.h>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <future>
#include <stdexcept>
#include <support/fleet_stage.hpp>
#include <sys/socket.h>
#include <unistd.h>

namespace persimmonpoint::tests {

namespace asio = boost::asio;

namespace {

constexpr char const* group_name = "passcount-db";
constexpr timeval longest_read{10, 0};

/// A port that nobody listens on at present.
std::uint16_t free_port() {
    asio::io_context loop;
    asio::ip::tcp::acceptor const probe(
        loop, asio::ip::tcp::endpoint(asio::ip::address_v4::loopback(), 0));
    return probe.local_endpoint().port();
}

std::string at(std::uint16_t port) {
    return "127.0.0.1:" + std::to_string(port);
}

int connect_to(std::uint16_t port) {
    int const made = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    if (::connect(made, reinterpret_cast<sockaddr*>(&address), sizeof(address)) != 0) {
        ::close(made);
        return -1;
    }
    ::setsockopt(made, SOL_SOCKET, SO_RCVTIMEO, &longest_read, sizeof(longest_read));
    return made;
}

std::string route(std::string const& database, std::string const& kind) {
    return R"({"name":"route-)" + database + R"(","host":")" + database +
           R"(","kind":")" + kind +
           R"(","timeout_ms":2000,"target_latency_ms":1000,"priority":1,"service":")" +
           group_name + R"(","max_staleness_ms":1500,"allow_anonymous":false})";
}

} // namespace

line_caller::line_caller(std::uint16_t port) : socket(connect_to(port)) {}

line_caller::~line_caller() {
    this->close();
}

void line_caller::close() {
    if (this->socket >= 0) {
        ::close(this->socket);
        this->socket = -1;
    }
}

std::string line_caller::read_line(bool& closed) {
    for (;;) {
        std::size_t const end = this->buffer.find("\r\n");
        if (end != std::string::npos) {
            std::string line = this->buffer.substr(0, end);
            this->buffer.erase(0, end + 2);
            return line;
        }
        char bytes[4096];
        ssize_t const size = ::recv(this->socket, bytes, sizeof(bytes), 0);
        if (size <= 0) {
            closed = true;
            return {};
        }
        this->buffer.append(bytes, static_cast<std::size_t>(size));
    }
}

line_caller::reply line_caller::read_reply() {
    reply out;
    for (;;) {
        std::string const line = this->read_line(out.closed);
        if (out.closed) {
            return out;
        }
        std::size_t const blank = std::min(line.find(' '), line.size());
        std::string const word = line.substr(0, blank);
        std::string const rest = blank < line.size() ? line.substr(blank + 1) : "";
        if (word == "ROW") {
            out.rows.push_back(rest);
        } else if (word == "COMPLETE") {
            out.signature = rest;
        } else if (word == "ERROR") {
            std::size_t const end = std::min(rest.find(' '), rest.size());
            out.error = rest.substr(0, end);
            out.error_text = end < rest.size() ? rest.substr(end + 1) : "";
        } else if (word == "READY") {
            out.state = rest.substr(0, 1);
            return out;
        }
    }
}

line_caller::reply line_caller::raw(std::string const& bytes) {
    if (this->socket < 0 ||
        ::send(this->socket, bytes.data(), bytes.size(), MSG_NOSIGNAL) < 0) {
        reply out;
        out.closed = true;
        return out;
    }
    return this->read_reply();
}

line_caller::reply
line_caller::start(std::string const& database, std::string const& key) {
    return this->raw("START " + database + " " + key + "\r\n");
}

line_caller::reply line_caller::query(std::string const& text) {
    return this->raw("QUERY q" + std::to_string(++this->last_id) + " " + text + "\r\n");
}

fleet_stage::fleet_stage(std::size_t host_count) {
    this->owned_group = std::make_unique<standin::line_group>(this->loop, group_name, 3);
    this->group = this->owned_group.get();
    this->owned_store = std::make_unique<standin::row_store>(
        this->loop, [this](std::string const&, std::string const& id, std::uint64_t) {
            bool const done = this->group->promote(id);
            return done ? 200U : 409U;
        });
    this->store = this->owned_store.get();
    this->standin_thread = std::thread([this] {
        auto const keep = asio::make_work_guard(this->loop);
        this->loop.run();
    });
    this->configure({"key-1"});
    this->register_databases();
    for (std::size_t i = 0; i < host_count; ++i) {
        this->add_host();
    }
}

fleet_stage::~fleet_stage() {
    this->with_standins([this] { this->store->set_fault(standin::store_fault::none); });
    for (std::size_t i = 0; i < this->hosts.size(); ++i) {
        this->stop_host(i);
    }
    this->with_standins([this] {
        this->owned_store.reset();
        this->owned_group.reset();
    });
    this->loop.stop();
    this->standin_thread.join();
}

void fleet_stage::with_standins(std::function<void()> action) {
    std::promise<void> done;
    asio::post(this->loop, [&] {
        action();
        done.set_value();
    });
    done.get_future().wait();
}

void fleet_stage::configure(
    std::vector<std::string> const& keys, double rate, bool extra_route) {
    std::string list;
    for (std::string const& each : keys) {
        list += (list.empty() ? "\"" : ",\"") + each + "\"";
    }
    std::string const limit = std::to_string(rate);
    std::string routes = route("alerts", "primary") + "," +
                         route("browse", "bounded_staleness") + "," +
                         route("tallies", "read_own_writes");
    if (extra_route) {
        routes += "," + route("added", "primary");
    }
    std::string const body =
        R"({"version":)" + std::to_string(++this->version) + R"(,"routes":[)" + routes +
        R"(],"services":[{"name":")" + group_name +
        R"(","max_connections":16,"sync_replicas":1}],"limits":{"transaction_idle_ms":400},)" +
        R"("tenants":[{"name":"hatchery","api_keys":[)" + list + R"(],"rate_per_s":)" +
        limit + R"(,"burst":)" + limit +
        R"(},{"name":"audit","api_keys":["key-audit"],)" +
        R"("rate_per_s":10000,"burst":10000}]})";
    this->with_standins([&] { this->store->put("op", "config", body); });
}

void fleet_stage::register_databases(std::vector<std::string> const& leaving) {
    this->with_standins([&] {
        for (std::string const& id : this->group->ids()) {
            bool const leaves =
                std::find(leaving.begin(), leaving.end(), id) != leaving.end();
            this->store->put(
                "servers", id,
                R"({"service":")" + std::string(group_name) + R"(","address":")" +
                    this->group->address(id) +
                    R"(","zone":"a","version":"v1","slots":2,"state":")" +
                    (leaves ? "draining" : "ready") + R"(","database_role":")" +
                    (id == this->group->leader() ? "primary" : "replica") +
                    R"(","cold_remaining_ms":0,"sequence":1,"born":1000})");
        }
    });
}

void fleet_stage::add_host(bool reaches_store) {
    auto run = std::make_unique<host_run>();
    run->callers = free_port();
    run->readiness = free_port();
    settings::front_settings values;
    values.name = "host-" + std::to_string(this->hosts.size());
    values.availability_zone = "a";
    values.callers = at(run->callers);
    values.readiness = at(run->readiness);
    values.peers = at(free_port());
    values.store = at(reaches_store ? this->store->port() : free_port());
    values.promotion = at(this->store->port());
    values.seeds = this->peer_addresses;
    values.grace = std::chrono::milliseconds(2500);
    values.rotation = std::chrono::milliseconds(300);
    this->peer_addresses.push_back(values.peers);
    run->host = std::make_unique<host::front_host>(values);
    run->running = true;
    run->thread = std::thread([host = run->host.get()] { host->run(); });
    this->hosts.push_back(std::move(run));
    std::size_t const index = this->hosts.size() - 1;
    if (!eventually([this, index] { return this->readiness(index) == 200; })) {
        throw std::runtime_error("host " + std::to_string(index) + " is not ready");
    }
}

void fleet_stage::stop_host(std::size_t index) {
    host_run& run = *this->hosts[index];
    if (!run.running) {
        return;
    }
    run.running = false;
    run.host->stop();
    run.thread.join();
    run.host.reset();
}

std::uint16_t fleet_stage::caller_port(std::size_t host) const {
    return this->hosts[host]->callers;
}

unsigned fleet_stage::readiness(std::size_t host) const {
    int const made = connect_to(this->hosts[host]->readiness);
    if (made < 0) {
        return 0;
    }
    std::string const question =
        "GET /api/readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
    ::send(made, question.data(), question.size(), MSG_NOSIGNAL);
    char bytes[512];
    ssize_t const size = ::recv(made, bytes, sizeof(bytes), 0);
    ::close(made);
    std::string const answer(bytes, static_cast<std::size_t>(std::max<ssize_t>(size, 0)));
    return answer.size() > 12 ? static_cast<unsigned>(std::stoul(answer.substr(9, 3)))
                              : 0;
}

bool eventually(std::function<bool()> const& condition) {
    auto const end = std::chrono::steady_clock::now() + std::chrono::seconds(10);
    while (std::chrono::steady_clock::now() < end) {
        if (condition()) {
            return true;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
    return false;
}

} // namespace persimmonpoint::tests
