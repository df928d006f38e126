#include <algorithm>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <persimmonpoint/core/limits/connection_pace.hpp>
#include <persimmonpoint/core/limits/fair_queue.hpp>
#include <persimmonpoint/observe/event_log.hpp>
#include <persimmonpoint/traffic/connection_pool.hpp>
#include <utility>

namespace persimmonpoint::traffic {

namespace asio = boost::asio;

namespace {

constexpr std::chrono::milliseconds expiry_interval{20};

/// Waits for the end of a reset.
class reset_observer final : public answer_observer {
public:
    explicit reset_observer(std::function<void(bool)> done) : done(std::move(done)) {}

    void on_parameters(std::size_t, std::span<std::uint32_t const>) override {}
    void on_columns(std::size_t, std::span<postgres::column const>) override {}
    void on_row(std::size_t, std::span<postgres::field const>) override {}
    void on_complete(std::size_t, std::string_view) override {}
    void on_error(std::size_t, postgres::database_error const&) override {
        this->failed = true;
    }

    void on_finished(postgres::transaction_status status) override {
        this->done(!this->failed && status == postgres::transaction_status::idle);
    }

    void on_lost(std::string_view) override { this->done(false); }

private:
    std::function<void(bool)> done;
    bool failed = false;
};

} // namespace

struct connection_pool::implementation {
    struct request {
        std::uint64_t ticket = 0;
        handler done;
    };

    enum class task { connecting, resetting };

    /// A connection on which the pool waits for an answer, for nobody else.
    struct transit {
        std::shared_ptr<database_connection> link;
        task what = task::connecting;
        instant deadline{};
    };

    implementation(
        asio::io_context& loop,
        clock const& time,
        std::string name,
        factory make,
        pool_settings settings,
        std::shared_ptr<chart::chart const> rules)
        : loop(loop),
          time(time),
          name(std::move(name)),
          make(std::move(make)),
          settings(settings),
          rules(std::move(rules)),
          expiry(loop) {}

    asio::io_context& loop;
    clock const& time;
    std::string name;
    factory make;
    pool_settings settings;
    std::shared_ptr<chart::chart const> rules;
    asio::steady_timer expiry;
    std::vector<std::shared_ptr<database_connection>> idle;
    /// They hold a handler that holds them, until they are closed.
    std::vector<transit> in_transit;
    connection_pace attempts;
    fair_queue<request> waiting;
    std::size_t open = 0; ///< Connecting, idle, on loan or resetting.
    std::size_t connecting = 0;
    std::uint64_t next_ticket = 1;
    bool expiry_armed = false;
    bool closed = false;

    void refuse_all(std::string const& reason) {
        auto const refused =
            this->waiting.remove_items([](request const&) { return true; });
        for (request const& each : refused) {
            each.done(error{"08001", reason});
        }
    }

    /// Hands idle connections to waiting requests, and opens more where the limit allows.
    void serve(std::shared_ptr<connection_pool> const& self) {
        while (!this->idle.empty() && !this->waiting.empty()) {
            auto link = std::move(this->idle.back());
            this->idle.pop_back();
            link->when_lost(nullptr);
            request const next = *this->waiting.pop();
            next.done(
                std::make_unique<connection_lease>(self, std::move(link), this->rules));
        }
        while (this->waiting.size() > this->connecting &&
               this->open < this->settings.limit &&
               this->attempts.may_attempt(this->time.now())) {
            this->connect(self);
        }
        this->watch_deadlines(self);
    }

    void connect(std::shared_ptr<connection_pool> const& self) {
        ++this->open;
        ++this->connecting;
        this->attempts.attempted(this->time.now());
        auto link = this->make();
        this->in_transit.push_back(
            {link, task::connecting, this->time.now() + this->settings.connect_timeout});
        link->connect([self, link](result<void> outcome) {
            if (!self->impl->leave_transit(link)) {
                return; // Given up meanwhile.
            }
            if (!outcome) {
                self->impl->connect_failed(self, outcome.error().message);
                return;
            }
            --self->impl->connecting;
            self->impl->park(self, link);
            self->impl->serve(self);
        });
    }

    /// False if the connection was given up before.
    bool leave_transit(std::shared_ptr<database_connection> const& link) {
        return std::erase_if(this->in_transit, [&link](transit const& each) {
                   return each.link == link;
               }) > 0;
    }

    void reset(
        std::shared_ptr<connection_pool> const& self,
        std::shared_ptr<database_connection> const& link) {
        this->in_transit.push_back(
            {link, task::resetting, this->time.now() + this->settings.reset_timeout});
        upstream_query reset;
        reset.sql = "DISCARD ALL";
        link->run(
            {std::move(reset)},
            std::make_shared<reset_observer>([self, link](bool clean) {
                if (!self->impl->leave_transit(link)) {
                    return; // Given up meanwhile.
                }
                if (clean) {
                    self->impl->park(self, link);
                    self->impl->serve(self);
                } else {
                    link->close();
                    self->gone();
                }
            }));
        this->watch_deadlines(self);
    }

    void connect_failed(
        std::shared_ptr<connection_pool> const& self, std::string const& reason) {
        --this->open;
        --this->connecting;
        if (this->open == this->connecting) {
            // Nothing is open that could serve those who wait: let them go elsewhere.
            this->refuse_all(
                "can't connect to database \"" + this->name + "\": " + reason);
        }
        this->serve(self);
    }

    void park(
        std::shared_ptr<connection_pool> const& self,
        std::shared_ptr<database_connection> const& link) {
        if (this->closed || this->open > this->settings.limit) {
            --this->open;
            link->close();
            return;
        }
        std::weak_ptr<connection_pool> const weak = self;
        std::weak_ptr<database_connection> const weak_link = link;
        link->when_lost([weak, weak_link] {
            auto const pool = weak.lock();
            if (pool) {
                std::erase(pool->impl->idle, weak_link.lock());
                pool->gone();
            }
        });
        this->idle.push_back(link);
    }

    void watch_deadlines(std::shared_ptr<connection_pool> const& self) {
        bool const has_none = this->waiting.empty() && this->in_transit.empty();
        if (this->expiry_armed || this->closed || has_none) {
            return;
        }
        this->expiry_armed = true;
        this->expiry.expires_after(expiry_interval);
        this->expiry.async_wait([self](boost::system::error_code failure) {
            self->impl->expiry_armed = false;
            if (!failure) {
                self->impl->expire(self);
            }
        });
    }

    void expire(std::shared_ptr<connection_pool> const& self) {
        for (request const& each : this->waiting.expire(this->time.now())) {
            each.done(error{
                "53300",
                "no connection to database \"" + this->name + "\" became free in time"});
        }
        for (transit const& each : this->take_overdue()) {
            each.link->close();
            if (each.what == task::connecting) {
                this->connect_failed(self, "connecting took too long");
            } else {
                this->reset_overdue(self);
            }
        }
        this->serve(self);
    }

    std::vector<transit> take_overdue() {
        instant const now = this->time.now();
        std::vector<transit> overdue;
        std::erase_if(this->in_transit, [now, &overdue](transit const& each) {
            bool const is_overdue = each.deadline <= now;
            if (is_overdue) {
                overdue.push_back(each);
            }
            return is_overdue;
        });
        return overdue;
    }

    /// Nobody waits for a reset: that it has no answer is no sign of the database's
    /// state.
    void reset_overdue(std::shared_ptr<connection_pool> const& self) {
        observe::log_event(
            observe::log_level::warning, "connection_given_up",
            {{"database", this->name}, {"was_resetting", true}});
        self->gave_up();
    }
};

connection_lease::connection_lease(
    std::shared_ptr<connection_pool> pool,
    std::shared_ptr<database_connection> link,
    std::shared_ptr<chart::chart const> rules)
    : pool(std::move(pool)), connection(std::move(link)), machine(std::move(rules)) {
    this->machine.fire(connection_event::connected);
    this->machine.fire(connection_event::taken);
}

connection_lease::~connection_lease() {
    this->discard();
}

void connection_lease::answered(postgres::transaction_status status) {
    this->last_status = status;
    bool const idle = status == postgres::transaction_status::idle;
    this->machine.fire(
        idle ? connection_event::answered_idle : connection_event::answered_open);
}

bool connection_lease::in_transaction() const {
    return this->machine.is(connection_state::in_transaction);
}

void connection_lease::release() {
    connection_event const event =
        this->dirty ? connection_event::released_dirty : connection_event::released_clean;
    if (!this->connection || !this->machine.fire(event)) {
        this->discard();
        return;
    }
    std::exchange(this->pool, nullptr)
        ->give_back(std::exchange(this->connection, nullptr), this->dirty);
}

void connection_lease::discard() {
    if (!this->connection) {
        return;
    }
    this->machine.fire(connection_event::broken);
    std::exchange(this->connection, nullptr)->close();
    std::exchange(this->pool, nullptr)->gone();
}

void connection_lease::give_up() {
    if (!this->connection) {
        return;
    }
    this->machine.fire(connection_event::broken);
    std::exchange(this->connection, nullptr)->close();
    std::exchange(this->pool, nullptr)->gave_up();
}

connection_pool::connection_pool(
    asio::io_context& loop,
    clock const& time,
    std::string name,
    factory make,
    pool_settings settings,
    std::shared_ptr<chart::chart const> rules)
    : impl(std::make_unique<implementation>(
          loop, time, std::move(name), std::move(make), settings, std::move(rules))) {}

connection_pool::~connection_pool() = default;

std::uint64_t
connection_pool::acquire(std::string_view team, instant deadline, handler done) {
    std::uint64_t const ticket = this->impl->next_ticket++;
    if (this->impl->closed || this->impl->settings.limit == 0) {
        done(error{
            "53300",
            "this host may open no connection to database \"" + this->impl->name + "\""});
        return ticket;
    }
    if (this->impl->waiting.size() >= this->impl->settings.max_waiting) {
        done(error{
            "53300", "too many requests wait for database \"" + this->impl->name + "\""});
        return ticket;
    }
    this->impl->waiting.push(
        team, implementation::request{ticket, std::move(done)}, deadline);
    this->impl->serve(this->shared_from_this());
    return ticket;
}

void connection_pool::give_up(std::uint64_t ticket) {
    this->impl->waiting.remove_items(
        [ticket](implementation::request const& each) { return each.ticket == ticket; });
}

void connection_pool::set_limit(std::size_t limit) {
    this->impl->settings.limit = limit;
    while (this->impl->open > limit && !this->impl->idle.empty()) {
        this->impl->idle.back()->close();
        this->impl->idle.pop_back();
        --this->impl->open;
    }
    this->impl->serve(this->shared_from_this());
}

database_load connection_pool::load() const {
    std::size_t const limit = this->impl->settings.limit;
    std::size_t const unopened = limit > this->impl->open ? limit - this->impl->open : 0;
    return database_load{this->impl->idle.size() + unopened, this->impl->waiting.size()};
}

std::size_t connection_pool::open_connections() const {
    return this->impl->open;
}

void connection_pool::close() {
    this->impl->closed = true;
    this->impl->expiry.cancel();
    for (auto const& link : this->impl->idle) {
        link->close();
    }
    auto const in_transit = std::exchange(this->impl->in_transit, {});
    for (auto const& each : in_transit) {
        each.link->close();
    }
    this->impl->open -= this->impl->idle.size() + in_transit.size();
    this->impl->connecting = 0;
    this->impl->idle.clear();
    this->impl->refuse_all("database \"" + this->impl->name + "\" is leaving");
}

void connection_pool::give_back(std::shared_ptr<database_connection> link, bool dirty) {
    auto const self = this->shared_from_this();
    if (!dirty) {
        this->impl->park(self, link);
        // Whoever gives back is still in the middle of its own work.
        if (!this->impl->waiting.empty()) {
            asio::post(this->impl->loop, [self] { self->impl->serve(self); });
        }
        return;
    }
    if (this->impl->closed) {
        // Nobody would wait for the reset's end.
        link->close();
        this->gone();
        return;
    }
    this->impl->reset(self, link);
}

void connection_pool::gave_up() {
    this->impl->attempts.gave_up(this->impl->time.now());
    this->gone();
}

void connection_pool::gone() {
    --this->impl->open;
    auto const self = this->shared_from_this();
    asio::post(this->impl->loop, [self] { self->impl->serve(self); });
}

} // namespace persimmonpoint::traffic
