#include <algorithm>
#include <support/leadership_hosts_model.hpp>
#include <utility>

namespace persimmonpoint::tests {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// As in leadership_keeper.
constexpr duration probe_interval = milliseconds(150);
constexpr duration order_budget = milliseconds(200);
constexpr duration leave_alone = milliseconds(700);
constexpr duration between_changes = milliseconds(1500);
constexpr duration settle_time = milliseconds(700);
constexpr duration hold_check_interval = seconds(2);
constexpr duration token_retry = milliseconds(200);
constexpr duration commit_stall_timeout = milliseconds(600);

constexpr duration statement_timeout = seconds(2);
constexpr duration serves_lately = milliseconds(600);
constexpr duration fence_patience = seconds(1);
constexpr duration link_delay = milliseconds(10);
/// To a host of the model's start, all databases have been running for long.
constexpr std::uint64_t long_after_starts_ms = 3'600'000;

constexpr duration token_delay = milliseconds(15);
constexpr duration refusal_delay = milliseconds(3);
constexpr duration promotion_timeout = seconds(1);

} // namespace

order_fate fault_plan::order(std::string const&, change_action_kind, std::string const&) {
    return {};
}

promotion_fate fault_plan::promotion(std::string const&, std::string const&) {
    return {};
}

std::optional<duration> fault_plan::news(std::string const&, std::string const&) {
    return milliseconds(10);
}

bool fault_plan::store_answers(std::string const&) {
    return true;
}

bool fault_plan::board_answers(std::string const&) {
    return true;
}

bool fault_plan::linked(std::string const&, std::string const&) {
    return true;
}

bool fault_plan::reads_first() {
    return true;
}

void modelled_fleet::add_host(std::string const& name) {
    this->hosts.push_back(std::make_unique<modelled_host>(*this, name));
}

bool modelled_fleet::is_alive(std::string const& host) const {
    return std::any_of(this->hosts.begin(), this->hosts.end(), [&host](auto const& each) {
        return each->name() == host && each->is_alive();
    });
}

bool modelled_fleet::others_reach(
    std::string const& host, std::string const& database) const {
    return std::any_of(this->hosts.begin(), this->hosts.end(), [&](auto const& each) {
        return each->name() != host && each->is_alive() && !each->is_frozen() &&
               each->reaches(database);
    });
}

bool modelled_fleet::sends_commits() {
    if (!this->has_fence) {
        return true;
    }
    bool any_reaches = false;
    bool any_sends = false;
    for (auto const& each : this->hosts) {
        if (each->acts() && each->reaches(this->group.primary())) {
            fence_verdict const verdict = each->guard().judge(this->group.primary());
            any_reaches = true;
            any_sends = any_sends || verdict == fence_verdict::allow;
        }
    }
    return any_sends || !any_reaches;
}

void modelled_fleet::send(
    std::string const& from,
    std::string const& to,
    std::function<void(modelled_host&)> action) {
    if (this->faults.linked(from, to)) {
        this->deliver_later(to, link_delay, std::move(action));
    }
}

void modelled_fleet::deliver_later(
    std::string const& to, duration delay, std::function<void(modelled_host&)> action) {
    for (auto const& each : this->hosts) {
        if (each->name() == to && each->is_alive()) {
            each->deliver_after(
                delay, [one = each.get(), action = std::move(action)] { action(*one); });
            return;
        }
    }
}

bool modelled_fleet::board_answers(std::string const& host) const {
    return !this->group.is_store_away() && this->faults.board_answers(host);
}

void modelled_fleet::hand_out_commits() {
    for (answered_commit const& each : this->group.take_answered()) {
        std::vector<modelled_host*> able;
        for (auto const& host : this->hosts) {
            if (host->acts() && host->reaches(this->group.primary())) {
                able.push_back(host.get());
            }
        }
        if (!able.empty()) {
            able[each.number % able.size()]->take_commit(each);
        }
    }
}

void modelled_fleet::tick() {
    this->hand_out_commits();
    for (auto const& each : this->hosts) {
        each->tick();
    }
}

modelled_host::modelled_host(modelled_fleet& fleet, std::string name)
    : fleet(fleet),
      own_name(std::move(name)),
      own_guard(std::make_unique<modelled_fence>(fleet, this->own_name)),
      departures(fleet.group.now()) {
    this->read_directory();
    this->routing.confirm_leader(fleet.group.primary(), fleet.group.term());
}

void modelled_host::note(std::string const& event) {
    this->fleet.group.note(this->own_name + ": " + event);
}

void modelled_host::deliver(std::function<void()> action) {
    if (!this->alive) {
        return;
    }
    if (this->frozen) {
        this->inbox.push_back(std::move(action));
    } else {
        action();
    }
}

void modelled_host::deliver_after(duration delay, std::function<void()> action) {
    this->fleet.group.after(
        delay, [this, was = this->life, action = std::move(action)]() mutable {
            if (this->life == was) {
                this->deliver(std::move(action));
            }
        });
}

bool modelled_host::reaches(std::string const& id) const {
    auto const& all = this->fleet.group.databases();
    auto const found = all.find(id);
    return found != all.end() && found->second.alive &&
           found->second.unreachable_from.count(this->own_name) == 0;
}

std::vector<registered_database> modelled_host::listed_databases() {
    auto const stored = this->fleet.group.directory();
    if (!this->fleet.keeps_missing_rows) {
        return stored;
    }
    database_directory read;
    read.version = store_version{1, 1};
    for (registered_database const& each : stored) {
        read.databases.emplace(each.id, each);
    }
    instant const time = this->fleet.group.now();
    this->tracker.read(read, time, this->readings.is_steady(time));
    std::vector<registered_database> kept;
    for (auto const& each : this->tracker.current().databases) {
        kept.push_back(each.second);
    }
    return kept;
}

void modelled_host::read_directory() {
    instant const time = this->fleet.group.now();
    this->readings.began(time);
    if (this->fleet.group.is_store_away()) {
        this->readings.failed(time);
        this->tracker.reading_failed();
        return;
    }
    auto const present = this->listed_databases();
    this->gate.set_databases(present, time, this->life == 1 ? long_after_starts_ms : 0);
    this->readings.succeeded(time, 0);
    auto const& known = this->routing.databases();
    for (registered_database const& each : known) {
        auto const found =
            std::find_if(present.begin(), present.end(), [&each](auto const& one) {
                return one.id == each.id;
            });
        bool const is_missing = found == present.end();
        if (!is_missing && found->started_ms == each.started_ms) {
            continue;
        }
        this->departures.replica_left(time);
        if (is_missing && !each.leaving) {
            this->acknowledged.lapsed(each.id, time);
            this->lapsed[each.id] = each.started_ms;
        } else {
            this->acknowledged.log_lost(each.id);
        }
    }
    this->note_returns(present);
    this->routing.set_databases(present);
}

void modelled_host::note_returns(std::span<registered_database const> present) {
    for (registered_database const& each : present) {
        auto const before = this->lapsed.extract(each.id);
        if (before.empty()) {
            continue;
        }
        if (before.mapped() == each.started_ms) {
            this->acknowledged.came_back(each.id);
        } else {
            this->acknowledged.log_lost(each.id);
        }
    }
}

bool modelled_host::awaits_lapsed_log() const {
    return this->is_changing() && this->acknowledged.is_holder_missing() &&
           !this->acknowledged.is_log_given_up(this->fleet.group.now());
}

/// Only a host that reaches the primary sees its commits acknowledged.
void modelled_host::note_commits() {
    auto const position = this->fleet.group.acknowledged_position();
    if (this->alive && !this->frozen && this->reaches(this->primary) && position) {
        this->acknowledged.note(this->fleet.group.primary(), *position);
    }
    if (this->reaches(this->primary)) {
        this->departures.commit_acknowledged(
            this->fleet.group.newest_acknowledged(), this->fleet.group.now());
    }
}

void modelled_host::take_commit(answered_commit const& commit) {
    instant const deadline = this->fleet.group.now() + statement_timeout;
    this->gate.add(
        commit.number, {this->fleet.group.primary(), commit.position, deadline});
    this->pass_on_commits();
}

void modelled_host::pass_on_commits() {
    instant const time = this->fleet.group.now();
    for (std::string const& id : this->gate.replicas_to_ask(time)) {
        auto const state =
            this->reaches(id) ? this->fleet.group.state_of(id) : std::nullopt;
        this->gate.reported(id, state, time, time);
    }
    for (gate_decision const& each : this->gate.decide(time)) {
        if (each.verdict == gate_verdict::pass) {
            this->fleet.group.pass_on(each.number);
        } else {
            ++this->in_doubt;
        }
    }
}

void modelled_host::learn(std::string const& database, std::uint64_t term) {
    if (this->routing.confirm_leader(database, term)) {
        this->note("learns that " + database + " leads");
    }
}

void modelled_host::tick() {
    this->note_commits();
    if (!this->alive || this->frozen) {
        return;
    }
    this->retired.reset();
    if (this->fleet.has_fence) {
        this->own_guard->tick();
    }
    this->pass_on_commits();
    if (this->change) {
        this->step();
    } else if (this->manages && this->can_watch()) {
        this->watch();
    } else {
        this->managed_since = instant();
        this->suspicion.reset();
    }
}

/// News of a leader may come when it isn't registered any more: nobody owns it then.
bool modelled_host::can_watch() const {
    auto const& leader = this->routing.leader();
    return !leader || this->routing.find(leader->database) != nullptr;
}

void modelled_host::watch() {
    instant const time = this->fleet.group.now();
    auto const& leader = this->routing.leader();
    std::string const known = leader ? leader->database : "";
    if (this->managed_since == instant() || this->primary != known || !this->suspicion) {
        this->primary = known;
        this->managed_since = time;
        this->last_answer = time;
        this->suspicion = std::make_unique<primary_failure_detector>(time);
    }
    if (known.empty()) {
        if (time - this->managed_since > settle_time) {
            this->begin(change_reason::primary_lost);
        }
        return;
    }
    if (this->routing.find(known)->leaving) {
        this->begin(change_reason::primary_leaving);
        return;
    }
    if (time - this->last_answer > probe_interval &&
        time - this->last_probe > probe_interval) {
        this->last_probe = time;
        this->ask_leader();
    }
    this->judge();
    if (!this->change) {
        this->check_holds();
    }
}

void modelled_host::judge() {
    instant const time = this->fleet.group.now();
    std::string const known = this->primary;
    bool const stalled = this->reaches(known) && this->fleet.group.leads(known) &&
                         this->fleet.group.commit_stalled_for() > commit_stall_timeout;
    switch (this->suspicion->judge(time, commit_progress())) {
    case primary_health::down:
        this->begin(change_reason::primary_lost);
        return;
    case primary_health::silent:
        if (time < this->leave_alone_until) {
            return;
        }
        if (this->fleet.others_reach(this->own_name, known)) {
            this->leave_alone_until = time + leave_alone;
        } else {
            this->begin(change_reason::primary_lost);
        }
        return;
    default:
        if (stalled) {
            this->begin(change_reason::commits_stalled);
        }
    }
}

void modelled_host::check_holds() {
    instant const time = this->fleet.group.now();
    bool const settled = time - this->managed_since > settle_time;
    if (!settled || time - this->last_hold_check < hold_check_interval) {
        return;
    }
    this->last_hold_check = time;
    for (group_replica const& each : this->databases()) {
        if (each.id != this->primary) {
            this->check_hold(each.id);
        }
    }
}

void modelled_host::check_hold(std::string const& replica) {
    this->send(
        change_action{change_action_kind::request_state, replica},
        [this, replica, believed = this->primary](auto const& state) {
            this->found_held(replica, believed, state);
        });
}

void modelled_host::found_held(
    std::string const& replica,
    std::string const& believed,
    std::optional<database_state> const& state) {
    bool const is_held = state && state->held_term > 0;
    if (is_held && !this->change && this->primary == believed) {
        this->note("finds " + replica + " held");
        this->begin(change_reason::replica_held);
    }
}

void modelled_host::ask_leader() {
    auto const& leader = this->routing.leader();
    if (!leader || !this->alive || this->frozen) {
        return;
    }
    std::string const id = leader->database;
    auto const& all = this->fleet.group.databases();
    auto const found = all.find(id);
    if (found == all.end() || !found->second.alive) {
        this->deliver_after(refusal_delay, [this, id] {
            if (this->suspicion && this->primary == id) {
                this->suspicion->refused(this->fleet.group.now());
            }
        });
        return;
    }
    if (!this->reaches(id)) {
        this->deliver_after(order_budget, [this, id] {
            if (this->suspicion && this->primary == id) {
                this->suspicion->unanswered(this->fleet.group.now());
            }
        });
        return;
    }
    bool const leads = this->fleet.group.leads(id);
    std::uint64_t const term = this->fleet.group.term();
    this->deliver_after(refusal_delay, [this, id, leads, term] {
        this->heard_from(id);
        if (leads) {
            this->learn(id, term);
        } else {
            this->routing.clear_leader(id);
        }
    });
}

void modelled_host::heard_from(std::string const& database) {
    if (this->primary != database) {
        return;
    }
    this->last_answer = this->fleet.group.now();
    if (this->suspicion) {
        this->suspicion->answered(this->last_answer);
    }
    if (this->change) {
        this->change->primary_seen();
    }
}

/// The owner of the primary runs all commits.
commit_knowledge modelled_host::known_commits() {
    instant const time = this->fleet.group.now();
    instant const since = this->change->primary_stopped_at().value_or(this->change_began);
    if (this->readings.needs_reading(since, time)) {
        this->read_directory();
    }
    auto const& newest = this->acknowledged.newest();
    if (newest && this->routing.find(newest->database) == nullptr) {
        this->acknowledged.lapsed(newest->database, time);
    }
    commit_knowledge commits;
    commits.directory_in_doubt = this->readings.is_in_doubt(time);
    commits.lists_settled =
        !this->readings.in_reach_since() ||
        (this->readings.last() && time - *this->readings.last() <= listing_max_age);
    commits.fence_stands = !this->fleet.has_fence || this->fence_stands();
    commits.listing = this->readings.judge(since, time);
    commits.acknowledged = this->acknowledged.required(commits.listing, time);
    commits.unacknowledged = this->manages ? this->fleet.group.unacknowledged_count() : 0;
    return commits;
}

/// As leadership_keeper does.
bool modelled_host::fence_stands() {
    instant const time = this->fleet.group.now();
    bool const is_stopped = this->change->primary_stopped_at().has_value();
    bool const is_planned = this->change->reason() == change_reason::primary_leaving &&
                            !is_stopped && time - this->last_answer < serves_lately;
    if (this->change->may_call_soon()) {
        this->last_near_call = time;
    }
    bool const is_needed =
        this->last_near_call && time - *this->last_near_call < fence_patience;
    if (is_planned || !is_needed) {
        this->own_guard->end();
        return is_planned;
    }
    this->own_guard->call(this->change->old_primary());
    if (is_stopped) {
        return true;
    }
    std::optional<instant> const since = this->own_guard->stands_since();
    if (!since) {
        return false;
    }
    auto const is_read = [this, since] {
        return !this->readings.in_reach_since() ||
               (this->readings.last() && *this->readings.last() >= *since);
    };
    if (!is_read()) {
        this->read_directory();
    }
    return is_read();
}

departure modelled_host::departure_known() const {
    instant const time = this->fleet.group.now();
    return this->departures.judge(
        time, this->change_began, this->readings.is_in_doubt(time));
}

std::vector<group_replica> modelled_host::databases() const {
    std::vector<group_replica> out;
    for (registered_database const& each : this->routing.databases()) {
        out.push_back(group_replica{
            each.id, each.leaving, each.started_ms,
            this->fleet.group.at(each.id).ends_at});
    }
    return out;
}

bool modelled_host::begin(change_reason reason) {
    if (this->change) {
        return false;
    }
    instant const time = this->fleet.group.now();
    auto const& leader = this->routing.leader();
    this->primary = leader ? leader->database : "";
    auto const present = this->databases();
    bool const has_replica =
        std::any_of(present.begin(), present.end(), [this](auto const& each) {
            return each.id != this->primary;
        });
    if (time < this->next_change || !has_replica) {
        return false;
    }
    ++this->change_number;
    this->tokens.change_began();
    this->change_began = time;
    this->last_near_call.reset();
    this->change = std::make_unique<leadership_change>(
        this->primary, present, leader ? leader->term : 0, reason, time,
        this->departure_known());
    this->last_state.clear();
    this->note(
        std::string("change begins, ") + to_string(reason) + ", old primary " +
        (this->primary.empty() ? "none" : this->primary));
    this->step();
    return true;
}

void modelled_host::step() {
    this->change->set_databases(this->databases());
    this->change->set_departure(this->departure_known());
    this->change->set_commits(this->known_commits());
    if (auto const& leader = this->routing.leader()) {
        this->change->leader_learned(leader->database, leader->term);
    }
    for (change_action const& each : this->change->step(this->fleet.group.now())) {
        this->carry_out(each);
        if (!this->change) {
            return;
        }
    }
    std::string const state(this->change->state_name());
    if (state != this->last_state || this->change->candidate() != this->last_candidate) {
        this->last_state = state;
        this->last_candidate = this->change->candidate();
        this->note("now " + state + ", candidate " + this->last_candidate);
    }
}

void modelled_host::carry_out(change_action const& action) {
    switch (action.kind) {
    case change_action_kind::request_token:
        this->request_token();
        return;
    case change_action_kind::promote:
        this->call_promotion(action);
        return;
    case change_action_kind::finished:
    case change_action_kind::abandoned:
        this->finish(action);
        return;
    default:
        this->send_order(action);
    }
}

void modelled_host::request_token() {
    bool const need_new = this->tokens.next() == token_freshness::require_new;
    this->deliver_after(token_delay, [this, need_new, guard = this->while_changing()] {
        std::optional<std::uint64_t> token;
        if (this->fleet.faults.store_answers(this->own_name)) {
            bool const lives = this->fleet.is_alive(this->fleet.group.lease_holder());
            token = this->fleet.group.acquire_token(this->own_name, lives);
            this->cached_token = token ? token : this->cached_token;
        } else if (!need_new) {
            token = this->cached_token;
        }
        if (!token) {
            this->deliver_after(token_retry, [this, guard] {
                guard([this] { this->change->token_refused(this->fleet.group.now()); });
            });
            return;
        }
        guard([this, token] {
            this->note("has token " + std::to_string(*token));
            this->tokens.granted(*token);
            this->change->token_granted(*token);
            this->step();
        });
    });
}

std::function<void(std::function<void()> const&)> modelled_host::while_changing() {
    return [this, number = this->change_number](std::function<void()> const& action) {
        if (this->change && this->change_number == number) {
            action();
        }
    };
}

void modelled_host::send_order(change_action const& action) {
    this->send(
        action, [this, id = action.database, guard = this->while_changing(),
                 asked_at = this->fleet.group.now()](auto const& state) {
            guard([&] {
                this->change->reported(id, state, asked_at);
                this->step();
            });
        });
}

void modelled_host::send(
    change_action const& action,
    std::function<void(std::optional<database_state> const&)> const& report) {
    order_fate const fate =
        this->fleet.faults.order(this->own_name, action.kind, action.database);
    bool const runs = this->reaches(action.database);
    bool const answers = runs && fate.carried_out_after && fate.answered_after;
    if (!answers) {
        bool const refused = this->fleet.group.databases().count(action.database) == 0 ||
                             !this->fleet.group.at(action.database).alive;
        this->deliver_after(
            refused ? refusal_delay : order_budget, [report] { report(std::nullopt); });
    }
    if (!runs || !fate.carried_out_after) {
        return;
    }
    unsigned const starts = this->fleet.group.at(action.database).starts;
    this->fleet.group.after(*fate.carried_out_after, [=, this] {
        if (this->fleet.group.at(action.database).starts != starts) {
            return;
        }
        bool const late = *fate.carried_out_after > order_budget;
        auto const state = this->fleet.group.carry_out(
            action.kind, action.database, action.term,
            this->own_name + (late       ? " (late)"
                              : !answers ? " (unanswered)"
                                         : ""));
        if (answers) {
            this->deliver_after(*fate.answered_after, [=] { report(state); });
        }
    });
}

void modelled_host::call_promotion(change_action const& action) {
    promotion_fate const fate =
        this->fleet.faults.promotion(this->own_name, action.database);
    this->note(
        "calls for the promotion of " + action.database + ", token " +
        std::to_string(action.token));
    auto const answer = [this, guard = this->while_changing(),
                         token = action.token](promotion_result result) {
        this->tokens.promotion_answered(token, result);
        guard([this, result] {
            this->change->promotion_answered(result, this->fleet.group.now());
            this->step();
        });
    };
    if (fate.throttled) {
        this->deliver_after(
            refusal_delay, [answer] { answer(promotion_result::not_applied); });
        return;
    }
    if (!fate.answered) {
        this->deliver_after(
            promotion_timeout, [answer] { answer(promotion_result::unanswered); });
    }
    if (!fate.carried_out_after) {
        return;
    }
    std::string const caller = this->own_name + ", old primary " + this->primary;
    this->fleet.group.after(*fate.carried_out_after, [=, this] {
        promotion_result const result =
            this->fleet.group.call_promotion(action.database, action.token, caller);
        if (fate.answered) {
            this->deliver_after(token_delay, [answer, result] { answer(result); });
        }
    });
}

void modelled_host::finish(change_action const& action) {
    bool const promoted = action.kind == change_action_kind::finished;
    this->note(
        promoted ? "change is over, " + action.database + " leads"
                 : "change is abandoned");
    this->retired = std::move(this->change);
    this->own_guard->end();
    this->next_change = this->fleet.group.now() + between_changes;
    this->suspicion.reset();
    this->managed_since = instant();
    if (!promoted) {
        return;
    }
    this->routing.confirm_leader(action.database, action.term);
    for (auto const& each : this->fleet.hosts) {
        auto const delay = this->fleet.faults.news(this->own_name, each->name());
        if (each.get() != this && delay) {
            each->deliver_after(*delay, [other = each.get(), action] {
                other->learn(action.database, action.term);
            });
        }
    }
}

void modelled_host::freeze(duration how_long) {
    this->frozen = true;
    this->note("is frozen");
    this->fleet.group.after(how_long, [this, was = this->life] {
        if (this->life == was) {
            this->wake();
        }
    });
}

void modelled_host::wake() {
    this->frozen = false;
    this->note("wakes up");
    if (!this->fleet.faults.reads_first()) {
        this->tick();
    }
    auto const waiting = std::exchange(this->inbox, {});
    for (auto const& each : waiting) {
        each();
    }
}

void modelled_host::kill(duration down_for) {
    ++this->life;
    this->alive = false;
    this->frozen = false;
    this->inbox.clear();
    this->change.reset();
    this->suspicion.reset();
    this->managed_since = instant();
    this->primary.clear();
    this->cached_token.reset();
    this->tokens = token_demand();
    this->note("is killed");
    this->fleet.group.after(down_for, [this] {
        this->alive = true;
        this->routing = group_routing();
        this->departures = departure_memory(this->fleet.group.now());
        this->acknowledged = acknowledged_commits();
        this->gate = acknowledgement_gate();
        this->own_guard = std::make_unique<modelled_fence>(this->fleet, this->own_name);
        for (auto const& each : this->fleet.hosts) {
            if (each.get() != this && each->acts()) {
                each->guard().link_up(this->own_name);
            }
        }
        this->readings = directory_readings();
        this->tracker = directory_tracker();
        this->read_directory();
        this->note("is back");
    });
}

} // namespace persimmonpoint::tests
