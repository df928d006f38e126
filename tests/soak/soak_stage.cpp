#include <algorithm>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <csignal>
#include <fstream>
#include <future>
#include <persimmonpoint/core/routing/owner_ranking.hpp>
#include <persimmonpoint/report/event_reader.hpp>
#include <soak/soak_stage.hpp>
#include <soak/socket_owner.hpp>
#include <sstream>
#include <stdexcept>
#include <support/free_port.hpp>
#include <support/line_caller.hpp>
#include <sys/socket.h>
#include <unistd.h>

namespace persimmonpoint::tests {

namespace asio = boost::asio;
using std::chrono::milliseconds;

namespace {

constexpr char const* group_name = "passcount-db";
constexpr char const* zone = "a";
constexpr std::size_t databases_in_group = 3;
/// Of the databases that there are at the start.
constexpr std::uint64_t long_ago_ms = 1000;
constexpr soak_quota metered{"metered", 20, 20};
constexpr milliseconds probe_patience(500);
constexpr milliseconds poll_pause(50);
/// From SIGTERM to SIGKILL, as the platform does it.
constexpr milliseconds grace(3000);
/// From the call for a promotion to the new primary, some hundred ms on the platform.
constexpr milliseconds promotion_delay(600);
/// A registration lapses after three heartbeats of silence.
constexpr milliseconds lapse_time(3600);
constexpr milliseconds heartbeat_interval(1200);

std::string at(std::uint16_t port) {
    return "127.0.0.1:" + std::to_string(port);
}

std::uint16_t port_of(std::string const& address) {
    return static_cast<std::uint16_t>(std::stoul(address.substr(address.find(':') + 1)));
}

std::string route(std::string const& database, std::string const& kind) {
    return R"({"name":"route-)" + database + R"(","host":")" + database +
           R"(","kind":")" + kind +
           R"(","timeout_ms":2000,"target_latency_ms":800,"priority":1,"service":")" +
           group_name + R"(","max_staleness_ms":1500,"allow_anonymous":false})";
}

std::string
team(std::string const& name, std::string const& keys, double rate, double burst) {
    return R"({"name":")" + name + R"(","api_keys":[)" + keys + R"(],"rate_per_s":)" +
           std::to_string(rate) + R"(,"burst":)" + std::to_string(burst) + "}";
}

std::string quoted(std::string const& text) {
    return "\"" + text + "\"";
}

bool is_ready(std::uint16_t port) {
    int const made = connect_to(port, probe_patience);
    if (made < 0) {
        return false;
    }
    std::string const question =
        "GET /api/readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
    ::send(made, question.data(), question.size(), MSG_NOSIGNAL);
    char bytes[64];
    ssize_t const size = ::recv(made, bytes, sizeof(bytes), 0);
    ::close(made);
    return std::string(bytes, static_cast<std::size_t>(std::max<ssize_t>(size, 0)))
               .rfind("HTTP/1.1 200", 0) == 0;
}

std::uint64_t unix_ms() {
    auto const now = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<milliseconds>(now).count());
}

std::string host_name(std::size_t host) {
    return "host-" + std::to_string(host);
}

/// A process that still writes may be in the middle of its last line.
std::string complete_lines(std::filesystem::path const& file) {
    std::ifstream input(file);
    std::ostringstream text;
    text << input.rdbuf();
    std::string lines = std::move(text).str();
    lines.resize(lines.rfind('\n') + 1); // npos + 1 is 0: no line is complete.
    return lines;
}

} // namespace

soak_stage::soak_stage(
    std::filesystem::path given, std::filesystem::path logs, std::size_t host_count)
    : program(std::move(given)),
      folder(std::move(logs)),
      notes(this->folder / "stage.log") {
    this->group =
        std::make_unique<standin::line_group>(this->loop, group_name, databases_in_group);
    this->store = std::make_unique<standin::row_store>(
        this->loop,
        [this](std::string const&, std::string const& id, std::uint64_t token) {
            bool const taken = this->group->promote(id);
            this->note(
                id + (taken ? " is to lead, token " : " can't lead, token ") +
                std::to_string(token));
            return taken ? 200U : 409U;
        });
    this->group->set_promotion_delay(promotion_delay);
    this->group->set_promotion_hook([this] {
        this->note(
            this->group->leader() + " leads " + std::to_string(this->group->term()));
        this->register_databases();
    });
    this->group->set_order_hook([this](std::string const& id, std::string const& text) {
        this->note(id + " carries out " + text);
    });
    for (std::size_t i = 0; i < host_count; ++i) {
        auto slot = std::make_unique<host_slot>();
        slot->callers = free_port();
        slot->readiness = free_port();
        slot->peers = free_port();
        slot->store = std::make_unique<fault_proxy>(this->loop, this->store->port());
        this->hosts.push_back(std::move(slot));
    }
    for (std::string const& id : this->group->ids()) {
        this->databases.push_back(this->make_slot(id, long_ago_ms));
    }
    this->configure();
    this->register_databases();
    this->thread = std::thread([this] {
        auto const keep = asio::make_work_guard(this->loop);
        this->loop.run();
    });
    for (std::size_t i = 0; i < host_count; ++i) {
        this->start_host(i);
    }
}

soak_stage::~soak_stage() {
    for (auto const& each : this->hosts) {
        each->process.reset();
    }
    this->on_loop([this] {
        for (auto const& each : this->hosts) {
            each->store.reset();
        }
        this->databases.clear();
        this->successors.clear();
        this->store.reset();
        this->group.reset();
    });
    this->loop.stop();
    this->thread.join();
}

std::uint16_t soak_stage::caller_port(std::size_t host) const {
    return this->hosts[host]->callers;
}

void soak_stage::on_loop(std::function<void()> const& action) {
    std::promise<void> done;
    asio::post(this->loop, [&] {
        action();
        done.set_value();
    });
    done.get_future().wait();
}

soak_stage::database_slot
soak_stage::make_slot(std::string const& id, std::uint64_t born) {
    database_slot slot;
    slot.id = id;
    slot.born = born;
    slot.proxy = std::make_unique<fault_proxy>(
        this->loop, port_of(this->group->address(id)),
        [this](std::uint16_t near, std::uint16_t far) {
            return this->host_at(near, far);
        });
    return slot;
}

std::size_t soak_stage::host_at(std::uint16_t near, std::uint16_t far) const {
    auto const socket = find_socket(near, far);
    auto const found =
        std::find_if(this->hosts.begin(), this->hosts.end(), [&](auto const& each) {
            return socket && has_socket(each->process_id, *socket);
        });
    return static_cast<std::size_t>(found - this->hosts.begin());
}

std::vector<std::size_t> soak_stage::ranked_hosts(std::string const& database) const {
    std::vector<registered_host> all;
    for (std::size_t i = 0; i < this->hosts.size(); ++i) {
        all.push_back({host_name(i), at(this->hosts[i]->peers), zone});
    }
    std::vector<std::size_t> numbers;
    for (std::string const& each : rank_owners(database, zone, all)) {
        auto const found =
            std::find_if(all.begin(), all.end(), [&each](registered_host const& host) {
                return host.name == each;
            });
        numbers.push_back(static_cast<std::size_t>(found - all.begin()));
    }
    return numbers;
}

void soak_stage::cut_first_hosts(database_slot& slot, std::size_t rank) {
    auto const ranked = this->ranked_hosts(slot.id);
    slot.silent_to.clear();
    for (std::size_t i = 0; i < std::min(rank, ranked.size()); ++i) {
        slot.silent_to.insert(ranked[i]);
        this->note(slot.id + " is silent to " + host_name(ranked[i]));
    }
}

void soak_stage::configure() {
    std::string routes = route("alerts", "primary") + "," +
                         route("browse", "bounded_staleness") + "," +
                         route("tallies", "read_own_writes");
    for (std::size_t i = 0; i < this->extra_routes; ++i) {
        routes += "," + route("extra" + std::to_string(i), "primary");
    }
    std::string const passing =
        this->withdrawn.empty() ? "," + quoted(passing_key) : std::string();
    std::string const teams =
        team("hatchery", quoted(lasting_key) + passing, 10000, 10000) + "," +
        team(metered.team, quoted(metered_key), metered.rate, metered.burst);
    this->store->put(
        "op", "config",
        R"({"version":)" + std::to_string(++this->version) + R"(,"routes":[)" + routes +
            R"(],"services":[{"name":")" + group_name +
            R"(","max_connections":32,"sync_replicas":1}],)" +
            R"("limits":{"transaction_idle_ms":1000},"tenants":[)" + teams + "]}");
}

void soak_stage::register_databases() {
    for (database_slot& each : this->databases) {
        this->register_database(each);
    }
    for (auto& [number, slot] : this->successors) {
        this->register_database(slot);
    }
}

void soak_stage::register_database(database_slot& slot) {
    if (slot.unheard || slot.gone) {
        return;
    }
    if (!slot.silent_since) {
        std::string const state = slot.draining ? "draining" : "ready";
        std::string const role = slot.id == this->group->leader() ? "primary" : "replica";
        slot.registered = true;
        this->store->put(
            "servers", slot.id,
            R"({"service":")" + std::string(group_name) + R"(","address":")" +
                at(slot.proxy->port()) + R"(","zone":")" + zone +
                R"(","version":"v1","slots":4,"state":")" + state +
                R"(","database_role":")" + role +
                R"(","cold_remaining_ms":0,"sequence":1,"born":)" +
                std::to_string(slot.born) + "}");
        return;
    }
    bool const lapsed =
        std::chrono::steady_clock::now() - *slot.silent_since >= lapse_time;
    if (lapsed && slot.registered) {
        slot.registered = false;
        this->store->remove("servers", slot.id);
    }
}

void soak_stage::set_silent(database_slot& slot, bool silent) {
    if (!silent) {
        slot.silent_since.reset();
        this->register_database(slot);
        return;
    }
    slot.silent_since = std::chrono::steady_clock::now();
    auto const lapse = std::make_shared<asio::steady_timer>(this->loop, lapse_time);
    lapse->async_wait(
        [this, lapse](boost::system::error_code) { this->register_databases(); });
}

void soak_stage::begin_replacement(std::size_t database) {
    database_slot& slot = this->databases[database];
    if (slot.draining || !slot.alive) {
        return;
    }
    slot.draining = true;
    std::string const id = this->group->add_copy_of(slot.id);
    this->note(id + " is to replace " + slot.id);
    this->successors[database] = this->make_slot(id, unix_ms());
    this->register_databases();
}

void soak_stage::end_replacement(std::size_t database) {
    database_slot& slot = this->databases[database];
    this->note(slot.id + " ends");
    if (slot.alive) {
        this->group->kill(slot.id);
    }
    this->store->remove("servers", slot.id);
    slot = std::move(this->successors.at(database));
    this->successors.erase(database);
}

std::size_t soak_stage::join_replica() {
    std::string const id = this->group->add_copy_of(this->group->leader());
    this->note(id + " joins");
    database_slot slot = this->make_slot(id, unix_ms());
    slot.unheard = this->store_lost;
    slot.silent_since = std::chrono::steady_clock::now();
    this->databases.push_back(std::move(slot));
    return this->databases.size() - 1;
}

void soak_stage::end_departure(database_slot& slot) {
    this->note(slot.id + " ends");
    slot.gone = true;
    slot.draining = false;
    if (slot.alive) {
        this->group->kill(slot.id);
    }
    slot.alive = false;
    this->store->remove("servers", slot.id);
}

bool soak_stage::is_store_away() const {
    return this->lasts_anywhere(soak_fault::store_away) ||
           this->lasts_anywhere(soak_fault::store_away_lapsing);
}

void soak_stage::lose_store() {
    this->store_lost = true;
    this->rows_lapse = this->lasts_anywhere(soak_fault::store_away_lapsing);
    this->store->silence_watches();
    for (auto const& each : this->hosts) {
        each->store->reset();
    }
    for (database_slot& each : this->databases) {
        each.unheard = true;
    }
}

void soak_stage::regain_store() {
    this->store_lost = false;
    for (std::size_t i = 0; i < this->databases.size(); ++i) {
        database_slot& slot = this->databases[i];
        if (this->rows_lapse && std::exchange(slot.registered, false)) {
            this->store->remove("servers", slot.id);
        }
        // Of each database another share of the interval has passed; one that drains
        // reports it at once.
        milliseconds const next_heartbeat =
            (this->heartbeat_phase + i * heartbeat_interval / databases_in_group) %
            heartbeat_interval;
        milliseconds const wait = slot.draining ? milliseconds(0) : next_heartbeat;
        auto const heartbeat = std::make_shared<asio::steady_timer>(this->loop, wait);
        heartbeat->async_wait([this, i, heartbeat](boost::system::error_code) {
            if (i < this->databases.size() && !this->store_lost) {
                this->databases[i].unheard = false;
                this->register_database(this->databases[i]);
            }
        });
    }
}

void soak_stage::write_settings(std::size_t host) {
    host_slot const& slot = *this->hosts[host];
    std::string const number = std::to_string(host);
    auto const written = this->folder / ("host-" + number + ".toml.new");
    std::ofstream(written) << "[host]\nname = \"host-" << number
                           << "\"\navailability_zone = \"" << zone << "\"\n"
                           << "[listen]\ncallers = \"" << at(slot.callers)
                           << "\"\nreadiness = \"" << at(slot.readiness)
                           << "\"\npeers = \"" << at(slot.peers) << "\"\n"
                           << "[platform]\nstore = \"" << at(slot.store->port())
                           << "\"\npromotion = \"" << at(this->store->port()) << "\"\n"
                           << "[peers]\nseeds = \"" << at(this->hosts.front()->peers)
                           << "\"\n"
                           << "[stop]\ngrace = \"" << grace.count()
                           << "ms\"\nrotation = \"300ms\"\n";
    std::filesystem::rename(written, this->folder / ("host-" + number + ".toml"));
}

void soak_stage::start_host(std::size_t host) {
    host_slot& slot = *this->hosts[host];
    this->write_settings(host);
    std::string const name = host_name(host);
    slot.ending = false;
    slot.process = std::make_unique<host_process>(
        this->program, this->folder / (name + ".toml"), this->folder / (name + ".log"));
    slot.process_id = slot.process->number();
}

void soak_stage::end_process(std::size_t host, int signal) {
    host_slot& slot = *this->hosts[host];
    if (!slot.process) {
        return;
    }
    if (!slot.ending && !slot.process->running()) {
        this->endings.push_back(
            "host " + std::to_string(host) +
            " ended by itself: " + slot.process->ending());
    }
    slot.ending = true;
    slot.process->send(signal);
    // A process that is paused takes no signal but these.
    slot.process->send(SIGCONT);
}

bool soak_stage::lasts(soak_fault kind, std::size_t target) const {
    return this->lasting.count({kind, target}) > 0;
}

bool soak_stage::lasts_anywhere(soak_fault kind) const {
    return std::any_of(
        this->lasting.begin(), this->lasting.end(),
        [kind](auto const& each) { return each.first == kind; });
}

void soak_stage::note(std::string const& text) {
    auto const now = std::chrono::system_clock::now().time_since_epoch();
    this->notes << std::chrono::duration_cast<milliseconds>(now).count() << ' ' << text
                << std::endl;
}

std::size_t soak_stage::primary_number() {
    std::size_t number = 0;
    this->on_loop([&] {
        std::string const leader = this->group->leader();
        while (number < this->databases.size() && this->databases[number].id != leader) {
            ++number;
        }
    });
    return number;
}

planned_fault soak_stage::begin(planned_fault fault) {
    if (hits_primary(fault.kind)) {
        fault.target = this->primary_number();
    } else if (fault.kind == soak_fault::ranked_host_paused) {
        fault.kind = soak_fault::host_paused;
        auto const& primary = this->databases[this->primary_number()];
        fault.target = this->ranked_hosts(primary.id).at(fault.rank);
    } else if (fault.kind == soak_fault::replica_joined) {
        this->on_loop([&] { fault.target = this->join_replica(); });
    }
    this->on_loop([&] {
        this->note(
            to_string(fault.kind) + std::string(" begins ") +
            std::to_string(fault.target));
    });
    this->lasting.emplace(fault.kind, fault.target);
    this->act_once(fault);
    this->refresh_store();
    if (fault.target < this->hosts.size()) {
        this->refresh_host(fault.target);
    }
    if (fault.target < this->databases.size()) {
        this->refresh_database(fault.target);
    }
    return fault;
}

void soak_stage::end(planned_fault const& fault) {
    this->on_loop([&] {
        this->note(
            to_string(fault.kind) + std::string(" ends ") + std::to_string(fault.target));
    });
    auto const found = this->lasting.find({fault.kind, fault.target});
    if (found != this->lasting.end()) {
        this->lasting.erase(found);
    }
    this->refresh_store();
    if (fault.target < this->hosts.size()) {
        this->refresh_host(fault.target);
    }
    if (fault.target < this->databases.size()) {
        this->refresh_database(fault.target);
    }
}

void soak_stage::act_once(planned_fault const& fault) {
    std::size_t const target = fault.target;
    switch (fault.kind) {
    case soak_fault::host_killed:
        this->end_process(target, SIGKILL);
        return;
    case soak_fault::host_stopped:
        this->end_process(target, SIGTERM);
        return;
    case soak_fault::host_reloaded:
        this->write_settings(target);
        if (this->hosts[target]->process) {
            this->hosts[target]->process->send(SIGHUP);
        }
        return;
    case soak_fault::connections_silenced:
        this->on_loop([&] { this->databases[target].proxy->silence(); });
        return;
    case soak_fault::connections_reset:
        this->on_loop([&] { this->databases[target].proxy->reset(); });
        return;
    case soak_fault::write_answer_lost:
    case soak_fault::read_answer_lost:
        this->on_loop([&] {
            this->group->lose_next_answer(
                this->databases[target].id, fault.kind == soak_fault::write_answer_lost);
        });
        return;
    case soak_fault::configuration_changed:
        ++this->extra_routes;
        this->on_loop([&] { this->configure(); });
        return;
    case soak_fault::key_withdrawn:
        this->withdrawn.emplace(passing_key, std::chrono::steady_clock::now());
        this->on_loop([&] { this->configure(); });
        this->withdrawn[passing_key] =
            std::min(this->withdrawn[passing_key], std::chrono::steady_clock::now());
        return;
    case soak_fault::orders_late:
        this->on_loop([&] {
            this->group->set_order_delay(this->databases[target].id, fault.delay);
        });
        return;
    case soak_fault::database_replaced:
        this->on_loop([&] { this->begin_replacement(target); });
        return;
    case soak_fault::store_away:
    case soak_fault::store_away_lapsing:
        this->heartbeat_phase = fault.delay;
        return;
    case soak_fault::primary_silent_to_hosts:
        this->on_loop(
            [&] { this->cut_first_hosts(this->databases[target], fault.rank); });
        return;
    case soak_fault::promotions_late:
        this->on_loop([&] { this->store->set_promotion_delay(fault.delay); });
        return;
    default:
        return;
    }
}

void soak_stage::refresh_host(std::size_t host) {
    host_slot& slot = *this->hosts[host];
    bool const gone = this->lasts(soak_fault::host_killed, host) ||
                      this->lasts(soak_fault::host_stopped, host);
    if (!gone && slot.ending) {
        // The platform kills what is still there behind the grace.
        slot.process.reset();
    }
    if (!gone && !slot.process) {
        this->start_host(host);
    }
    if (slot.process && !slot.ending) {
        slot.process->send(
            this->lasts(soak_fault::host_paused, host) ? SIGSTOP : SIGCONT);
    }
    link_fault link = link_fault::none;
    if (this->lasts(soak_fault::host_store_cut, host)) {
        link = link_fault::cut;
    } else if (this->lasts(soak_fault::host_store_reset, host)) {
        link = link_fault::refusing;
    } else if (this->lasts(soak_fault::host_store_slow, host)) {
        link = link_fault::delayed;
    }
    this->on_loop([&] { slot.store->set_fault(link); });
}

void soak_stage::refresh_database(std::size_t database) {
    database_slot& slot = this->databases[database];
    bool const dead = this->lasts(soak_fault::database_killed, database) ||
                      this->lasts(soak_fault::primary_killed, database);
    bool const silent = dead || this->lasts(soak_fault::registration_silent, database) ||
                        this->lasts(soak_fault::replica_joined, database);
    link_fault link = link_fault::none;
    if (this->lasts(soak_fault::database_cut, database)) {
        link = link_fault::cut;
    } else if (this->lasts(soak_fault::database_one_way, database)) {
        link = link_fault::one_way;
    } else if (this->lasts(soak_fault::database_refusing, database)) {
        link = link_fault::refusing;
    } else if (this->lasts(soak_fault::database_slow, database)) {
        link = link_fault::delayed;
    }
    bool const leaves = this->lasts(soak_fault::database_replaced, database);
    bool const is_silent_to_some =
        this->lasts(soak_fault::primary_silent_to_hosts, database);
    bool const departs = this->lasts(soak_fault::primary_leaving, database);
    this->on_loop([&] {
        if (departs && !slot.draining) {
            slot.draining = true;
            this->register_database(slot);
        } else if (slot.draining && !departs && this->successors.count(database) == 0) {
            this->end_departure(slot);
        } else if (slot.draining && !leaves && !departs) {
            this->end_replacement(database);
        }
        if (slot.gone) {
            return;
        }
        slot.proxy->set_fault(link);
        slot.proxy->cut_callers(
            is_silent_to_some ? slot.silent_to : std::set<std::size_t>());
        this->group->set_deaf(slot.id, this->lasts(soak_fault::replica_deaf, database));
        this->group->set_isolated(
            slot.id, this->lasts(soak_fault::primary_isolated, database));
        this->group->set_cut(slot.id, this->lasts(soak_fault::primary_cut, database));
        if (!this->lasts(soak_fault::orders_late, database)) {
            this->group->set_order_delay(slot.id, milliseconds(0));
        }
        if (dead && slot.alive) {
            this->group->kill(slot.id);
        } else if (!dead && !slot.alive) {
            this->group->revive(slot.id);
        }
        slot.alive = !dead;
        if (silent != slot.silent_since.has_value()) {
            this->set_silent(slot, silent);
        }
    });
}

void soak_stage::refresh_store() {
    standin::store_fault fault = standin::store_fault::none;
    if (this->lasts_anywhere(soak_fault::store_silent)) {
        fault = standin::store_fault::silent;
    } else if (
        this->lasts_anywhere(soak_fault::store_unavailable) || this->is_store_away()) {
        fault = standin::store_fault::unavailable;
    } else if (this->lasts_anywhere(soak_fault::store_answers_lost)) {
        fault = standin::store_fault::answer_lost;
    }
    bool const away = this->is_store_away();
    if (!away && this->store_lost) {
        this->on_loop([&] { this->regain_store(); });
    }
    this->store->set_fault(fault);
    if (away && !this->store_lost) {
        this->on_loop([&] { this->lose_store(); });
    }
    if (!this->lasts_anywhere(soak_fault::promotions_late)) {
        this->on_loop([&] { this->store->set_promotion_delay(milliseconds(0)); });
    }
}

void soak_stage::heal() {
    this->lasting.clear();
    this->refresh_store();
    for (std::size_t i = 0; i < this->databases.size(); ++i) {
        this->refresh_database(i);
    }
    for (std::size_t i = 0; i < this->hosts.size(); ++i) {
        this->refresh_host(i);
    }
}

bool soak_stage::wait_ready(milliseconds patience) {
    auto const end = std::chrono::steady_clock::now() + patience;
    while (std::chrono::steady_clock::now() < end) {
        bool const all =
            std::all_of(this->hosts.begin(), this->hosts.end(), [](auto const& each) {
                return is_ready(each->readiness);
            });
        if (all) {
            return true;
        }
        std::this_thread::sleep_for(poll_pause);
    }
    return false;
}

std::vector<std::string> soak_stage::held_replicas() {
    std::vector<std::string> held;
    this->on_loop([&] { held = this->group->held(); });
    return held;
}

void soak_stage::collect(soak_evidence& evidence) {
    this->on_loop([&] {
        evidence.log = this->group->writes();
        evidence.dropped = this->group->dropped_writes();
        evidence.lossy_promotions = this->group->lossy_promotions();
        evidence.ran = this->group->ran();
        evidence.runs[metered.team] = this->group->runs_of(metered.team);
        for (auto const& each : this->group->teams()) {
            evidence.teams_seen.insert(each.first);
        }
    });
    evidence.teams_known = {"hatchery", metered.team};
    evidence.quotas = {metered};
    evidence.withdrawn_keys = this->withdrawn;
}

std::vector<std::string> soak_stage::unasked_endings() {
    for (std::size_t i = 0; i < this->hosts.size(); ++i) {
        host_slot& slot = *this->hosts[i];
        if (slot.process && !slot.ending && !slot.process->running()) {
            this->endings.push_back(
                "host " + std::to_string(i) +
                " ended by itself: " + slot.process->ending());
        }
    }
    return this->endings;
}

std::vector<std::string> soak_stage::unreadable_logs() const {
    std::vector<std::string> found;
    for (std::size_t i = 0; i < this->hosts.size(); ++i) {
        std::string const name = host_name(i);
        std::istringstream log(complete_lines(this->folder / (name + ".log")));
        service_level_book book({}, {});
        for (finding const& each : report::read_events(log, name, book).findings) {
            found.push_back("log of " + to_string(each));
        }
        if (book.report().requests == 0) {
            found.push_back("log of " + name + " tells of no request");
        }
    }
    return found;
}

} // namespace persimmonpoint::tests
