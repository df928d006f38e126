#include <algorithm>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <map>
#include <optional>
#include <persimmonpoint/core/digest.hpp>
#include <persimmonpoint/core/limits/cold_pace.hpp>
#include <persimmonpoint/core/limits/commit_share.hpp>
#include <persimmonpoint/core/limits/concurrency_profile.hpp>
#include <persimmonpoint/core/limits/connection_pace.hpp>
#include <persimmonpoint/core/limits/service_meter.hpp>
#include <persimmonpoint/core/limits/waiting_line.hpp>
#include <persimmonpoint/core/recovery/acknowledged_commits.hpp>
#include <persimmonpoint/core/statement/request_size.hpp>
#include <persimmonpoint/engine/database_owner.hpp>
#include <persimmonpoint/engine/order_commands.hpp>
#include <persimmonpoint/observe/event_log.hpp>
#include <utility>
#include <vector>

namespace persimmonpoint::engine {

namespace asio = boost::asio;

namespace {

/// How often deadlines are looked at while there is work.
constexpr auto sweep_interval = std::chrono::milliseconds(20);
/// A transaction whose session says nothing for so long has lost it.
constexpr duration longest_transaction_pause = std::chrono::seconds(12);
/// Orders that may wait; one more is refused.
constexpr std::size_t most_waiting = 400;
/// Their bytes together; several of the largest orders fit.
constexpr std::size_t most_waiting_bytes = 16 * 1024 * 1024;
/// Time that an order of the system's own may take if it names none, and a command of the
/// owner's that nobody waits for.
constexpr duration own_command_limit = std::chrono::milliseconds(500);
constexpr double per_mille = 1000;
/// Commands that a transaction is reckoned to take behind its first ones: they are sent
/// as they come.
constexpr std::size_t reckoned_transaction_commands = 6;
/// Part of an estimated wait that counts: some that wait are given up before.
constexpr int estimate_percent = 70;

upstream_response not_run(upstream_refusal refusal) {
    upstream_response answer;
    answer.refusal = refusal;
    return answer;
}

std::uint32_t to_microseconds(duration time) {
    return static_cast<std::uint32_t>(
        std::chrono::duration_cast<std::chrono::microseconds>(time).count());
}

commit_end end_of_commit(statement_error answer) {
    if (answer == statement_error::none) {
        return commit_end::acknowledged;
    }
    // A primary that loses its lead refuses commits that its log has already.
    bool const is_not_run =
        proves_not_run(answer) && answer != statement_error::read_only;
    return is_not_run ? commit_end::not_run : commit_end::unknown;
}

/// An order and who waits for its answer.
struct pending_order {
    upstream_request order;
    order_source source = 0;
    response_handler handler;
    instant deadline{};
};

struct lane {
    pooled_connection view;
    transaction_id transaction; ///< Set while one is open on the connection.
    std::shared_ptr<upstream_connection> connection;
    order_source source = 0;
    std::optional<pending_order> current;
    std::vector<order_step> steps;
    std::size_t next_step = 0;
    bool main_sent = false;
    bool counts_as_commit = false;
    instant main_sent_at{};
    std::uint32_t in_flight = 0; ///< Statements at the database as it was sent.
    instant commit_sent_at{};
    std::optional<log_position> log_end_when_sent; ///< As far as it was known.
};

} // namespace

struct database_owner::implementation : std::enable_shared_from_this<implementation> {
    implementation(
        asio::io_context& loop,
        upstream_connector& connector,
        clock const& time,
        owner_observer& observer,
        transaction_numbering& transactions,
        registered_database database)
        : connector(connector),
          time(time),
          observer(observer),
          transactions(transactions),
          database(std::move(database)),
          sweeper(loop),
          loop(loop) {}

    // Orders

    void submit(upstream_request order, order_source source, response_handler handler) {
        instant const now = this->time.now();
        duration const budget = order.budget_ms > 0
                                    ? duration(std::chrono::milliseconds(order.budget_ms))
                                    : own_command_limit;
        duration const wait = order.wait_ms > 0
                                  ? duration(std::chrono::milliseconds(order.wait_ms))
                                  : budget;
        line_place const place{
            is_control(order.kind), order.priority,
            now + std::min(wait, budget) - this->meter.recent(service_class_of(order)),
            order.team};
        std::size_t const bytes = size_in_bytes(order);
        pending_order pending{std::move(order), source, std::move(handler), now + budget};
        if (this->closed || this->is_past_work_end(pending.order)) {
            this->reply(pending, not_run(upstream_refusal::unreachable));
            return;
        }
        if (pending.order.transaction.is_set()) {
            this->run_in_transaction(std::move(pending));
        } else if (!this->waiting.has_room(bytes)) {
            this->reply(pending, not_run(upstream_refusal::queue_full));
        } else if (this->would_start_late(pending.order, place, now)) {
            this->reply(pending, not_run(upstream_refusal::overloaded));
        } else {
            this->waiting.push(place, std::move(pending), bytes);
            this->pump();
        }
        this->watch_deadlines();
    }

    /// True if what goes before the order takes much longer than the order may wait.
    bool would_start_late(
        upstream_request const& order, line_place const& place, instant now) const {
        duration const each = this->meter.recent(service_class_of(order));
        if (place.urgent) {
            return false;
        }
        std::size_t const before = this->waiting.ahead_of(place);
        if (this->pace.free_behind(before, now) > place.start_by) {
            return true;
        }
        if (each <= duration(0)) {
            return false;
        }
        auto const ahead = static_cast<std::int64_t>(before);
        duration const wait = each * ahead / std::max(this->present_limit(), 1U);
        return wait * estimate_percent / 100 > place.start_by - now;
    }

    bool is_past_work_end(upstream_request const& order) const {
        instant const now = this->time.now();
        bool const is_over = !this->takes_new_work || this->pace.is_closed(now) ||
                             (this->work_end && now >= *this->work_end);
        return is_over && !is_control(order.kind) && !order.transaction.is_set();
    }

    void set_service(bool new_work, bool open_ones) {
        this->takes_new_work = new_work;
        bool const ends = this->takes_transactions && !open_ones;
        this->takes_transactions = open_ones;
        this->refuse_past_work_end();
        if (ends) {
            this->roll_back_idle();
        }
    }

    void roll_back_idle() {
        for (auto& each : this->lanes) {
            if (each.second.view.state == pooled_connection_state::in_transaction &&
                !each.second.current) {
                this->roll_back(each.second);
            }
        }
    }

    void run_in_transaction(pending_order pending) {
        auto const found = std::find_if(
            this->lanes.begin(), this->lanes.end(), [&pending](auto const& each) {
                return each.second.transaction == pending.order.transaction;
            });
        bool const usable = found != this->lanes.end() &&
                            found->second.source == pending.source &&
                            !found->second.current;
        if (!usable) {
            this->reply(pending, not_run(upstream_refusal::transaction_lost));
            return;
        }
        bool const is_end = pending.order.kind == upstream_request_kind::rollback;
        bool const has_room = fits_transaction(pending.order, found->second.view);
        bool const ends = this->ends_transactions || !this->takes_transactions;
        if (!has_room || (ends && !is_end)) {
            this->roll_back(found->second);
            this->reply(pending, not_run(upstream_refusal::transaction_lost));
            return;
        }
        this->run(found->second, std::move(pending));
    }

    void reply(pending_order& pending, upstream_response answer) {
        answer.load = this->load();
        response_handler const handler = std::exchange(pending.handler, nullptr);
        if (handler) {
            handler(std::move(answer));
        }
    }

    /// What takes slots of the database, as far as this host gave it: a connection that
    /// is being opened takes one too.
    std::uint32_t at_database() const {
        auto const opening =
            std::count_if(this->lanes.begin(), this->lanes.end(), [](auto const& each) {
                return each.second.view.state == pooled_connection_state::opening;
            });
        return this->running + static_cast<std::uint32_t>(opening);
    }

    /// Statements that the database is given at a time.
    std::uint32_t present_limit() const {
        return std::min(this->limits.running, this->concurrency.limit(this->time.now()));
    }

    std::uint32_t load() const {
        return static_cast<std::uint32_t>(this->waiting.size() + this->running);
    }

    // Choice of a connection

    /// Starts what can be started.
    void pump() {
        this->waiting.start_what_can(
            [this](pending_order const& each) { return this->lane_for(each.order); },
            [this](lane* chosen, pending_order pending) {
                this->run(*chosen, std::move(pending));
            });
    }

    std::vector<pooled_connection const*> views() const {
        std::vector<pooled_connection const*> all;
        all.reserve(this->lanes.size());
        for (auto const& each : this->lanes) {
            all.push_back(&each.second.view);
        }
        return all;
    }

    /// The limits, less what the database refused of late.
    connection_limits present_limits() const {
        connection_limits present = this->limits;
        if (this->attempts.is_crowded(this->time.now())) {
            present.connections = std::min(
                present.connections, static_cast<std::uint32_t>(this->lanes.size()));
        }
        return present;
    }

    void trim() {
        auto const all = this->views();
        for (std::uint64_t const id :
             surplus_connections(all, this->limits, this->time.now())) {
            this->drop(id);
        }
    }

    /// Where the order can run now; null if it has to wait.
    lane* lane_for(upstream_request const& order) {
        if (is_control(order.kind)) {
            return this->lane_for_control(order);
        }
        bool const may_commit =
            !changes_log(order) ||
            this->commits.may_start(this->present_limit(), this->time.now());
        std::uint32_t const limit = this->present_limit();
        return this->pace.may_send(this->time.now()) && may_commit &&
                       this->running < limit && this->at_database() < limit
                   ? this->lane_for_work(order)
                   : nullptr;
    }

    lane* lane_for_work(upstream_request const& order) {
        auto const all = this->views();
        connection_choice const decision =
            choose_connection(order, all, this->present_limits());
        switch (decision.next) {
        case connection_choice::step::use:
            return &this->lanes.find(decision.lane)->second;
        case connection_choice::step::evict:
            if (this->may_open()) {
                this->drop(decision.lane);
                this->open(order.team);
            }
            return nullptr;
        case connection_choice::step::open:
            this->open(order.team);
            return nullptr;
        default:
            return nullptr;
        }
    }

    /// Any idle connection will do; one beyond the limit is opened if there is none.
    lane* lane_for_control(upstream_request const& order) {
        bool opening = false;
        for (auto& each : this->lanes) {
            if (each.second.view.state == pooled_connection_state::idle) {
                return &each.second;
            }
            opening =
                opening || each.second.view.state == pooled_connection_state::opening;
        }
        if (!opening && this->lanes.size() <= this->limits.connections) {
            this->open(order.team);
        }
        return nullptr;
    }

    // Connections

    bool may_open() const { return this->attempts.may_attempt(this->time.now()); }

    void open(std::string const& team) {
        if (!this->may_open()) {
            return;
        }
        this->pace.sent(1, this->time.now());
        this->attempts.attempted(this->time.now());
        std::uint64_t const id = ++this->last_lane;
        lane& made = this->lanes[id];
        made.view.id = id;
        made.view.team = team;
        made.connection = this->connector.make();
        ++this->opened_count;
        made.connection->open(
            {this->database.address, this->database.group, this->database.id, team},
            [weak = this->weak_from_this(), id](open_result result, auto) {
                if (auto const self = weak.lock()) {
                    self->opened(id, result);
                }
            });
    }

    void opened(std::uint64_t id, open_result result) {
        auto const found = this->lanes.find(id);
        if (found == this->lanes.end()) {
            return;
        }
        if (result == open_result::opened) {
            this->observer.on_answer(this->database.id);
            found->second.view.rest(this->time.now());
            this->pump();
            return;
        }
        this->lanes.erase(found);
        this->attempts.failed(this->time.now());
        if (result == open_result::crowded) {
            this->attempts.crowded(this->time.now());
        } else if (result == open_result::refused) {
            this->pace.refused(this->time.now());
            this->observer.on_refused(this->database.id);
        } else if (result == open_result::silent) {
            this->observer.on_silent(this->database.id);
        }
        if (this->usable_lanes() == 0) {
            this->refuse_waiting();
        }
    }

    std::size_t usable_lanes() const {
        return static_cast<std::size_t>(
            std::count_if(this->lanes.begin(), this->lanes.end(), [](auto const& each) {
                return each.second.view.state != pooled_connection_state::opening;
            }));
    }

    std::size_t open_transactions() const {
        return static_cast<std::size_t>(
            std::count_if(this->lanes.begin(), this->lanes.end(), [](auto const& each) {
                return each.second.view.state == pooled_connection_state::in_transaction;
            }));
    }

    connection_counts connections() const {
        connection_counts counts;
        for (auto const& each : this->lanes) {
            counts.add(each.second.view.state);
        }
        return counts;
    }

    void refuse_past_work_end() {
        this->refuse(this->waiting.take_if([this](pending_order const& each) {
            return this->is_past_work_end(each.order);
        }));
    }

    /// Those that wait are better off elsewhere.
    void refuse_waiting() { this->refuse(this->waiting.take_all()); }

    void refuse(std::vector<pending_order> refused) {
        for (pending_order& each : refused) {
            this->reply(each, not_run(upstream_refusal::unreachable));
        }
    }

    void drop(std::uint64_t id) {
        auto const found = this->lanes.find(id);
        if (found == this->lanes.end()) {
            return;
        }
        found->second.connection->close();
        this->lanes.erase(found);
    }

    // Running an order

    void run(lane& on, pending_order pending) {
        on.steps = plan_order(pending.order, on.view);
        on.next_step = 0;
        on.main_sent = false;
        on.source = pending.source;
        on.counts_as_commit = changes_log(pending.order);
        this->pace_out(pending.order, on.steps.size());
        bool const inside = on.view.state == pooled_connection_state::in_transaction;
        this->enter(
            on,
            inside ? pooled_connection_state::in_transaction
                   : pooled_connection_state::busy,
            pending.deadline);
        on.current = std::move(pending);
        ++this->running;
        // The setup is sent as one, so that it takes one round trip. The statement itself
        // follows once all of it has succeeded.
        for (order_step const& each : on.steps) {
            if (!each.is_main) {
                this->send(on, each.command);
            }
        }
        if (on.steps.front().is_main) {
            this->send_main(on);
        }
    }

    void pace_out(upstream_request const& order, std::size_t commands) {
        if (order.transaction.is_set()) {
            return; // Reckoned with as it was opened.
        }
        bool const opens = order.kind == upstream_request_kind::open_transaction;
        this->pace.sent(
            commands + (opens ? reckoned_transaction_commands : 0), this->time.now());
    }

    void send_main(lane& on) {
        upstream_command const& main = on.steps[on.next_step].command;
        if (on.counts_as_commit && !this->observer.may_send_commit(this->database.id)) {
            this->commit_refused(on);
            return;
        }
        on.main_sent = true;
        on.main_sent_at = this->time.now();
        on.in_flight = this->at_database();
        if (on.counts_as_commit) {
            on.commit_sent_at = on.main_sent_at;
            on.log_end_when_sent = this->log_end;
            this->commits.started(on.commit_sent_at);
            this->observer.on_commit_sent(this->database.id, on.commit_sent_at);
        }
        if (main.action == upstream_action::execute_prepared) {
            this->log_setup("prepared_statement_sent", on, main);
        }
        this->send(on, main);
    }

    void send(lane& on, upstream_command const& command) {
        on.connection->execute(
            command,
            [weak = this->weak_from_this(), id = on.view.id](upstream_answer answer) {
                if (auto const self = weak.lock()) {
                    self->step_answered(id, std::move(answer));
                }
            });
    }

    void step_answered(std::uint64_t id, upstream_answer answer) {
        auto const found = this->lanes.find(id);
        if (found == this->lanes.end()) {
            return;
        }
        lane& on = found->second;
        if (answer.lost) {
            this->lane_broke(id);
            return;
        }
        this->observer.on_answer(this->database.id);
        this->log_end = std::max(this->log_end, answer.position);
        if (!on.current) {
            this->idle_again(on, answer);
            return;
        }
        order_step const& done = on.steps[on.next_step];
        bool const forgotten = done.command.action == upstream_action::execute_prepared &&
                               answer.error == statement_error::unknown_statement;
        if (forgotten) {
            this->session_forgotten(on, std::move(answer));
        } else if (done.is_main) {
            this->main_answered(on, std::move(answer));
        } else if (answer.error != statement_error::none) {
            this->setup_failed(on, std::move(answer));
        } else {
            this->note_setup(on, done.command);
            ++on.next_step;
            if (on.steps[on.next_step].is_main) {
                this->send_main(on);
            }
        }
    }

    /// The commit was not sent; the transaction that it was to end is rolled back.
    void commit_refused(lane& on) {
        on.counts_as_commit = false;
        pending_order pending = this->take_current(on);
        bool const is_open = on.transaction.is_set() ||
                             pending.order.kind == upstream_request_kind::commit;
        if (is_open) {
            this->roll_back(on);
        } else {
            on.view.rest(this->time.now());
        }
        // Whoever chose the connection goes on with it first.
        asio::post(
            this->loop,
            [self = this->shared_from_this(), pending = std::move(pending)]() mutable {
                self->reply(pending, not_run(upstream_refusal::fenced));
                self->pump();
            });
    }

    /// With `statement_done` it tells which shape ran for a statement, and where.
    void log_setup(
        std::string_view event, lane const& on, upstream_command const& command) const {
        upstream_request const& order = on.current->order;
        bool const has_shape = command.action != upstream_action::reset;
        observe::log_event(
            observe::log_level::info, event,
            {{"id", order.id},
             {"database", this->database.id},
             {"team", order.team},
             {"connection", on.view.id},
             {"name", command.statement.number},
             {"shape", has_shape ? log_digest(command.prepared.shape) : std::string()},
             {"writes", command.prepared.writes}});
    }

    void note_setup(lane& on, upstream_command const& command) {
        switch (command.action) {
        case upstream_action::reset:
            this->log_setup("connection_reset", on, command);
            on.view.values.clear();
            on.view.prepared.clear();
            break;
        case upstream_action::set:
            on.view.values[command.name] = command.text;
            break;
        case upstream_action::prepare:
            this->log_setup("statement_prepared", on, command);
            on.view.prepared.add_next(command.prepared);
            break;
        default:
            break;
        }
    }

    /// The statement itself was not sent.
    void setup_failed(lane& on, upstream_answer answer) {
        pending_order pending = this->take_current(on);
        upstream_response out;
        bool const was_begin =
            on.steps[on.next_step].command.action == upstream_action::begin ||
            on.steps[on.next_step].command.action == upstream_action::begin_read;
        if (was_begin && proves_not_run(answer.error)) {
            out.outcome = upstream_outcome::answered;
            out.error = answer.error;
            out.error_text = answer.error_text;
            out.position = answer.position;
        } else {
            out.refusal = upstream_refusal::unreachable;
        }
        bool const reusable = was_begin && answer.state == transaction_state::idle;
        std::uint64_t const id = on.view.id;
        if (reusable) {
            on.view.rest(this->time.now());
        } else if (was_begin) {
            this->roll_back(on);
        } else {
            this->drop(id);
        }
        this->reply(pending, std::move(out));
        this->pump();
    }

    /// Learns from an answer how much the database takes well.
    void measure(lane const& on, statement_error error) {
        upstream_request const& order = on.current->order;
        instant const now = this->time.now();
        // A commit waits for a replica, and control orders for nothing.
        if (is_control(order.kind) || changes_log(order)) {
            return;
        }
        if (error == statement_error::busy) {
            this->meter.failed();
            this->concurrency.refused(on.in_flight, now);
        } else if (error == statement_error::failed) {
            this->meter.failed();
        } else if (error == statement_error::none) {
            double const relative =
                this->meter.answered(service_class_of(order), now - on.main_sent_at);
            this->concurrency.completed(on.in_flight, relative, now);
        }
        this->log_limit();
    }

    void log_limit() {
        std::uint32_t const present = this->present_limit();
        if (std::exchange(this->logged_limit, present) != present) {
            observe::log_event(
                observe::log_level::info, "concurrency_limit_changed",
                {{"database", this->database.id},
                 {"limit", present},
                 {"most", this->limits.running}});
        }
    }

    void main_answered(lane& on, upstream_answer answer) {
        this->measure(on, answer.error);
        upstream_request const& order = on.current->order;
        upstream_response out;
        out.service_us = to_microseconds(this->meter.recent(service_class_of(order)));
        out.failing_permille =
            static_cast<std::uint32_t>(this->meter.failing() * per_mille);
        if (on.counts_as_commit && answer.error == statement_error::none) {
            out.acknowledged =
                least_commit_position(on.log_end_when_sent, answer.position);
            this->observer.on_commit_acknowledged(
                this->database.id, on.commit_sent_at, out.acknowledged);
        }
        this->commit_ended(on, end_of_commit(answer.error));
        out.outcome = upstream_outcome::answered;
        out.error = answer.error;
        out.error_text = std::move(answer.error_text);
        out.rows = std::move(answer.rows);
        out.signature = std::move(answer.signature);
        out.position = answer.position;
        out.report = answer.report;
        out.state = answer.state;
        bool const good = out.error == statement_error::none;
        out.leader_confirmed = good && proves_lead(order);
        bool const stays_open = (order.kind == upstream_request_kind::open_transaction ||
                                 order.kind == upstream_request_kind::in_transaction) &&
                                answer.state == transaction_state::open;
        pending_order pending = this->take_current(on);
        bool const wanted = pending.handler != nullptr;
        if (stays_open && wanted) {
            this->enter(
                on, pooled_connection_state::in_transaction,
                this->time.now() + longest_transaction_pause);
            if (!on.transaction.is_set()) {
                on.transaction = this->transactions.next();
            }
            out.transaction = on.transaction;
        } else if (answer.state == transaction_state::idle) {
            on.transaction = {};
            on.view.rest(this->time.now());
        } else {
            this->roll_back(on);
        }
        this->reply(pending, std::move(out));
        this->pump();
    }

    /// The database doesn't know a name that it has prepared on this connection, so that
    /// the session values may be gone as well. Nothing ran.
    void session_forgotten(lane& on, upstream_answer answer) {
        this->log_setup("prepared_statement_unknown", on, on.steps[on.next_step].command);
        this->commit_ended(on, commit_end::not_run);
        bool const in_transaction = on.transaction.is_set();
        pending_order pending = this->take_current(on);
        this->drop(on.view.id);
        upstream_response out = not_run(upstream_refusal::transaction_lost);
        if (!in_transaction) {
            out.refusal = upstream_refusal::none;
            out.outcome = upstream_outcome::answered;
            out.error = answer.error;
            out.error_text = std::move(answer.error_text);
        }
        this->reply(pending, std::move(out));
        this->pump();
    }

    void commit_ended(lane& on, commit_end how) {
        if (std::exchange(on.counts_as_commit, false) && on.main_sent) {
            this->commits.ended(this->time.now());
            this->observer.on_commit_ended(this->database.id, on.commit_sent_at, how);
        }
    }

    pending_order take_current(lane& on) {
        --this->running;
        pending_order pending = std::move(*on.current);
        on.current.reset();
        return pending;
    }

    /// Ends a transaction that nobody waits for any more; the lane is idle behind it.
    void roll_back(lane& on) {
        this->enter(
            on, pooled_connection_state::ending, this->time.now() + own_command_limit);
        on.transaction = {};
        on.source = 0;
        upstream_command command;
        command.action = upstream_action::rollback;
        this->send(on, command);
    }

    void idle_again(lane& on, upstream_answer const& answer) {
        if (answer.error != statement_error::none ||
            answer.state != transaction_state::idle) {
            this->drop(on.view.id);
        } else {
            on.view.rest(this->time.now());
        }
        this->pump();
    }

    void lane_broke(std::uint64_t id) {
        auto const found = this->lanes.find(id);
        if (found == this->lanes.end()) {
            return;
        }
        lane& on = found->second;
        std::optional<pending_order> pending;
        if (on.current) {
            pending = this->take_current(on);
        }
        bool const sent = on.main_sent;
        if (pending && sent) {
            this->meter.failed();
        }
        this->commit_ended(on, commit_end::unknown);
        this->drop(id);
        if (pending) {
            upstream_response out = not_run(upstream_refusal::unreachable);
            out.outcome = sent ? upstream_outcome::unknown : upstream_outcome::not_run;
            this->reply(*pending, std::move(out));
        }
        this->pump();
    }

    // Deadlines and sources

    void enter(lane& on, pooled_connection_state next, instant until) {
        on.view.enter(next, until);
        this->watch_deadlines();
    }

    void watch_deadlines() {
        if (this->sweeping || this->closed) {
            return;
        }
        this->sweeping = true;
        this->sweeper.expires_after(sweep_interval);
        this->sweeper.async_wait(
            [weak = this->weak_from_this()](boost::system::error_code failure) {
                auto const self = weak.lock();
                if (self && !failure) {
                    self->sweeping = false;
                    self->sweep();
                }
            });
    }

    void sweep() {
        instant const now = this->time.now();
        std::vector<pending_order> expired = this->waiting.take_expired(now);
        this->end_overdue(now);
        for (pending_order& each : expired) {
            this->reply(each, not_run(upstream_refusal::expired));
        }
        this->refuse_past_work_end();
        this->pump();
        if (!this->waiting.empty() || this->has_deadlines()) {
            this->watch_deadlines();
        }
    }

    bool has_deadlines() const {
        return std::any_of(this->lanes.begin(), this->lanes.end(), [](auto const& each) {
            return each.second.view.deadline.has_value();
        });
    }

    void end_overdue(instant now) {
        std::vector<std::uint64_t> overdue;
        for (auto const& [id, on] : this->lanes) {
            if (on.view.is_overdue(now)) {
                overdue.push_back(id);
            }
        }
        for (std::uint64_t const id : overdue) {
            auto const found = this->lanes.find(id);
            if (found != this->lanes.end()) {
                this->end_overdue(found->second);
            }
        }
    }

    /// Only an order without an answer is a sign that the database is silent: nobody
    /// waits for the end of a ROLLBACK, which the next order finds out, and a transaction
    /// waits for its caller.
    void end_overdue(lane& on) {
        if (on.current) {
            this->observer.on_silent(this->database.id);
            this->give_up(on);
        } else if (on.view.state == pooled_connection_state::in_transaction) {
            this->log_overdue("transaction_left_ended", on);
            this->roll_back(on);
        } else {
            this->give_up(on);
        }
    }

    /// Closes a connection on which the database has not answered.
    void give_up(lane& on) {
        this->log_overdue("connection_given_up", on);
        this->attempts.gave_up(this->time.now());
        this->lane_broke(on.view.id);
    }

    void log_overdue(std::string_view event, lane const& on) const {
        observe::log_event(
            observe::log_level::warning, event,
            {{"database", this->database.id},
             {"connection", on.view.id},
             {"runs_order", on.current.has_value()}});
    }

    void forget(order_source source) {
        // Whoever waited for them is gone: nobody is told.
        this->waiting.take_if(
            [source](pending_order const& each) { return each.source == source; });
        std::vector<std::uint64_t> abandoned;
        for (auto& [id, on] : this->lanes) {
            if (on.source != source) {
                continue;
            }
            if (on.current) {
                on.current->handler = nullptr;
            }
            if (on.view.state == pooled_connection_state::in_transaction) {
                abandoned.push_back(id);
            }
        }
        for (std::uint64_t const id : abandoned) {
            lane& on = this->lanes.find(id)->second;
            if (on.current) {
                this->lane_broke(id);
            } else {
                this->roll_back(on);
            }
        }
    }

    void close() {
        this->closed = true;
        this->sweeper.cancel();
        for (auto& each : this->lanes) {
            each.second.connection->close();
        }
        std::vector<pending_order> lost;
        for (auto& each : this->lanes) {
            this->commit_ended(each.second, commit_end::unknown);
            if (each.second.current) {
                lost.push_back(std::move(*each.second.current));
            }
        }
        this->lanes.clear();
        this->running = 0;
        for (pending_order& each : lost) {
            upstream_response out = not_run(upstream_refusal::unreachable);
            out.outcome = upstream_outcome::unknown;
            this->reply(each, std::move(out));
        }
        this->refuse_waiting();
    }

    upstream_connector& connector;
    clock const& time;
    owner_observer& observer;
    transaction_numbering& transactions;
    registered_database database;
    asio::steady_timer sweeper;
    asio::io_context& loop;
    connection_limits limits;
    std::optional<instant> work_end;
    waiting_line<pending_order> waiting{most_waiting, most_waiting_bytes};
    commit_share commits;
    cold_pace pace;
    connection_pace attempts;
    service_meter meter;
    concurrency_profile concurrency;
    std::uint32_t logged_limit = 0;
    std::optional<log_position> log_end; ///< The furthest that the database told.
    std::map<std::uint64_t, lane> lanes;
    std::uint64_t last_lane = 0;
    std::uint64_t opened_count = 0;
    std::uint32_t running = 0;
    bool sweeping = false;
    bool ends_transactions = false;
    bool takes_new_work = true;
    bool takes_transactions = true;
    bool closed = false;
};

database_owner::database_owner(
    asio::io_context& loop,
    upstream_connector& connector,
    clock const& clock,
    owner_observer& observer,
    transaction_numbering& transactions,
    registered_database database)
    : impl(std::make_shared<implementation>(
          loop, connector, clock, observer, transactions, std::move(database))) {}

database_owner::~database_owner() {
    this->impl->close();
}

void database_owner::submit(
    upstream_request order, order_source source, response_handler handler) {
    this->impl->submit(std::move(order), source, std::move(handler));
}

void database_owner::forget(order_source source) {
    this->impl->forget(source);
}

void database_owner::set_database(registered_database const& database) {
    this->impl->database = database;
}

void database_owner::set_work_end(std::optional<instant> end) {
    this->impl->work_end = end;
}

void database_owner::set_service(bool takes_new_work, bool takes_transactions) {
    this->impl->set_service(takes_new_work, takes_transactions);
}

void database_owner::set_cold_allowance(cold_allowance const& allowance) {
    this->impl->pace.set(allowance, this->impl->time.now());
}

void database_owner::set_limits(connection_limits limits) {
    this->impl->limits = limits;
    this->impl->concurrency.set_most(limits.running);
    this->impl->logged_limit = this->impl->present_limit();
    this->impl->trim();
    this->impl->pump();
}

void database_owner::trim() {
    this->impl->trim();
}

void database_owner::end_transactions() {
    this->impl->ends_transactions = true;
}

void database_owner::close() {
    this->impl->close();
}

std::uint32_t database_owner::load() const {
    return this->impl->load();
}

std::size_t database_owner::open_transactions() const {
    return this->impl->open_transactions();
}

connection_counts database_owner::connections() const {
    return this->impl->connections();
}

std::uint64_t database_owner::connections_opened() const {
    return this->impl->opened_count;
}

} // namespace persimmonpoint::engine
