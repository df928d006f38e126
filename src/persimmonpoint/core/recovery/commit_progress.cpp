#include <persimmonpoint/core/recovery/commit_progress.hpp>

namespace persimmonpoint {

void commit_progress::sent(instant now) {
    if (this->in_flight == 0) {
        this->last_progress = now;
    }
    ++this->in_flight;
}

void commit_progress::ended(instant now) {
    if (this->in_flight > 0) {
        --this->in_flight;
    }
    this->last_progress = now;
}

duration commit_progress::stalled_for(instant now) const {
    return this->in_flight > 0 ? now - this->last_progress : duration(0);
}

} // namespace persimmonpoint
