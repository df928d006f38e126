#ifndef PERSIMMONPOINT_CORE_RECOVERY_COMMIT_PROGRESS_HPP_INCLUDED
#define PERSIMMONPOINT_CORE_RECOVERY_COMMIT_PROGRESS_HPP_INCLUDED

#include <cstdint>
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

    std::uint32_t open() const { return this->under_way; }
    /// How long some have been under way and none has ended; zero if none is.
    duration stalled_for(instant now) const;

private:
    std::uint32_t under_way = 0;
    instant last_progress{};
};

} // namespace persimmonpoint

#endif // PERSIMMONPOINT_CORE_RECOVERY_COMMIT_PROGRESS_HPP_INCLUDED
