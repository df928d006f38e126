#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <limits>
#include <map>
#include <persimmonpoint/core/membership/drain_times.hpp>
#include <persimmonpoint/core/routing/connection_budget.hpp>
#include <persimmonpoint/core/routing/owner_ranking.hpp>
#include <persimmonpoint/engine/commit_relay.hpp>
#include <persimmonpoint/engine/control_order.hpp>
#include <persimmonpoint/engine/dispatcher.hpp>
#include <persimmonpoint/engine/order_commands.hpp>
#include <persimmonpoint/observe/event_log.hpp>
#include <random>
#include <utility>

namespace persimmonpoint::engine {

namespace {

/// Orders of this host itself.
constexpr order_source local_source = std::numeric_limits<order_source>::max();
/// Owners that are tried for one order.
constexpr std::size_t most_owners = 3;
constexpr auto trim_interval = std::chrono::milliseconds(500);
constexpr duration state_budget = std::chrono::milliseconds(150);
/// A commit waits for a reading of the store for so long, and is not run then.
constexpr duration guard_patience = std::chrono::milliseconds(300);
/// Commits that may wait so; one more is not run.
constexpr std::size_t most_unjudged = 400;

/// A commit that waits for a reading of the store.
struct unjudged_commit {
    upstream_request order;
    order_source source = 0;
    response_handler done;
    instant since{};
};

std::uint64_t draw_nonce() {
    std::random_device device;
    return std::uniform_int_distribution<std::uint64_t>()(device);
}

} // namespace

struct dispatcher::implementation : std::enable_shared_from_this<implementation>,
                                    state_source {
    implementation(
        boost::asio::io_context& loop,
        upstream_connector& connector,
        clock const& time,
        owner_observer& observer,
        fleet_view const& view,
        std::string self,
        database_bounds const& bounds)
        : loop(loop),
          connector(connector),
          time(time),
          observer(observer),
          view(view),
          self(std::move(self)),
          drains(bounds.drain),
          evacuation_limit(bounds.evacuation),
          cold_overrun(bounds.cold_overrun),
          transactions(time.now(), draw_nonce()),
          commits(loop, time, *this),
          trimmer(loop) {}

    database_owner* owner(std::string const& id) {
        auto const found = this->owners.find(id);
        if (found != this->owners.end()) {
            return found->second.get();
        }
        registered_database const* const entry = this->view.find_database(id);
        if (entry == nullptr) {
            return nullptr;
        }
        auto made = std::make_unique<database_owner>(
            this->loop, this->connector, this->time, this->observer, this->transactions,
            *entry);
        made->set_limits(this->limits_for(*entry));
        made->set_cold_allowance(this->cold_allowance_for(*entry));
        made->set_work_end(this->drains.work_ends_at(id));
        if (this->ends_transactions) {
            made->end_transactions();
        }
        this->follow_evacuation(*entry, *made);
        return this->owners.emplace(id, std::move(made)).first->second.get();
    }

    void follow_evacuation(registered_database const& database, database_owner& owner) {
        database_evacuation& evacuation =
            this->evacuations.try_emplace(database.id, this->evacuation_limit)
                .first->second;
        group_routing const* const group = this->view.find_group(database.group);
        bool const leads = group != nullptr && group->leader() &&
                           group->leader()->database == database.id;
        bool const has_changed =
            evacuation.update(this->view.is_evacuated(database), leads, this->time.now());
        if (has_changed) {
            observe::log_event(
                observe::log_level::info, "database_evacuation",
                {{"database", database.id},
                 {"zone", database.availability_zone},
                 {"state", evacuation.state_name()}});
        }
        owner.set_service(evacuation.takes_new_work(), evacuation.takes_transactions());
    }

    void follow_evacuations() {
        for (auto& each : this->owners) {
            if (auto const* const entry = this->view.find_database(each.first)) {
                this->follow_evacuation(*entry, *each.second);
            }
        }
    }

    /// Only the first owner uses a cold database. Where several hosts take themselves for
    /// that, the shares keep them within the bound.
    cold_allowance cold_allowance_for(registered_database const& database) const {
        auto const& groups = this->view.configuration->groups;
        auto const group = groups.find(database.group);
        if (group == groups.end() || !group->second.cold_rate) {
            return {};
        }
        auto const& ranked = this->ranked(database);
        bool const is_first = !ranked.empty() && ranked.front() == this->self;
        return {
            true, is_first ? cold_share(*group->second.cold_rate, this->cold_overrun) : 0,
            this->view.cold.warm_at(database.id)};
    }

    connection_limits limits_for(registered_database const& database) const {
        auto const& ranked = this->ranked(database);
        auto const at = std::find(ranked.begin(), ranked.end(), this->self);
        auto const& groups = this->view.configuration->groups;
        auto const group = groups.find(database.group);
        std::uint32_t const most =
            group == groups.end() ? 1 : group->second.max_connections;
        return owner_limits(
            static_cast<std::size_t>(at - ranked.begin()), most, database.slots);
    }

    /// Good until the next refresh.
    std::vector<std::string> const& ranked(registered_database const& database) const {
        auto found = this->rankings.find(database.id);
        if (found == this->rankings.end()) {
            found = this->rankings
                        .emplace(
                            database.id,
                            rank_database_owners(database, this->mesh->usable_hosts()))
                        .first;
        }
        return found->second;
    }

    /// Owners that a request may be brought to: this host has it already.
    std::vector<std::string>
    owners_at_home(registered_database const& database, home_regions const& homes) const {
        std::vector<std::string> owners = this->ranked(database);
        if (homes.is_bound()) {
            std::erase_if(owners, [&](std::string const& each) {
                return each != this->self &&
                       !homes.allows_zone(this->zone_of(each), this->view.regions);
            });
        }
        return owners;
    }

    /// Empty for a host that isn't known any more.
    std::string zone_of(std::string const& host) const {
        for (registered_host const& each : this->mesh->usable_hosts()) {
            if (each.name == host) {
                return each.availability_zone;
            }
        }
        return {};
    }

    void submit_along(
        upstream_request order,
        std::vector<std::string> owners,
        std::size_t at,
        handler done) {
        std::string const host = owners[at];
        upstream_request copy = order;
        this->submit_to(
            host, std::move(copy),
            [weak = this->weak_from_this(), order = std::move(order),
             owners = std::move(owners), at, done = std::move(done)](
                upstream_response answer, std::string const& by) mutable {
                auto const self = weak.lock();
                bool const elsewhere = answer.outcome == upstream_outcome::not_run &&
                                       answer.refusal == upstream_refusal::unreachable &&
                                       at + 1 < std::min(owners.size(), most_owners);
                if (self && elsewhere) {
                    self->submit_along(
                        std::move(order), std::move(owners), at + 1, std::move(done));
                    return;
                }
                done(std::move(answer), by);
            });
    }

    void submit_to(std::string const& host, upstream_request order, handler done) {
        if (host == this->self) {
            this->run_here(
                std::move(order), local_source,
                [host, done = std::move(done)](upstream_response answer) {
                    done(std::move(answer), host);
                });
            return;
        }
        this->mesh->submit(
            host, std::move(order),
            [host, done = std::move(done)](upstream_response answer) {
                done(std::move(answer), host);
            });
    }

    void run_here(upstream_request order, order_source source, response_handler done) {
        if (this->knows_no_team() && !order.team.empty()) {
            this->ordering_team = order.team;
        }
        database_owner* const target = this->owner(order.database);
        if (target == nullptr) {
            upstream_response answer;
            answer.refusal = upstream_refusal::unreachable;
            done(std::move(answer));
            return;
        }
        if (changes_log(order) && this->view.replicates_commits(order.group)) {
            this->run_commit(std::move(order), source, std::move(done));
            return;
        }
        target->submit(std::move(order), source, std::move(done));
    }

    void run_commit(upstream_request order, order_source source, response_handler done) {
        unjudged_commit commit{
            std::move(order), source, std::move(done), this->time.now()};
        fence_verdict const verdict =
            this->guard == nullptr
                ? fence_verdict::allow
                : this->guard->judge(commit.order.group, commit.order.database);
        bool const may_wait = this->unjudged.size() < most_unjudged;
        if (verdict == fence_verdict::needs_reading && may_wait) {
            this->unjudged.push_back(std::move(commit));
        } else {
            this->decide(std::move(commit), verdict);
        }
    }

    void decide(unjudged_commit commit, fence_verdict verdict) {
        database_owner* const target = this->owner(commit.order.database);
        if (target != nullptr && verdict == fence_verdict::allow) {
            auto const waited = std::chrono::duration_cast<std::chrono::milliseconds>(
                this->time.now() - commit.since);
            auto const spent = static_cast<std::uint32_t>(waited.count());
            std::uint32_t& budget = commit.order.budget_ms;
            // 0 stands for no limit of the order's own.
            budget = budget > spent ? budget - spent : std::min(budget, 1U);
            response_handler done = this->confirmed(commit.order, std::move(commit.done));
            target->submit(std::move(commit.order), commit.source, std::move(done));
            return;
        }
        if (target != nullptr && commit.order.transaction.is_set()) {
            upstream_request end = commit.order;
            end.kind = upstream_request_kind::rollback;
            end.writes = false;
            target->submit(
                std::move(end), commit.source, [](upstream_response const&) {});
        }
        upstream_response answer;
        answer.refusal = upstream_refusal::fenced;
        commit.done(std::move(answer));
    }

    /// Looks at the commits that wait for a reading of the store.
    void judge_again() {
        instant const now = this->time.now();
        for (unjudged_commit& each : std::exchange(this->unjudged, {})) {
            fence_verdict const verdict =
                this->guard->judge(each.order.group, each.order.database);
            bool const may_wait = now - each.since < guard_patience;
            if (verdict == fence_verdict::needs_reading && may_wait) {
                this->unjudged.push_back(std::move(each));
            } else {
                this->decide(std::move(each), verdict);
            }
        }
    }

    void refuse_unjudged() {
        for (unjudged_commit& each : std::exchange(this->unjudged, {})) {
            this->decide(std::move(each), fence_verdict::refuse);
        }
    }

    /// Whoever gave the orders is gone: nobody is told.
    void forget_unjudged(order_source source) {
        std::erase_if(this->unjudged, [source](unjudged_commit const& each) {
            return each.source == source;
        });
    }

    /// The handler of a commit, which is told of a success only once it can't be lost.
    response_handler confirmed(upstream_request const& order, response_handler done) {
        instant const deadline =
            this->time.now() + std::chrono::milliseconds(order.budget_ms);
        return [weak = this->weak_from_this(), group = order.group,
                database = order.database, deadline,
                done = std::move(done)](upstream_response answer) {
            auto const self = weak.lock();
            if (!answer.succeeded()) {
                done(std::move(answer));
                return;
            }
            if (!self) {
                answer.outcome = upstream_outcome::unknown;
                answer.refusal = upstream_refusal::unconfirmed;
                done(std::move(answer));
                return;
            }
            self->commits.pass_on(group, database, std::move(answer), deadline, done);
        };
    }

    void ask_state(
        std::string const& group,
        std::string const& database,
        unsigned misses,
        state_handler done) override {
        registered_database const* const entry = this->view.find_database(database);
        std::size_t const owners =
            entry == nullptr ? 0 : std::min(this->ranked(*entry).size(), most_owners);
        if (owners == 0) {
            done(std::nullopt);
            return;
        }
        // Another owner may reach a database that is silent to the first one.
        std::string const host = this->ranked(*entry)[misses % owners];
        upstream_request order = make_control_order(
            this->view, group, database, upstream_request_kind::report_state,
            state_budget);
        if (this->knows_no_team() && !this->ordering_team.empty()) {
            order.team = this->ordering_team;
        }
        this->submit_to(
            host, std::move(order),
            [done =
                 std::move(done)](upstream_response const& answer, std::string const&) {
                done(answer.report);
            });
    }

    /// A host that has just started may run orders of others before it has a
    /// configuration.
    bool knows_no_team() const { return this->view.configuration_body.empty(); }

    void trim_later() {
        this->trimmer.expires_after(trim_interval);
        this->trimmer.async_wait(
            [weak = this->weak_from_this()](boost::system::error_code failure) {
                auto const self = weak.lock();
                if (self && !failure) {
                    for (auto& each : self->owners) {
                        each.second->trim();
                    }
                    self->follow_evacuations();
                    self->trim_later();
                }
            });
    }

    void refresh() {
        this->rankings.clear();
        auto const& listed = this->view.directory.current().databases;
        this->drains.update(listed, this->time.now());
        this->commits.set_databases(listed);
        for (auto each = this->owners.begin(); each != this->owners.end();) {
            registered_database const* const entry =
                this->view.find_database(each->first);
            if (entry == nullptr) {
                // Its handlers run while it still is in the map.
                each->second->close();
                this->evacuations.erase(each->first);
                each = this->owners.erase(each);
                continue;
            }
            each->second->set_database(*entry);
            each->second->set_work_end(this->drains.work_ends_at(each->first));
            each->second->set_limits(this->limits_for(*entry));
            each->second->set_cold_allowance(this->cold_allowance_for(*entry));
            this->follow_evacuation(*entry, *each->second);
            ++each;
        }
    }

    boost::asio::io_context& loop;
    upstream_connector& connector;
    clock const& time;
    owner_observer& observer;
    fleet_view const& view;
    std::string self;
    drain_times drains;
    duration evacuation_limit;
    double cold_overrun;
    std::map<std::string, database_evacuation, std::less<>> evacuations; ///< Of `owners`.
    transaction_numbering transactions;
    commit_relay commits;
    boost::asio::steady_timer trimmer;
    bool ends_transactions = false;
    /// Of the last order that came while this host had no configuration.
    std::string ordering_team;
    peer_mesh* mesh = nullptr;
    commit_guard* guard = nullptr;
    std::vector<unjudged_commit> unjudged;
    std::map<std::string, std::unique_ptr<database_owner>, std::less<>> owners;
    mutable std::map<std::string, std::vector<std::string>, std::less<>> rankings;
};

dispatcher::dispatcher(
    boost::asio::io_context& loop,
    upstream_connector& connector,
    clock const& clock,
    owner_observer& observer,
    fleet_view const& view,
    std::string self,
    database_bounds const& bounds)
    : impl(std::make_shared<implementation>(
          loop, connector, clock, observer, view, std::move(self), bounds)) {
    this->impl->trim_later();
}

dispatcher::~dispatcher() {
    this->impl->trimmer.cancel();
}

void dispatcher::use(peer_mesh& mesh) {
    this->impl->mesh = &mesh;
}

void dispatcher::use(commit_guard& guard) {
    this->impl->guard = &guard;
    guard.set_listener([weak = this->impl->weak_from_this()] {
        if (auto const self = weak.lock()) {
            self->judge_again();
        }
    });
}

void dispatcher::submit(upstream_request order, home_regions const& homes, handler done) {
    registered_database const* const entry =
        this->impl->view.find_database(order.database);
    std::vector<std::string> owners;
    if (entry != nullptr) {
        owners = this->impl->owners_at_home(*entry, homes);
    }
    if (owners.empty()) {
        upstream_response answer;
        answer.refusal = upstream_refusal::unreachable;
        done(std::move(answer), this->impl->self);
        return;
    }
    this->impl->submit_along(std::move(order), std::move(owners), 0, std::move(done));
}

void dispatcher::submit_to(
    std::string const& owner, upstream_request order, handler done) {
    this->impl->submit_to(owner, std::move(order), std::move(done));
}

void dispatcher::run_here(
    upstream_request order, order_source source, response_handler done) {
    this->impl->run_here(std::move(order), source, std::move(done));
}

void dispatcher::forget(order_source source) {
    this->impl->forget_unjudged(source);
    for (auto& each : this->impl->owners) {
        each.second->forget(source);
    }
}

std::vector<std::string>
dispatcher::owners_of(registered_database const& database) const {
    return this->impl->ranked(database);
}

bool dispatcher::owns(registered_database const& database) const {
    auto const& ranked = this->impl->ranked(database);
    return !ranked.empty() && ranked.front() == this->impl->self;
}

std::size_t dispatcher::evacuated_databases() const {
    return static_cast<std::size_t>(std::count_if(
        this->impl->evacuations.begin(), this->impl->evacuations.end(),
        [](auto const& each) { return !each.second.takes_new_work(); }));
}

std::optional<instant> dispatcher::work_ends_at(std::string_view database) const {
    return this->impl->drains.work_ends_at(database);
}

void dispatcher::refresh() {
    this->impl->refresh();
}

void dispatcher::end_transactions() {
    this->impl->ends_transactions = true;
    for (auto& each : this->impl->owners) {
        each.second->end_transactions();
    }
}

void dispatcher::close() {
    this->impl->refuse_unjudged();
    this->impl->commits.close();
    for (auto& each : this->impl->owners) {
        each.second->close();
    }
}

std::uint64_t dispatcher::connections_opened() const {
    std::uint64_t sum = 0;
    for (auto const& each : this->impl->owners) {
        sum += each.second->connections_opened();
    }
    return sum;
}

connection_counts dispatcher::connections() const {
    connection_counts sum;
    for (auto const& each : this->impl->owners) {
        sum += each.second->connections();
    }
    return sum;
}

std::uint32_t dispatcher::load() const {
    std::uint32_t sum = 0;
    for (auto const& each : this->impl->owners) {
        sum += each.second->load();
    }
    sum += static_cast<std::uint32_t>(this->impl->commits.waiting());
    sum += static_cast<std::uint32_t>(this->impl->unjudged.size());
    return sum;
}

std::size_t dispatcher::open_transactions() const {
    std::size_t sum = 0;
    for (auto const& each : this->impl->owners) {
        sum += each.second->open_transactions();
    }
    return sum;
}

} // namespace persimmonpoint::engine
