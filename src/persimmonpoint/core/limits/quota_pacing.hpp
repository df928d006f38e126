#ifndef PERSIMMONPOINT_CORE_LIMITS_QUOTA_PACING_HPP_INCLUDED
#define PERSIMMONPOINT_CORE_LIMITS_QUOTA_PACING_HPP_INCLUDED

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <persimmonpoint/core/time.hpp>
#include <string>
#include <string_view>
#include <vector>

namespace persimmonpoint {

/// Which operations wait a moment for their team's quota rather than be refused.
///
/// Load it answers: a team within its rate whose operations come in small bunches, or
/// whose lender has just changed. A team far over its rate has few that wait: the others
/// are refused at once.
class quota_pacing {
public:
    /// True if an operation that may run in `wait` is better off waiting.
    bool may_wait(std::string_view team, duration wait) const;
    /// True if an operation that came `age` ago may wait on for a lender to be found.
    /// Nothing is known then of how much the team has left, so that more may wait.
    bool may_wait_for_lender(std::string_view team, duration age) const;
    void add(std::string_view team, std::uint64_t number, instant due);
    /// Numbers of the operations that are due, the one due first in front.
    std::vector<std::uint64_t> take_due(instant now);
    std::optional<instant> next_due() const;

private:
    struct waiting_operation {
        std::string team;
        std::uint64_t number = 0;
    };

    std::multimap<instant, waiting_operation> waiting; ///< By the time they are due.
    std::map<std::string, std::size_t, std::less<>> counts;
};

} // namespace persimmonpoint

#endif // PERSIMMONPOINT_CORE_LIMITS_QUOTA_PACING_HPP_INCLUDED
