#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <future>
#include <stdexcept>
#include <support/fleet_stage.hpp>
#include <support/free_port.hpp>
#include <sys/socket.h>
#include <unistd.h>

namespace persimmonpoint::tests {

namespace asio = boost::asio;

namespace {

constexpr char const* group_name = "passcount-db";
/// Longest wait for a host's readiness.
constexpr std::chrono::milliseconds readiness_patience{10000};

std::string at(std::uint16_t port) {
    return "127.0.0.1:" + std::to_string(port);
}

std::string
route(std::string const& database, std::string const& kind, std::string const& fields) {
    return R"({"name":"route-)" + database + R"(","host":")" + database +
           R"(","kind":")" + kind +
           R"(","timeout_ms":2000,"target_latency_ms":1000,"priority":1,"service":")" +
           group_name + R"(","max_staleness_ms":1500,"allow_anonymous":false)" + fields +
           "}";
}

} // namespace

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
    std::vector<std::string> const& keys,
    double rate,
    bool extra_route,
    std::optional<double> burst) {
    std::string list;
    for (std::string const& each : keys) {
        list += (list.empty() ? "\"" : ",\"") + each + "\"";
    }
    std::string const limit = std::to_string(rate);
    std::string const& fields = this->route_fields;
    std::string routes = route("alerts", "primary", fields) + "," +
                         route("browse", "bounded_staleness", fields) + "," +
                         route("tallies", "read_own_writes", fields);
    if (extra_route) {
        routes += "," + route("added", "primary", fields);
    }
    std::string const body =
        R"({"version":)" + std::to_string(++this->version) + R"(,"routes":[)" + routes +
        R"(],"services":[{"name":")" + group_name +
        R"(","max_connections":16,"sync_replicas":1)" + this->service_fields +
        R"(}],"limits":{"transaction_idle_ms":400},)" +
        R"("tenants":[{"name":"hatchery","api_keys":[)" + list + R"(],"rate_per_s":)" +
        limit + R"(,"burst":)" + std::to_string(burst.value_or(rate)) +
        R"(},{"name":"audit","api_keys":["key-audit"],)" +
        R"("rate_per_s":10000,"burst":10000}]})";
    this->newest_configuration = body;
    this->configure_again();
}

void fleet_stage::configure_again() {
    this->with_standins(
        [&] { this->store->put("op", "config", this->newest_configuration); });
}

void fleet_stage::register_databases(std::vector<std::string> const& leaving) {
    this->with_standins([&] {
        for (std::string const& id : this->group->ids()) {
            bool const leaves =
                std::find(leaving.begin(), leaving.end(), id) != leaving.end();
            this->store->put(
                "servers", id,
                R"({"service":")" + std::string(group_name) + R"(","address":")" +
                    this->group->address(id) + R"(","zone":")" +
                    (this->zones.count(id) > 0 ? this->zones.at(id) : "a") +
                    R"(","version":"v1","slots":2,"state":")" +
                    (leaves ? "draining" : "ready") + R"(","database_role":")" +
                    (id == this->group->leader() ? "primary" : "replica") +
                    R"(","cold_remaining_ms":)" + std::to_string(this->cold_ms[id]) +
                    R"(,"sequence":1,"born":1000})");
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
    values.regions = this->regions;
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
    int const made = connect_to(this->hosts[host]->readiness, readiness_patience);
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

std::size_t fleet_stage::registered_hosts() {
    std::size_t count = 0;
    this->with_standins([&] { count = this->store->rows_of("hosts"); });
    return count;
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
