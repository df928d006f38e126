#include <algorithm>
#include <support/acting_group.hpp>

namespace persimmonpoint::tests {

namespace {

/// From the call of a promotion until it takes effect.
constexpr duration promotion_time = std::chrono::milliseconds(600);

} // namespace

acting_group::acting_group() {
    this->copies["p"];
}

leadership_change
acting_group::begin_change(instant now, change_reason reason, departure departed) const {
    return leadership_change("p", this->registered(), first_term, reason, now, departed);
}

void acting_group::write() {
    if (this->leader.empty() || !this->copies[this->leader].alive) {
        return;
    }
    ++this->copies[this->leader].received;
    this->replicate();
}

void acting_group::replicate() {
    if (this->leader.empty() || !this->copies[this->leader].alive) {
        return;
    }
    std::uint64_t const newest = this->copies[this->leader].received;
    for (auto& [id, one] : this->copies) {
        if (id != this->leader && one.alive && one.receives && one.held == 0) {
            one.received = newest;
            this->acknowledged = newest;
        }
    }
}

std::vector<group_replica> acting_group::registered() const {
    std::vector<group_replica> all;
    for (auto const& each : this->copies) {
        if (this->lapsed != each.first && this->unlisted.count(each.first) == 0) {
            bool const leaves = this->leaving == each.first;
            all.push_back(
                {each.first, leaves, 0, leaves ? this->ends_at : std::nullopt,
                 this->evacuated.count(each.first) > 0});
        }
    }
    return all;
}

std::optional<database_state> acting_group::state_of(std::string const& id) const {
    copy const& one = this->copies.at(id);
    if (!one.alive) {
        return std::nullopt;
    }
    return database_state{
        id == this->leader, this->term, {first_term, one.received}, one.held};
}

void acting_group::carry_out(
    change_action const& action, instant now, leadership_change& change) {
    this->actions.push_back(action);
    switch (action.kind) {
    case change_action_kind::request_token:
        change.token_granted(this->token);
        return;
    case change_action_kind::promote:
        if (this->promotion_fails_with) {
            change.promotion_answered(*this->promotion_fails_with, now);
            return;
        }
        this->promoting = action.database;
        this->promoted_at = now + promotion_time;
        change.promotion_answered(promotion_result::accepted, now);
        return;
    case change_action_kind::finished:
    case change_action_kind::abandoned:
        return;
    default:
        if (action.database == this->silent) {
            change.reported(action.database, std::nullopt, now);
            return;
        }
        this->obey(action);
        change.reported(action.database, this->state_of(action.database), now);
    }
}

void acting_group::run(leadership_change& change, instant& now, duration length) {
    for (instant const end = now + length; now < end && !change.is_over();) {
        now += std::chrono::milliseconds(10);
        this->take_effect(now);
        change.set_databases(this->registered());
        change.set_commits(this->known);
        for (change_action const& each : change.step(now)) {
            this->carry_out(each, now, change);
        }
    }
}

std::size_t acting_group::count(change_action_kind kind) const {
    return static_cast<std::size_t>(
        std::count_if(this->actions.begin(), this->actions.end(), [kind](auto& each) {
            return each.kind == kind;
        }));
}

bool acting_group::any_held() const {
    return std::any_of(this->copies.begin(), this->copies.end(), [](auto const& each) {
        return each.second.held > 0;
    });
}

void acting_group::obey(change_action const& action) {
    copy& one = this->copies[action.database];
    bool const leads = action.database == this->leader;
    if (!one.alive) {
        return;
    }
    if (action.kind == change_action_kind::hold &&
        action.database == this->leads_when_held) {
        this->leads_when_held.clear();
        this->leader = action.database;
        ++this->term;
    } else if (action.kind == change_action_kind::hold && !leads) {
        one.held = action.term;
    } else if (action.kind == change_action_kind::resume) {
        one.held = 0;
    } else if (
        action.kind == change_action_kind::stop_primary && leads &&
        action.term > this->term) {
        this->leader.clear();
    }
}

void acting_group::take_effect(instant now) {
    if (this->promoting.empty() || now < this->promoted_at) {
        return;
    }
    if (this->promoting != this->leader) {
        this->leader = this->promoting;
        ++this->term;
        this->copies[this->leader].held = 0;
        this->lost_commit =
            this->lost_commit || this->copies[this->leader].received < this->acknowledged;
    }
    this->promoting.clear();
}

acting_group group_of_three() {
    acting_group group;
    group.copies["r0"];
    group.copies["r1"];
    group.write();
    return group;
}

} // namespace persimmonpoint::tests
