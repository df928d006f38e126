#include <algorithm>
#include <persimmonpoint/core/limits/quota_divider.hpp>

namespace persimmonpoint {

namespace {

/// A holder's clock may have read the time this much after its report was received.
constexpr duration transit_slack = std::chrono::milliseconds(200);
/// A host whose last report is older no longer counts.
constexpr duration report_life = std::chrono::milliseconds(700);

} // namespace

quota_divider::quota_divider(instant) {}

void quota_divider::set_host_count(std::size_t count) {
    this->host_count = std::max<std::size_t>(count, 1);
}

void quota_divider::set_limit(std::string_view team, quota_part whole) {
    this->limits[std::string(team)] = whole;
}

bool quota_divider::may_grant(instant now) {
    std::erase_if(this->reporters, [now](auto const& each) {
        return now - each.second > report_life;
    });
    if (this->reporters.size() * 2 <= this->host_count) {
        this->majority_since.reset();
        return false;
    }
    if (!this->majority_since) {
        this->majority_since = now;
    }
    return now - *this->majority_since >= quota_grant_life + transit_slack;
}

std::vector<team_grant> quota_divider::report(
    std::string_view host,
    std::uint64_t confirmed,
    std::uint64_t number,
    std::vector<team_demand> const& demands,
    instant now) {
    this->reporters[std::string(host)] = now;
    bool const granting = this->may_grant(now);
    std::vector<team_grant> grants;
    for (team_demand const& each : demands) {
        holders& all = this->teams[each.team];
        holder& own = all[std::string(host)];
        own.demand = each.demand;
        own.reported = now;
        // The newest confirmed grant replaced all before it.
        std::erase_if(own.holdings, [&](holding const& held) {
            return held.ends <= now || held.number < confirmed;
        });
        auto const limit = this->limits.find(each.team);
        if (granting && limit != this->limits.end()) {
            grants.push_back(
                {each.team, this->grant_for(all, host, limit->second, number, now)});
        }
    }
    return grants;
}

quota_part quota_divider::grant_for(
    holders& all,
    std::string_view host,
    quota_part whole,
    std::uint64_t number,
    instant now) const {
    double const pool = whole.rate * granted_rate_share;
    double total_demand = 0;
    double held_by_others = 0;
    std::size_t live = 0;
    for (auto& each : all) {
        holder& one = each.second;
        std::erase_if(one.holdings, [now](holding const& held) { return held.ends <= now; });
        if (now - one.reported <= report_life) {
            total_demand += one.demand;
            ++live;
        }
        if (each.first == host) {
            continue;
        }
        double most = 0;
        for (holding const& held : one.holdings) {
            most = std::max(most, held.rate);
        }
        held_by_others += most;
    }
    holder& own = all.find(host)->second;
    // What nobody asks for is spread evenly, so that a host has some for a new caller.
    double const spare = std::max(0.0, pool - total_demand) / static_cast<double>(std::max<std::size_t>(live, 1));
    double const scale = total_demand > pool ? pool / total_demand : 1;
    double const fair = own.demand * scale + spare;
    double const rate = std::clamp(pool - held_by_others, 0.0, fair);
    own.holdings.push_back(holding{rate, number, now + quota_grant_life + transit_slack});
    double const share = whole.rate > 0 ? rate / pool : 0;
    return quota_part{rate, whole.burst * granted_burst_share * share};
}

} // namespace persimmonpoint
