#include <boost/asio/steady_timer.hpp>
#include <persimmonpoint/core/digest.hpp>
#include <persimmonpoint/core/quoted_text.hpp>
#include <persimmonpoint/core/session/client_session_state.hpp>
#include <persimmonpoint/engine/caller_session.hpp>
#include <persimmonpoint/observe/event_log.hpp>
#include <utility>

namespace persimmonpoint::engine {

namespace {

/// Whom databases are told for a caller without a key, on a route that is open to all.
constexpr std::string_view anonymous_team = "-";
constexpr std::string_view stopping_text = "the host is stopping";

} // namespace

struct caller_session::implementation
    : std::enable_shared_from_this<caller_session::implementation> {
    implementation(
        session_context& context,
        std::shared_ptr<caller_channel> channel,
        ended_handler on_ended)
        : context(context),
          channel(std::move(channel)),
          on_ended(std::move(on_ended)),
          idle_timer(context.runs.loop),
          state(context.memory) {}

    fleet_configuration const& configuration() const {
        return *this->context.runs.view.configuration;
    }

    // Admission

    /// The route and team as the newest configuration has them; an error otherwise.
    statement_error admit(served_route const*& allowed, std::string& as_team) const {
        allowed = this->configuration().find_route(this->database);
        if (allowed == nullptr) {
            return statement_error::no_database;
        }
        std::string_view const holder = this->configuration().team_of(this->key);
        if (holder.empty() && !allowed->allow_anonymous) {
            return statement_error::denied;
        }
        as_team = holder.empty() ? anonymous_team : holder;
        return statement_error::none;
    }

    void start(std::string_view wanted, std::string_view given_key) {
        this->database = wanted;
        this->key = given_key;
        this->waits_for_configuration = !this->context.knows_configuration;
        if (!this->waits_for_configuration) {
            this->admit_session();
        }
    }

    void configuration_known() {
        if (std::exchange(this->waits_for_configuration, false) && !this->closed) {
            this->admit_session();
        }
    }

    void configuration_missing() {
        if (!std::exchange(this->waits_for_configuration, false) || this->closed) {
            return;
        }
        this->channel->refuse(statement_error::busy, "the host has no configuration yet");
        this->end();
    }

    void admit_session() {
        served_route const* allowed = nullptr;
        std::string holder;
        statement_error const refusal = this->admit(allowed, holder);
        ++this->context.counts.sessions_opened;
        if (refusal != statement_error::none) {
            observe::log_event(
                observe::log_level::info, "session_refused",
                {{"database", this->database},
                 {"error", to_string(refusal)},
                 {"configuration", this->configuration().version}});
            this->channel->refuse(refusal, this->refusal_text(refusal));
            this->end();
            return;
        }
        this->channel->accept();
    }

    std::string refusal_text(statement_error refusal) const {
        return refusal == statement_error::no_database
                   ? "no route has the database name " + quoted_start(this->database)
                   : "the key is not known for " + quoted_start(this->database);
    }

    // Statements

    void take(statement const& what) {
        this->idle_timer.cancel();
        ++this->context.counts.statements;
        this->current_id = quoted_start(what.id);
        this->received = this->context.runs.time.now();
        if (this->was_idle_too_long && this->tell_of_idle_end(what)) {
            return;
        }
        served_route const* allowed = nullptr;
        std::string holder;
        statement_error const refusal = this->admit(allowed, holder);
        if (this->refuse_inadmissible(refusal, holder)) {
            return;
        }
        if (this->state.state() == transaction_state::idle) {
            this->route = *allowed;
            this->team = holder;
            this->homes =
                home_regions(allowed->allowed_regions, this->regions_of(holder));
            this->wrote = false;
        }
        this->transaction = this->state.transaction();
        this->transaction_database = this->state.database();
        this->carry_out(what, this->state.decide(what));
    }

    /// A key that was withdrawn ends its transactions too; a changed route does not.
    bool refuse_inadmissible(statement_error refusal, std::string const& holder) {
        bool const inside = this->state.state() != transaction_state::idle;
        bool const other_team =
            inside && refusal == statement_error::none && holder != this->team;
        bool const matters = inside ? refusal == statement_error::denied || other_team
                                    : refusal != statement_error::none;
        if (!matters) {
            return false;
        }
        statement_error const code = other_team ? statement_error::denied : refusal;
        this->roll_back();
        this->state.ended();
        this->answer_error(code, this->refusal_text(code));
        return true;
    }

    bool tell_of_idle_end(statement const& what) {
        this->was_idle_too_long = false;
        if (what.verb == statement_verb::rollback ||
            what.verb == statement_verb::commit) {
            return false;
        }
        this->answer_error(
            statement_error::aborted, "the transaction was idle for too long");
        return true;
    }

    region_set regions_of(std::string_view holder) const {
        served_team const* const entry = this->configuration().find_team(holder);
        return entry == nullptr ? region_set() : entry->allowed_regions;
    }

    static bool needs_database(statement_action step) {
        return step == statement_action::execute_single ||
               step == statement_action::open ||
               step == statement_action::execute_in_transaction ||
               step == statement_action::commit_in_transaction;
    }

    /// There would be no time to finish it. A transaction ends with it.
    void refuse_before_exit(statement const& what) {
        bool const inside = this->state.state() != transaction_state::idle;
        this->log_refusal("host_stopping", 0);
        this->roll_back();
        if (what.verb == statement_verb::commit) {
            this->state.ended();
        } else {
            this->state.failed();
        }
        this->answer_error(
            inside ? statement_error::aborted : statement_error::busy,
            std::string(stopping_text));
    }

    void carry_out(statement const& what, statement_decision decision) {
        if (!this->context.accepts_work && needs_database(decision.step)) {
            this->refuse_before_exit(what);
            return;
        }
        switch (decision.step) {
        case statement_action::reply_success:
            this->answer_done();
            return;
        case statement_action::reply_error:
            this->answer_error(decision.error, decision.error_text);
            return;
        case statement_action::rollback_in_transaction:
            this->state.ended();
            this->roll_back();
            this->answer_done();
            return;
        case statement_action::execute_single:
        case statement_action::open:
            this->run_within_quota(what, std::move(decision));
            return;
        default:
            this->run(what, decision);
        }
    }

    /// An operation counts against the team's quota with its first statement.
    void run_within_quota(statement const& what, statement_decision decision) {
        if (this->team == anonymous_team) {
            this->run(what, decision);
            return;
        }
        this->waits_for_quota = true;
        this->context.quotas.take(
            this->team, [self = this->shared_from_this(), what,
                         decision = std::move(decision)](duration wait) {
                if (self->closed || !std::exchange(self->waits_for_quota, false)) {
                    return;
                }
                if (wait > duration(0)) {
                    self->refuse_over_quota(wait);
                } else {
                    self->run(what, decision);
                }
            });
    }

    void refuse_over_quota(duration wait) {
        auto const ms = std::max<std::int64_t>(
            std::chrono::duration_cast<std::chrono::milliseconds>(wait).count(), 1);
        ++this->context.counts.refused_quota;
        this->state.failed();
        this->log_refusal("over_quota", ms);
        this->answer_error(
            statement_error::busy,
            "the team is over its rate; retry_after_ms=" + std::to_string(ms));
    }

    void log_refusal(std::string_view reason, std::int64_t retry_ms) {
        observe::log_event(
            observe::log_level::info, "statement_refused",
            {{"id", this->current_id},
             {"team", this->team},
             {"route", this->route.name},
             {"reason", reason},
             {"retry_after_ms", retry_ms},
             {"configuration", this->configuration().version}});
    }

    void run(statement const& what, statement_decision const& decision) {
        run_request request;
        upstream_request& order = request.order;
        order.kind = this->order_kind_of(what, decision);
        order.group = this->route.group;
        order.team = this->team;
        order.id = what.id;
        order.text = decision.text;
        order.prepared = decision.prepared;
        this->current_shape =
            decision.prepared ? log_digest(decision.prepared->shape) : std::string();
        order.writes = decision.writes;
        order.values = this->state.values();
        order.priority = this->route.priority;
        bool const first_read_only =
            decision.step == statement_action::open && this->state.read_only();
        // On a primary route a plain transaction proves that its database leads.
        order.read_only_transaction =
            first_read_only && this->route.kind != route_kind::primary;
        request.route = this->route;
        request.homes = this->homes;
        request.non_idempotent =
            what.verb == statement_verb::commit ||
            (decision.step == statement_action::execute_single && decision.writes);
        if (what.verb == statement_verb::commit) {
            order.writes = this->wrote;
        }
        if (this->route.kind == route_kind::read_own_writes) {
            request.last_commit_position =
                this->state.last_commit_position(this->route.group);
        }
        bool const single_read =
            decision.step == statement_action::execute_single && !decision.writes;
        request.needs_leader = this->route.kind == route_kind::primary ||
                               !(single_read || order.read_only_transaction);
        if (single_read && request.needs_leader) {
            order.kind = upstream_request_kind::leader_read;
        }
        if (this->transaction.is_set()) {
            order.transaction = this->transaction;
            order.database = this->transaction_database;
            order.read_only_transaction = this->transaction_reads_only;
            request.owner = this->transaction_owner;
        }
        this->opens_read_only = order.read_only_transaction;
        this->running = true;
        this->current_run = statement_run::start(
            this->context.runs, std::move(request),
            [self = this->shared_from_this(), verb = what.verb, step = decision.step,
             writes = decision.writes](run_outcome outcome) {
                self->finished(verb, step, writes, std::move(outcome));
            });
    }

    upstream_request_kind
    order_kind_of(statement const& what, statement_decision const& decision) const {
        if (what.verb == statement_verb::commit) {
            return upstream_request_kind::commit;
        }
        switch (decision.step) {
        case statement_action::open:
            return upstream_request_kind::open_transaction;
        case statement_action::execute_in_transaction:
            return upstream_request_kind::in_transaction;
        default:
            return upstream_request_kind::single;
        }
    }

    // Outcomes

    void finished(
        statement_verb verb, statement_action step, bool writes, run_outcome outcome) {
        this->running = false;
        upstream_response& answer = outcome.answer;
        bool const good = answer.error == statement_error::none;
        this->count(outcome, good, verb, writes);
        this->log_outcome(outcome, verb, writes);
        if (verb == statement_verb::commit) {
            this->finish_commit(answer, good);
        } else if (step == statement_action::execute_single) {
            if (good && writes && answer.position) {
                this->state.acknowledged(this->route.group, *answer.position);
            }
        } else {
            this->finish_inside(outcome, good, writes);
        }
        if (this->closed) {
            this->roll_back();
            return;
        }
        caller_answer reply;
        reply.error = answer.error;
        reply.error_text = std::move(answer.error_text);
        reply.rows = std::move(answer.rows);
        reply.signature = std::move(answer.signature);
        reply.position = answer.position;
        this->reply(std::move(reply));
    }

    void finish_commit(upstream_response const& answer, bool good) {
        if (good && this->wrote && answer.position) {
            this->state.acknowledged(this->route.group, *answer.position);
        }
        this->state.ended();
        this->transaction = {};
    }

    void finish_inside(run_outcome const& outcome, bool good, bool writes) {
        upstream_response const& answer = outcome.answer;
        if (answer.transaction.is_set()) {
            this->transaction = answer.transaction;
            this->transaction_owner = outcome.owner;
            this->transaction_database = outcome.database;
            this->transaction_reads_only = this->opens_read_only;
            this->state.opened(outcome.database, answer.transaction);
            this->wrote = this->wrote || (good && writes);
            return;
        }
        this->transaction = {};
        this->state.failed();
    }

    void count(run_outcome const& outcome, bool good, statement_verb verb, bool writes) {
        traffic_counts& counts = this->context.counts;
        counts.latencies[this->route.name].add(
            this->context.runs.time.now() - this->received);
        counts.retries += outcome.attempts > 1 ? outcome.attempts - 1 : 0;
        if (good) {
            ++counts.succeeded;
            if (!writes && verb != statement_verb::commit) {
                ++(this->ran_on_primary(outcome) ? counts.reads_on_primaries
                                                 : counts.reads_on_replicas);
            }
            return;
        }
        switch (outcome.answer.error) {
        case statement_error::busy:
            ++counts.refused_busy;
            return;
        case statement_error::in_doubt:
            ++counts.in_doubt;
            return;
        case statement_error::timeout:
            ++counts.timeouts;
            return;
        case statement_error::aborted:
            ++counts.aborted;
            return;
        default:
            ++counts.other_errors;
        }
    }

    bool ran_on_primary(run_outcome const& outcome) const {
        auto const& leader = this->context.runs.view.group(this->route.group).leader();
        return leader && leader->database == outcome.database;
    }

    void log_outcome(run_outcome const& outcome, statement_verb verb, bool writes) {
        char const* const kind = verb == statement_verb::commit ? "commit"
                                 : writes                       ? "write"
                                                                : "read";
        duration const took = this->context.runs.time.now() - this->received;
        observe::log_event(
            observe::log_level::info, "statement_done",
            {{"id", this->current_id},
             {"team", this->team},
             {"route", this->route.name},
             {"group", this->route.group},
             {"kind", kind},
             {"shape", this->current_shape},
             {"database", outcome.database},
             {"on_primary", this->ran_on_primary(outcome)},
             {"owner", outcome.owner},
             {"outcome", to_string(outcome.answer.error)},
             {"own_refusal", outcome.refused},
             {"reason", outcome.answer.error_text},
             {"attempts", outcome.attempts},
             {"load", outcome.answer.load},
             {"position", to_string(outcome.answer.position)},
             {"confirmed_by", outcome.answer.confirmed_by},
             {"took_ms", to_seconds(took) * 1000},
             {"configuration", this->configuration().version}});
    }

    /// The host exits: the caller hears what is known of its request by now.
    void end_request() {
        if (std::exchange(this->waits_for_quota, false)) {
            this->state.failed();
            this->answer_error(statement_error::busy, std::string(stopping_text));
            return;
        }
        if (auto const run = this->current_run.lock()) {
            run->give_up(stopping_text);
        }
    }

    // Answers

    void answer_done() { this->reply({}); }

    void answer_error(statement_error code, std::string text) {
        caller_answer reply;
        reply.error = code;
        reply.error_text = std::move(text);
        this->reply(std::move(reply));
    }

    void reply(caller_answer answer) {
        if (this->closed) {
            return;
        }
        answer.state = this->state.state();
        this->busy = false;
        this->channel->answer(answer);
        if (this->transaction.is_set() &&
            this->state.state() == transaction_state::open) {
            this->watch_idle();
        }
        if (!this->context.keeps_sessions) {
            this->dismiss_if_idle();
        }
    }

    /// A caller that sends its next request with each answer is never found idle from
    /// outside.
    void dismiss_if_idle() {
        bool const in_use = this->busy || this->state.state() != transaction_state::idle;
        if (in_use || this->closed || std::exchange(this->dismissed, true)) {
            return;
        }
        this->channel->dismiss(stopping_text);
    }

    // Ends

    void watch_idle() {
        duration const limit = this->configuration().transaction_idle;
        if (limit <= duration(0)) {
            return;
        }
        this->idle_timer.expires_after(limit);
        this->idle_timer.async_wait(
            [weak = this->weak_from_this()](boost::system::error_code failure) {
                auto const self = weak.lock();
                if (self && !failure && !self->busy && !self->closed) {
                    self->end_idle_transaction();
                }
            });
    }

    void end_idle_transaction() {
        observe::log_event(
            observe::log_level::info, "transaction_idle_ended",
            {{"id", this->current_id},
             {"team", this->team},
             {"route", this->route.name}});
        this->roll_back();
        this->state.failed();
        this->was_idle_too_long = true;
    }

    /// Tells the owner to roll back; nobody waits for it.
    void roll_back() {
        if (!this->transaction.is_set()) {
            return;
        }
        upstream_request order;
        order.kind = upstream_request_kind::rollback;
        order.transaction = std::exchange(this->transaction, {});
        order.database = this->transaction_database;
        order.group = this->route.group;
        this->context.runs.orders.submit_to(
            this->transaction_owner, std::move(order),
            [](upstream_response const&, std::string const&) {});
    }

    void end() {
        if (std::exchange(this->closed, true)) {
            return;
        }
        this->idle_timer.cancel();
        if (!this->running) {
            this->roll_back();
        }
        if (this->on_ended) {
            std::exchange(this->on_ended, nullptr)(this->owner);
        }
    }

    session_context& context;
    std::shared_ptr<caller_channel> channel;
    ended_handler on_ended;
    caller_session* owner = nullptr;
    boost::asio::steady_timer idle_timer;
    std::string database;
    std::string key;
    std::string team;
    served_route route;
    home_regions homes; ///< Of route and team.
    client_session_state state;
    transaction_id transaction;
    std::string transaction_owner; ///< Holds its connection.
    std::string transaction_database;
    bool transaction_reads_only = false;
    bool opens_read_only = false;
    bool wrote = false; ///< In the present transaction.
    bool busy = false;  ///< A request is not answered yet.
    bool running = false;
    bool waits_for_quota = false;
    bool waits_for_configuration = false; ///< Neither accepted nor refused yet.
    std::weak_ptr<statement_run> current_run;
    bool closed = false;
    bool dismissed = false; ///< The caller was told that the session ends.
    bool was_idle_too_long = false;
    std::string current_id;    ///< For logs.
    std::string current_shape; ///< Digest, for logs; empty if nothing prepared runs.
    instant received{};
};

caller_session::caller_session(
    session_context& context,
    std::shared_ptr<caller_channel> channel,
    ended_handler on_ended)
    : impl(std::make_shared<implementation>(
          context, std::move(channel), std::move(on_ended))) {
    this->impl->owner = this;
}

caller_session::~caller_session() = default;

void caller_session::on_start(std::string_view database, std::string_view key) {
    this->impl->start(database, key);
}

void caller_session::configuration_known() {
    this->impl->configuration_known();
}

void caller_session::configuration_missing() {
    this->impl->configuration_missing();
}

void caller_session::on_statement(statement const& what) {
    this->impl->busy = true;
    this->impl->take(what);
}

void caller_session::on_closed() {
    this->impl->end();
}

void caller_session::dismiss_if_idle() {
    this->impl->dismiss_if_idle();
}

bool caller_session::owes_answer() const {
    return this->impl->busy || !this->impl->channel->all_sent();
}

void caller_session::end_request() {
    this->impl->end_request();
}

void caller_session::abandon() {
    this->impl->closed = true;
    this->impl->on_ended = nullptr;
    this->impl->channel.reset();
}

} // namespace persimmonpoint::engine
