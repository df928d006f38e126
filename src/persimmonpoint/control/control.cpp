#include <boost/asio/steady_timer.hpp>
#include <persimmonpoint/control/control.hpp>
#include <persimmonpoint/observe/log.hpp>

namespace persimmonpoint::control {

namespace {

/// A prefix without rows: reading it costs little and tells the table's version.
constexpr std::string_view version_prefix = "version/";

bool is_same_group(upstream_group const& left, upstream_group const& right) {
    if (left.databases.size() != right.databases.size() ||
        left.leaving != right.leaving) {
        return false;
    }
    for (std::size_t i = 0; i < left.databases.size(); ++i) {
        upstream_database const& a = left.databases[i];
        upstream_database const& b = right.databases[i];
        if (a.name != b.name || a.address != b.address || a.port != b.port ||
            a.leaving != b.leaving || a.availability_zone != b.availability_zone) {
            return false;
        }
    }
    return true;
}

} // namespace

struct control::implementation : std::enable_shared_from_this<implementation> {
    implementation(
        boost::asio::io_context& loop,
        control_settings settings,
        table_service& table,
        connection_factory make,
        random_source& random,
        snapshot_handler on_snapshot)
        : loop(loop),
          settings(std::move(settings)),
          table(table),
          make(std::move(make)),
          random(random),
          on_snapshot(std::move(on_snapshot)),
          timer(loop) {}

    void poll() {
        if (this->stopped) {
            return;
        }
        this->table.range(
            version_prefix, [weak = this->weak_from_this()](result<table_range> outcome) {
                auto const self = weak.lock();
                if (!self || self->stopped) {
                    return;
                }
                self->note_platform(outcome.has_value());
                bool const known = self->configuration && outcome &&
                                   outcome.value().version <= self->seen_version;
                if (!outcome || known) {
                    self->poll_later();
                    return;
                }
                self->load();
            });
    }

    void load() {
        this->table.range(
            catalog_prefix, [weak = this->weak_from_this()](result<table_range> outcome) {
                auto const self = weak.lock();
                if (!self || self->stopped) {
                    return;
                }
                self->note_platform(outcome.has_value());
                // An answer from the past is dropped: the configuration never goes back.
                if (outcome && outcome.value().version > self->seen_version) {
                    self->apply(outcome.value());
                }
                self->poll_later();
            });
    }

    void poll_later() {
        this->timer.expires_after(this->settings.catalog_poll_interval);
        this->timer.async_wait(
            [weak = this->weak_from_this()](boost::system::error_code failure) {
                auto const self = weak.lock();
                if (!failure && self) {
                    self->poll();
                }
            });
    }

    void note_platform(bool answers) {
        if (answers == this->platform_answers) {
            return;
        }
        this->platform_answers = answers;
        observe::log(
            answers ? observe::log_level::info : observe::log_level::warning,
            observe::log_part::platform,
            answers ? "The table service answers again."
                    : "The table service does not answer; the last configuration stays.");
    }

    void apply(table_range const& range) {
        this->seen_version = range.version;
        auto const fresh = read_catalog(range);
        for (std::string const& problem : fresh->problems) {
            observe::log(
                observe::log_level::warning, observe::log_part::catalog, problem);
        }
        this->update_monitors(*fresh);
        this->configuration = fresh;
        observe::log(
            observe::log_level::info, observe::log_part::catalog,
            "Configuration version " + std::to_string(range.version) + " is in force.");
        this->publish();
    }

    void update_monitors(catalog const& fresh) {
        std::erase_if(this->monitors, [&](auto const& each) {
            upstream_group const* wanted = fresh.find_group(each.first);
            return wanted == nullptr || !this->configuration ||
                   !is_same_group(*wanted, *this->configuration->find_group(each.first));
        });
        std::erase_if(this->views, [&](auto const& each) {
            return !this->monitors.contains(each.first);
        });
        for (auto const& [name, group] : fresh.groups) {
            if (this->monitors.contains(name)) {
                continue;
            }
            this->monitors[name] = std::make_unique<group_monitor>(
                this->loop, this->settings.monitor, group, this->make, this->random,
                [weak = this->weak_from_this(),
                 id = std::string(name)](std::shared_ptr<group_view const> view) {
                    auto const self = weak.lock();
                    if (self && !self->stopped) {
                        self->views[id] = std::move(view);
                        self->publish();
                    }
                });
        }
    }

    void publish() {
        if (!this->configuration) {
            return;
        }
        auto snapshot = std::make_shared<control_snapshot>();
        snapshot->configuration = this->configuration;
        snapshot->groups = this->views;
        snapshot->draining = this->draining;
        this->on_snapshot(std::move(snapshot));
    }

    group_monitor* find(std::string_view group) {
        auto const found = this->monitors.find(group);
        return found == this->monitors.end() ? nullptr : found->second.get();
    }

    boost::asio::io_context& loop;
    control_settings settings;
    table_service& table;
    connection_factory make;
    random_source& random;
    snapshot_handler on_snapshot;
    boost::asio::steady_timer timer;
    std::shared_ptr<catalog const> configuration;
    std::uint64_t seen_version = 0;
    std::map<std::string, std::unique_ptr<group_monitor>, std::less<>> monitors;
    std::map<std::string, std::shared_ptr<group_view const>, std::less<>> views;
    bool platform_answers = true;
    bool draining = false;
    bool stopped = false;
};

control::control(
    boost::asio::io_context& loop,
    control_settings settings,
    table_service& table,
    connection_factory make,
    random_source& random,
    snapshot_handler on_snapshot)
    : impl(std::make_shared<implementation>(
          loop,
          std::move(settings),
          table,
          std::move(make),
          random,
          std::move(on_snapshot))) {}

control::~control() {
    this->stop();
}

void control::start() {
    this->impl->poll();
}

void control::drain() {
    this->impl->draining = true;
    this->impl->publish();
}

void control::stop() {
    this->impl->stopped = true;
    this->impl->timer.cancel();
    this->impl->monitors.clear();
}

void control::confirm_durable(
    std::string_view group,
    log_position position,
    instant deadline,
    control_link::proof_handler handler) {
    if (group_monitor* monitor = this->impl->find(group)) {
        monitor->confirm_durable(position, deadline, std::move(handler));
    } else {
        handler(false);
    }
}

void control::confirm_position(
    std::string_view group, instant deadline, control_link::position_handler handler) {
    if (group_monitor* monitor = this->impl->find(group)) {
        monitor->confirm_position(deadline, std::move(handler));
    } else {
        handler(std::nullopt);
    }
}

void control::probe(
    std::string_view group,
    std::size_t database,
    int backend_pid,
    control_link::probe_handler handler) {
    if (group_monitor* monitor = this->impl->find(group)) {
        monitor->probe(database, backend_pid, std::move(handler));
    } else {
        handler(std::nullopt);
    }
}

} // namespace persimmonpoint::control
