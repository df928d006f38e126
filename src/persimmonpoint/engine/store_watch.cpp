#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <map>
#include <persimmonpoint/core/membership/fleet_pace.hpp>
#include <persimmonpoint/core/recovery/lease_policy.hpp>
#include <persimmonpoint/engine/store_watch.hpp>
#include <persimmonpoint/observe/event_log.hpp>
#include <utility>

namespace persimmonpoint::engine {

namespace {

/// Wait of the configuration's watch on a host that passes news on to the others, and on
/// any other. A connection that fell silent is noticed after it.
constexpr auto leading_watch_wait = std::chrono::milliseconds(1500);
constexpr auto watch_wait = std::chrono::milliseconds(12000);
constexpr auto leading_read_interval = std::chrono::milliseconds(800);
constexpr auto retry_interval = std::chrono::milliseconds(300);

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
          configuration_timer(loop),
          databases_timer(loop),
          hosts_timer(loop),
          register_timer(loop) {}

    template <class Next>
    void
    after(boost::asio::steady_timer& timer, std::chrono::milliseconds pause, Next next) {
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
    }

    /// A call that brings the configuration failed. Says how long it was waited for.
    void note_failure(std::string_view event, error const& failure, instant began) {
        observe::log_event(
            observe::log_level::warning, event,
            {{"reason", failure.message},
             {"took_ms", to_seconds(this->time.now() - began) * 1000},
             {"row", this->configuration_row.number}});
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

    // Configuration

    void read_configuration() {
        this->reading_configuration = true;
        this->store.read_configuration(
            [weak = this->weak_from_this(),
             began = this->time.now()](result<stored_configuration> read) {
                auto const watch = weak.lock();
                if (!watch || watch->stopped) {
                    return;
                }
                if (!read) {
                    watch->note_failure("configuration_read_failed", read.error(), began);
                }
                if (!read || !read.value().row.is_known()) {
                    watch->reading_configuration = false;
                    watch->note_store(
                        static_cast<bool>(read), read ? "" : read.error().message);
                    watch->after(
                        watch->configuration_timer, retry_interval,
                        [](implementation& self) { self.read_configuration(); });
                    return;
                }
                watch->note_store(true, "configuration read");
                watch->configuration_row = read.value().row;
                watch->note_era(read.value().row.era);
                watch->observer.on_stored_configuration(std::move(read.value()));
                watch->reading_configuration = false;
                watch->watch_configuration();
            });
    }

    void watch_configuration() {
        auto const wait = this->leading ? leading_watch_wait : watch_wait;
        this->store.watch_configuration(
            this->configuration_row, wait,
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
                    watch->after(
                        watch->configuration_timer, retry_interval,
                        [](implementation& self) { self.read_configuration(); });
                    return;
                }
                auto& brought = seen.value().configuration;
                bool const unseen = seen.value().changed && !brought;
                if (seen.value().history_lost || unseen) {
                    watch->read_configuration();
                    return;
                }
                watch->configuration_row = seen.value().version;
                if (brought) {
                    watch->observer.on_stored_configuration(std::move(*brought));
                }
                watch->watch_configuration();
            });
    }

    // Databases

    void read_databases() {
        this->store.read_databases([weak = this->weak_from_this()](
                                       result<database_directory> read) {
            auto const watch = weak.lock();
            if (!watch || watch->stopped) {
                return;
            }
            if (read) {
                watch->note_store(true, "databases read");
                watch->note_era(read.value().version.era);
                watch->observer.on_stored_databases(std::move(read.value()));
            } else {
                watch->note_store(false, read.error().message);
            }
            auto const pause =
                !read            ? retry_interval
                : watch->leading ? leading_read_interval
                                 : std::chrono::duration_cast<std::chrono::milliseconds>(
                                       pace_for(watch->host_count).directory_interval);
            watch->after(watch->databases_timer, pause, [](implementation& self) {
                self.read_databases();
            });
        });
    }

    // Hosts

    void register_self() {
        this->store.register_host(
            this->self, [weak = this->weak_from_this()](result<void> outcome) {
                auto const watch = weak.lock();
                if (!watch || watch->stopped) {
                    return;
                }
                if (!outcome) {
                    watch->after(
                        watch->register_timer, retry_interval,
                        [](implementation& self) { self.register_self(); });
                }
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
                    watch->after(
                        watch->hosts_timer, retry_interval,
                        [](implementation& self) { self.read_hosts(); });
                    return;
                }
                watch->hosts_version = read.value().version;
                watch->note_era(read.value().version.era);
                watch->host_count = read.value().hosts.size();
                bool const registered = std::any_of(
                    read.value().hosts.begin(), read.value().hosts.end(),
                    [&](registered_host const& each) { return each == watch->self; });
                if (!registered) {
                    watch->register_self();
                }
                watch->observer.on_stored_hosts(std::move(read.value()));
                watch->watch_hosts();
            });
    }

    void watch_hosts() {
        this->store.watch_hosts(
            this->hosts_version, watch_wait,
            [weak = this->weak_from_this()](result<watch_result> seen) {
                auto const watch = weak.lock();
                if (!watch || watch->stopped) {
                    return;
                }
                if (!seen) {
                    watch->after(
                        watch->hosts_timer, retry_interval,
                        [](implementation& self) { self.read_hosts(); });
                } else if (seen.value().changed || seen.value().history_lost) {
                    // Hosts of a large fleet come and go together.
                    watch->after(
                        watch->hosts_timer,
                        std::chrono::duration_cast<std::chrono::milliseconds>(
                            pace_for(watch->host_count).hosts_settle),
                        [](implementation& self) { self.read_hosts(); });
                } else {
                    watch->hosts_version = seen.value().version;
                    watch->watch_hosts();
                }
            });
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
    boost::asio::steady_timer configuration_timer;
    boost::asio::steady_timer databases_timer;
    boost::asio::steady_timer hosts_timer;
    boost::asio::steady_timer register_timer;
    std::map<std::string, std::uint64_t> tokens;
    std::optional<std::uint64_t> era; ///< The newest that the store named.
    store_version configuration_row;
    store_version hosts_version;
    std::size_t host_count = 0;
    std::atomic<bool> leading{true};
    std::atomic<bool> store_reached{true};
    std::atomic<bool> reading_configuration{false};
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
    this->impl->read_configuration();
    this->impl->read_databases();
    // Registers this host where it is missing.
    this->impl->read_hosts();
}

void store_watch::leave() {
    this->impl->stopped = true;
    this->impl->store.remove_host(this->impl->self.name, [](result<void> const&) {});
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
