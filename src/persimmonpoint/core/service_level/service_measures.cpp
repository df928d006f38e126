#include <algorithm>
#include <persimmonpoint/core/service_level/service_measures.hpp>
#include <utility>

namespace persimmonpoint {

namespace {

/// A team that asked less often is not called the worst served.
constexpr std::uint64_t fewest_requests = 20;

double share_of(std::uint64_t part, std::uint64_t whole) {
    return whole == 0 ? 0 : static_cast<double>(part) / static_cast<double>(whole);
}

bool is_within_rate(request_result result) {
    return result != request_result::over_rate && result != request_result::callers_error;
}

} // namespace

double team_service::share() const {
    return share_of(this->served, this->asked);
}

double measure_summary::wrongful_share() const {
    return share_of(this->wrongful_refusals, this->within_rate);
}

void service_measures::add(request_record const& request) {
    if (!is_within_rate(request.result)) {
        return;
    }
    bool const served = request.result == request_result::served;
    team_service& team = this->teams[request.team];
    team.team = request.team;
    ++team.asked;
    team.served += served ? 1 : 0;
    this->wrongful_refusals += request.result == request_result::refused ? 1 : 0;
    if (request.kind != request_kind::read) {
        if (!request.group.empty()) {
            this->writes[request.group].push_back({request.answered, served});
        }
    } else if (served) {
        ++(request.on_primary ? this->primary_reads : this->replica_reads);
    }
}

measure_summary service_measures::summary() const {
    measure_summary out;
    out.wrongful_refusals = this->wrongful_refusals;
    std::uint64_t const reads = this->replica_reads + this->primary_reads;
    if (reads > 0) {
        out.replica_share = share_of(this->replica_reads, reads);
    }
    for (auto const& [name, team] : this->teams) {
        out.within_rate += team.asked;
        bool const counts = team.asked >= fewest_requests;
        if (counts && (!out.worst_team || team.share() < out.worst_team->share())) {
            out.worst_team = team;
        }
    }
    for (auto const& [group, results] : this->writes) {
        std::vector<service_gap> const found = find_gaps(group, results);
        out.gaps.insert(out.gaps.end(), found.begin(), found.end());
    }
    std::ranges::stable_sort(out.gaps, std::ranges::greater{}, &service_gap::length);
    return out;
}

std::vector<service_gap>
service_measures::find_gaps(std::string const& group, std::vector<write_result> writes) {
    std::ranges::stable_sort(writes, {}, &write_result::when);
    std::vector<service_gap> gaps;
    service_gap current;
    current.group = group;
    current.begin = writes.empty() ? current.begin : writes.front().when;
    for (write_result const& each : writes) {
        if (!each.served) {
            ++current.unserved;
            continue;
        }
        if (current.unserved > 0) {
            current.length = each.when - current.begin;
            gaps.push_back(current);
        }
        current.begin = each.when;
        current.unserved = 0;
    }
    if (current.unserved > 0) {
        current.length = writes.back().when - current.begin;
        current.open = true;
        gaps.push_back(current);
    }
    return gaps;
}

} // namespace persimmonpoint
