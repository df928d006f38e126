#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <persimmonpoint/engine/statement_run.hpp>
#include <persimmonpoint/observe/event_log.hpp>
#include <utility>

namespace persimmonpoint::engine {

namespace {

/// Pause before a database is asked for again that could not be had.
constexpr auto retry_pause = std::chrono::milliseconds(20);
/// Part of the route's staleness bound that is left for the clocks.
constexpr duration staleness_margin = std::chrono::milliseconds(20);
/// The owner is given this much less time than the statement has.
constexpr duration answer_margin = std::chrono::milliseconds(10);
/// A leader check takes no slot; one that takes longer is lost.
constexpr std::uint32_t leader_check_budget_ms = 250;
/// A statement may wait for a slot for its target latency, but at least this long.
constexpr duration least_wait = std::chrono::milliseconds(60);
/// Time that a database has for a read before another is asked, at least.
constexpr duration least_read_attempt = std::chrono::milliseconds(150);
/// Share of the target latency that a statement may wait for a database to be there.
constexpr int patience_divisor = 4;
constexpr double per_mille = 1000;

std::uint32_t to_budget(duration left) {
    auto const ms =
        std::chrono::duration_cast<std::chrono::milliseconds>(left - answer_margin)
            .count();
    return static_cast<std::uint32_t>(std::max<std::int64_t>(ms, 1));
}

retry_subject make_subject(run_request const& request, instant now) {
    retry_subject subject;
    subject.non_idempotent = request.non_idempotent;
    subject.in_transaction = request.order.transaction.is_set();
    subject.needs_leader = request.needs_leader;
    subject.started = now;
    subject.time_limit = request.route.statement_timeout;
    subject.max_wait = request.route.target_latency / patience_divisor;
    return subject;
}

} // namespace

void learn_from_answer(
    group_routing& group,
    std::string const& database,
    instant sent,
    upstream_response const& answer,
    instant now) {
    group.answered(
        database, answer.position,
        answer.outcome == upstream_outcome::answered ? std::optional(answer.load)
                                                     : std::nullopt,
        now);
    if (answer.error == statement_error::lagging) {
        group.lagged(database, now);
    } else if (answer.succeeded()) {
        group.caught_up(database);
    }
    if (answer.refusal == upstream_refusal::unreachable) {
        group.unreachable(database, now);
    }
    if (answer.acknowledged) {
        group.acknowledged.note(database, *answer.acknowledged);
    }
    if (answer.leader_confirmed && answer.position) {
        group.floors.observe(sent, *answer.position);
        if (group.confirm_leader(database, answer.position->term)) {
            observe::log_event(
                observe::log_level::info, "leader_learned",
                {{"database", database}, {"term", answer.position->term}});
        }
    }
    if (answer.error == statement_error::read_only) {
        group.clear_leader(database);
    }
}

struct statement_run::implementation {
    run_context& context;
    run_request request;
    handler done;
    retry_policy plan;
    boost::asio::steady_timer timer; ///< Of the whole statement.
    boost::asio::steady_timer pause;
    bool checked_leader = false;
    bool outstanding = false;
    bool finished = false;
};

std::weak_ptr<statement_run>
statement_run::start(run_context& context, run_request request, handler done) {
    auto const run =
        std::make_shared<statement_run>(context, std::move(request), std::move(done));
    run->begin();
    return run;
}

statement_run::statement_run(run_context& context, run_request request, handler done) {
    retry_subject const subject = make_subject(request, context.time.now());
    this->impl = std::make_unique<implementation>(implementation{
        context, std::move(request), std::move(done), retry_policy(subject),
        boost::asio::steady_timer(context.loop),
        boost::asio::steady_timer(context.loop)});
}

statement_run::~statement_run() = default;

void statement_run::begin() {
    this->impl->timer.expires_after(this->impl->request.route.statement_timeout);
    this->impl->timer.async_wait(
        [self = this->shared_from_this()](boost::system::error_code failure) {
            if (!failure) {
                self->give_up("the route's timeout passed");
            }
        });
    if (this->impl->request.order.transaction.is_set()) {
        this->attempt_inside();
    } else {
        this->attempt();
    }
}

void statement_run::give_up(std::string_view reason) {
    this->refuse(
        this->impl->outstanding ? statement_error::timeout : this->impl->plan.refusal(),
        std::string(reason));
}

void statement_run::attempt_inside() {
    this->send(this->impl->request.order.database, std::nullopt);
}

bool statement_run::find_floor(std::optional<log_position>& floor) const {
    run_request const& request = this->impl->request;
    group_routing& group = this->impl->context.view.group(request.route.group);
    floor = group.floors.min_position_for(
        request.route.max_staleness - staleness_margin,
        this->impl->plan.subject().started);
    if (!floor) {
        return false;
    }
    if (request.last_commit_position) {
        floor = std::max(*floor, *request.last_commit_position);
    }
    return true;
}

bool statement_run::is_at_home(registered_database const& database) const {
    return this->impl->request.homes.allows_zone(
        database.availability_zone, this->impl->context.view.regions);
}

bool statement_run::has_home(group_routing const& group) const {
    run_request const& request = this->impl->request;
    if (!request.homes.is_bound()) {
        return true;
    }
    auto const all = group.databases();
    if (!request.needs_leader) {
        return std::any_of(all.begin(), all.end(), [this](auto const& each) {
            return this->is_at_home(each);
        });
    }
    auto const* const leader =
        group.leader() ? group.find(group.leader()->database) : nullptr;
    return leader == nullptr || this->is_at_home(*leader);
}

std::vector<std::string> statement_run::excluded(group_routing const& group) const {
    auto const tried = this->impl->plan.tried();
    std::vector<std::string> all(tried.begin(), tried.end());
    if (this->impl->request.homes.is_bound()) {
        for (registered_database const& each : group.databases()) {
            if (!this->is_at_home(each)) {
                all.push_back(each.id);
            }
        }
    }
    return all;
}

void statement_run::attempt() {
    run_request const& request = this->impl->request;
    instant const now = this->impl->context.time.now();
    group_routing& group = this->impl->context.view.group(request.route.group);
    if (group.is_out_of_service()) {
        this->refuse(
            this->impl->plan.refusal(), "the availability zones of the group's databases "
                                        "are evacuated");
        return;
    }
    if (!this->has_home(group)) {
        this->refuse(
            this->impl->plan.refusal(), "no database for it is in a region that its "
                                        "route and team allow");
        return;
    }
    std::optional<std::string> chosen;
    std::optional<log_position> floor;
    if (request.needs_leader) {
        if (group.leader()) {
            chosen = group.leader()->database;
        }
    } else if (this->find_floor(floor)) {
        chosen = group.choose_for_read(
            floor, this->impl->context.availability_zone, this->excluded(group), now,
            request.order.team);
    } else if (!this->impl->checked_leader && group.leader()) {
        this->check_leader();
        return;
    }
    if (!chosen) {
        this->impl->checked_leader = false;
        this->follow(this->impl->plan.no_database(now), {});
        return;
    }
    this->send(*chosen, floor);
}

void statement_run::check_leader() {
    this->impl->checked_leader = true;
    run_request const& request = this->impl->request;
    group_routing& group = this->impl->context.view.group(request.route.group);
    upstream_request order;
    order.kind = upstream_request_kind::leader_check;
    order.group = request.route.group;
    order.database = group.leader()->database;
    order.team = request.order.team;
    order.budget_ms = leader_check_budget_ms;
    instant const sent = this->impl->context.time.now();
    std::string const database = order.database;
    group.sent(database);
    this->impl->context.orders.submit(
        std::move(order), [self = this->shared_from_this(), database,
                           sent](upstream_response answer, std::string const&) {
            self->learn(database, sent, answer);
            if (!self->impl->finished) {
                self->attempt();
            }
        });
}

duration statement_run::attempt_limit(instant now) const {
    run_request const& request = this->impl->request;
    duration const remaining = this->impl->plan.remaining(now);
    if (request.non_idempotent || request.order.transaction.is_set() ||
        request.order.kind == upstream_request_kind::open_transaction) {
        return remaining;
    }
    // A read whose answer is lost can be had elsewhere.
    return std::min(
        remaining, std::max(request.route.target_latency, least_read_attempt));
}

void statement_run::send(std::string const& database, std::optional<log_position> floor) {
    run_request const& request = this->impl->request;
    instant const now = this->impl->context.time.now();
    upstream_request order = request.order;
    order.database = database;
    order.floor = floor;
    order.budget_ms = to_budget(this->attempt_limit(now));
    order.wait_ms = to_budget(std::max(request.route.target_latency, least_wait));
    this->impl->context.view.group(request.route.group).sent(database);
    this->impl->outstanding = true;
    auto done = [self = this->shared_from_this(), database,
                 now](upstream_response answer, std::string const& owner) {
        self->answered(database, now, std::move(answer), owner);
    };
    if (request.owner.empty()) {
        this->impl->context.orders.submit(
            std::move(order), request.homes, std::move(done));
    } else {
        this->impl->context.orders.submit_to(
            request.owner, std::move(order), std::move(done));
    }
}

void statement_run::learn(
    std::string const& database, instant sent, upstream_response const& answer) {
    group_routing& group =
        this->impl->context.view.group(this->impl->request.route.group);
    instant const now = this->impl->context.time.now();
    learn_from_answer(group, database, sent, answer, now);
    if (answer.outcome != upstream_outcome::not_run) {
        speed_report const report{
            service_class_of(this->impl->request.order),
            std::chrono::microseconds(answer.service_us),
            answer.failing_permille / per_mille};
        group.speed_reported(database, report, now);
    }
}

void statement_run::answered(
    std::string const& database,
    instant sent,
    upstream_response answer,
    std::string const& owner) {
    this->learn(database, sent, answer);
    if (this->impl->finished) {
        // Too late for the caller; a transaction that it opened is not wanted any more.
        if (answer.transaction.is_set() &&
            !this->impl->request.order.transaction.is_set()) {
            upstream_request order;
            order.kind = upstream_request_kind::rollback;
            order.transaction = answer.transaction;
            order.database = database;
            this->impl->context.orders.submit_to(
                owner, std::move(order),
                [](upstream_response const&, std::string const&) {});
        }
        return;
    }
    this->impl->outstanding = false;
    instant const now = this->impl->context.time.now();
    retry_decision decision = this->impl->plan.answered(answer, database, now);
    run_outcome outcome;
    outcome.answer = std::move(answer);
    outcome.database = database;
    outcome.owner = owner;
    this->follow(std::move(decision), std::move(outcome));
}

void statement_run::follow(retry_decision decision, run_outcome outcome) {
    switch (decision.step) {
    case retry_step::deliver:
        this->finish(std::move(outcome));
        return;
    case retry_step::retry_now:
        this->attempt();
        return;
    case retry_step::retry_later:
        this->later();
        return;
    default:
        this->refuse(decision.error, std::move(decision.error_text));
    }
}

void statement_run::later() {
    this->impl->pause.expires_after(retry_pause);
    this->impl->pause.async_wait(
        [self = this->shared_from_this()](boost::system::error_code failure) {
            if (!failure && !self->impl->finished) {
                self->attempt();
            }
        });
}

void statement_run::refuse(statement_error code, std::string text) {
    run_outcome outcome;
    outcome.refused = true;
    outcome.answer.error = code;
    outcome.answer.error_text = std::move(text);
    this->finish(std::move(outcome));
}

void statement_run::finish(run_outcome outcome) {
    if (std::exchange(this->impl->finished, true)) {
        return;
    }
    this->impl->timer.cancel();
    this->impl->pause.cancel();
    outcome.attempts = this->impl->plan.attempts();
    handler const done = std::exchange(this->impl->done, nullptr);
    done(std::move(outcome));
}

} // namespace persimmonpoint::engine
