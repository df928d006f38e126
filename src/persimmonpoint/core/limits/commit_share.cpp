#include <algorithm>
#include <persimmonpoint/core/limits/commit_share.hpp>

namespace persimmonpoint {

namespace {

/// Commits stall if none was answered for so long.
constexpr duration stalled_after = std::chrono::milliseconds(150);
/// One of so many slots is for commits that stall.
constexpr std::uint32_t stalled_part = 2;

} // namespace

void commit_share::started(instant now) {
    if (this->open == 0) {
        this->last_progress = now;
    }
    ++this->open;
}

void commit_share::ended(instant now) {
    if (this->open > 0) {
        --this->open;
    }
    this->last_progress = now;
}

bool commit_share::may_start(std::uint32_t slots, instant now) const {
    bool const stalled = this->open > 0 && now - this->last_progress > stalled_after;
    return !stalled || this->open < std::max(slots / stalled_part, 1U);
}

} // namespace persimmonpoint
