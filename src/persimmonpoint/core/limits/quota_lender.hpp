#ifndef PERSIMMONPOINT_CORE_LIMITS_QUOTA_LENDER_HPP_INCLUDED
#define PERSIMMONPOINT_CORE_LIMITS_QUOTA_LENDER_HPP_INCLUDED

#include <cstddef>
#include <map>
#include <persimmonpoint/core/limits/quota_share.hpp>
#include <persimmonpoint/core/time.hpp>
#include <string>
#include <string_view>

namespace persimmonpoint {

/// How long a host's endorsement of a lender is good.
inline constexpr duration endorsement_life = std::chrono::milliseconds(450);

/// Lends some teams' quotas to hosts, one operation at a time.
///
/// Only one host can lend a team's quota at a time: a lender needs the endorsement of more
/// than half of the registered hosts, and a host endorses another lender only once its
/// endorsement of the one before is over.
///
/// Load it answers: a team's callers are spread unevenly over the hosts and change from
/// second to second, so that equal shares refuse operations within the team's rate.
class quota_lender {
public:
    void set_host_count(std::size_t count);
    /// Rate and burst of a whole team.
    void set_limit(std::string_view team, quota_part whole, instant now);
    void forget_team(std::string_view team);

    void endorsed(std::string_view host, instant now);
    bool may_lend(instant now);

    /// Lends one operation. Zero if it may run, else the time until one may.
    duration borrow(std::string_view team, instant now);

private:
    std::size_t host_count = 1;
    std::map<std::string, quota_bucket, std::less<>> teams;
    std::map<std::string, instant, std::less<>> endorsements;
};

/// Which lender a host endorses. It keeps to the one before until its endorsement is over.
class lender_choice {
public:
    /// The lender to endorse and to borrow from now; empty while none may be.
    std::string const& choose(std::string_view wanted, instant now);
    std::string const& current() const { return this->endorsed; }

private:
    std::string endorsed;
    instant last_endorsed{};
};

} // namespace persimmonpoint

#endif // PERSIMMONPOINT_CORE_LIMITS_QUOTA_LENDER_HPP_INCLUDED
