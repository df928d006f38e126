#ifndef PERSIMMONPOINT_CORE_LIMITS_QUOTA_DIVIDER_HPP_INCLUDED
#define PERSIMMONPOINT_CORE_LIMITS_QUOTA_DIVIDER_HPP_INCLUDED

#include <cstdint>
#include <map>
#include <optional>
#include <persimmonpoint/core/limits/quota_share.hpp>
#include <persimmonpoint/core/time.hpp>
#include <string>
#include <string_view>
#include <vector>

namespace persimmonpoint {

/// How a team's quota is split between the fixed parts of all hosts and what is granted.
/// The sum is over 1 by less than what the users allow a window to be over.
inline constexpr double fixed_rate_share = 0.4;
inline constexpr double granted_rate_share = 0.66;
inline constexpr double fixed_burst_share = 0.3;
inline constexpr double granted_burst_share = 0.5;

/// How long a grant is good, from when its holder asked for it.
inline constexpr duration quota_grant_life = std::chrono::milliseconds(1000);

struct team_demand {
    std::string team;
    double demand = 0; ///< Operations a second.
};

struct team_grant {
    std::string team;
    quota_part part;
};

/// Divides the granted part of some teams' quotas between the hosts by their demand.
///
/// Only one host can divide a team's quota at a time: a divider grants only while more than
/// half of the registered hosts report to it, and only after that held for the life of a
/// grant, so that all grants of an earlier divider are over. A host reports to one divider
/// at a time.
///
/// Load it answers: a team's callers are spread unevenly over the hosts, so that equal
/// shares refuse operations that are within the team's rate.
class quota_divider {
public:
    explicit quota_divider(instant now);

    /// Hosts registered at present.
    void set_host_count(std::size_t count);
    /// Rate and burst of a whole team; zero for one that is gone.
    void set_limit(std::string_view team, quota_part whole);

    /// A host's report. `confirmed`: number of the last grant that it received.
    /// Its grants; none while this divider may not grant.
    std::vector<team_grant> report(
        std::string_view host,
        std::uint64_t confirmed,
        std::uint64_t number,
        std::vector<team_demand> const& demands,
        instant now);

private:
    struct holding {
        double rate = 0;
        std::uint64_t number = 0; ///< Of the report that the grant answered.
        instant ends{};
    };
    struct holder {
        double demand = 0;
        instant reported{};
        std::vector<holding> holdings; ///< That it may still spend.
    };
    using holders = std::map<std::string, holder, std::less<>>;

    bool may_grant(instant now);
    quota_part grant_for(
        holders& all, std::string_view host, quota_part whole, std::uint64_t number, instant now) const;

    std::size_t host_count = 1;
    std::map<std::string, quota_part, std::less<>> limits;
    std::map<std::string, holders, std::less<>> teams;
    std::map<std::string, instant, std::less<>> reporters;
    std::optional<instant> majority_since;
};

} // namespace persimmonpoint

#endif // PERSIMMONPOINT_CORE_LIMITS_QUOTA_DIVIDER_HPP_INCLUDED
