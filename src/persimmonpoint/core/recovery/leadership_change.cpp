#include <algorithm>
#include <persimmonpoint/core/recovery/leadership_change.hpp>

namespace persimmonpoint {

namespace {

/// A request to a database is repeated if it is not answered within this time.
constexpr duration state_request_timeout = std::chrono::milliseconds(250);
/// How long the old primary may take to replicate to the candidate what the held replicas
/// have; after that the candidate is held too.
constexpr duration catch_up_timeout = std::chrono::milliseconds(150);
/// Interval between state requests to an answering candidate.
constexpr duration poll_interval = std::chrono::milliseconds(30);
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

std::uint64_t hold_term(std::uint64_t token) {
    return token << hold_term_shift;
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
    default:
        return "commits_stalled";
    }
}

leadership_change::leadership_change(
    std::string old_primary,
    std::vector<group_replica> replicas,
    std::uint64_t term,
    change_reason reason,
    instant now)
    : old_primary(std::move(old_primary)),
      term(term),
      cause(reason),
      machine(loaded_chart()),
      state_entered_at(now) {
    this->set_replicas(std::move(replicas));
}

void leadership_change::set_replicas(std::vector<group_replica> present) {
    for (group_replica const& each : present) {
        if (each.id != this->old_primary) {
            this->replicas[each.id].leaving = each.leaving;
        }
    }
    std::erase_if(this->replicas, [&](auto const& each) {
        bool const is_gone =
            std::none_of(present.begin(), present.end(), [&each](auto const& one) {
                return one.id == each.first;
            });
        if (is_gone) {
            this->removed.insert(each);
        }
        return is_gone;
    });
}

std::vector<promotion_evidence> leadership_change::evidence() const {
    std::vector<promotion_evidence> all;
    for (auto const& [id, replica] : this->replicas) {
        all.push_back(
            {id, replica.leaving, id == this->chosen_id, replica.held, replica.report,
             replica.reported_at, ""});
    }
    for (auto const& [id, replica] : this->removed) {
        if (this->replicas.count(id) == 0) {
            all.push_back(
                {id, replica.leaving, false, replica.held, replica.report,
                 replica.reported_at, "no longer registered"});
        }
    }
    if (!this->old_primary.empty()) {
        all.push_back(
            {this->old_primary, false, false, false, std::nullopt, {}, "old primary"});
    }
    return all;
}

void leadership_change::primary_seen() {
    // RESUME is safe only after a promotion, so a change is not called off once any host
    // has held a replica.
    bool const can_call_off = !this->hold_requested && !this->foreign_hold_seen_at;
    if (this->cause == change_reason::primary_lost && can_call_off) {
        this->machine.fire(leadership_event::called_off);
    }
}

void leadership_change::token_granted(std::uint64_t granted) {
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
    std::string const& id, std::optional<database_state> report, instant now) {
    auto const found = this->replicas.find(id);
    if (found == this->replicas.end()) {
        return;
    }
    replica_state& replica = found->second;
    if (!report) {
        // send_request() repeats the request after `state_request_timeout`.
        return;
    }
    replica.requested_at.reset();
    replica.fresh = true;
    replica.held = this->own_hold_terms.count(report->held_term) > 0;
    replica.held_by_other = report->held_term > 0 && !replica.held;
    replica.report = report;
    replica.reported_at = now;
    this->term = std::max({this->term, report->term});
    if (id == this->chosen_id && report->leads) {
        this->new_term = report->term;
        if (this->machine.fire(leadership_event::candidate_leads)) {
            this->promoted = true;
            this->state_entered_at = now;
        }
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
        this->machine.fire(leadership_event::token_outdated);
        this->state_entered_at = now;
        return;
    case promotion_result::unanswered:
        this->promotion_unsettled = true;
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
    replica_state& replica = this->replicas[id];
    if (replica.requested_at && now - *replica.requested_at < state_request_timeout) {
        return;
    }
    replica.requested_at = now;
    replica.fresh = false;
    this->hold_requested = this->hold_requested || kind == change_action_kind::hold;
    actions.push_back(change_action{kind, id, hold_term(this->token), 0});
}

std::vector<change_action> leadership_change::step(instant now) {
    std::vector<change_action> actions;
    leadership_state before{};
    do {
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
        if (this->machine.state() != before) {
            this->state_entered_at = now;
        }
    } while (this->machine.state() != before);
    return actions;
}

void leadership_change::choose_candidate() {
    replica_state const* best = nullptr;
    for (auto const& [id, replica] : this->replicas) {
        bool const better = best == nullptr ||
                            std::make_pair(!replica.leaving, replica.report->received) >
                                std::make_pair(!best->leaving, best->report->received);
        if (better) {
            this->chosen_id = id;
            best = &replica;
        }
    }
}

void leadership_change::survey(std::vector<change_action>& actions, instant now) {
    // A promotion that may still be carried out rules out any other candidate.
    if (this->promotion_unsettled && this->replicas.count(this->chosen_id) > 0) {
        this->machine.fire(leadership_event::candidate_chosen);
        return;
    }
    bool all_known = !this->replicas.empty();
    for (auto& [id, replica] : this->replicas) {
        if (!replica.report) {
            all_known = false;
            this->send_request(actions, id, change_action_kind::request_state, now);
        }
    }
    if (!all_known || this->awaits_foreign_promotion(actions, now)) {
        return;
    }
    this->promotion_unsettled = false;
    this->choose_candidate();
    this->hold_candidate = this->cause != change_reason::primary_leaving &&
                           this->replicas[this->chosen_id].report->held_term > 0;
    this->machine.fire(leadership_event::candidate_chosen);
}

bool leadership_change::is_superseded() const {
    return std::any_of(
        this->replicas.begin(), this->replicas.end(), [this](auto const& each) {
            return each.second.held_by_other &&
                   each.second.report->held_term > hold_term(this->token);
        });
}

bool leadership_change::awaits_foreign_promotion(
    std::vector<change_action>& actions, instant now) {
    bool const held_by_other =
        std::any_of(this->replicas.begin(), this->replicas.end(), [](auto const& each) {
            return each.second.held_by_other;
        });
    if (held_by_other && !this->foreign_hold_seen_at) {
        this->foreign_hold_seen_at = now;
    }
    if (this->is_superseded()) {
        this->yield_to_newer_holder();
        return true;
    }
    if (!this->foreign_hold_seen_at) {
        return false;
    }
    bool const settled = now - *this->foreign_hold_seen_at >= foreign_promotion_timeout;
    bool all_fresh = true;
    for (auto& [id, replica] : this->replicas) {
        if (!settled || replica.reported_at <
                            *this->foreign_hold_seen_at + foreign_promotion_timeout) {
            all_fresh = false;
            this->send_request(actions, id, change_action_kind::request_state, now);
        }
    }
    return !all_fresh;
}

void leadership_change::refresh_stale_reports(
    std::vector<change_action>& actions, instant now) {
    for (auto& [id, replica] : this->replicas) {
        if (id != this->chosen_id && now - replica.reported_at > hold_report_max_age) {
            this->send_request(actions, id, change_action_kind::request_state, now);
        }
    }
}

bool leadership_change::holds_intact() const {
    return std::all_of(
        this->replicas.begin(), this->replicas.end(), [this](auto const& each) {
            return each.first == this->chosen_id ? !each.second.held_by_other
                                                 : each.second.held;
        });
}

void leadership_change::hold_others(std::vector<change_action>& actions, instant now) {
    if (this->is_superseded()) {
        this->yield_to_newer_holder();
        return;
    }
    if (this->replicas.count(this->chosen_id) == 0) {
        this->machine.fire(leadership_event::candidate_lost);
        return;
    }
    bool all_held = true;
    for (auto& [id, replica] : this->replicas) {
        bool const must_hold = id != this->chosen_id || this->hold_candidate;
        if (must_hold && !(replica.held && replica.fresh)) {
            all_held = false;
            this->send_request(actions, id, change_action_kind::hold, now);
        }
    }
    if (!all_held) {
        return;
    }
    if (this->hold_candidate) {
        // With every replica held no commit can be acknowledged any more, so the most
        // advanced replica has all acknowledged commits.
        for (auto const& [id, replica] : this->replicas) {
            if (replica.report->received >
                this->replicas[this->chosen_id].report->received) {
                this->chosen_id = id;
            }
        }
    } else {
        this->replicas[this->chosen_id].requested_at.reset();
        this->replicas[this->chosen_id].fresh = false;
    }
    this->machine.fire(leadership_event::others_held);
}

bool leadership_change::candidate_is_caught_up() const {
    auto const candidate = this->replicas.find(this->chosen_id);
    if (candidate == this->replicas.end() || !candidate->second.report ||
        !candidate->second.fresh) {
        return false;
    }
    return std::all_of(
        this->replicas.begin(), this->replicas.end(), [&](auto const& each) {
            return each.second.report &&
                   each.second.report->received <= candidate->second.report->received;
        });
}

void leadership_change::compare(std::vector<change_action>& actions, instant now) {
    if (this->replicas.count(this->chosen_id) == 0) {
        this->machine.fire(leadership_event::candidate_lost);
        return;
    }
    if (!this->holds_intact()) {
        this->machine.fire(leadership_event::candidate_lost);
        return;
    }
    bool const reports_recent =
        std::all_of(this->replicas.begin(), this->replicas.end(), [&](auto const& each) {
            return each.first == this->chosen_id ||
                   now - each.second.reported_at <= hold_report_max_age;
        });
    if (this->candidate_is_caught_up() && !reports_recent) {
        this->refresh_stale_reports(actions, now);
        this->poll_candidate(actions, now);
        return;
    }
    if (this->candidate_is_caught_up()) {
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

void leadership_change::promote(std::vector<change_action>& actions, instant now) {
    if (this->replicas.count(this->chosen_id) == 0) {
        this->machine.fire(leadership_event::candidate_lost);
        this->request_in_flight = false;
        return;
    }
    if (!this->promotion_unsettled && !this->holds_intact()) {
        this->request_in_flight = false;
        this->machine.fire(leadership_event::candidate_lost);
        return;
    }
    this->refresh_stale_reports(actions, now);
    if (!this->request_in_flight &&
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
    replica_state& candidate = this->replicas[this->chosen_id];
    if (candidate.fresh) {
        candidate.fresh = false;
        // Set back so that send_request() sends the next request after `poll_interval`.
        candidate.requested_at = now - state_request_timeout + poll_interval;
    }
    this->send_request(actions, this->chosen_id, change_action_kind::request_state, now);
}

void leadership_change::confirm(std::vector<change_action>& actions, instant now) {
    if (this->replicas.count(this->chosen_id) == 0) {
        this->machine.fire(leadership_event::candidate_lost);
        return;
    }
    if (now - this->state_entered_at > confirmation_timeout) {
        this->last_promotion_call.reset();
        this->request_in_flight = false;
        this->machine.fire(leadership_event::lead_not_seen);
        return;
    }
    this->poll_candidate(actions, now);
}

void leadership_change::release(std::vector<change_action>& actions, instant now) {
    bool all_released = true;
    for (auto& [id, replica] : this->replicas) {
        bool const leads = this->promoted && id == this->chosen_id;
        // The promotion used a newer token, so a promotion by an older holder can no
        // longer be carried out.
        bool const needs_resume =
            replica.held || (this->promoted && replica.held_by_other);
        if (needs_resume && !leads && !this->skip_resume) {
            all_released = false;
            this->send_request(actions, id, change_action_kind::resume, now);
        }
    }
    if (!all_released && now - this->state_entered_at < resume_timeout) {
        return;
    }
    this->machine.fire(leadership_event::all_resumed);
    actions.push_back(
        this->promoted
            ? change_action{change_action_kind::finished, this->chosen_id, this->new_term}
            : change_action{change_action_kind::abandoned, {}});
}

} // namespace persimmonpoint
