#include <boost/asio/steady_timer.hpp>
#include <map>
#include <persimmonpoint/core/membership/fleet_pace.hpp>
#include <persimmonpoint/core/membership/store_retry.hpp>
#include <persimmonpoint/core/recovery/lease_policy.hpp>
#include <persimmonpoint/engine/store_watch.hpp>
#include <persimmonpoint/observe/event_log.hpp>
#include <persimmonpoint/observe/random_device_source.hpp>
#include <span>
#include <utility>

namespace persimmonpoint::engine {

namespace {

using std::chrono::milliseconds;

/// Wait of the configuration's watch on a host that passes news on to the others. A
/// connection that fell silent is noticed after it.
constexpr auto leading_watch_wait = milliseconds(1500);
constexpr auto leading_read_interval = milliseconds(800);
/// How much longer hosts that hear of others over links gather changes at the store.
constexpr int linked_settle_factor = 5;

milliseconds to_milliseconds(duration time) {
    return std::chrono::duration_cast<milliseconds>(time);
}

} // namespace

struct store_watch::implementation : std::enable_shared_from_this<implementation> {
    implementation(
        boost::asio::io_context& loop,
        clock const& time,
        fleet_store& store,
        store_observer& observer,
        registered_host self)
        : time(time),
          store(store),
          observer(observer),
          self(std::move(self)),
          operations_timer(loop),
          databases_timer(loop),
          hosts_timer(loop),
          register_timer(loop) {}

    fleet_pace pace() const { return pace_for(this->hosts.size()); }

    /// Makes a call again that failed.
    template <class Next>
    void again(boost::asio::steady_timer& timer, store_retry& retry, Next next) {
        duration const pause =
            retry.failed(this->time.now(), this->pace().store_retry_limit, this->random);
        this->after(timer, to_milliseconds(pause), next);
    }

    template <class Next>
    void after(boost::asio::steady_timer& timer, milliseconds pause, Next next) {
        timer.expires_after(pause);
        timer.async_wait(
            [weak = this->weak_from_this(), next](boost::system::error_code failure) {
                auto const watch = weak.lock();
                if (watch && !failure && !watch->stopped) {
                    next(*watch);
                }
            });
    }

    /// One line when the store is lost, and one when it is there again.
    void note_store(bool reached, std::string_view reason) {
        if (reached == this->store_reached) {
            return;
        }
        this->store_reached = reached;
        observe::log_event(
            reached ? observe::log_level::info : observe::log_level::warning,
            reached ? "store_reached" : "store_lost", {{"reason", reason}});
        if (!reached) {
            this->observer.on_databases_read(false, this->time.now());
        }
    }

    /// A call that brings the configuration failed. Says how long it was waited for.
    void note_failure(std::string_view event, error const& failure, instant began) {
        observe::log_event(
            observe::log_level::warning, event,
            {{"reason", failure.message},
             {"took_ms", to_seconds(this->time.now() - began) * 1000},
             {"version", this->operations_version.number}});
    }

    /// Each answer tells the store's era. In a new one nothing that is watched for goes
    /// on from before, and what this host wrote may be gone: all is read again.
    void note_era(std::uint64_t seen) {
        std::uint64_t const before = this->era.value_or(seen);
        this->era = std::max(before, seen);
        if (seen <= before) {
            return;
        }
        observe::log_event(
            observe::log_level::warning, "store_restored",
            {{"era", seen}, {"era_before", before}});
        this->store.break_off_watches();
    }

    // What the operator writes

    void read_operations() {
        this->reading_configuration = true;
        this->store.read_operations(
            [weak = this->weak_from_this(),
             began = this->time.now()](result<stored_operations> read) {
                auto const watch = weak.lock();
                if (!watch || watch->stopped) {
                    return;
                }
                if (!read) {
                    watch->note_failure("configuration_read_failed", read.error(), began);
                }
                if (!read || !read.value().configuration.row.is_known()) {
                    watch->reading_configuration = false;
                    watch->note_store(
                        static_cast<bool>(read), read ? "" : read.error().message);
                    watch->again(
                        watch->operations_timer, watch->operations_retry,
                        [](implementation& self) { self.read_operations(); });
                    return;
                }
                watch->note_store(true, "configuration read");
                watch->use_operations(std::move(read.value()));
                watch->reading_configuration = false;
                watch->watch_operations();
            });
    }

    void use_operations(stored_operations read) {
        this->operations_version = read.version;
        this->note_era(read.version.era);
        if (this->history_losses == 0) {
            this->operations_retry.succeeded();
        }
        this->evacuations = std::move(read.evacuations);
        this->observer.on_stored_evacuations(this->evacuations);
        this->observer.on_stored_configuration(std::move(read.configuration));
    }

    void watch_operations() {
        milliseconds const wait =
            this->leading ? leading_watch_wait : to_milliseconds(this->pace().watch_wait);
        this->store.watch_operations(
            this->operations_version, wait,
            [weak = this->weak_from_this(),
             began = this->time.now()](result<watch_result> seen) {
                auto const watch = weak.lock();
                if (!watch || watch->stopped) {
                    return;
                }
                if (!seen) {
                    watch->note_failure(
                        "configuration_watch_failed", seen.error(), began);
                    watch->note_store(false, seen.error().message);
                    watch->again(
                        watch->operations_timer, watch->operations_retry,
                        [](implementation& self) { self.read_operations(); });
                    return;
                }
                watch->use_changes(std::move(seen.value()));
            });
    }

    void use_changes(watch_result seen) {
        if (seen.history_lost) {
            this->read_lost_history();
            return;
        }
        this->history_losses = 0;
        if (seen.lacks_configuration) {
            this->read_operations();
            return;
        }
        this->operations_version = seen.version;
        this->operations_retry.succeeded();
        this->apply(std::span<evacuation_change const>(seen.evacuations));
        if (!seen.configuration) {
            this->watch_operations();
            return;
        }
        this->observer.on_stored_configuration(std::move(*seen.configuration));
        milliseconds const settle =
            this->leading ? milliseconds(0)
                          : to_milliseconds(this->pace().configuration_settle);
        this->after(this->operations_timer, settle, [](implementation& self) {
            self.watch_operations();
        });
    }

    void apply(std::span<evacuation_change const> changes) {
        for (evacuation_change const& each : changes) {
            if (each.requested) {
                this->evacuations.zones.insert(each.availability_zone);
            } else {
                this->evacuations.zones.erase(each.availability_zone);
            }
        }
        if (!changes.empty()) {
            this->evacuations.version = this->operations_version;
            this->observer.on_stored_evacuations(this->evacuations);
        }
    }

    /// A reading may itself lie before the history that the store has kept: then the next
    /// one waits, so that a fleet doesn't call without end.
    void read_lost_history() {
        if (++this->history_losses == 1) {
            this->read_operations();
            return;
        }
        this->again(
            this->operations_timer, this->operations_retry,
            [](implementation& self) { self.read_operations(); });
    }

    // Databases

    /// Calls `done` with whether the reading succeeded.
    void read_databases_once(std::function<void(implementation&, bool)> done) {
        this->store.read_databases(
            [weak = this->weak_from_this(), began_at = this->time.now(),
             done = std::move(done)](result<database_directory> read) {
                auto const watch = weak.lock();
                if (!watch || watch->stopped) {
                    return;
                }
                bool const succeeded = static_cast<bool>(read);
                watch->note_store(
                    succeeded, succeeded ? "databases read" : read.error().message);
                if (succeeded) {
                    watch->note_era(read.value().version.era);
                    watch->observer.on_stored_databases(std::move(read.value()));
                }
                watch->observer.on_databases_read(succeeded, began_at);
                done(*watch, succeeded);
            });
    }

    void read_databases() {
        this->read_databases_once([](implementation& watch, bool succeeded) {
            auto const read_again = [](implementation& self) { self.read_databases(); };
            if (!succeeded) {
                watch.again(watch.databases_timer, watch.databases_retry, read_again);
                return;
            }
            watch.databases_retry.succeeded();
            milliseconds const pause =
                watch.leading ? leading_read_interval
                              : to_milliseconds(watch.pace().directory_interval);
            watch.after(watch.databases_timer, pause, read_again);
        });
    }

    // Hosts

    /// Writes this host's row, unless that is under way: others' rows may change many
    /// times before the store has it.
    void register_self() {
        if (!std::exchange(this->registering, true)) {
            this->write_own_row();
        }
    }

    void write_own_row() {
        this->store.register_host(
            this->self, [weak = this->weak_from_this()](result<void> outcome) {
                auto const watch = weak.lock();
                if (!watch || watch->stopped) {
                    return;
                }
                if (outcome) {
                    watch->registering = false;
                    watch->register_retry.succeeded();
                    return;
                }
                watch->again(
                    watch->register_timer, watch->register_retry,
                    [](implementation& self) { self.write_own_row(); });
            });
    }

    void read_hosts() {
        this->store.read_hosts(
            [weak = this->weak_from_this()](result<stored_hosts> read) {
                auto const watch = weak.lock();
                if (!watch || watch->stopped) {
                    return;
                }
                if (!read) {
                    watch->again(
                        watch->hosts_timer, watch->hosts_retry,
                        [](implementation& self) { self.read_hosts(); });
                    return;
                }
                watch->note_era(read.value().version.era);
                watch->hosts.clear();
                for (registered_host& each : read.value().hosts) {
                    std::string const name = each.name;
                    watch->hosts.emplace(name, std::move(each));
                }
                watch->use_hosts(read.value().version);
            });
    }

    void watch_hosts() {
        this->store.watch_hosts(
            this->hosts_version, to_milliseconds(this->pace().watch_wait),
            [weak = this->weak_from_this()](result<watch_result> seen) {
                auto const watch = weak.lock();
                if (!watch || watch->stopped) {
                    return;
                }
                if (!seen) {
                    watch->again(
                        watch->hosts_timer, watch->hosts_retry,
                        [](implementation& self) { self.read_hosts(); });
                } else if (seen.value().history_lost) {
                    watch->read_lost_host_history();
                } else if (seen.value().changed) {
                    watch->host_history_losses = 0;
                    watch->apply(seen.value().hosts);
                    watch->use_hosts(seen.value().version);
                } else {
                    watch->host_history_losses = 0;
                    watch->hosts_retry.succeeded();
                    watch->hosts_version = seen.value().version;
                    watch->watch_hosts();
                }
            });
    }

    void read_lost_host_history() {
        if (++this->host_history_losses == 1) {
            this->read_hosts();
            return;
        }
        this->again(this->hosts_timer, this->hosts_retry, [](implementation& self) {
            self.read_hosts();
        });
    }

    void apply(std::span<host_change const> changes) {
        for (host_change const& each : changes) {
            if (each.now) {
                this->hosts.insert_or_assign(each.name, *each.now);
            } else {
                this->hosts.erase(each.name);
            }
        }
    }

    /// Tells of the hosts as they are at `version` and watches on from there.
    void use_hosts(store_version const& version) {
        if (this->host_history_losses == 0) {
            this->hosts_retry.succeeded();
        }
        this->hosts_version = version;
        auto const own = this->hosts.find(this->self.name);
        if (own == this->hosts.end() || own->second != this->self) {
            this->register_self();
        }
        stored_hosts known{version, {}};
        for (auto const& each : this->hosts) {
            known.hosts.push_back(each.second);
        }
        this->observer.on_stored_hosts(std::move(known));
        // Hosts of a large fleet come and go together. All but the leading readers hear
        // of it over their links, and watch in case these are cut.
        auto const settle = to_milliseconds(this->pace().hosts_settle);
        this->after(
            this->hosts_timer, this->leading ? settle : settle * linked_settle_factor,
            [](implementation& self) { self.watch_hosts(); });
    }

    // Leases

    void request_token(
        std::string const& group,
        token_freshness need,
        std::function<bool(std::string const&)> lives,
        token_handler done) {
        std::optional<std::uint64_t> spare;
        auto const held = this->tokens.find(group);
        if (held != this->tokens.end() && need != token_freshness::require_new) {
            spare = held->second;
        }
        bool const spare_will_do = need == token_freshness::any || !this->store_reached;
        if (spare && spare_will_do) {
            done(spare);
            return;
        }
        this->store.read_lease(
            group, [weak = this->weak_from_this(), group, spare, lives = std::move(lives),
                    done = std::move(done)](result<leadership_lease> read) {
                auto const watch = weak.lock();
                if (!watch) {
                    return;
                }
                if (!read && spare) {
                    done(spare);
                    return;
                }
                if (!read ||
                    !may_acquire_lease(
                        read.value(), watch->self.name, lives(read.value().holder))) {
                    observe::log_event(
                        observe::log_level::info, "lease_not_taken",
                        {{"group", group},
                         {"holder", read ? read.value().holder : ""},
                         {"reason", read ? "held" : read.error().message}});
                    done(std::nullopt);
                    return;
                }
                watch->take_lease(
                    group, next_lease(read.value(), watch->self.name), done);
            });
    }

    void take_lease(
        std::string const& group,
        leadership_lease const& wanted,
        token_handler const& done) {
        this->store.take_lease(
            group, wanted,
            [weak = this->weak_from_this(), group, token = wanted.token,
             done](result<bool> taken) {
                auto const watch = weak.lock();
                if (!watch) {
                    return;
                }
                bool const mine = taken && taken.value();
                observe::log_event(
                    observe::log_level::info, mine ? "lease_taken" : "lease_not_taken",
                    {{"group", group}, {"token", token}});
                if (!mine) {
                    // A lost answer leaves a row that this host may take again.
                    done(std::nullopt);
                    return;
                }
                watch->tokens[group] = token;
                done(token);
            });
    }

    clock const& time;
    fleet_store& store;
    store_observer& observer;
    registered_host self;
    boost::asio::steady_timer operations_timer;
    boost::asio::steady_timer databases_timer;
    boost::asio::steady_timer hosts_timer;
    boost::asio::steady_timer register_timer;
    std::map<std::string, std::uint64_t> tokens;
    std::optional<std::uint64_t> era; ///< The newest that the store named.
    store_version operations_version;
    evacuation_list evacuations; ///< As of `operations_version`.
    unsigned history_losses = 0; ///< Watches of operations in a row that had none.
    unsigned host_history_losses = 0;
    store_version hosts_version;
    std::map<std::string, registered_host> hosts; ///< As of `hosts_version`, by name.
    store_retry operations_retry;
    store_retry databases_retry;
    store_retry hosts_retry;
    store_retry register_retry;
    observe::random_device_source random;
    std::atomic<bool> leading{true};
    std::atomic<bool> store_reached{true};
    std::atomic<bool> reading_configuration{false};
    bool registering = false;
    bool stopped = false;
};

store_watch::store_watch(
    boost::asio::io_context& loop,
    clock const& clock,
    fleet_store& store,
    store_observer& observer,
    registered_host self)
    : impl(std::make_shared<implementation>(
          loop, clock, store, observer, std::move(self))) {}

store_watch::~store_watch() = default;

void store_watch::start() {
    this->impl->read_operations();
    this->impl->read_databases();
    // Registers this host where it is missing.
    this->impl->read_hosts();
}

void store_watch::leave() {
    this->impl->stopped = true;
    this->impl->store.remove_host(this->impl->self.name, [](result<void> const&) {});
}

void store_watch::read_databases_now() {
    this->impl->read_databases_once([](implementation const&, bool) {});
}

void store_watch::remove_host(std::string const& name) {
    observe::log_event(observe::log_level::warning, "host_removed", {{"removed", name}});
    this->impl->store.remove_host(name, [](result<void> const&) {});
}

bool store_watch::reads_configuration() const {
    return this->impl->reading_configuration ||
           this->impl->store.receives_configuration();
}

bool store_watch::reaches_store() const {
    return this->impl->store_reached;
}

void store_watch::set_leading_reader(bool value) {
    this->impl->leading = value;
}

void store_watch::request_token(
    std::string const& group,
    token_freshness need,
    std::function<bool(std::string const&)> lives,
    token_handler done) {
    this->impl->request_token(group, need, std::move(lives), std::move(done));
}

} // namespace persimmonpoint::engine
