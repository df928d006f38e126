#include <boost/asio/steady_timer.hpp>
#include <charconv>
#include <map>
#include <persimmonpoint/control/database_probe.hpp>
#include <persimmonpoint/control/group_monitor.hpp>
#include <persimmonpoint/core/recovery/failover_chart.hpp>
#include <persimmonpoint/core/recovery/orphaned_transactions.hpp>
#include <persimmonpoint/observe/log.hpp>
#include <persimmonpoint/postgres/group_state_query.hpp>
#include <persimmonpoint/traffic/ledger.hpp>
#include <utility>

namespace persimmonpoint::control {

namespace {

constexpr duration orphan_check_interval = std::chrono::seconds(1);

instant now() {
    return std::chrono::steady_clock::now();
}

upstream_query make_query(std::string sql) {
    upstream_query query;
    query.sql = std::move(sql);
    return query;
}

group_view initial_view(upstream_group const& group) {
    group_view view;
    view.name = group.name;
    for (upstream_database const& each : group.databases) {
        database_view database;
        database.name = each.name;
        database.availability_zone = each.availability_zone;
        database.leaving = each.leaving || group.leaving;
        view.databases.push_back(std::move(database));
    }
    return view;
}

std::optional<database_report> parse_report(probe_row const& row) {
    std::vector<postgres::field> fields;
    for (auto const& each : row) {
        fields.push_back(each ? postgres::field(*each) : std::nullopt);
    }
    return postgres::parse_group_state(fields);
}

listed_connection parse_connection(probe_row const& row) {
    listed_connection out;
    std::uint64_t idle_ms = 0;
    std::string const idle = row.at(3).value_or("0");
    std::from_chars(idle.data(), idle.data() + idle.size(), idle_ms);
    out.pid = row.at(0).value_or("");
    out.tag = row.at(1).value_or("");
    out.idle_in_transaction = row.at(2).value_or("") == "idle in transaction";
    out.idle = std::chrono::milliseconds(idle_ms);
    return out;
}

std::shared_ptr<chart::chart const> failover_rules() {
    static auto const rules =
        chart::require("failover", failover_states, failover_events);
    return rules;
}

} // namespace

struct group_monitor::implementation : std::enable_shared_from_this<implementation> {
    implementation(
        boost::asio::io_context& loop,
        monitor_settings settings,
        upstream_group const& group,
        connection_factory make,
        random_source& random,
        view_handler on_view)
        : settings(std::move(settings)),
          on_view(std::move(on_view)),
          timer(loop),
          watch(
              this->settings.watch,
              this->settings.host_name,
              initial_view(group),
              failover_rules(),
              random) {
        for (upstream_database const& each : group.databases) {
            this->probes.push_back(std::make_unique<database_probe>(
                loop, [make, each] { return make(each); },
                this->settings.watch.poll_timeout));
        }
    }

    void tick() {
        if (this->closed) {
            return;
        }
        for (failover_action const& action : this->watch.tick(now())) {
            this->perform(action);
        }
        this->publish_if_changed();
        this->check_orphans();
        this->timer.expires_after(this->watch.next_tick());
        this->timer.async_wait(
            [weak = this->weak_from_this()](boost::system::error_code failure) {
                auto const self = weak.lock();
                if (!failure && self) {
                    self->tick();
                }
            });
    }

    void perform(failover_action const& action) {
        switch (action.step) {
        case failover_step::poll:
            this->poll(action.database);
            return;
        case failover_step::fence:
            this->fence(action.database, action.term);
            return;
        case failover_step::promote:
            this->promote(action.database, action.term);
            return;
        case failover_step::resolved:
            this->settle(action);
            return;
        case failover_step::log_message:
            observe::log(
                observe::log_level::warning, observe::log_part::group, action.text);
            return;
        }
    }

    void poll(std::size_t index) {
        instant const sent = now();
        this->probes[index]->ask(
            {make_query(std::string(postgres::group_state_query))},
            [weak = this->weak_from_this(), index, sent](result<probe_rows> rows) {
                auto const self = weak.lock();
                if (!self || self->closed) {
                    return;
                }
                auto const report = rows && !rows.value().empty()
                                        ? parse_report(rows.value().front())
                                        : std::nullopt;
                if (report) {
                    self->watch.poll_answered(index, sent, *report, now());
                } else {
                    self->watch.poll_failed(index, now());
                }
                self->tick();
            });
    }

    std::string call(std::string_view function, std::uint64_t term) const {
        return "SELECT " + std::string(function) + "(" + std::to_string(term) + ", '" +
               this->settings.host_name + "')";
    }

    void fence(std::size_t index, std::uint64_t term) {
        this->probes[index]->ask(
            {make_query(this->call("group_fence", term)),
             make_query(std::string(postgres::group_state_query))},
            [weak = this->weak_from_this(), index, term](result<probe_rows> rows) {
                auto const self = weak.lock();
                if (!self || self->closed || !rows || rows.value().size() != 2) {
                    return;
                }
                bool const granted = rows.value()[0].at(0) == "granted";
                if (auto const report = parse_report(rows.value()[1])) {
                    self->watch.fence_answered(index, term, granted, *report);
                    self->tick();
                }
            });
    }

    void promote(std::size_t index, std::uint64_t term) {
        this->probes[index]->ask(
            {make_query(this->call("group_promote", term))},
            [weak = this->weak_from_this(), index, term](result<probe_rows> rows) {
                auto const self = weak.lock();
                if (!self || self->closed || !rows || rows.value().empty()) {
                    return;
                }
                self->watch.promote_answered(
                    index, term, rows.value()[0].at(0) == "granted");
                self->tick();
            });
    }

    void settle(failover_action const& action) {
        auto const found = this->waiting.find(action.id);
        if (found == this->waiting.end()) {
            return;
        }
        auto const handler = std::move(found->second);
        this->waiting.erase(found);
        handler(action);
    }

    void publish_if_changed() {
        group_view const& view = this->watch.view();
        bool const primary_changed =
            view.primary != this->published_primary || view.term != this->published_term;
        bool const due = now() - this->published_at >= this->settings.watch.poll_interval;
        if (!primary_changed && !due) {
            return;
        }
        if (primary_changed && view.primary) {
            observe::log(
                observe::log_level::info, observe::log_part::group,
                "Group \"" + view.name + "\" is led by \"" +
                    view.databases[*view.primary].name + "\" in term " +
                    std::to_string(view.term) + ".");
            this->prepare_primary(*view.primary);
        }
        this->published_primary = view.primary;
        this->published_term = view.term;
        this->published_at = now();
        this->on_view(std::make_shared<group_view const>(view));
    }

    /// A new primary needs the ledger's table.
    void prepare_primary(std::size_t index) {
        this->probes[index]->ask(
            {make_query(std::string(traffic::ledger::create_table))},
            [](result<probe_rows>) {});
    }

    void check_orphans() {
        if (!this->watch.view().primary || now() < this->next_orphan_check) {
            return;
        }
        this->next_orphan_check = now() + orphan_check_interval;
        std::size_t const index = *this->watch.view().primary;
        this->probes[index]->ask(
            {make_query(
                "SELECT pid, application_name, state, idle_ms FROM pg_stat_activity")},
            [weak = this->weak_from_this(), index](result<probe_rows> rows) {
                auto const self = weak.lock();
                if (self && !self->closed && rows) {
                    self->end_orphans(index, rows.value());
                }
            });
    }

    void end_orphans(std::size_t index, probe_rows const& rows) {
        std::vector<listed_connection> connections;
        for (probe_row const& row : rows) {
            connections.push_back(parse_connection(row));
        }
        auto const orphans = find_orphaned_transactions(
            connections, this->settings.connection_tag,
            this->settings.orphan_idle_timeout);
        for (std::string const& pid : orphans) {
            observe::log(
                observe::log_level::warning, observe::log_part::group,
                "Ends a transaction that another host left in database \"" +
                    this->watch.view().databases[index].name + "\".");
            this->probes[index]->ask(
                {make_query("SELECT pg_terminate_backend(" + pid + ")")},
                [](result<probe_rows>) {});
        }
    }

    void probe(std::size_t index, int backend_pid, control_link::probe_handler handler) {
        if (index >= this->probes.size()) {
            handler(std::nullopt);
            return;
        }
        this->probes[index]->ask(
            {make_query(
                "SELECT state FROM pg_stat_activity WHERE pid = " +
                std::to_string(backend_pid))},
            [handler = std::move(handler)](result<probe_rows> rows) {
                if (!rows) {
                    handler(std::nullopt);
                    return;
                }
                handler(!rows.value().empty() && rows.value()[0].at(0) == "active");
            });
    }

    monitor_settings settings;
    view_handler on_view;
    boost::asio::steady_timer timer;
    failover_coordinator watch;
    std::vector<std::unique_ptr<database_probe>> probes;
    std::map<std::uint64_t, std::function<void(failover_action const&)>> waiting;
    std::optional<std::size_t> published_primary;
    std::uint64_t published_term = 0;
    instant published_at;
    instant next_orphan_check;
    bool closed = false;
};

group_monitor::group_monitor(
    boost::asio::io_context& loop,
    monitor_settings settings,
    upstream_group const& group,
    connection_factory make,
    random_source& random,
    view_handler on_view)
    : impl(std::make_shared<implementation>(
          loop,
          std::move(settings),
          group,
          std::move(make),
          random,
          std::move(on_view))) {
    this->impl->tick();
}

group_monitor::~group_monitor() {
    this->impl->closed = true;
    this->impl->timer.cancel();
    for (auto const& each : this->impl->probes) {
        each->close();
    }
    // Nobody may wait for an answer that can't come any more.
    auto const unanswered = std::exchange(this->impl->waiting, {});
    for (auto const& each : unanswered) {
        each.second(failover_action{});
    }
}

void group_monitor::confirm_durable(
    log_position position, instant deadline, control_link::proof_handler handler) {
    std::uint64_t const id = this->impl->watch.confirm_durable(position, deadline);
    this->impl->waiting[id] = [handler =
                                   std::move(handler)](failover_action const& action) {
        handler(action.confirmed);
    };
    this->impl->tick();
}

void group_monitor::confirm_position(
    instant deadline, control_link::position_handler handler) {
    std::uint64_t const id = this->impl->watch.confirm_position(now(), deadline);
    this->impl->waiting[id] = [handler =
                                   std::move(handler)](failover_action const& action) {
        handler(
            action.confirmed ? std::optional<log_position>(action.position)
                             : std::nullopt);
    };
    this->impl->tick();
}

void group_monitor::probe(
    std::size_t database, int backend_pid, control_link::probe_handler handler) {
    this->impl->probe(database, backend_pid, std::move(handler));
}

} // namespace persimmonpoint::control
