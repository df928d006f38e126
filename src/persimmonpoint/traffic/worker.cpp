#include <atomic>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <persimmonpoint/net/run_loop.hpp>
#include <persimmonpoint/observe/monotonic_clock.hpp>
#include <persimmonpoint/observe/random_device_source.hpp>
#include <persimmonpoint/observe/thread_name.hpp>
#include <persimmonpoint/postgres/query_classifier.hpp>
#include <persimmonpoint/traffic/caller_session.hpp>
#include <persimmonpoint/traffic/worker.hpp>
#include <set>
#include <thread>

namespace persimmonpoint::traffic {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

namespace {

constexpr std::size_t classified_texts = 4096;
constexpr std::chrono::milliseconds stop_limit{500};
constexpr std::chrono::milliseconds stop_check_interval{5};
/// Control keeps one connection to each database.
constexpr std::size_t control_connections = 1;

std::shared_ptr<chart::chart const> session_rules() {
    static auto const rules = chart::require("session", session_states, session_events);
    return rules;
}

std::shared_ptr<chart::chart const> connection_rules() {
    static auto const rules =
        chart::require("connection", connection_states, connection_events);
    return rules;
}

} // namespace

struct worker::implementation {
    implementation(worker_environment environment, std::size_t index)
        : environment(std::move(environment)),
          index(index),
          guard(asio::make_work_guard(this->loop)),
          classifier(classified_texts),
          last_call(this->loop) {}

    /// This worker's part of what a database allows to the whole fleet.
    std::size_t connection_share(upstream_database const& database) const {
        std::size_t const host_share =
            database.connections / this->environment.hosts_expected;
        std::size_t const for_traffic =
            host_share > control_connections ? host_share - control_connections : 0;
        std::size_t const workers = this->environment.worker_count;
        std::size_t const remainder = for_traffic % workers;
        return for_traffic / workers + (this->index < remainder ? 1 : 0);
    }

    void apply(control::snapshot_ptr snapshot) {
        bool const changed =
            !this->context->snapshot ||
            this->context->snapshot->configuration != snapshot->configuration;
        bool const drains = snapshot->draining && !(this->context->snapshot &&
                                                    this->context->snapshot->draining);
        this->context->snapshot = std::move(snapshot);
        if (changed) {
            this->update_pools();
        }
        if (changed || drains) {
            auto const all = this->sessions;
            for (auto const& each : all) {
                each->on_snapshot();
            }
        }
    }

    void update_pools() {
        auto const& groups = this->context->snapshot->configuration->groups;
        std::map<std::string, std::shared_ptr<connection_pool>> kept;
        for (auto const& [name, group] : groups) {
            std::vector<std::shared_ptr<connection_pool>> pools;
            for (upstream_database const& database : group.databases) {
                std::string const id = name + "/" + database.name + "@" +
                                       database.address + ":" +
                                       std::to_string(database.port);
                auto& pool = kept[id];
                auto const known = this->pools.find(id);
                pool = known != this->pools.end() ? known->second
                                                  : this->make_pool(database);
                pool->set_limit(this->connection_share(database));
                pools.push_back(pool);
            }
            this->context->pools[name] = std::move(pools);
        }
        std::erase_if(this->context->pools, [&](auto const& each) {
            return !groups.contains(each.first);
        });
        for (auto const& [id, pool] : this->pools) {
            if (!kept.contains(id)) {
                pool->close();
            }
        }
        this->pools = std::move(kept);
    }

    std::shared_ptr<connection_pool> make_pool(upstream_database const& database) {
        pool_settings settings;
        settings.limit = this->connection_share(database);
        return std::make_shared<connection_pool>(
            this->loop, this->time, database.name,
            [this, database] {
                return this->environment.make_connection(this->loop, database);
            },
            settings, connection_rules());
    }

    void stop_when_empty() {
        if (this->sessions.empty()) {
            this->last_call.cancel();
            return;
        }
        auto timer =
            std::make_shared<asio::steady_timer>(this->loop, stop_check_interval);
        timer->async_wait(
            [this, timer](boost::system::error_code) { this->stop_when_empty(); });
    }

    cancel_key next_cancel_key() {
        constexpr double range = 2147483647.0;
        auto const draw = [&] {
            return static_cast<std::uint32_t>(this->random.unit() * range);
        };
        return cancel_key{draw(), draw()};
    }

    void adopt(tcp::socket socket) {
        if (this->stopping) {
            return; // The socket closes; the caller goes to another host.
        }
        boost::system::error_code failure;
        auto const peer = socket.remote_endpoint(failure);
        if (failure) {
            return;
        }
        cancel_key const key = this->next_cancel_key();
        auto channel = postgres::frame_channel::create(
            std::move(socket), this->environment.settings.max_frame);
        auto session = std::make_shared<caller_session>(
            *this->context, channel, this->environment.cancels, key,
            peer.address().is_loopback(), [this](caller_session& ended) {
                this->sessions.erase(ended.shared_from_this());
                this->count = this->sessions.size();
            });
        this->sessions.insert(session);
        this->count = this->sessions.size();
        std::weak_ptr<caller_session> const weak = session;
        this->environment.cancels.add(key.process_id, key.secret, [this, weak] {
            asio::post(this->loop, [weak] {
                if (auto const found = weak.lock()) {
                    found->cancel();
                }
            });
        });
        session->start();
    }

    worker_environment environment;
    std::size_t index;
    asio::io_context loop{1};
    asio::executor_work_guard<asio::io_context::executor_type> guard;
    postgres::query_classifier classifier;
    asio::steady_timer last_call;
    observe::random_device_source random;
    observe::monotonic_clock time;
    std::unique_ptr<control_link> link;
    std::unique_ptr<worker_context> context;
    std::map<std::string, std::shared_ptr<connection_pool>> pools;
    std::set<std::shared_ptr<caller_session>> sessions;
    std::atomic<std::size_t> count{0};
    bool stopping = false;
    std::thread thread;
};

worker::worker(worker_environment environment, std::size_t index)
    : impl(std::make_unique<implementation>(std::move(environment), index)) {}

worker::~worker() {
    this->stop();
}

asio::io_context& worker::loop() {
    return this->impl->loop;
}

void worker::set_control(std::unique_ptr<control_link> link) {
    this->impl->link = std::move(link);
    this->impl->context = std::make_unique<worker_context>(worker_context{
        this->impl->loop,
        this->impl->environment.settings,
        *this->impl->link,
        this->impl->environment.limits,
        this->impl->classifier,
        this->impl->random,
        session_rules(),
        this->impl->environment.tls,
        nullptr,
        {},
        {}});
}

void worker::start() {
    this->impl->thread = std::thread([this] {
        observe::name_this_thread("traffic");
        net::run_loop(this->impl->loop, "traffic");
    });
}

void worker::adopt(tcp::socket socket) {
    auto shared = std::make_shared<tcp::socket>(std::move(socket));
    asio::post(
        this->impl->loop, [this, shared] { this->impl->adopt(std::move(*shared)); });
}

void worker::apply(control::snapshot_ptr snapshot) {
    asio::post(this->impl->loop, [this, snapshot = std::move(snapshot)] {
        this->impl->apply(snapshot);
    });
}

void worker::stop() {
    if (!this->impl->thread.joinable()) {
        return;
    }
    asio::post(this->impl->loop, [this] {
        this->impl->stopping = true;
        auto const all = this->impl->sessions;
        for (auto const& each : all) {
            each->end("57P01", "this host is shutting down");
        }
        for (auto const& [id, pool] : this->impl->pools) {
            pool->close();
        }
        // What was said to the callers still has to go out; the loop ends when it has.
        this->impl->guard.reset();
        this->impl->last_call.expires_after(stop_limit);
        this->impl->last_call.async_wait(
            [this](boost::system::error_code) { this->impl->loop.stop(); });
        this->impl->stop_when_empty();
    });
    this->impl->thread.join();
    // A caller that took nothing of what was said is cut off.
    auto const left = this->impl->sessions;
    for (auto const& each : left) {
        each->cut_off();
    }
}

std::size_t worker::session_count() const {
    return this->impl->count;
}

} // namespace persimmonpoint::traffic
