#include <algorithm>
#include <array>
#include <atomic>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/ssl/context.hpp>
#include <condition_variable>
#include <future>
#include <mutex>
#include <persimmonpoint/chart/machine.hpp>
#include <persimmonpoint/control/control.hpp>
#include <persimmonpoint/core/recovery/orphaned_transactions.hpp>
#include <persimmonpoint/host/entry_host.hpp>
#include <persimmonpoint/net/run_loop.hpp>
#include <persimmonpoint/observe/log.hpp>
#include <persimmonpoint/observe/random_device_source.hpp>
#include <persimmonpoint/observe/thread_name.hpp>
#include <persimmonpoint/platform/http_platform.hpp>
#include <persimmonpoint/postgres/libpq_connection.hpp>
#include <persimmonpoint/traffic/admission.hpp>
#include <persimmonpoint/traffic/worker.hpp>
#include <thread>

namespace persimmonpoint::host {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

namespace {

enum class host_state { starting, serving, draining, stopped };
enum class host_event { catalog_loaded, stop_requested, sessions_ended, stop_hurried };

constexpr std::array<std::string_view, 4> state_names = {
    "starting", "serving", "draining", "stopped"};
constexpr std::array<std::string_view, 4> event_names = {
    "catalog_loaded", "stop_requested", "sessions_ended", "stop_hurried"};

using host_machine = chart::machine<host_state, host_event>;

constexpr std::chrono::milliseconds drain_check_interval{10};

std::shared_ptr<chart::chart const> host_rules() {
    static auto const rules = chart::require("host", state_names, event_names);
    return rules;
}

/// A worker's way to control: asks on the control thread, answers on the worker's.
class posting_link final : public control_link {
public:
    posting_link(
        asio::io_context& control_loop, control::control& target, asio::io_context& home)
        : control_loop(control_loop), target(target), home(home) {}

    void confirm_durable(
        std::string_view group,
        log_position position,
        instant deadline,
        proof_handler handler) override {
        asio::post(
            this->control_loop, [this, name = std::string(group), position, deadline,
                                 handler = this->at_home(std::move(handler))] {
                this->target.confirm_durable(name, position, deadline, handler);
            });
    }

    void confirm_position(
        std::string_view group, instant deadline, position_handler handler) override {
        asio::post(
            this->control_loop, [this, name = std::string(group), deadline,
                                 handler = this->at_home(std::move(handler))] {
                this->target.confirm_position(name, deadline, handler);
            });
    }

    void probe(
        std::string_view group,
        std::size_t database,
        int backend_pid,
        probe_handler handler) override {
        asio::post(
            this->control_loop, [this, name = std::string(group), database, backend_pid,
                                 handler = this->at_home(std::move(handler))] {
                this->target.probe(name, database, backend_pid, handler);
            });
    }

private:
    template <class Argument>
    std::function<void(Argument)> at_home(std::function<void(Argument)> handler) {
        return [home = &this->home, handler = std::move(handler)](Argument value) {
            asio::post(*home, [handler, value] { handler(value); });
        };
    }

    asio::io_context& control_loop;
    control::control& target;
    asio::io_context& home;
};

std::unique_ptr<asio::ssl::context> make_tls(settings::host_settings const& settings) {
    if (settings.tls_certificate_file.empty()) {
        return nullptr;
    }
    auto context = std::make_unique<asio::ssl::context>(asio::ssl::context::tls_server);
    context->set_options(
        asio::ssl::context::no_sslv2 | asio::ssl::context::no_sslv3 |
        asio::ssl::context::no_tlsv1 | asio::ssl::context::no_tlsv1_1);
    context->use_certificate_chain_file(settings.tls_certificate_file);
    context->use_private_key_file(settings.tls_key_file, asio::ssl::context::pem);
    return context;
}

} // namespace

struct entry_host::implementation {
    explicit implementation(settings::host_settings given)
        : settings(std::move(given)),
          tls(make_tls(this->settings)),
          limits(
              1.0 / static_cast<double>(this->settings.hosts_expected),
              std::chrono::steady_clock::now()),
          guard(asio::make_work_guard(this->loop)),
          acceptor(this->loop),
          machine(host_rules()) {
        this->incarnation = static_cast<std::uint64_t>(
            this->random.unit() * 1e15); // Tells this process from an earlier one.
        this->make_session_settings();
        this->make_workers();
        this->make_control();
    }

    void make_session_settings() {
        this->session.max_frame = this->settings.max_frame_bytes;
        this->session.startup_timeout = this->settings.startup_timeout;
        this->session.statement_timeout = this->settings.statement_timeout;
        this->session.silence_probe = this->settings.silence_probe;
        this->session.idle_in_transaction = this->settings.idle_in_transaction;
        this->session.token_secret = this->settings.token_secret;
        this->session.availability_zone = this->settings.availability_zone;
        this->session.allow_clear_text_keys = this->settings.allow_clear_text_keys;
    }

    std::string connection_tag() const {
        return std::string(connection_tag_prefix) + this->settings.name + "/" +
               std::to_string(this->incarnation);
    }

    std::shared_ptr<database_connection>
    make_connection(asio::io_context& home, upstream_database const& database) const {
        postgres::connection_target target;
        target.address = database.address;
        target.port = database.port;
        target.user = this->settings.upstream_user;
        target.password = this->settings.upstream_password;
        target.database = this->settings.upstream_database;
        target.application_name = this->connection_tag();
        target.ssl_mode = this->settings.upstream_ssl_mode;
        return postgres::make_libpq_connection(home, std::move(target));
    }

    void make_workers() {
        for (std::size_t i = 0; i < this->settings.traffic_threads; ++i) {
            traffic::worker_environment environment{
                this->session,
                this->limits,
                this->cancels,
                this->tls.get(),
                this->settings.hosts_expected,
                this->settings.traffic_threads,
                [this](asio::io_context& home, upstream_database const& database) {
                    return this->make_connection(home, database);
                }};
            this->workers.push_back(
                std::make_unique<traffic::worker>(std::move(environment), i));
        }
    }

    void make_control() {
        this->platform = std::make_unique<platform::http_platform>(
            this->loop, this->settings.platform_address, this->settings.platform_port,
            this->settings.platform_timeout);
        control::control_settings wanted;
        wanted.catalog_poll_interval = this->settings.catalog_poll_interval;
        wanted.monitor.host_name =
            this->settings.name + "/" + std::to_string(this->incarnation);
        wanted.monitor.connection_tag = this->connection_tag();
        wanted.monitor.orphan_idle_timeout = this->settings.idle_in_transaction * 3 / 2;
        wanted.monitor.watch.poll_interval = this->settings.poll_interval;
        wanted.monitor.watch.suspicion_time = this->settings.suspicion_time;
        this->control = std::make_unique<control::control>(
            this->loop, std::move(wanted), *this->platform,
            [this](upstream_database const& database) {
                return this->make_connection(this->loop, database);
            },
            this->random,
            [this](control::snapshot_ptr const& snapshot) {
                this->on_snapshot(snapshot);
            });
        for (auto const& each : this->workers) {
            each->set_control(
                std::make_unique<posting_link>(this->loop, *this->control, each->loop()));
        }
    }

    void on_snapshot(control::snapshot_ptr const& snapshot) {
        for (auto const& each : this->workers) {
            each->apply(snapshot);
        }
        bool const all_led = std::ranges::all_of(snapshot->groups, [](auto const& each) {
            return each.second->primary.has_value();
        });
        bool const known =
            snapshot->groups.size() == snapshot->configuration->groups.size();
        this->groups_led = all_led && known;
        if (this->machine.is(host_state::starting)) {
            this->machine.fire(host_event::catalog_loaded);
            this->listen();
        }
        std::scoped_lock const lock(this->mutex);
        this->serving = this->machine.is(host_state::serving) && this->groups_led;
        this->changed.notify_all();
    }

    void listen() {
        tcp::endpoint const endpoint(
            asio::ip::make_address(this->settings.address), this->settings.port);
        this->acceptor.open(endpoint.protocol());
        this->acceptor.set_option(tcp::acceptor::reuse_address(true));
        this->acceptor.bind(endpoint);
        this->acceptor.listen();
        this->bound_port = this->acceptor.local_endpoint().port();
        observe::log(
            observe::log_level::info, observe::log_part::app,
            "Host \"" + this->settings.name + "\" serves callers on " +
                this->settings.address + ":" + std::to_string(this->bound_port.load()) +
                ".");
        this->accept();
    }

    void accept() {
        traffic::worker& next = *this->workers[this->next_worker];
        this->next_worker = (this->next_worker + 1) % this->workers.size();
        this->acceptor.async_accept(
            next.loop(),
            [this, &next](boost::system::error_code failure, tcp::socket socket) {
                if (failure == asio::error::operation_aborted) {
                    return;
                }
                if (!failure) {
                    next.adopt(std::move(socket));
                }
                this->accept();
            });
    }

    void start() {
        for (auto const& each : this->workers) {
            each->start();
        }
        asio::post(this->loop, [this] { this->control->start(); });
        this->thread = std::thread([this] {
            observe::name_this_thread("control");
            net::run_loop(this->loop, "control");
        });
    }

    std::size_t session_count() const {
        std::size_t count = 0;
        for (auto const& each : this->workers) {
            count += each->session_count();
        }
        return count;
    }

    void drain(std::chrono::milliseconds limit) {
        asio::post(this->loop, [this] {
            this->machine.fire(host_event::stop_requested);
            boost::system::error_code ignored;
            this->acceptor.close(ignored);
            this->control->drain();
        });
        auto const deadline = std::chrono::steady_clock::now() + limit;
        while (this->session_count() > 0 && !this->hurried &&
               std::chrono::steady_clock::now() < deadline) {
            std::this_thread::sleep_for(drain_check_interval);
        }
        asio::post(this->loop, [this] {
            this->machine.fire(
                this->hurried ? host_event::stop_hurried : host_event::sessions_ended);
        });
    }

    void stop() {
        if (!this->thread.joinable()) {
            return;
        }
        // Nobody may come in behind those who are being sent away.
        std::promise<void> closed;
        asio::post(this->loop, [this, &closed] {
            boost::system::error_code ignored;
            this->acceptor.close(ignored);
            closed.set_value();
        });
        closed.get_future().wait();
        for (auto const& each : this->workers) {
            each->stop();
        }
        asio::post(this->loop, [this] {
            this->control->stop();
            this->loop.stop();
        });
        this->thread.join();
    }

    settings::host_settings settings;
    observe::random_device_source random;
    std::uint64_t incarnation = 0;
    std::unique_ptr<asio::ssl::context> tls;
    traffic::session_settings session;
    traffic::admission limits;
    traffic::cancel_registry cancels;
    // The workers go last: answers on control's loop may still hold parts of them.
    std::vector<std::unique_ptr<traffic::worker>> workers;
    asio::io_context loop{1};
    asio::executor_work_guard<asio::io_context::executor_type> guard;
    tcp::acceptor acceptor;
    host_machine machine;
    std::unique_ptr<platform::http_platform> platform;
    std::unique_ptr<control::control> control;
    std::size_t next_worker = 0;
    std::thread thread;
    std::atomic<std::uint16_t> bound_port{0};
    std::atomic<bool> hurried{false};
    bool groups_led = false;
    std::mutex mutex;
    std::condition_variable changed;
    bool serving = false;
};

entry_host::entry_host(settings::host_settings settings)
    : impl(std::make_unique<implementation>(std::move(settings))) {}

entry_host::~entry_host() {
    this->stop();
}

void entry_host::start() {
    this->impl->start();
}

bool entry_host::wait_until_serving(std::chrono::milliseconds limit) {
    std::unique_lock lock(this->impl->mutex);
    return this->impl->changed.wait_for(
        lock, limit, [this] { return this->impl->serving; });
}

std::uint16_t entry_host::port() const {
    return this->impl->bound_port;
}
void entry_host::drain(std::chrono::milliseconds limit) {
    this->impl->drain(limit);
}
void entry_host::stop() {
    this->impl->stop();
}
void entry_host::hurry() {
    this->impl->hurried = true;
}

} // namespace persimmonpoint::host
