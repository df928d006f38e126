#include <persimmonpoint/core/recovery/commit_progress.hpp>

namespace persimmonpoint {

void commit_progress::sent(instant now) {
    if (this->under_way == 0) {
        this->last_progress = now;
    }
    ++this->under_way;
}

void commit_progress::ended(instant now) {
    if (this->under_way > 0) {
        --this->under_way;
    }
    this->last_progress = now;
}

duration commit_progress::stalled_for(instant now) const {
    return this->under_way > 0 ? now - this->last_progress : duration(0);
}

} // namespace persimmonpoint
