#ifndef PERSIMMONPOINT_CORE_LIMITS_COMMIT_SHARE_HPP_INCLUDED
#define PERSIMMONPOINT_CORE_LIMITS_COMMIT_SHARE_HPP_INCLUDED

#include <cstdint>
#include <persimmonpoint/core/recovery/commit_progress.hpp>

namespace persimmonpoint {

/// How many of a primary's slots commits may take.
///
/// Load it answers: a primary that hears nothing of its replicas answers no commit, and
/// each commit keeps its slot meanwhile. Reads need no replica's word; they would find no
/// slot. While commits stall, half of the slots are kept for the rest. A write that waits
/// instead can still be refused as not run, a stalled one only ends in doubt.
class commit_share {
public:
    void started(instant now) { this->progress.sent(now); }
    void ended(instant now) { this->progress.ended(now); }
    /// True if one more commit may take one of the database's `slots`.
    bool may_start(std::uint32_t slots, instant now) const;

private:
    commit_progress progress;
};

} // namespace persimmonpoint

#endif // PERSIMMONPOINT_CORE_LIMITS_COMMIT_SHARE_HPP_INCLUDED
