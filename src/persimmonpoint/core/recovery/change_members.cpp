#include <algorithm>
#include <persimmonpoint/core/recovery/change_members.hpp>
#include <utility>

namespace persimmonpoint {

change_members::change_members(
    std::string primary, std::uint64_t term, departure departed)
    : primary_id(std::move(primary)), highest_term(term), departed(departed) {}

void change_members::set_databases(std::span<group_replica const> present) {
    for (group_replica const& each : present) {
        bool const is_new = this->members.count(each.id) == 0;
        if (is_new && each.id == this->primary_id) {
            this->stopped = false;
            this->stop_asked_at.reset();
        }
        change_member& member = this->members[each.id];
        if (!is_new && member.started_ms != each.started_ms) {
            this->forget(each);
        }
        member.leaving = each.leaving;
        member.started_ms = each.started_ms;
        member.ends_at = each.ends_at;
        member.evacuated = each.evacuated;
        this->removed.erase(each.id);
    }
    std::erase_if(this->members, [&](auto const& each) {
        bool const is_gone =
            std::none_of(present.begin(), present.end(), [&each](auto const& one) {
                return one.id == each.first;
            });
        if (is_gone) {
            this->removed.insert(each);
            if (each.first != this->primary_id) {
                this->departed = departure::seen;
            }
        }
        return is_gone;
    });
}

void change_members::forget(group_replica const& restarted) {
    this->members[restarted.id] = change_member();
    if (restarted.id == this->primary_id) {
        this->primary_id.clear();
        this->stopped = false;
        this->stop_asked_at.reset();
    }
    this->departed = departure::seen;
}

bool change_members::record(
    std::string_view id,
    database_state const& report,
    instant asked_at,
    std::set<std::uint64_t> const& own_hold_terms) {
    change_member* const member = this->find(id);
    if (member == nullptr || (member->report && asked_at < member->asked_at)) {
        return false;
    }
    member->fresh = !member->requested_at || asked_at >= *member->requested_at;
    member->acknowledged_before.reset();
    if (member->fresh) {
        member->requested_at.reset();
        member->acknowledged_before = member->acknowledged_at_request;
    }
    member->held = own_hold_terms.count(report.held_term) > 0;
    member->held_by_other = report.held_term > 0 && !member->held;
    member->report = report;
    member->asked_at = asked_at;
    bool const is_outdated = report.term < this->highest_term;
    this->highest_term = std::max(this->highest_term, report.term);
    if (report.leads && !is_outdated) {
        this->note_leader(id);
    } else if (!report.leads && id == this->primary_id) {
        this->note_lead_lost(asked_at);
    }
    return true;
}

void change_members::note_leader(std::string_view id) {
    if (id != this->primary_id) {
        this->primary_id = id;
        this->stop_asked_at.reset();
    }
    this->stopped = false;
}

void change_members::note_lead_lost(instant asked_at) {
    if (this->stop_asked_at && asked_at >= *this->stop_asked_at) {
        this->stopped = true;
    } else if (!this->stopped) {
        // Another host has replaced or stopped it: it's a replica like the others.
        this->primary_id.clear();
    }
}

change_member const* change_members::primary_member() const {
    auto const found = this->members.find(this->primary_id);
    return found == this->members.end() ? nullptr : &found->second;
}

change_member* change_members::find(std::string_view id) {
    auto const found = this->members.find(id);
    return found == this->members.end() ? nullptr : &found->second;
}

log_position change_members::furthest_replica() const {
    log_position furthest;
    for (auto const& [id, member] : this->members) {
        if (id != this->primary_id && member.report) {
            furthest = std::max(furthest, member.report->received);
        }
    }
    return furthest;
}

bool change_members::lacks_acknowledged(change_member const& member) const {
    return this->commits.acknowledged &&
           (!member.report || member.report->received < *this->commits.acknowledged);
}

bool change_members::lack_acknowledged() const {
    log_position const furthest = this->furthest_replica();
    bool any = false;
    for (auto const& [id, member] : this->members) {
        if (id == this->primary_id) {
            continue;
        }
        bool const shows_it = member.report && member.acknowledged_before &&
                              *member.acknowledged_before > furthest;
        if (!shows_it) {
            return false;
        }
        any = true;
    }
    return any;
}

bool change_members::tail_may_be_acknowledged() const {
    change_member const* const primary = this->primary_member();
    if (!this->stopped || primary == nullptr || !primary->report) {
        return false;
    }
    log_position const end = primary->report->received;
    log_position const furthest = this->furthest_replica();
    if (end <= furthest) {
        return false;
    }
    if (this->commits.acknowledged && *this->commits.acknowledged > furthest) {
        return true;
    }
    bool const is_accounted_for =
        end.term == furthest.term &&
        end.offset - furthest.offset <= this->commits.unacknowledged;
    return !is_accounted_for && this->commits.listing != directory_listing::complete;
}

bool change_members::counts(std::string_view id) const {
    return id != this->primary_id ||
           (this->stopped && (this->leaves_replica_out || this->may_have_lost_replica() ||
                              this->tail_may_be_acknowledged()));
}

bool change_members::may_receive(std::string_view id) const {
    return id != this->primary_id || this->stopped;
}

std::string_view change_members::reason_left_out(std::string_view id) const {
    if (this->counts(id)) {
        return "";
    }
    if (this->stopped) {
        return "old primary, stopped";
    }
    change_member const* const member = this->primary_member();
    return member != nullptr && member->leads() ? "primary" : "old primary, silent";
}

std::vector<promotion_evidence>
change_members::evidence(std::string_view candidate) const {
    std::vector<promotion_evidence> all;
    for (auto const& [id, member] : this->members) {
        all.push_back(
            {id, member.leaving, id == candidate, member.held, member.report,
             member.asked_at, this->reason_left_out(id)});
    }
    for (auto const& [id, member] : this->removed) {
        all.push_back(
            {id, member.leaving, false, member.held, member.report, member.asked_at,
             "no longer registered"});
    }
    if (!this->primary_id.empty() && this->members.count(this->primary_id) == 0 &&
        this->removed.count(this->primary_id) == 0) {
        all.push_back(
            {this->primary_id,
             false,
             false,
             false,
             std::nullopt,
             {},
             "old primary, not registered"});
    }
    return all;
}

} // namespace persimmonpoint
