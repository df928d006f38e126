#include <persimmonpoint/core/recovery/commit_progress.hpp>

namespace persimmonpoint {

namespace {

constexpr duration stall_limit = std::chrono::milliseconds(600);

} // namespace

void commit_progress::sent(instant now) {
    if (this->open == 0) {
        this->last_progress = now;
    }
    ++this->open;
}

void commit_progress::ended(instant now) {
    if (this->open > 0) {
        --this->open;
    }
    this->last_progress = now;
}

bool commit_progress::stalled(instant now) const {
    return this->open > 0 && now - this->last_progress > stall_limit;
}

} // namespace persimmonpoint
