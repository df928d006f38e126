#include <algorithm>
#include <persimmonpoint/core/limits/commit_share.hpp>

namespace persimmonpoint {

namespace {

/// Commits stall if none was answered for so long.
constexpr duration stalled_after = std::chrono::milliseconds(150);
/// One of so many slots is for commits that stall.
constexpr std::uint32_t stalled_part = 2;

} // namespace

bool commit_share::may_start(std::uint32_t slots, instant now) const {
    bool const stalled = this->progress.stalled_for(now) > stalled_after;
    return !stalled || this->progress.open() < std::max(slots / stalled_part, 1U);
}

} // namespace persimmonpoint
