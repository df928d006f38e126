#include <algorithm>
#include <persimmonpoint/core/recovery/leadership_change.hpp>
#include <tuple>
#include <utility>

namespace persimmonpoint {

namespace {

/// A request to a database is repeated if it is not answered within this time.
constexpr duration state_request_timeout = std::chrono::milliseconds(250);
/// How long the old primary may take to replicate to the candidate what the held replicas
/// have; after that the candidate is held too.
constexpr duration catch_up_timeout = std::chrono::milliseconds(150);
/// Interval between state requests to an answering candidate, and between orders to stop.
constexpr duration poll_interval = std::chrono::milliseconds(30);
/// Interval between state requests to an answering primary that is being replaced.
constexpr duration primary_poll_interval = std::chrono::milliseconds(100);
/// A database that answered no request of this age counts as silent.
constexpr duration primary_silence = std::chrono::milliseconds(500);
/// A leader that is to be confirmed is replaced if it doesn't answer for this time.
constexpr duration leader_timeout = std::chrono::seconds(1);
/// A database that is about to end, and alone has the log, is promoted this long before:
/// the others then have time to receive from it.
constexpr duration last_chance_margin = std::chrono::seconds(2);
/// A planned replacement waits so long for replicas that don't answer: they may be alive.
constexpr duration silent_replica_patience = std::chrono::seconds(3);
/// How long an accepted promotion may take until the candidate reports that it leads;
/// after that it is promoted again.
constexpr duration confirmation_timeout = std::chrono::milliseconds(2500);
constexpr duration promotion_retry_interval = std::chrono::milliseconds(100);
/// A promotion that another host requested becomes visible within this time if it was
/// accepted.
constexpr duration foreign_promotion_timeout = std::chrono::milliseconds(1200);
/// Maximum age of the reports that show the other replicas held when a promotion is
/// requested.
constexpr duration hold_report_max_age = std::chrono::milliseconds(200);
/// The term for holding replicas is the fencing token shifted left by this many bits: it
/// exceeds every term of the group and differs for each token.
constexpr unsigned hold_term_shift = 20;
/// The change ends after this time even if some replicas have not resumed.
constexpr duration resume_timeout = std::chrono::seconds(5);
/// Changes of state in one step. A change may go back and forth while reports disagree.
constexpr unsigned most_transitions = 16;

std::uint64_t hold_term(std::uint64_t token) {
    return token << hold_term_shift;
}

/// Order of candidates that have reported; the greater is preferred.
auto rank_of(change_member const& member) {
    return std::make_tuple(!member.evacuated, !member.leaving, member.report->received);
}

bool ends_soon(change_member const& member, instant now) {
    return member.ends_at && now >= *member.ends_at - last_chance_margin;
}

std::shared_ptr<chart::chart const> loaded_chart() {
    static auto const loaded =
        chart::require("leadership", leadership_states, leadership_events);
    return loaded;
}

} // namespace

char const* to_string(change_reason reason) {
    switch (reason) {
    case change_reason::primary_lost:
        return "primary_lost";
    case change_reason::primary_leaving:
        return "primary_leaving";
    case change_reason::primary_evacuated:
        return "primary_evacuated";
    case change_reason::replica_held:
        return "replica_held";
    default:
        return "commits_stalled";
    }
}

leadership_change::leadership_change(
    std::string old_primary,
    std::vector<group_replica> const& databases,
    std::uint64_t term,
    change_reason reason,
    instant now,
    departure departed)
    : members(old_primary, term, departed),
      begun_on(std::move(old_primary)),
      cause(reason),
      machine(loaded_chart()),
      begun_at(now),
      state_entered_at(now) {
    this->set_databases(databases);
}

void leadership_change::set_databases(std::span<group_replica const> databases) {
    this->members.set_databases(databases);
}

void leadership_change::primary_seen() {
    // RESUME is safe only after a promotion, so a change is not called off once any host
    // has held a replica.
    bool const can_call_off = !this->hold_requested && !this->foreign_hold_seen_at;
    if (this->cause == change_reason::primary_lost && can_call_off) {
        this->machine.fire(leadership_event::called_off);
    }
}

bool leadership_change::may_call_soon() const {
    leadership_state const state = this->machine.state();
    if (this->confirms_leader) {
        return false;
    }
    return this->promotion_unsettled || state == leadership_state::comparing ||
           state == leadership_state::promoting || state == leadership_state::confirming;
}

void leadership_change::leader_learned(std::string_view id, std::uint64_t leader_term) {
    bool const is_overtaken = id != this->begun_on && leader_term > this->members.term();
    bool const is_waiting = this->machine.state() == leadership_state::securing;
    if (is_overtaken && is_waiting && !this->hold_requested &&
        !this->promotion_unsettled) {
        this->machine.fire(leadership_event::called_off);
    }
}

void leadership_change::token_granted(std::uint64_t granted) {
    this->others_had_tokens = this->token > 0 && granted > this->token + 1;
    this->token = granted;
    this->token_rejected = false;
    this->own_hold_terms.insert(hold_term(granted));
    this->machine.fire(leadership_event::token_granted);
}

void leadership_change::token_refused(instant) {
    this->request_in_flight = false;
    if (this->token_rejected) {
        this->yield_to_newer_holder();
    }
}

void leadership_change::yield_to_newer_holder() {
    if (!this->promotion_unsettled) {
        this->skip_resume = true;
        this->machine.fire(leadership_event::called_off);
    }
}

void leadership_change::reported(
    std::string const& id,
    std::optional<database_state> const& report,
    instant asked_at) {
    // send_request() repeats a request that is not answered.
    bool const is_news =
        report && this->members.record(id, *report, asked_at, this->own_hold_terms);
    if (!is_news || id != this->chosen_id || !report->leads) {
        return;
    }
    // A leader that is only confirmed leads before its confirmation is carried out, and a
    // promotion by another host that was accepted before it may still become visible.
    bool const is_settled =
        this->machine.state() == leadership_state::confirming &&
        (!this->foreign_hold_seen_at ||
         asked_at - this->state_entered_at >= foreign_promotion_timeout);
    if (this->confirms_leader && !is_settled) {
        return;
    }
    if (this->machine.fire(leadership_event::candidate_leads)) {
        this->new_term = report->term;
        this->promoted = true;
    }
}

void leadership_change::promotion_answered(promotion_result result, instant now) {
    this->request_in_flight = false;
    switch (result) {
    case promotion_result::accepted:
        this->promotion_unsettled = false;
        this->machine.fire(leadership_event::call_accepted);
        this->state_entered_at = now;
        return;
    case promotion_result::conflict:
        this->token_rejected = true;
        // Whoever used a newer token may have promoted a database by it.
        this->foreign_hold_seen_at = now;
        this->machine.fire(leadership_event::token_outdated);
        this->state_entered_at = now;
        return;
    case promotion_result::unanswered:
        this->promotion_unsettled = true;
        this->unsettled_token = this->token;
        return;
    default:
        return;
    }
}

void leadership_change::send_request(
    std::vector<change_action>& actions,
    std::string const& id,
    change_action_kind kind,
    instant now) {
    change_member* const member = this->members.find(id);
    bool const is_waiting =
        member->requested_at && now - *member->requested_at < state_request_timeout;
    bool const stops =
        kind == change_action_kind::hold || kind == change_action_kind::stop_primary;
    bool const was_just_sent =
        stops && member->stop_sent_at && now - *member->stop_sent_at < poll_interval;
    if (is_waiting || was_just_sent) {
        return;
    }
    member->requested_at = now;
    member->acknowledged_at_request = this->acknowledged;
    member->fresh = false;
    std::uint64_t term = hold_term(this->token);
    if (stops) {
        member->stop_sent_at = now;
        this->hold_requested = true;
    }
    if (kind == change_action_kind::stop_primary) {
        // No higher, so that an order that is carried out late stops no later primary.
        term = member->report->term + 1;
        this->members.primary_asked_to_stop(now);
    }
    actions.push_back(change_action{kind, id, term, 0});
}

void leadership_change::note_time(instant now) {
    if (this->machine.state() != this->entered_state) {
        this->entered_state = this->machine.state();
        this->state_entered_at = now;
    }
    change_member const* const primary = this->members.primary_member();
    bool const leads_as_begun = primary != nullptr && primary->leads() &&
                                this->members.primary() == this->begun_on;
    if (leads_as_begun && !this->begun_term) {
        this->begun_term = primary->report->term;
    }
    this->members.set_leaves_out(
        this->leaves_silent_out(now) && this->has_silent_replica(now));
    if (!this->members.is_primary_stopped()) {
        this->stopped_at.reset();
    } else if (!this->stopped_at) {
        this->stopped_at = now;
    }
}

std::vector<change_action> leadership_change::step(instant now) {
    std::vector<change_action> actions;
    leadership_state before{};
    unsigned transitions = 0;
    if (std::exchange(this->others_had_tokens, false)) {
        this->foreign_hold_seen_at = now;
    }
    do {
        this->note_time(now);
        before = this->machine.state();
        switch (before) {
        case leadership_state::securing:
            if (!this->request_in_flight) {
                this->request_in_flight = true;
                actions.push_back(change_action{change_action_kind::request_token, {}});
            }
            break;
        case leadership_state::surveying:
            this->request_in_flight = false;
            this->survey(actions, now);
            break;
        case leadership_state::holding:
            this->hold_others(actions, now);
            break;
        case leadership_state::comparing:
            this->compare(actions, now);
            break;
        case leadership_state::promoting:
            this->promote(actions, now);
            break;
        case leadership_state::confirming:
            this->confirm(actions, now);
            break;
        case leadership_state::releasing:
            this->release(actions, now);
            break;
        case leadership_state::over:
            break;
        }
        ++transitions;
    } while (this->machine.state() != before && transitions < most_transitions);
    return actions;
}

void leadership_change::choose_candidate() {
    change_member const* best = nullptr;
    for (auto const& [id, member] : this->members.all()) {
        if (!this->members.counts(id) || !member.report) {
            continue;
        }
        if (best == nullptr || rank_of(member) > rank_of(*best)) {
            this->chosen_id = id;
            best = &member;
        }
    }
}

bool leadership_change::moves_in_vain() const {
    return this->cause == change_reason::primary_evacuated && !this->hold_requested &&
           this->members.all().find(this->chosen_id)->second.evacuated;
}

bool leadership_change::has_candidate() const {
    bool const leader_is_other =
        this->confirms_leader && this->chosen_id != this->members.primary();
    return !leader_is_other && this->members.all().count(this->chosen_id) > 0;
}

bool leadership_change::is_overtaken() const {
    change_member const* const primary = this->members.primary_member();
    return primary != nullptr && primary->leads() &&
           (this->members.primary() != this->begun_on ||
            primary->report->term > this->begun_term.value_or(primary->report->term));
}

bool leadership_change::is_pinned() const {
    bool const is_outdated = this->token > this->unsettled_token;
    change_member const* const primary = this->members.primary_member();
    bool const candidate_leads = primary != nullptr && primary->leads() &&
                                 this->members.primary() == this->chosen_id;
    return this->promotion_unsettled && !candidate_leads &&
           !(is_outdated && (this->is_behind() || this->is_overtaken()));
}

bool leadership_change::needs_newer_token() const {
    return this->promotion_unsettled && this->token <= this->unsettled_token &&
           (this->is_behind() || this->is_overtaken());
}

bool leadership_change::is_behind() const {
    auto const candidate = this->members.all().find(this->chosen_id);
    if (candidate == this->members.all().end() || !candidate->second.report) {
        return false;
    }
    return this->lacks_acknowledged(candidate->second) ||
           std::any_of(
               this->members.all().begin(), this->members.all().end(),
               [&](auto const& each) {
                   return this->members.counts(each.first) && each.second.report &&
                          each.second.report->received >
                              candidate->second.report->received;
               });
}

bool leadership_change::aim_is_void(instant now) const {
    change_member const* const primary = this->members.primary_member();
    if (this->is_pinned() || primary == nullptr || !primary->leads()) {
        return false;
    }
    bool const may_be_alone =
        this->members.may_have_lost_replica() || this->members.lack_acknowledged();
    bool const is_ahead = may_be_alone && !this->serves_on() &&
                          this->primary_answers(now) &&
                          primary->report->received > this->members.furthest_replica();
    return this->is_overtaken() || is_ahead || this->cause == change_reason::replica_held;
}

bool leadership_change::leader_stays(instant now) {
    if (!this->aim_is_void(now)) {
        return false;
    }
    bool const any_held = std::any_of(
        this->members.all().begin(), this->members.all().end(),
        [](auto const& each) { return each.second.held || each.second.held_by_other; });
    if (!this->hold_requested && !any_held) {
        this->machine.fire(leadership_event::called_off);
        return true;
    }
    this->confirms_leader = true;
    return false;
}

bool leadership_change::all_reported(std::vector<change_action>& actions, instant now) {
    bool const is_needless = this->leaves_silent_out(now) || this->aim_is_void(now);
    bool const waits_no_more =
        is_needless && now - this->state_entered_at > state_request_timeout;
    bool any = false;
    bool all = true;
    for (auto const& [id, member] : this->members.all()) {
        if (id == this->members.primary()) {
            continue;
        }
        any = any || member.report;
        if (!member.report) {
            all = all && waits_no_more;
            this->send_request(actions, id, change_action_kind::request_state, now);
        }
    }
    return any && all;
}

bool leadership_change::is_primary_known(
    std::vector<change_action>& actions, instant now) {
    this->watch_primary(actions, now);
    bool const is_needed =
        this->needs_primary() || this->cause == change_reason::replica_held;
    change_member const* const primary = this->members.primary_member();
    if (primary == nullptr) {
        return !this->members.lack_acknowledged();
    }
    if (!is_needed || this->is_last_chance(now) ||
        primary->answers(now, primary_silence)) {
        return true;
    }
    if (this->cause == change_reason::replica_held &&
        now - std::max(primary->asked_at, this->state_entered_at) > leader_timeout) {
        this->cause = change_reason::primary_lost;
    }
    return false;
}

bool leadership_change::needs_primary() const {
    change_member const* const primary = this->members.primary_member();
    bool const was_ahead = primary != nullptr && primary->report &&
                           primary->report->received > this->members.furthest_replica();
    return this->members.has_lost_replica() || this->members.lack_acknowledged() ||
           (this->members.may_have_lost_replica() && was_ahead);
}

void leadership_change::look_for_commits(
    std::vector<change_action>& actions, instant now) {
    bool const any_ends = std::any_of(
        this->members.all().begin(), this->members.all().end(),
        [now](auto const& each) { return ends_soon(each.second, now); });
    if (!this->members.lack_acknowledged() && !any_ends) {
        return;
    }
    for (auto const& [id, member] : this->members.all()) {
        if (!member.report || now - member.asked_at >= primary_poll_interval) {
            this->send_request(actions, id, change_action_kind::request_state, now);
        }
    }
}

bool leadership_change::primary_serves() const {
    change_member const* const primary = this->members.primary_member();
    return this->serves_on() && primary != nullptr && primary->leads();
}

bool leadership_change::lacks_acknowledged(change_member const& candidate) const {
    return !this->primary_serves() && this->members.lacks_acknowledged(candidate);
}

bool leadership_change::has_lost_sight_of_primary(instant now) const {
    change_member const* const primary = this->members.primary_member();
    return this->needs_primary() && primary != nullptr && !this->is_last_chance(now) &&
           !this->members.is_primary_stopped() && !primary->answers(now, primary_silence);
}

void leadership_change::survey(std::vector<change_action>& actions, instant now) {
    bool const primary_known = this->is_primary_known(actions, now);
    if (this->awaits_foreign_promotion(actions, now)) {
        return;
    }
    // A promotion that may still be carried out rules out any other candidate.
    change_member const* const candidate = this->members.find(this->chosen_id);
    if (this->is_pinned() && candidate != nullptr) {
        this->confirms_leader = false;
        this->hold_candidate = this->hold_candidate || candidate->held_by_other;
        this->machine.fire(leadership_event::candidate_chosen);
        return;
    }
    bool const all_reported = this->all_reported(actions, now);
    this->look_for_commits(actions, now);
    this->confirms_leader = false;
    if (this->members.awaits_listing() || this->members.may_miss_primary()) {
        return;
    }
    if (!primary_known || !(all_reported || this->hold_requested) ||
        this->leader_stays(now) || !(all_reported || this->confirms_leader)) {
        return;
    }
    // While all are held, a candidate that comes to lead by an outdated call acknowledges
    // nothing.
    this->hold_candidate = this->hold_candidate || this->promotion_unsettled;
    if (this->promotion_unsettled && this->confirms_leader) {
        // The call may have been accepted: its effect is awaited like another host's.
        this->foreign_hold_seen_at = now;
    }
    this->promotion_unsettled = false;
    if (this->confirms_leader) {
        this->chosen_id = this->members.primary();
    } else {
        this->choose_candidate();
        if (this->moves_in_vain()) {
            this->machine.fire(leadership_event::called_off);
            return;
        }
        bool const is_held = this->members.find(this->chosen_id)->report->held_term > 0;
        // One that is held can't catch up with a primary that serves on. A replica that
        // isn't listed can't be held: only the primary's stop keeps it from
        // acknowledging.
        bool const stops_primary = !this->is_planned() ||
                                   this->members.may_miss_replica() ||
                                   this->serves_beside_silent(now);
        this->hold_candidate = this->hold_candidate || is_held ||
                               (stops_primary && this->primary_answers(now));
    }
    this->machine.fire(leadership_event::candidate_chosen);
}

bool leadership_change::has_to_stop_primary(instant now) const {
    return !this->confirms_leader && !this->is_overtaken() &&
           (!this->is_planned() || this->hold_candidate) && this->primary_answers(now);
}

bool leadership_change::primary_answers(instant now) const {
    change_member const* const primary = this->members.primary_member();
    return primary != nullptr && primary->leads() &&
           primary->answers(now, primary_silence);
}

bool leadership_change::leaves_silent_out(instant now) const {
    bool const is_primary_compared =
        this->primary_answers(now) || this->members.is_primary_stopped();
    change_member const* const primary = this->members.primary_member();
    bool const is_urgent = primary != nullptr && ends_soon(*primary, now);
    bool const waited_enough =
        this->is_planned() && is_primary_compared &&
        (is_urgent || now - this->begun_at >= silent_replica_patience);
    return waited_enough || this->is_last_chance(now);
}

bool leadership_change::is_last_chance(instant now) const {
    change_member const* const primary = this->members.primary_member();
    if (primary != nullptr && primary->answers(now, primary_silence)) {
        return false;
    }
    log_position furthest_staying;
    log_position furthest_ending;
    for (auto const& each : this->members.all()) {
        change_member const& member = each.second;
        bool const ends = ends_soon(member, now);
        if (!member.report || (ends && !member.answers(now, primary_silence))) {
            continue;
        }
        log_position& furthest = ends ? furthest_ending : furthest_staying;
        furthest = std::max(furthest, member.report->received);
    }
    return furthest_ending > furthest_staying;
}

bool leadership_change::has_silent_replica(instant now) const {
    return std::any_of(
        this->members.all().begin(), this->members.all().end(), [&](auto const& each) {
            return each.first != this->members.primary() &&
                   !each.second.answers(now, primary_silence);
        });
}

bool leadership_change::serves_beside_silent(instant now) const {
    return this->serves_on() && this->leaves_silent_out(now) &&
           this->has_silent_replica(now);
}

void leadership_change::watch_primary(std::vector<change_action>& actions, instant now) {
    std::string const id = this->members.primary();
    change_member const* const primary = this->members.primary_member();
    bool const is_surveying = this->machine.state() == leadership_state::surveying;
    bool const is_polled_as_candidate = id == this->chosen_id && !is_surveying;
    if (primary == nullptr || is_polled_as_candidate) {
        return;
    }
    if (!is_surveying && this->has_to_stop_primary(now)) {
        this->send_request(actions, id, change_action_kind::stop_primary, now);
    } else if (!primary->report || now - primary->asked_at > primary_poll_interval) {
        this->send_request(actions, id, change_action_kind::request_state, now);
    }
}

bool leadership_change::is_superseded() const {
    return std::any_of(
        this->members.all().begin(), this->members.all().end(), [this](auto const& each) {
            return each.second.held_by_other && this->is_newer_hold(each.second);
        });
}

bool leadership_change::is_newer_hold(change_member const& member) const {
    return member.report->held_term > hold_term(this->token);
}

void leadership_change::note_foreign_holds(instant now) {
    for (auto const& each : this->members.all()) {
        change_member const& member = each.second;
        if (member.held_by_other &&
            this->foreign_hold_terms.insert(member.report->held_term).second) {
            this->foreign_hold_seen_at = now;
        }
    }
}

bool leadership_change::awaits_foreign_promotion(
    std::vector<change_action>& actions, instant now) {
    this->note_foreign_holds(now);
    if (this->is_superseded()) {
        this->yield_to_newer_holder();
        // With an unsettled promotion it can't yield, but the other host may be gone.
        for (auto const& each : this->members.all()) {
            this->ask_again(actions, each.first, now);
        }
        if (now - this->state_entered_at >= foreign_promotion_timeout) {
            this->machine.fire(leadership_event::token_outdated);
        }
        return true;
    }
    if (!this->foreign_hold_seen_at) {
        return false;
    }
    bool const settled = now - *this->foreign_hold_seen_at >= foreign_promotion_timeout;
    bool all_fresh = true;
    for (auto const& [id, member] : this->members.all()) {
        if (id == this->members.primary()) {
            continue;
        }
        if (!settled ||
            member.asked_at < *this->foreign_hold_seen_at + foreign_promotion_timeout) {
            all_fresh = false;
            this->ask_again(actions, id, now);
        }
    }
    return !all_fresh;
}

void leadership_change::ask_again(
    std::vector<change_action>& actions, std::string const& id, instant now) {
    change_member const* const member = this->members.find(id);
    if (!member->report || now - member->asked_at >= poll_interval) {
        this->send_request(actions, id, change_action_kind::request_state, now);
    }
}

bool leadership_change::is_recent(change_member const& member, instant now) const {
    return now - member.asked_at <= hold_report_max_age &&
           (!this->stopped_at || member.asked_at >= *this->stopped_at);
}

void leadership_change::refresh_stale_reports(
    std::vector<change_action>& actions, instant now) {
    for (auto const& [id, member] : this->members.all()) {
        bool const is_asked =
            id != this->members.primary() || this->must_be_held(id, now);
        if (id != this->chosen_id && is_asked && !this->is_recent(member, now)) {
            this->send_request(actions, id, change_action_kind::request_state, now);
        }
    }
}

bool leadership_change::must_be_held(std::string_view id, instant now) const {
    if (id == this->chosen_id) {
        return this->hold_candidate && !this->confirms_leader;
    }
    bool const is_primary = id == this->members.primary();
    if (is_primary && !this->members.is_primary_stopped()) {
        return false;
    }
    bool const may_be_silent =
        is_primary || this->confirms_leader || this->leaves_silent_out(now);
    return !may_be_silent ||
           this->members.all().find(id)->second.answers(now, primary_silence);
}

bool leadership_change::holds_intact(instant now) const {
    return std::all_of(
        this->members.all().begin(), this->members.all().end(), [&](auto const& each) {
            if (each.first == this->chosen_id && !this->hold_candidate) {
                return !each.second.held_by_other;
            }
            return each.second.held || !this->must_be_held(each.first, now);
        });
}

bool leadership_change::hold_all(std::vector<change_action>& actions, instant now) {
    bool all_held = true;
    for (auto const& [id, member] : this->members.all()) {
        if (this->must_be_held(id, now) && !(member.held && member.fresh)) {
            all_held = false;
            this->send_request(actions, id, change_action_kind::hold, now);
        }
    }
    return all_held;
}

void leadership_change::hold_again(std::vector<change_action>& actions, instant now) {
    for (auto const& [id, member] : this->members.all()) {
        bool const is_taken_over = member.held_by_other && this->is_newer_hold(member);
        if (id != this->chosen_id && this->must_be_held(id, now) && !member.held &&
            !is_taken_over) {
            this->send_request(actions, id, change_action_kind::hold, now);
        }
    }
}

void leadership_change::choose_most_advanced() {
    if (this->promotion_unsettled) {
        return;
    }
    for (auto const& [id, member] : this->members.all()) {
        bool const is_ahead = this->members.counts(id) && member.report &&
                              member.report->received >
                                  this->members.find(this->chosen_id)->report->received;
        if (is_ahead) {
            this->chosen_id = id;
        }
    }
}

void leadership_change::hold_others(std::vector<change_action>& actions, instant now) {
    if (this->is_superseded()) {
        this->yield_to_newer_holder();
        this->machine.fire(leadership_event::candidate_lost);
        return;
    }
    if (this->leader_stays(now)) {
        return;
    }
    if (!this->has_candidate() || this->is_candidate_needless()) {
        this->machine.fire(leadership_event::candidate_lost);
        return;
    }
    if (this->has_to_stop_primary(now)) {
        this->hold_candidate = true;
        this->send_request(
            actions, this->members.primary(), change_action_kind::stop_primary, now);
        return;
    }
    if (!this->hold_all(actions, now)) {
        return;
    }
    if (this->hold_candidate && !this->confirms_leader) {
        // With every replica held no commit can be acknowledged any more, so the most
        // advanced replica has all acknowledged commits.
        this->choose_most_advanced();
    } else {
        change_member* const candidate = this->members.find(this->chosen_id);
        candidate->requested_at.reset();
        candidate->fresh = false;
    }
    this->machine.fire(leadership_event::others_held);
}

bool leadership_change::is_candidate_needless() const {
    return this->members.is_primary_stopped() && !this->promotion_unsettled &&
           this->chosen_id == this->members.primary() &&
           !this->members.counts(this->chosen_id);
}

bool leadership_change::serves_on() const {
    return this->is_planned() && !this->hold_candidate;
}

bool leadership_change::covers_serving_primary() const {
    change_member const& candidate = this->members.all().find(this->chosen_id)->second;
    change_member const* const primary = this->members.primary_member();
    if (!this->serves_on() || primary == nullptr || !primary->leads()) {
        return true;
    }
    return candidate.report && candidate.asked_at >= primary->asked_at &&
           candidate.report->received >= primary->report->received;
}

bool leadership_change::candidate_is_caught_up() const {
    auto const candidate = this->members.all().find(this->chosen_id);
    if (candidate == this->members.all().end() || !candidate->second.report ||
        !candidate->second.fresh) {
        return false;
    }
    log_position const reached = candidate->second.report->received;
    return this->covers_serving_primary() &&
           !this->lacks_acknowledged(candidate->second) &&
           std::all_of(
               this->members.all().begin(), this->members.all().end(),
               [&](auto const& each) {
                   bool const is_left_out =
                       !each.second.report && this->members.leaves_out();
                   return !this->members.counts(each.first) || is_left_out ||
                          (each.second.report && each.second.report->received <= reached);
               });
}

bool leadership_change::positions_are_recent(instant now) const {
    return std::all_of(
        this->members.all().begin(), this->members.all().end(), [&](auto const& each) {
            if (each.first == this->chosen_id) {
                return !this->stopped_at || each.second.asked_at >= *this->stopped_at;
            }
            return !this->must_be_held(each.first, now) ||
                   this->is_recent(each.second, now);
        });
}

void leadership_change::compare(std::vector<change_action>& actions, instant now) {
    if (this->leader_stays(now)) {
        return;
    }
    if (!this->has_candidate() || this->has_to_stop_primary(now) ||
        !this->holds_intact(now)) {
        this->machine.fire(leadership_event::candidate_lost);
        return;
    }
    if (this->confirms_leader) {
        this->compare_with_leader(actions, now);
        return;
    }
    this->watch_primary(actions, now);
    if (!this->promotion_unsettled && this->serves_beside_silent(now)) {
        this->hold_candidate = true;
        this->machine.fire(leadership_event::candidate_lost);
        return;
    }
    if (this->needs_newer_token()) {
        this->request_in_flight = false;
        this->machine.fire(leadership_event::token_outdated);
        return;
    }
    if (this->members.awaits_listing() || this->members.lacks_premises()) {
        this->state_entered_at = now; // The candidate's time to catch up begins later.
        this->refresh_stale_reports(actions, now);
        this->poll_candidate(actions, now);
        return;
    }
    if (this->has_lost_sight_of_primary(now) || this->is_candidate_needless()) {
        this->machine.fire(leadership_event::candidate_lost);
        return;
    }
    if (this->hold_candidate && this->positions_are_recent(now) &&
        this->members.find(this->chosen_id)->fresh && !this->candidate_is_caught_up()) {
        // Another one that was held too is ahead.
        this->machine.fire(leadership_event::candidate_lost);
        return;
    }
    // Also to find that another one that was held is ahead.
    bool const needs_positions = this->hold_candidate || this->candidate_is_caught_up();
    if (needs_positions && !this->positions_are_recent(now)) {
        this->refresh_stale_reports(actions, now);
        this->poll_candidate(actions, now);
        return;
    }
    if (this->candidate_is_caught_up()) {
        if (this->renews_lease()) {
            return;
        }
        this->last_promotion_call.reset();
        this->request_in_flight = false;
        this->machine.fire(leadership_event::positions_covered);
        return;
    }
    if (!this->hold_candidate && now - this->state_entered_at > catch_up_timeout) {
        this->hold_candidate = true;
        this->machine.fire(leadership_event::candidate_lost);
        return;
    }
    this->poll_candidate(actions, now);
}

void leadership_change::compare_with_leader(
    std::vector<change_action>& actions, instant now) {
    change_member const* const leader = this->members.find(this->chosen_id);
    this->refresh_stale_reports(actions, now);
    bool const answers =
        leader->leads() && leader->fresh && leader->answers(now, hold_report_max_age);
    if (answers && this->positions_are_recent(now) && this->leader_covers_held()) {
        if (this->renews_lease()) {
            return;
        }
        this->last_promotion_call.reset();
        this->request_in_flight = false;
        this->machine.fire(leadership_event::positions_covered);
        return;
    }
    bool const is_late = now - this->state_entered_at > leader_timeout;
    if (is_late && leader->leads() && leader->answers(now, primary_silence)) {
        this->machine.fire(leadership_event::candidate_lost);
        return;
    }
    if (is_late) {
        // It's lost too, and is the one to replace now.
        this->confirms_leader = false;
        this->begun_on = this->members.primary();
        this->cause = change_reason::primary_lost;
        this->machine.fire(leadership_event::candidate_lost);
        return;
    }
    this->poll_candidate(actions, now);
}

bool leadership_change::renews_lease() {
    if (this->promotion_unsettled || !this->members.may_have_lost_lease()) {
        return false;
    }
    this->request_in_flight = false;
    this->machine.fire(leadership_event::token_outdated);
    return true;
}

bool leadership_change::leader_covers_held() const {
    log_position const reached =
        this->members.all().find(this->chosen_id)->second.report->received;
    return std::all_of(
        this->members.all().begin(), this->members.all().end(),
        [reached](auto const& each) {
            return !each.second.held || each.second.report->received <= reached;
        });
}

void leadership_change::promote(std::vector<change_action>& actions, instant now) {
    // A call that is under way rules out any other candidate, as an unanswered one does.
    bool const premises_hold =
        this->promotion_unsettled || this->request_in_flight || this->holds_intact(now);
    bool const may_still_choose = !this->promotion_unsettled && !this->request_in_flight;
    bool const primary_is_back = may_still_choose && this->has_to_stop_primary(now);
    bool const has_fallen_behind =
        may_still_choose && !this->confirms_leader && this->is_behind();
    bool const may_lack_commits = may_still_choose && !this->confirms_leader &&
                                  this->has_candidate() &&
                                  !this->covers_serving_primary();
    bool const calls_in_vain = !this->request_in_flight && this->needs_newer_token();
    if (!this->has_candidate() || !premises_hold || primary_is_back ||
        has_fallen_behind || calls_in_vain) {
        this->request_in_flight = false;
        this->machine.fire(leadership_event::candidate_lost);
        return;
    }
    if (may_still_choose && this->renews_lease()) {
        return;
    }
    this->watch_primary(actions, now);
    this->hold_again(actions, now);
    this->refresh_stale_reports(actions, now);
    bool const may_call =
        !may_lack_commits && (this->confirms_leader || !this->members.lacks_premises());
    if (!this->request_in_flight && may_call &&
        (!this->last_promotion_call ||
         now - *this->last_promotion_call >= promotion_retry_interval)) {
        this->last_promotion_call = now;
        this->request_in_flight = true;
        actions.push_back(
            change_action{change_action_kind::promote, this->chosen_id, 0, this->token});
    }
    this->poll_candidate(actions, now);
}

void leadership_change::poll_candidate(std::vector<change_action>& actions, instant now) {
    change_member* const candidate = this->members.find(this->chosen_id);
    if (candidate->fresh) {
        candidate->fresh = false;
        // Set back so that send_request() sends the next request after `poll_interval`.
        candidate->requested_at = now - state_request_timeout + poll_interval;
    }
    this->send_request(actions, this->chosen_id, change_action_kind::request_state, now);
}

void leadership_change::confirm(std::vector<change_action>& actions, instant now) {
    if (!this->has_candidate()) {
        this->machine.fire(leadership_event::candidate_lost);
        return;
    }
    this->watch_primary(actions, now);
    this->hold_again(actions, now);
    this->refresh_stale_reports(actions, now);
    if (now - this->state_entered_at > confirmation_timeout) {
        this->last_promotion_call.reset();
        this->request_in_flight = false;
        this->machine.fire(leadership_event::lead_not_seen);
        return;
    }
    this->poll_candidate(actions, now);
}

void leadership_change::release(std::vector<change_action>& actions, instant now) {
    // Another host may have come to rely on a replica that was this change's.
    this->skip_resume = this->skip_resume || this->is_superseded();
    bool all_released = true;
    for (auto const& [id, member] : this->members.all()) {
        bool const leads = this->promoted && id == this->chosen_id;
        // The promotion used a newer token, so a promotion by an older holder can no
        // longer be carried out.
        bool const needs_resume = member.held || (this->promoted && member.held_by_other);
        if (needs_resume && !leads && !this->skip_resume) {
            // One that is silent is found later, should it come back and be held.
            bool const may_answer = now - this->state_entered_at < primary_silence ||
                                    member.answers(now, primary_silence);
            all_released = all_released && !may_answer;
            // An unanswered RESUME may be carried out during a later change: none is sent
            // unless a report shows that the last one wasn't carried out.
            bool const is_known_held =
                !member.requested_at && member.asked_at >= this->state_entered_at;
            this->send_request(
                actions, id,
                is_known_held ? change_action_kind::resume
                              : change_action_kind::request_state,
                now);
        }
    }
    if (!all_released && now - this->state_entered_at < resume_timeout) {
        return;
    }
    this->machine.fire(leadership_event::all_resumed);
    change_action end{change_action_kind::abandoned, {}};
    if (this->promoted) {
        end = {change_action_kind::finished, this->chosen_id, this->new_term};
    } else if (this->is_overtaken()) {
        end.database = this->members.primary();
        end.term = this->members.primary_member()->report->term;
    }
    actions.push_back(end);
}

} // namespace persimmonpoint
