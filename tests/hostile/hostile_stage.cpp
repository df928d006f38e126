#include <algorithm>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <fstream>
#include <future>
#include <hostile/hostile_stage.hpp>
#include <poll.h>
#include <sstream>
#include <stdexcept>
#include <support/fleet_stage.hpp>
#include <support/free_port.hpp>
#include <support/line_caller.hpp>
#include <sys/socket.h>
#include <unistd.h>

namespace persimmonpoint::tests {

namespace asio = boost::asio;

namespace {

constexpr char const* group_name = "passcount-db";
constexpr char const* key = "key-1";
/// A connection that takes nothing for so long is left as it is.
constexpr int send_patience_ms = 1000;
/// The kernel keeps little in place of the host, so that what was sent was read there.
constexpr int kernel_buffer_bytes = 16 * 1024;
constexpr std::chrono::seconds answer_patience{20};
constexpr std::size_t bytes_in_kib = 1024;

std::string at(std::uint16_t port) {
    return "127.0.0.1:" + std::to_string(port);
}

std::string configuration() {
    std::ostringstream out;
    out << R"({"version":1,"routes":[{"name":"route","host":"tallies",)"
        << R"("kind":"primary","timeout_ms":10000,"target_latency_ms":8000,)"
        << R"("priority":1,"service":")" << group_name
        << R"(","allow_anonymous":false}],"services":[{"name":")" << group_name
        << R"(","max_connections":16,"sync_replicas":1}],"limits":{},)"
        << R"("tenants":[{"name":"hatchery","api_keys":[")" << key
        << R"("],"rate_per_s":100000,"burst":100000}]})";
    return out.str();
}

std::string database_entry(standin::line_group const& group, std::string const& id) {
    std::ostringstream out;
    out << R"({"service":")" << group_name << R"(","address":")" << group.address(id)
        << R"(","zone":"a","slots":4,"state":"ready","database_role":")"
        << (id == group.leader() ? "primary" : "replica") << R"(","born":1000})";
    return out.str();
}

/// Bytes that were taken; fewer than all if the other side takes no more, and none if it
/// has closed.
std::size_t send_what_fits(int socket, std::string_view bytes) {
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        pollfd writable{socket, POLLOUT, 0};
        if (::poll(&writable, 1, send_patience_ms) <= 0) {
            return sent;
        }
        ssize_t const size = ::send(
            socket, bytes.data() + sent, bytes.size() - sent,
            MSG_NOSIGNAL | MSG_DONTWAIT);
        if (size <= 0) {
            return sent;
        }
        sent += static_cast<std::size_t>(size);
    }
    return sent;
}

} // namespace

hostile_stage::hostile_stage()
    : folder(
          std::filesystem::temp_directory_path() /
          ("hostile-" + std::to_string(::getpid()) + "-" + std::to_string(free_port()))) {
    std::filesystem::create_directories(this->folder);
    this->group = std::make_unique<standin::line_group>(this->loop, group_name, 3);
    this->store = std::make_unique<standin::row_store>(
        this->loop,
        [](std::string const&, std::string const&, std::uint64_t) { return 409U; });
    this->write_rows();
    this->thread = std::thread([this] {
        auto const keep = asio::make_work_guard(this->loop);
        this->loop.run();
    });
    this->callers = free_port();
    this->readiness = free_port();
    this->peers = free_port();
    this->write_settings();
    this->host = std::make_unique<host_process>(
        PERSIMMONPOINT_PROGRAM, this->folder / "settings.toml", this->folder / "log");
    if (!eventually([this] { return this->serves_an_ordinary_caller(); })) {
        throw std::runtime_error("the host does not serve");
    }
}

hostile_stage::~hostile_stage() {
    this->host.reset();
    this->on_loop([this] {
        this->store.reset();
        this->group.reset();
    });
    this->loop.stop();
    this->thread.join();
    std::filesystem::remove_all(this->folder);
}

void hostile_stage::on_loop(std::function<void()> const& action) {
    std::promise<void> done;
    asio::post(this->loop, [&] {
        action();
        done.set_value();
    });
    done.get_future().wait();
}

void hostile_stage::write_rows() {
    this->store->put("op", "config", configuration());
    for (std::string const& id : this->group->ids()) {
        this->store->put("servers", id, database_entry(*this->group, id));
    }
}

void hostile_stage::write_settings() const {
    std::ofstream out(this->folder / "settings.toml");
    out << "[host]\nname = \"host-0\"\navailability_zone = \"a\"\n"
        << "[listen]\ncallers = \"" << at(this->callers) << "\"\nreadiness = \""
        << at(this->readiness) << "\"\npeers = \"" << at(this->peers) << "\"\n"
        << "[callers]\nheld_bytes = \"" << held_bytes << "\"\nconnections = \""
        << connections << "\"\nstart_time = \"2s\"\nmessage_time = \"4s\"\n"
        << "[platform]\nstore = \"" << at(this->store->port()) << "\"\npromotion = \""
        << at(this->store->port()) << "\"\n";
}

std::size_t hostile_stage::peak_memory() const {
    std::ifstream status("/proc/" + std::to_string(this->host->number()) + "/status");
    std::string line;
    while (std::getline(status, line)) {
        if (line.rfind("VmHWM:", 0) == 0) {
            return std::stoul(line.substr(6)) * bytes_in_kib;
        }
    }
    throw std::runtime_error("the host's memory can't be read");
}

std::size_t hostile_stage::descriptors() const {
    std::filesystem::directory_iterator const all(
        "/proc/" + std::to_string(this->host->number()) + "/fd");
    return static_cast<std::size_t>(std::distance(begin(all), end(all)));
}

bool hostile_stage::serves_an_ordinary_caller() const {
    line_caller caller(this->callers, answer_patience);
    if (!caller.connected()) {
        return false;
    }
    line_caller::reply const started = caller.start("tallies", key);
    if (started.closed || !started.error.empty()) {
        return false;
    }
    line_caller::reply const written = caller.query("WRITE ladder 7");
    line_caller::reply const read = caller.query("READ ladder");
    return !written.closed && written.error.empty() && !read.rows.empty() &&
           read.rows.front() == "7";
}

crowd::crowd(std::uint16_t port, std::size_t size) {
    for (std::size_t i = 0; i < size; ++i) {
        int const made = connect_to(port, answer_patience);
        if (made < 0) {
            continue;
        }
        ::setsockopt(
            made, SOL_SOCKET, SO_SNDBUF, &kernel_buffer_bytes,
            sizeof(kernel_buffer_bytes));
        ::setsockopt(
            made, SOL_SOCKET, SO_RCVBUF, &kernel_buffer_bytes,
            sizeof(kernel_buffer_bytes));
        this->sockets.push_back(made);
    }
}

crowd::~crowd() {
    for (int const each : this->sockets) {
        ::close(each);
    }
}

void crowd::start_sessions() {
    std::ostringstream start;
    start << "START tallies " << key << "\r\n";
    this->send(start.str());
    std::erase_if(this->sockets, [](int each) {
        char bytes[64];
        bool const accepted = ::recv(each, bytes, sizeof(bytes), 0) > 0;
        if (!accepted) {
            ::close(each);
        }
        return !accepted;
    });
}

void crowd::send(std::string_view bytes) {
    for (int const each : this->sockets) {
        send_what_fits(each, bytes);
    }
}

void crowd::send_in_pieces(std::string_view bytes, std::size_t piece) {
    std::vector<int> willing = this->sockets;
    for (std::size_t at = 0; at < bytes.size(); at += piece) {
        std::string_view const next = bytes.substr(at, piece);
        std::erase_if(willing, [next](int each) {
            return send_what_fits(each, next) < next.size();
        });
    }
}

} // namespace persimmonpoint::tests
