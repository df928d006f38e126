#include <algorithm>
#include <support/replicated_group_model.hpp>

namespace persimmonpoint::tests {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

instant const start{seconds(1000)};
constexpr duration promotion_delay = milliseconds(600);
constexpr duration registration_lifetime = seconds(6);
constexpr duration lease_lifetime = seconds(3);
/// A database that came back so shortly before a promotion's effect could not be known
/// to the caller.
constexpr duration return_notice = milliseconds(1500);

std::string join(std::vector<std::string> const& parts) {
    std::string out;
    for (std::string const& each : parts) {
        out += (out.empty() ? "" : ", ") + each;
    }
    return out;
}

std::string format(log_position position) {
    return std::to_string(position.term) + "." + std::to_string(position.offset);
}

/// Terms of holds are large: shown as the token that they are made of.
std::string format_hold(std::uint64_t term) {
    return term == 0 ? "" : " held by token " + std::to_string(term >> 20U);
}

char const* word_for(change_action_kind kind) {
    switch (kind) {
    case change_action_kind::hold:
        return "PAUSE";
    case change_action_kind::resume:
        return "RESUME";
    case change_action_kind::stop_primary:
        return "DEMOTE";
    default:
        return "STATUS";
    }
}

bool is_out_of_sight(replicated_group::database const& of) {
    return of.gone || (!of.alive && !of.registered);
}

bool is_unknown(replicated_group::database const& of) {
    return of.gone || !of.registered;
}

} // namespace

replicated_group::replicated_group(std::size_t databases) : time(start) {
    for (std::size_t i = 0; i < databases; ++i) {
        this->members["d" + std::to_string(i)].last_alive = start;
    }
    this->leader = "d0";
    this->added = databases;
}

void replicated_group::advance(instant to) {
    while (!this->agenda.empty() && this->agenda.begin()->first <= to) {
        auto const next = this->agenda.begin();
        this->time = std::max(this->time, next->first);
        auto const action = std::move(next->second);
        this->agenda.erase(next);
        action();
    }
    this->time = to;
    this->update_registrations();
}

void replicated_group::after(duration delay, std::function<void()> action) {
    this->agenda.emplace(this->time + delay, std::move(action));
}

void replicated_group::note(std::string event) {
    auto const since =
        std::chrono::duration_cast<milliseconds>(this->time - start).count();
    std::string stamp = std::to_string(since);
    stamp.insert(0, stamp.size() < 6 ? 6 - stamp.size() : 0, ' ');
    this->events.push_back(stamp + " ms  " + std::move(event));
}

void replicated_group::set_store_away(bool away) {
    this->store_away = away;
    this->store_back = this->time;
    this->note(away ? "store is away" : "store is back");
}

void replicated_group::lapse(std::string const& id) {
    database& silent = this->at(id);
    if (silent.registered) {
        this->note("registration of " + id + " lapses");
        silent.registered = false;
    }
}

/// True if a database that isn't listed can register now.
bool replicated_group::takes_registration(database const& of) const {
    duration const lag = std::max(this->registration_time, of.registration_lag);
    return !this->store_away && this->time - this->store_back >= lag;
}

void replicated_group::register_state(std::string const& id, database& of) {
    of.last_alive = this->time;
    of.claims_primary = this->leads(id);
    if (!this->store_away) {
        of.listed_born = of.born;
    }
    if (!of.registered) {
        this->note(id + " is registered again");
    }
    of.registered = true;
}

void replicated_group::update_registrations() {
    for (auto& [id, each] : this->members) {
        if (each.alive && !each.registered && !this->takes_registration(each)) {
            continue;
        }
        if (each.alive) {
            this->register_state(id, each);
            continue;
        }
        bool const expired = this->time - each.last_alive > registration_lifetime;
        if (each.registered && expired) {
            this->note("registration of " + id + " lapses");
            each.registered = false;
        }
        if (!each.registered) {
            each.absent_at = this->time;
        }
    }
}

std::vector<registered_database> replicated_group::directory() const {
    std::vector<registered_database> out;
    for (auto const& [id, each] : this->members) {
        if (each.registered) {
            out.push_back(registered_database{
                id, "g", {}, {}, 1, each.leaving, each.claims_primary, each.listed_born});
        }
    }
    return out;
}

void replicated_group::write() {
    database& primary = this->at(this->leader);
    if (primary.alive && !this->stopped) {
        primary.log.push_back(++this->written);
        this->waiting.push_back({this->written, this->time});
    }
}

bool replicated_group::receive(std::string const& id) {
    database& replica = this->at(id);
    database const& primary = this->at(this->leader);
    bool const can = id != this->leader && primary.alive && !this->stopped &&
                     !this->primary_cut && replica.alive && !replica.deaf &&
                     replica.held == 0 && !replica.cut_off && this->time >= replica.joins;
    if (!can) {
        return false;
    }
    replica.log = primary.log;
    replica.log_term = this->current_term;
    replica.is_blank = false;
    for (waiting_commit const& each : this->waiting) {
        this->received.emplace(each.number, acknowledgement{id, this->time});
        this->standing.emplace(each.number, acknowledgement{id, this->time});
        this->answered.push_back({each.number, this->position_of(replica)});
        this->last_acknowledged = each.since;
        this->last_acknowledged_position = this->position_of(replica);
    }
    this->waiting.clear();
    return true;
}

void replicated_group::pass_on(std::uint64_t number) {
    auto const found = this->received.find(number);
    if (found == this->received.end()) {
        return;
    }
    this->acknowledged.insert(*found);
    if (!this->is_in_last_promoted(number)) {
        this->note("LOST " + std::to_string(number) + ", told behind the promotion");
        this->told.lost.push_back(
            {this->time, this->leader, "", 1, {found->second.replica}});
    }
}

bool replicated_group::is_in_last_promoted(std::uint64_t number) const {
    std::vector<std::uint64_t> const& log = this->at_last_promotion;
    bool const was_written_before = number <= this->written_at_promotion;
    return !was_written_before || std::find(log.begin(), log.end(), number) != log.end();
}

std::optional<database_state> replicated_group::state_of(std::string const& id) const {
    auto const found = this->members.find(id);
    if (found == this->members.end() || !found->second.alive) {
        return std::nullopt;
    }
    database const& one = found->second;
    return database_state{
        this->leads(id), one.is_blank ? 0 : this->current_term, this->position_of(one),
        one.held};
}

void replicated_group::cut_off_present_replicas() {
    for (auto& [id, each] : this->members) {
        each.cut_off = !this->leads(id);
    }
    this->note("primary is cut from its present replicas");
}

void replicated_group::mend_cuts() {
    for (auto& each : this->members) {
        each.second.cut_off = false;
    }
}

duration replicated_group::commit_stalled_for() const {
    return this->waiting.empty() ? duration(0) : this->time - this->waiting.front().since;
}

log_position replicated_group::position_of(database const& of) const {
    return log_position{of.log_term, of.log.size()};
}

std::optional<database_state> replicated_group::carry_out(
    change_action_kind kind,
    std::string const& id,
    std::uint64_t given_term,
    std::string const& sender) {
    auto const found = this->members.find(id);
    if (found == this->members.end() || !found->second.alive) {
        return std::nullopt;
    }
    database& target = found->second;
    if (kind == change_action_kind::hold && !this->leads(id) &&
        given_term > this->current_term) {
        target.held =
            this->pause_overwrites ? given_term : std::max(target.held, given_term);
    }
    if (kind == change_action_kind::resume) {
        target.held = 0;
    }
    if (kind == change_action_kind::stop_primary) {
        this->stop(id, given_term);
    }
    this->note(
        sender + ": " + word_for(kind) + " " + id + " -> " +
        (this->leads(id) ? "primary " : "replica ") + format(this->position_of(target)) +
        format_hold(target.held));
    return this->state_of(id);
}

/// A replica, and a primary whose term isn't lower, refuse it.
void replicated_group::stop(std::string const& id, std::uint64_t given_term) {
    if (this->leads(id) && given_term > this->current_term) {
        this->stopped = true;
        this->waiting_when_stopped = this->waiting.size();
        this->waiting.clear();
        this->note(id + " leads no more");
    }
}

promotion_result replicated_group::call_promotion(
    std::string const& id, std::uint64_t token, std::string const& caller) {
    auto const found = this->members.find(id);
    bool const runs = found != this->members.end() && found->second.alive;
    if (token < this->highest_token || !runs) {
        this->note(caller + ": promotion of " + id + " conflicts");
        return promotion_result::conflict;
    }
    this->highest_token = token;
    if (!this->leads(id)) {
        this->note(
            caller + ": promotion of " + id + " accepted, token " +
            std::to_string(token));
        // A primary that was stopped before could tell what it has.
        database const& last = this->at(this->leader);
        accepted_call const call{
            id, found->second.born, caller,
            this->stopped && last.alive && !last.is_blank};
        this->after(promotion_delay, [this, call] { this->take_effect(call); });
    }
    return promotion_result::accepted;
}

void replicated_group::take_effect(accepted_call const& call) {
    std::string const& id = call.database;
    database& next = this->at(id);
    if (this->leads(id) || !next.alive) {
        return;
    }
    ++this->current_term;
    ++this->promoted;
    this->note(
        id + " leads in term " + std::to_string(this->current_term) + " with " +
        format(this->position_of(next)) + " instead of " + this->leader + " with " +
        format(this->position_of(this->at(this->leader))));
    this->check_promotion(call);
    this->at_last_promotion = next.log;
    this->written_at_promotion = this->written;
    this->leader = id;
    this->stopped = false;
    next.held = 0;
    next.log_term = this->current_term;
    next.is_blank = false;
    this->primary_cut = false;
    this->mend_cuts();
    this->waiting.clear();
}

void replicated_group::check_promotion(accepted_call const& call) {
    database const& next = this->at(call.database);
    this->judge(
        call, this->take_missing(next, this->acknowledged, is_out_of_sight), this->told,
        "LOST");
    this->judge(
        call, this->take_missing(next, this->standing, is_unknown), this->literal,
        "LITERALLY LOST");
}

replicated_group::shortfall replicated_group::take_missing(
    database const& promoted, commit_map& commits, presence_rule is_absent) const {
    commit_map missing = commits;
    for (std::uint64_t const each : promoted.log) {
        missing.erase(each);
    }
    shortfall out;
    out.count = missing.size();
    for (auto const& [name, each] : this->members) {
        bool const has_some =
            std::any_of(each.log.begin(), each.log.end(), [&](std::uint64_t number) {
                return missing.count(number) > 0;
            });
        if (!has_some) {
            continue;
        }
        bool const absent = is_absent(each);
        bool const was_absent =
            each.absent_at && this->time - *each.absent_at <= return_notice;
        out.all_absent = out.all_absent && absent;
        out.all_were_absent = out.all_were_absent && (absent || was_absent);
        out.holders.push_back(
            name + (this->leads(name) ? " (primary" : " (replica") +
            (absent       ? ", absent)"
             : each.alive ? ", alive)"
                          : ", down)"));
    }
    for (auto const& each : missing) {
        commits.erase(each.first);
    }
    return out;
}

void replicated_group::judge(
    accepted_call const& call,
    shortfall const& missing,
    commit_losses& losses,
    std::string const& kind) {
    if (missing.count == 0) {
        return;
    }
    bool const primary_told = call.primary_told && this->stopped;
    bool const emptied = this->at(call.database).born != call.born;
    bool const returned = !primary_told && missing.all_were_absent;
    if (missing.all_absent || emptied || returned) {
        ++(missing.all_absent ? losses.absent
           : emptied          ? losses.emptied
                              : losses.returned);
        this->note("exempt from " + kind + ": lacks commits of " + join(missing.holders));
        return;
    }
    this->note(
        kind + " " + std::to_string(missing.count) +
        " that these have: " + join(missing.holders) + "; called by " + call.caller);
    losses.lost.push_back(
        {this->time, call.database, call.caller, missing.count, missing.holders});
}

std::optional<std::uint64_t>
replicated_group::acquire_token(std::string const& host, bool holder_is_alive) {
    bool const free = this->holder.empty() || this->holder == host || !holder_is_alive ||
                      this->time - this->lease_taken >= lease_lifetime;
    if (!free) {
        return std::nullopt;
    }
    this->holder = host;
    this->lease_taken = this->time;
    return ++this->last_token;
}

void replicated_group::crash(std::string const& id, std::optional<duration> down_for) {
    database& victim = this->at(id);
    victim.alive = false;
    victim.held = 0;
    victim.gone = victim.gone || !down_for;
    if (this->leads(id)) {
        this->waiting.clear();
    }
    this->note(id + (victim.gone ? " dies for good" : " crashes"));
    if (victim.gone) {
        return;
    }
    this->after(*down_for, [this, id] { this->come_back(id); });
}

void replicated_group::come_back(std::string const& id) {
    database& back = this->at(id);
    if (back.gone) {
        return;
    }
    back.alive = true;
    ++back.starts;
    back.started = this->time;
    if (id == this->leader && !this->stop_survives && !back.is_blank) {
        this->stopped = false;
    }
    this->note(id + (this->leads(id) ? " is back and leads" : " is back"));
}

void replicated_group::start_empty(std::string const& id, duration down_for) {
    this->after(down_for, [this, id] { this->forget_all(id); });
    this->crash(id, down_for);
}

void replicated_group::forget_all(std::string const& id) {
    database& blank = this->at(id);
    if (blank.gone) {
        return;
    }
    blank.log.clear();
    blank.log_term = 0;
    blank.is_blank = true;
    blank.leaving = false;
    ++blank.born;
    this->note(id + " starts without its log");
    if (this->leads(id)) {
        this->stopped = true;
        this->waiting_when_stopped = 0;
    }
}

void replicated_group::leave(std::string const& id, duration drain, duration joining) {
    this->at(id).leaving = true;
    this->at(id).ends_at = this->time + drain;
    this->note(id + " is leaving");
    this->add_empty_replica(joining);
    this->after(drain, [this, id] {
        this->crash(id, std::nullopt);
        this->at(id).registered = false;
    });
}

void replicated_group::add_empty_replica(duration joining) {
    std::string const id = "d" + std::to_string(this->added++);
    database& made = this->members[id];
    made.started = this->time + joining;
    made.joins = made.started;
    made.last_alive = this->time;
    made.registered = !this->store_away;
    this->note("new empty replica " + id);
}

} // namespace persimmonpoint::tests
