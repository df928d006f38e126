#ifndef PERSIMMONPOINT_CORE_RECOVERY_COMMIT_PROGRESS_HPP_INCLUDED
#define PERSIMMONPOINT_CORE_RECOVERY_COMMIT_PROGRESS_HPP_INCLUDED

#include <persimmonpoint/core/time.hpp>

namespace persimmonpoint {

/// Writes and COMMITs that one database was sent and that have not ended.
///
/// Kept for every database at all times: a commit may stall before the host that sent it
/// knows that it is to watch the primary.
class commit_progress {
public:
    void sent(instant now);
    /// One came back, with whatever answer, or its connection broke.
    void ended(instant now);

    bool empty() const { return this->open == 0; }
    /// True if some are open and none has ended for long.
    bool stalled(instant now) const;

private:
    unsigned open = 0;
    instant last_progress{};
};

} // namespace persimmonpoint

#endif // PERSIMMONPOINT_CORE_RECOVERY_COMMIT_PROGRESS_HPP_INCLUDED
