#include <algorithm>
#include <atomic>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cmath>
#include <csignal>
#include <persimmonpoint/core/catalog/directory_changes.hpp>
#include <persimmonpoint/core/membership/fleet_pace.hpp>
#include <persimmonpoint/core/membership/leader_news.hpp>
#include <persimmonpoint/core/recovery/graceful_shutdown.hpp>
#include <persimmonpoint/core/routing/owner_ranking.hpp>
#include <persimmonpoint/engine/boot_clock.hpp>
#include <persimmonpoint/engine/caller_session.hpp>
#include <persimmonpoint/engine/commit_guard.hpp>
#include <persimmonpoint/engine/dispatcher.hpp>
#include <persimmonpoint/engine/leadership_keeper.hpp>
#include <persimmonpoint/engine/message_check.hpp>
#include <persimmonpoint/engine/peer_mesh.hpp>
#include <persimmonpoint/engine/quota_keeper.hpp>
#include <persimmonpoint/engine/store_watch.hpp>
#include <persimmonpoint/host/front_host.hpp>
#include <persimmonpoint/host/settings_watch.hpp>
#include <persimmonpoint/net/http_responder.hpp>
#include <persimmonpoint/net/run_loop.hpp>
#include <persimmonpoint/net/tcp_options.hpp>
#include <persimmonpoint/observe/event_log.hpp>
#include <persimmonpoint/platform/fleet_decoder.hpp>
#include <persimmonpoint/platform/line_connection.hpp>
#include <persimmonpoint/platform/line_listener.hpp>
#include <persimmonpoint/platform/operator_client.hpp>
#include <persimmonpoint/platform/store_client.hpp>
#include <set>
#include <span>
#include <thread>
#include <utility>

namespace persimmonpoint::host {

namespace asio = boost::asio;
using namespace persimmonpoint::engine;

namespace {

/// Hosts that read the store often and pass its news on.
constexpr std::size_t leading_readers = 2;
/// How long a host that is otherwise ready waits to learn of the others.
constexpr auto hosts_patience = std::chrono::milliseconds(300);
/// How long callers wait for the configuration of a host that has just started.
constexpr auto startup_patience = std::chrono::milliseconds(400);
constexpr auto lost_check_interval = std::chrono::seconds(2);
constexpr auto drain_tick = std::chrono::milliseconds(50);
constexpr unsigned status_ok = 200;
constexpr unsigned status_unavailable = 503;

/// Entries of one configuration that are logged one by one.
constexpr std::size_t max_logged_faults = 20;

void log_left_out(std::uint64_t version, std::span<entry_fault const> left_out) {
    if (left_out.empty()) {
        return;
    }
    for (entry_fault const& each :
         left_out.first(std::min(left_out.size(), max_logged_faults))) {
        observe::log_event(
            observe::log_level::warning, "configuration_entry_left_out",
            {{"configuration", version},
             {"list", each.list},
             {"entry", each.entry},
             {"reason", "field " + each.fault.field + " " + each.fault.reason}});
    }
    observe::log_event(
        observe::log_level::warning, "configuration_incomplete",
        {{"configuration", version}, {"entries_left_out", left_out.size()}});
}

/// For example "zone-a, zone-b".
std::string joined(std::set<std::string, std::less<>> const& names) {
    std::string text;
    for (std::string const& each : names) {
        text += (text.empty() ? "" : ", ") + each;
    }
    return text;
}

std::string format_store_calls(std::span<platform::store_call_count const> calls) {
    std::string text;
    for (platform::store_call_count const& each : calls) {
        text += "persimmonpoint_store_calls_total{call=\"" + each.call + "\",table=\"" +
                each.table + "\"} " + std::to_string(each.count) + "\n";
    }
    return text;
}

std::uint32_t to_millicores(double cores) {
    return static_cast<std::uint32_t>(std::lround(cores * 1000));
}

asio::ip::tcp::endpoint endpoint_of(std::string const& text) {
    // The settings were checked when they were loaded.
    return net::parse_endpoint(text).value_or(asio::ip::tcp::endpoint());
}

} // namespace

struct front_host::implementation final : mesh_observer,
                                          leadership_authority,
                                          notice_board,
                                          store_observer {
    explicit implementation(settings::front_settings given)
        : settings(std::move(given)),
          course(settings.grace, settings.rotation),
          self{
              settings.name, settings.peers, settings.availability_zone,
              to_millicores(settings.processor)},
          connector(traffic_loop),
          store(control_loop, settings.store),
          promotion(control_loop, settings.promotion, settings.name),
          watch(control_loop, time, store, *this, self),
          evidence(*this),
          orders(
              traffic_loop,
              connector,
              time,
              evidence,
              view,
              settings.name,
              database_bounds{
                  settings.drain, settings.evacuation, settings.cold_overrun}),
          guard(traffic_loop, time, view, *this, settings.name),
          runs{traffic_loop, time, view, orders, settings.availability_zone},
          quotas(traffic_loop, time, view, settings.name, settings.quotas),
          keeper(runs, *this, guard),
          mesh(traffic_loop, time, *this, self),
          sessions_context{runs, quotas, counts},
          startup_timer(traffic_loop),
          hosts_timer(traffic_loop),
          lost_timer(traffic_loop),
          drain_timer(traffic_loop),
          file_watch(
              control_loop,
              settings.file,
              [this](settings::front_settings const& read) { this->use_settings(read); }),
          signals(control_loop, SIGTERM, SIGINT, SIGHUP) {
        this->orders.use(this->mesh);
        this->orders.use(this->guard);
        this->guard.start(this->mesh);
        this->quotas.start(this->mesh);
        this->keeper.start(this->mesh);
        this->mesh.set_seeds(this->settings.seeds);
        this->view.regions = this->settings.regions;
        this->remove_lost_hosts();
    }

    ~implementation() override {
        for (auto const& each : this->sessions) {
            each.second->abandon();
        }
    }

    /// The keeper is made after the dispatcher, which tells it what it sees.
    struct evidence_relay final : owner_observer {
        explicit evidence_relay(implementation& host) : host(host) {}
        void on_answer(std::string const& database) override {
            this->host.keeper.on_answer(database);
        }
        void on_refused(std::string const& database) override {
            this->host.keeper.on_refused(database);
        }
        void on_silent(std::string const& database) override {
            this->host.keeper.on_silent(database);
        }
        bool may_send_commit(std::string const& database) override {
            return this->host.may_send_commit(database);
        }
        void on_commit_sent(std::string const& database, instant sent_at) override {
            this->host.guard.commit_sent(database);
            this->host.keeper.on_commit_sent(database, sent_at);
        }
        void on_commit_ended(
            std::string const& database, instant sent_at, commit_end how) override {
            this->host.guard.commit_ended(database);
            this->host.keeper.on_commit_ended(database, sent_at, how);
        }
        void on_commit_acknowledged(
            std::string const& database,
            instant sent_at,
            std::optional<log_position> reached) override {
            this->host.keeper.on_commit_acknowledged(database, sent_at, reached);
        }
        implementation& host;
    };

    bool may_send_commit(std::string const& database) {
        registered_database const* const entry = this->view.find_database(database);
        return entry == nullptr || !this->view.replicates_commits(entry->group) ||
               this->guard.judge(entry->group, database) == fence_verdict::allow;
    }

    // Threads

    void run() {
        observe::log_event(
            observe::log_level::info, "started",
            {{"zone", this->settings.availability_zone},
             {"callers", this->settings.callers},
             {"peers", this->settings.peers}});
        net::http_responder readiness(
            this->control_loop, endpoint_of(this->settings.readiness),
            [this](net::http_question const&, net::http_responder::reply reply) {
                reply(this->answer_readiness());
            });
        std::unique_ptr<net::http_responder> metrics;
        if (!this->settings.metrics.empty()) {
            metrics = std::make_unique<net::http_responder>(
                this->control_loop, endpoint_of(this->settings.metrics),
                [this](net::http_question const&, net::http_responder::reply reply) {
                    this->answer_metrics(std::move(reply));
                });
        }
        this->wait_for_signal();
        this->file_watch.start();
        this->watch.start();
        this->await_configuration();
        auto const keep_traffic = asio::make_work_guard(this->traffic_loop);
        auto const keep_control = asio::make_work_guard(this->control_loop);
        std::thread traffic([this] { net::run_loop(this->traffic_loop, "traffic"); });
        net::run_loop(this->control_loop, "control");
        traffic.join();
        observe::log_event(observe::log_level::info, "stopped", {});
    }

    void wait_for_signal() {
        this->signals.async_wait([this](boost::system::error_code failure, int signal) {
            if (failure) {
                return;
            }
            if (signal == SIGHUP) {
                this->file_watch.reread();
                this->wait_for_signal();
                return;
            }
            this->stop();
        });
    }

    void stop() {
        asio::post(this->control_loop, [this] {
            if (this->leaving.exchange(true)) {
                return;
            }
            observe::log_event(observe::log_level::info, "stopping", {});
            // The other hosts hear it over their links before the list of hosts tells
            // them.
            asio::post(this->traffic_loop, [this] { this->begin_drain(); });
            this->watch.leave();
        });
    }

    /// Takes over what can change while the process runs: the grace and the seeds. An
    /// address needs a restart.
    void use_settings(settings::front_settings const& values) {
        asio::post(this->traffic_loop, [this, values] {
            this->course.set_grace(values.grace);
            if (!this->view.hosts.version().is_known()) {
                this->mesh.set_seeds(values.seeds);
            }
        });
    }

    // Traffic thread: callers

    /// Callers that connect to a host which has just started wait for its configuration:
    /// where all hosts were restarted, there is no other for them to go to. They are sent
    /// away if it doesn't come soon, as on a host that is cut off from the store.
    void await_configuration() {
        this->sessions_context.knows_configuration = false;
        this->listen_for_callers();
        this->startup_timer.expires_after(startup_patience);
        this->startup_timer.async_wait([this](boost::system::error_code failure) {
            if (failure || this->sessions_context.knows_configuration) {
                return;
            }
            this->listener->stop();
            this->listener.reset();
            for (auto const& each : this->open_sessions()) {
                each->configuration_missing();
            }
        });
    }

    void listen_for_callers() {
        this->listener = std::make_unique<platform::line_listener>(
            this->traffic_loop, endpoint_of(this->settings.callers),
            [this](std::shared_ptr<caller_channel> channel) {
                auto session = std::make_shared<caller_session>(
                    this->sessions_context, std::move(channel),
                    [this](caller_session* ended) { this->sessions.erase(ended); });
                this->sessions.emplace(session.get(), session);
                return session;
            },
            this->settings.callers_may);
    }

    void open_for_callers() {
        if (this->sessions_context.knows_configuration || !this->view.is_ready()) {
            return;
        }
        if (!this->view.hosts.version().is_known() && !this->waited_for_hosts) {
            this->wait_for_hosts();
            return;
        }
        this->sessions_context.knows_configuration = true;
        if (!this->listener) {
            this->listen_for_callers();
        }
        this->ready = true;
        observe::log_event(
            observe::log_level::info, "ready",
            {{"configuration", this->view.configuration->version},
             {"databases", this->view.directory.current().databases.size()},
             {"hosts", this->view.hosts.current().size()}});
        for (auto const& each : this->open_sessions()) {
            each->configuration_known();
        }
    }

    /// Hosts that are gone for good must not be counted, nor waited for.
    void remove_lost_hosts() {
        this->lost_timer.expires_after(lost_check_interval);
        this->lost_timer.async_wait([this](boost::system::error_code failure) {
            if (failure) {
                return;
            }
            auto const ranked = rank_owners("store", {}, this->mesh.usable_hosts());
            fleet_pace const pace = pace_for(this->view.host_count());
            auto const lost = this->mesh.lost_hosts(pace.lost_limit);
            // A host that has lost many others is more likely to be cut off itself.
            bool const cut_off =
                static_cast<double>(lost.size()) >=
                pace.most_lost * static_cast<double>(this->view.hosts.current().size());
            if (ranked.front() == this->settings.name && !cut_off && !this->leaving) {
                for (std::string const& each : lost) {
                    asio::post(this->control_loop, [this, each] {
                        this->watch.remove_host(each);
                    });
                }
            }
            this->remove_lost_hosts();
        });
    }

    /// Without the other hosts this one would take all databases for its own; but
    /// they may not come to be known for as long as the store is away.
    void wait_for_hosts() {
        this->hosts_timer.expires_after(hosts_patience);
        this->hosts_timer.async_wait([this](boost::system::error_code failure) {
            if (!failure) {
                this->waited_for_hosts = true;
                this->open_for_callers();
            }
        });
    }

    void begin_drain() {
        if (this->draining) {
            return;
        }
        this->draining = true;
        this->drain_began = this->time.now();
        this->quotas.retire();
        this->mesh.announce();
        this->drain();
    }

    outstanding_work work_left() const {
        outstanding_work work;
        work.sessions = this->sessions.size();
        work.unanswered_requests = static_cast<std::size_t>(std::count_if(
            this->sessions.begin(), this->sessions.end(),
            [](auto const& each) { return each.second->owes_answer(); }));
        work.orders = this->orders.load();
        work.open_transactions = this->orders.open_transactions();
        work.unsent_responses = this->mesh.unsent_responses();
        return work;
    }

    void drain() {
        outstanding_work const work = this->work_left();
        duration const passed = this->time.now() - this->drain_began;
        shutdown_decision const step = this->course.decide(passed, work);
        if (step.exits || !this->sessions_context.knows_configuration) {
            this->end(work);
            return;
        }
        if (step.closes_idle_sessions) {
            this->sessions_context.keeps_sessions = false;
            this->dismiss_idle_sessions();
        }
        if (!step.accepts_work) {
            this->listener->stop();
            this->sessions_context.accepts_work = false;
            this->orders.end_transactions();
        }
        if (step.ends_requests) {
            this->end_requests();
        }
        this->drain_timer.expires_after(drain_tick);
        this->drain_timer.async_wait([this](boost::system::error_code failure) {
            if (!failure) {
                this->drain();
            }
        });
    }

    /// A copy, as sessions that end take themselves off the list.
    std::vector<std::shared_ptr<caller_session>> open_sessions() const {
        std::vector<std::shared_ptr<caller_session>> open;
        for (auto const& each : this->sessions) {
            open.push_back(each.second);
        }
        return open;
    }

    void dismiss_idle_sessions() {
        for (auto const& each : this->open_sessions()) {
            each->dismiss_if_idle();
        }
    }

    /// Callers are answered first: a read that was lost here would be tried elsewhere.
    void end_requests() {
        for (auto const& each : this->open_sessions()) {
            each->end_request();
        }
        this->orders.close();
    }

    void end(outstanding_work const& left) {
        if (left.owes_answers()) {
            observe::log_event(
                observe::log_level::warning, "stopped_with_answers_owed",
                {{"requests", left.unanswered_requests},
                 {"orders", left.orders},
                 {"links", left.unsent_responses}});
        }
        this->orders.close();
        this->mesh.close();
        this->control_loop.stop();
        this->traffic_loop.stop();
    }

    // Traffic thread: news

    /// Configurations are ordered by the operator's own version, which the store keeps as
    /// it is. Its rows are numbered anew after it came back from an older copy.
    void use_configuration(std::string body, std::string_view from) {
        if (body == this->view.configuration_body || body == this->unreadable_body) {
            return;
        }
        auto decoded = platform::decode_configuration(body);
        if (!decoded) {
            this->unreadable_body = std::move(body);
            observe::log_event(
                observe::log_level::error, "configuration_unreadable",
                {{"from", from}, {"reason", decoded.error().message}});
            return;
        }
        std::uint64_t const version = decoded.value().configuration.version;
        bool const first = this->view.configuration_body.empty();
        if (!first && version <= this->view.configuration->version) {
            observe::log_event(
                observe::log_level::info, "configuration_not_newer",
                {{"configuration", this->view.configuration->version},
                 {"offered", version},
                 {"from", from}});
            return;
        }
        this->view.configuration_body = std::move(body);
        this->view.configuration = std::make_shared<fleet_configuration>(
            std::move(decoded.value().configuration));
        log_left_out(version, decoded.value().left_out);
        observe::log_event(
            observe::log_level::info, "configuration_in_force",
            {{"configuration", this->view.configuration->version}, {"from", from}});
        this->view.share_out_databases();
        this->quotas.refresh();
        this->orders.refresh();
        this->mesh.tell_news();
        this->open_for_callers();
    }

    void evacuations_changed(std::string_view from) {
        evacuation_list const& now = this->view.evacuations.current();
        observe::log_event(
            observe::log_level::warning, "evacuations_changed",
            {{"zones", joined(now.zones)},
             {"version", now.version.number},
             {"from", from}});
        this->view.share_out_databases();
        this->orders.refresh();
        this->mesh.tell_news();
    }

    void directory_changed() {
        this->view.cold.update(
            this->view.directory.current().databases, this->time.now());
        this->view.share_out_databases();
        database_directory const& now = this->view.directory.current();
        observe::log_event(
            observe::log_level::info, "databases_changed",
            {{"directory", now.version.number},
             {"databases", now.databases.size()},
             {"changes", describe_changes(this->logged_databases, now.databases)}});
        this->logged_databases = now.databases;
        this->orders.refresh();
        this->mesh.tell_news();
        this->open_for_callers();
    }

    void note_reading(bool succeeded, instant began_at) {
        if (succeeded) {
            this->view.readings.succeeded(
                began_at, this->view.directory.current().version.era);
        } else {
            this->view.readings.failed(this->time.now());
            this->view.directory.reading_failed();
        }
    }

    void use_hosts(store_version const& version, host_directory hosts) {
        auto const is_alive = [this](std::string const& name) {
            return this->mesh.is_usable(name);
        };
        if (!this->view.hosts.take(version, std::move(hosts), is_alive)) {
            return;
        }
        observe::log_event(
            observe::log_level::info, "hosts_changed",
            {{"hosts", this->view.hosts.current().size()}});
        this->mesh.set_hosts(this->view.hosts.current());
        this->quotas.refresh();
        this->open_for_callers();
    }

    // mesh_observer

    void on_order(
        upstream_request order, order_source source, response_handler done) override {
        this->orders.run_here(std::move(order), source, std::move(done));
    }
    void on_source_gone(order_source source) override { this->orders.forget(source); }
    void on_configuration(configuration_message message) override {
        this->use_configuration(std::move(message.body), "another host");
    }
    void on_directory(directory_message message) override {
        remove_unusable(message.directory);
        if (this->view.directory.received(message.directory)) {
            this->directory_changed();
        }
    }
    void on_evacuations(evacuation_list const& told) override {
        if (this->view.evacuations.received(told, this->watch.reaches_store())) {
            this->evacuations_changed("another host");
        }
    }
    void on_leader(leader_message const& message) override {
        group_routing& group = this->view.group(message.group);
        if (group.confirm_leader(message.database, message.term)) {
            observe::log_event(
                observe::log_level::info, "leader_learned",
                {{"database", message.database},
                 {"term", message.term},
                 {"group", message.group},
                 {"from", "another host"}});
        }
        std::uint64_t const known = group.leader() ? group.leader()->term : 0;
        if (this->leaders_told.worth_telling(message.group, message.term, known)) {
            this->mesh.broadcast(message);
        }
    }
    void
    on_endorsement(std::string const& host, endorsement_message const& message) override {
        this->quotas.on_endorsement(host, message);
    }
    void on_release(std::string const& host, release_message const& message) override {
        this->quotas.on_release(host, message);
    }
    loan_message on_borrow(borrow_message const& message) override {
        return this->quotas.on_borrow(message);
    }
    void on_loan(loan_message const& message) override { this->quotas.on_loan(message); }
    void
    on_reach_query(std::string const& database, std::function<void(bool)> done) override {
        // Without a configuration no team is known that a database could be told of. Who
        // asks reckons with hosts that don't answer.
        if (!this->view.configuration_body.empty()) {
            this->keeper.probe(database, std::move(done));
        }
    }
    void on_fence(
        std::string const& host,
        fence_message const& message,
        std::function<void(std::vector<told_commit>)> answer) override {
        this->guard.on_notice(
            host, fence_notice{message.number, message.fenced},
            [this, fenced = message.fenced, answer = std::move(answer)] {
                answer(this->acknowledged_in(fenced));
            });
    }
    std::vector<told_commit> acknowledged_in(std::span<fenced_primary const> fenced) {
        std::vector<told_commit> known;
        for (fenced_primary const& each : fenced) {
            auto const& newest = this->view.group(each.group).acknowledged.newest();
            if (newest && !newest->database.empty()) {
                known.push_back({each.group, newest->database, newest->position});
            }
        }
        return known;
    }
    void on_fence_answer(
        std::string const& host, fence_answer_message const& message) override {
        for (told_commit const& each : message.acknowledged) {
            this->view.group(each.group).acknowledged.note(each.database, each.position);
        }
        this->guard.on_answer(host, message.number);
    }
    std::optional<fence_message> own_fences() override {
        auto const notice = this->guard.current_notice();
        return notice ? std::optional(fence_message{notice->number, notice->fenced})
                      : std::nullopt;
    }
    void on_peers_changed() override {
        this->orders.refresh();
        this->quotas.hosts_changed();
        auto const ranked = rank_owners("store", {}, this->mesh.usable_hosts());
        auto const at = std::find(ranked.begin(), ranked.end(), this->settings.name);
        this->watch.set_leading_reader(
            static_cast<std::size_t>(at - ranked.begin()) < leading_readers);
    }
    void on_peer_linked() override { this->quotas.hosts_changed(); }
    news_versions own_versions() const {
        return news_versions{
            this->view.configuration->version, this->view.directory.current().version,
            this->view.hosts.version()};
    }
    bool reaches_store() const override { return this->watch.reaches_store(); }
    bool reads_configuration() const override {
        return this->watch.reads_configuration();
    }
    alive_message own_state() override {
        return alive_message{
            this->leaving, this->own_versions(), this->view.evacuations.to_tell()};
    }
    configuration_message own_configuration() override {
        return configuration_message{this->view.configuration_body};
    }
    directory_message own_directory() override {
        return directory_message{this->view.directory.current()};
    }

    void on_hosts(hosts_message message) override {
        remove_unusable(message.hosts);
        this->use_hosts(message.version, std::move(message.hosts));
    }
    hosts_message own_hosts() override {
        return hosts_message{this->view.hosts.version(), this->view.hosts.current()};
    }

    // leadership_authority, called on the traffic thread

    void request_token(
        std::string const& group,
        token_freshness need,
        std::function<void(std::optional<std::uint64_t>)> done) override {
        std::set<std::string> alive;
        for (registered_host const& each : this->view.hosts.current()) {
            if (!this->mesh.has_ended(each.name)) {
                alive.insert(each.name);
            }
        }
        asio::post(
            this->control_loop,
            [this, group, need, alive = std::move(alive), done = std::move(done)] {
                this->watch.request_token(
                    group, need,
                    [alive](std::string const& host) { return alive.count(host) > 0; },
                    [this, done](std::optional<std::uint64_t> token) {
                        asio::post(this->traffic_loop, [done, token] { done(token); });
                    });
            });
    }

    void read_directory() override {
        asio::post(this->control_loop, [this] { this->watch.read_databases_now(); });
    }

    void promote(
        std::string const& group,
        std::string const& database,
        std::uint64_t token,
        std::function<void(promotion_result)> done) override {
        asio::post(
            this->control_loop, [this, group, database, token, done = std::move(done)] {
                this->promotion.promote(
                    group, database, token, [this, done](promotion_result result) {
                        asio::post(this->traffic_loop, [done, result] { done(result); });
                    });
            });
    }

    // notice_board, called on the traffic thread

    void read_notices(
        std::function<void(std::optional<std::vector<stored_notice>>)> done) override {
        asio::post(this->control_loop, [this, done = std::move(done)] {
            this->store.read_notices(
                [this, done](result<std::vector<stored_notice>> read) {
                    std::optional<std::vector<stored_notice>> notices;
                    if (read) {
                        notices = std::move(read.value());
                    }
                    asio::post(this->traffic_loop, [done, notices = std::move(notices)] {
                        done(notices);
                    });
                });
        });
    }

    void write_notice(
        fence_notice const& notice,
        std::function<void(std::optional<std::uint64_t>)> done) override {
        asio::post(this->control_loop, [this, notice, done = std::move(done)] {
            this->store.write_notice(
                {this->settings.name, notice}, [this, done](result<std::uint64_t> era) {
                    std::optional<std::uint64_t> const seen =
                        era ? std::optional(era.value()) : std::nullopt;
                    asio::post(this->traffic_loop, [done, seen] { done(seen); });
                });
        });
    }

    // store_observer, called on the control thread

    void on_stored_configuration(stored_configuration read) override {
        asio::post(this->traffic_loop, [this, read = std::move(read)]() mutable {
            this->use_configuration(std::move(read.body), "store");
        });
    }
    void on_stored_evacuations(evacuation_list read) override {
        asio::post(this->traffic_loop, [this, read = std::move(read)]() mutable {
            if (this->view.evacuations.read(std::move(read))) {
                this->evacuations_changed("store");
            }
        });
    }
    void on_stored_databases(database_directory read) override {
        asio::post(this->traffic_loop, [this, read = std::move(read)] {
            instant const now = this->time.now();
            bool const was_in_reach = this->view.readings.is_steady(now);
            if (this->view.directory.read(read, now, was_in_reach)) {
                this->directory_changed();
            }
        });
    }
    void on_databases_read(bool succeeded, instant began_at) override {
        asio::post(this->traffic_loop, [this, succeeded, began_at] {
            this->note_reading(succeeded, began_at);
        });
    }
    void on_stored_hosts(stored_hosts read) override {
        asio::post(this->traffic_loop, [this, read = std::move(read)]() mutable {
            this->use_hosts(read.version, std::move(read.hosts));
        });
    }

    // Control thread: HTTP

    net::http_response answer_readiness() const {
        bool const yes = this->ready && !this->leaving;
        return net::http_response{
            yes ? status_ok : status_unavailable, "text/plain", yes ? "ready\n" : "no\n"};
    }

    /// The figures belong to the traffic thread.
    void answer_metrics(net::http_responder::reply reply) {
        asio::post(this->traffic_loop, [this, reply = std::move(reply)] {
            net::http_response response;
            response.body = format_metrics(this->counts, this->gauges());
            asio::post(
                this->control_loop,
                [this, reply, response = std::move(response)]() mutable {
                    response.body += format_store_calls(this->store.calls());
                    reply(response);
                });
        });
    }

    host_gauges gauges() const {
        host_gauges now;
        now.configuration = this->view.configuration->version;
        now.directory = this->view.directory.current().version.number;
        now.sessions = this->sessions.size();
        now.peers_connected = this->mesh.connected_hosts().size();
        now.database_connections = this->orders.connections();
        now.database_connections_opened = this->orders.connections_opened();
        now.orders_open = this->orders.load();
        now.leadership_changes = this->keeper.changes_finished();
        now.log_lines_dropped = observe::dropped_log_lines();
        if (this->listener) {
            platform::caller_closings const& closings = this->listener->closings();
            now.callers_over_budget = closings.over_budget;
            now.callers_too_late = closings.too_late;
            now.callers_over_connections = closings.over_connections;
        }
        now.evacuated_zones = this->view.evacuations.current().zones.size();
        now.evacuated_databases = this->orders.evacuated_databases();
        now.cold_databases = this->view.cold.count(this->time.now());
        return now;
    }

    settings::front_settings settings;
    graceful_shutdown course; ///< Of the traffic thread.
    registered_host self;
    boot_clock time;
    asio::io_context control_loop{1};
    asio::io_context traffic_loop{1};
    fleet_view view;
    traffic_counts counts;
    platform::line_connector connector;
    platform::store_client store;
    platform::operator_client promotion;
    store_watch watch;
    evidence_relay evidence;
    dispatcher orders;
    commit_guard guard;
    run_context runs;
    quota_keeper quotas;
    leadership_keeper keeper;
    peer_mesh mesh;
    leader_news leaders_told;
    session_context sessions_context;
    std::map<caller_session*, std::shared_ptr<caller_session>> sessions;
    std::unique_ptr<platform::line_listener> listener;
    asio::steady_timer startup_timer;
    asio::steady_timer hosts_timer;
    asio::steady_timer lost_timer;
    asio::steady_timer drain_timer;
    settings_watch file_watch;
    asio::signal_set signals;
    instant drain_began{};
    listed_databases logged_databases; ///< As they were logged last.
    std::string unreadable_body;       ///< The configuration that was refused last.
    bool waited_for_hosts = false;
    bool draining = false;
    std::atomic<bool> ready{false};
    std::atomic<bool> leaving{false};
};

front_host::front_host(settings::front_settings settings)
    : impl(std::make_unique<implementation>(std::move(settings))) {}

front_host::~front_host() = default;

void front_host::run() {
    this->impl->run();
}

void front_host::stop() {
    this->impl->stop();
}

} // namespace persimmonpoint::host
