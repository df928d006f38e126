#ifndef PERSIMMONPOINT_CORE_RECOVERY_UNACKNOWLEDGED_COMMITS_HPP_INCLUDED
#define PERSIMMONPOINT_CORE_RECOVERY_UNACKNOWLEDGED_COMMITS_HPP_INCLUDED

#include <cstddef>
#include <persimmonpoint/core/time.hpp>
#include <set>

namespace persimmonpoint {

/// How a write or COMMIT that was sent to a database ended.
enum class commit_end {
    acknowledged,
    not_run,
    unknown ///< Failed, or unanswered: the log may have it.
};

/// The writes and COMMITs that one host sent to one database and that may be in its log
/// without having been acknowledged.
class unacknowledged_commits {
public:
    void sent(instant at);
    void ended(instant sent_at, commit_end how);
    /// How many of those that were sent before `time` there are.
    std::size_t sent_before(instant time) const;

private:
    void forget_oldest();

    std::multiset<instant> in_flight;
    std::multiset<instant> in_doubt;
};

} // namespace persimmonpoint

#endif // PERSIMMONPOINT_CORE_RECOVERY_UNACKNOWLEDGED_COMMITS_HPP_INCLUDED
