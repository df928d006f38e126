#ifndef PERSIMMONPOINT_CORE_LIMITS_QUOTA_LENDER_HPP_INCLUDED
#define PERSIMMONPOINT_CORE_LIMITS_QUOTA_LENDER_HPP_INCLUDED

#include <cstddef>
#include <map>
#include <optional>
#include <persimmonpoint/core/limits/quota_share.hpp>
#include <persimmonpoint/core/time.hpp>
#include <set>
#include <string>
#include <string_view>

namespace persimmonpoint {

/// Lends some teams' quotas to hosts, one operation at a time.
///
/// A lender lends the share of the quota that the hosts endorsing it are of all
/// registered hosts. A host endorses another lender only once its endorsement of the one
/// before is over; so all lenders together never lend more than the whole, and each side
/// of a partition has its share.
///
/// Load it answers: a team's callers are spread unevenly over the hosts and change from
/// second to second, so that equal shares refuse operations within the team's rate.
class quota_lender {
public:
    explicit quota_lender(quota_rules const& rules = {}) : rules(rules) {}

    /// The lender's process has just started. Hosts that endorse it for the first time
    /// until `end` bring their part of the burst: while it started it lent nothing.
    void set_young_until(instant end) { this->young_until = end; }

    void set_host_count(std::size_t count);
    /// Rate and burst of a whole team.
    void set_limit(std::string_view team, quota_part whole, instant now);
    void forget_team(std::string_view team);

    /// The host endorses this lender for `life`.
    void endorsed(std::string_view host, duration life, instant now);
    /// The host no longer endorses this lender.
    void withdrawn(std::string_view host, instant now);
    /// Part of the quotas that this lender may lend now.
    double share(instant now);

    /// Lends one operation. Zero if it may run, else the time until one may.
    duration borrow(std::string_view team, instant now);

private:
    quota_rules rules;
    std::size_t host_count = 1;
    struct lent_quota {
        quota_part whole;
        quota_bucket bucket;
    };
    std::map<std::string, lent_quota, std::less<>> teams;
    std::map<std::string, instant, std::less<>> endorsements; ///< Until when, by host.
    void update(instant now);
    void add_burst_part(instant now);

    std::optional<instant> young_until;
    std::set<std::string, std::less<>> seen_hosts; ///< That endorsed it at any time.
    std::optional<instant> updated;
    duration longest_life{0};
};

/// The host that a host would borrow from.
struct lender_candidate {
    std::string_view name;
    bool linked = false; ///< Messages reach it at once.
};

/// Which lender a host endorses. It keeps to the one before until that has confirmed the
/// withdrawal, is known to have ended, or the endorsement is over.
class lender_choice {
public:
    enum class step { endorse, withdraw, wait };

    /// What to do now. `ended`: the current lender has certainly stopped to lend.
    /// `heard`: the current lender said something just now. `life`: of an endorsement
    /// that is given now.
    ///
    /// Only a linked host is endorsed: nobody knows when an endorsement arrives at any
    /// other, so that it would have to be waited out though it may never have arrived.
    step
    choose(lender_candidate wanted, bool ended, bool heard, duration life, instant now);
    /// The current lender confirmed the withdrawal.
    void released();
    /// Empty while none may be borrowed from.
    std::string const& current() const { return this->endorsed; }
    bool may_borrow() const { return !this->endorsed.empty() && !this->leaving; }

private:
    std::string endorsed;
    bool leaving = false;
    instant good_until{}; ///< The endorsement of the current lender.
};

} // namespace persimmonpoint

#endif // PERSIMMONPOINT_CORE_LIMITS_QUOTA_LENDER_HPP_INCLUDED
