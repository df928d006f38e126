#include <algorithm>
#include <persimmonpoint/core/recovery/acknowledgement_gate.hpp>
#include <utility>

namespace persimmonpoint {

namespace {

/// A call for a promotion is carried out within this time, or never.
constexpr duration longest_late_call = std::chrono::seconds(15);
/// Clocks of hosts and databases differ by less than this.
constexpr duration clock_tolerance = std::chrono::seconds(10);
/// A request that is not answered within this time is repeated.
constexpr duration request_timeout = std::chrono::milliseconds(150);
/// Before a replica that lacked a commit is asked again.
constexpr duration poll_interval = std::chrono::milliseconds(5);
/// Maximum age of a report that shows a replica free.
constexpr duration free_report_max_age = std::chrono::seconds(1);

/// How long the database has been running at least, by the time of day.
duration least_age(registered_database const& of, std::uint64_t unix_ms) {
    if (of.started_ms == 0 || of.started_ms > unix_ms) {
        return duration(0);
    }
    duration const age = std::chrono::milliseconds(unix_ms - of.started_ms);
    return std::clamp<duration>(age - clock_tolerance, duration(0), longest_late_call);
}

} // namespace

void acknowledgement_gate::set_databases(
    std::span<registered_database const> listed, instant now, std::uint64_t unix_ms) {
    std::map<std::string, replica, std::less<>> next;
    for (registered_database const& each : listed) {
        auto const known = this->replicas.find(each.id);
        // A start ends a hold, and may have lost the log.
        bool const is_known =
            known != this->replicas.end() && known->second.started_ms == each.started_ms;
        if (is_known) {
            note_row(known->second, each, false, now);
            next.emplace(each.id, known->second);
            continue;
        }
        replica& added = next[each.id];
        added.started_ms = each.started_ms;
        added.listed_at = this->has_list ? now : now - least_age(each, unix_ms);
        note_row(added, each, true, now);
    }
    this->replicas = std::move(next);
    this->has_list = this->has_list || !listed.empty();
}

void acknowledgement_gate::note_row(
    replica& one, registered_database const& row, bool is_new, instant now) {
    if (!row.leaving) {
        one.leaving_since.reset();
    } else if (!one.leaving_since) {
        one.leaving_since = is_new ? now - settling_time : now;
    }
    if (one.claims_primary && !row.claims_primary) {
        one.led_until = now;
    }
    one.claims_primary = row.claims_primary;
}

void acknowledgement_gate::add(std::uint64_t number, acknowledged_write commit) {
    this->commits.emplace(number, std::move(commit));
}

void acknowledgement_gate::reported(
    std::string_view id,
    std::optional<database_state> const& report,
    instant asked_at,
    instant now) {
    auto const found = this->replicas.find(id);
    if (found == this->replicas.end()) {
        return;
    }
    replica& one = found->second;
    one.requested_at.reset();
    one.ask_again = now + poll_interval;
    if (report && asked_at >= one.asked_at) {
        one.report = report;
        one.asked_at = asked_at;
    }
}

std::vector<std::string> acknowledgement_gate::replicas_to_ask(instant now) {
    std::vector<std::string> ids;
    for (auto& [id, one] : this->replicas) {
        bool const is_waiting =
            one.requested_at && now - *one.requested_at < request_timeout;
        if (is_waiting || now < one.ask_again || !this->is_needed(id)) {
            continue;
        }
        one.requested_at = now;
        ids.push_back(id);
    }
    return ids;
}

bool acknowledgement_gate::is_needed(std::string_view id) const {
    return std::any_of(
        this->commits.begin(), this->commits.end(), [id](auto const& each) {
            return each.second.position && each.second.primary != id;
        });
}

std::vector<gate_decision> acknowledgement_gate::decide(instant now) {
    std::vector<gate_decision> decisions;
    for (auto const& [number, commit] : this->commits) {
        std::string witness = this->witness_of(commit);
        if (!witness.empty()) {
            decisions.push_back({number, gate_verdict::pass, std::move(witness)});
        } else if (now >= commit.deadline || this->is_superseded(commit)) {
            decisions.push_back({number, gate_verdict::in_doubt, {}});
        }
    }
    for (gate_decision const& each : decisions) {
        this->commits.erase(each.number);
    }
    return decisions;
}

std::string acknowledgement_gate::witness_of(acknowledged_write const& commit) const {
    auto const found =
        std::find_if(this->replicas.begin(), this->replicas.end(), [&](auto const& each) {
            auto const& [id, one] = each;
            return commit.position && id != commit.primary && one.report &&
                   one.report->received.term == commit.position->term &&
                   one.report->received >= *commit.position &&
                   this->is_settled(id, commit.primary);
        });
    return found == this->replicas.end() ? std::string() : found->first;
}

bool acknowledgement_gate::is_superseded(acknowledged_write const& commit) const {
    return !commit.position ||
           std::any_of(
               this->replicas.begin(), this->replicas.end(), [&commit](auto const& each) {
                   return each.second.report &&
                          each.second.report->received.term > commit.position->term;
               });
}

/// Judged as of when the replica was asked for the state that shows the commit.
bool acknowledgement_gate::is_settled(
    std::string_view id, std::string_view primary) const {
    replica const& one = this->replicas.find(id)->second;
    bool const leaves_soon =
        one.leaving_since && one.asked_at - *one.leaving_since >= settling_time;
    if (leaves_soon || one.claims_primary) {
        return false;
    }
    instant const since = std::max(one.listed_at, one.led_until.value_or(one.listed_at));
    duration const standing = one.asked_at - since;
    return standing >= longest_late_call ||
           (standing >= settling_time && this->is_group_free(id, primary));
}

bool acknowledgement_gate::is_group_free(
    std::string_view id, std::string_view primary) const {
    replica const& one = this->replicas.find(id)->second;
    return std::all_of(
        this->replicas.begin(), this->replicas.end(), [&](auto const& each) {
            replica const& other = each.second;
            bool const is_younger = other.listed_at > one.listed_at;
            bool const is_free = other.report && other.report->held_term == 0 &&
                                 one.asked_at - other.asked_at <= free_report_max_age;
            return each.first == primary || is_younger || is_free;
        });
}

} // namespace persimmonpoint
