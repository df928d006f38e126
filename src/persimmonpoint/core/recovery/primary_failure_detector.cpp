#include <persimmonpoint/core/recovery/primary_failure_detector.hpp>

namespace persimmonpoint {

namespace {

/// One refused connection may be caused by a restart of the listener, two without an
/// answer in between are not.
constexpr unsigned min_refusals = 2;
constexpr duration response_timeout = std::chrono::milliseconds(400);
constexpr duration commit_stall_timeout = std::chrono::milliseconds(600);

} // namespace

primary_failure_detector::primary_failure_detector(instant now) : last_answer(now) {}

void primary_failure_detector::answered(instant now) {
    this->last_answer = now;
    this->first_refusal.reset();
    this->first_timeout.reset();
    this->refusal_count = 0;
}

void primary_failure_detector::refused(instant now) {
    if (!this->first_refusal) {
        this->first_refusal = now;
    }
    ++this->refusal_count;
}

void primary_failure_detector::unanswered(instant now) {
    if (!this->first_timeout) {
        this->first_timeout = now;
    }
}

primary_health
primary_failure_detector::judge(instant now, commit_progress const& commits) const {
    if (this->refusal_count >= min_refusals) {
        return primary_health::down;
    }
    if (this->first_timeout && now - this->last_answer > response_timeout) {
        return primary_health::silent;
    }
    return commits.stalled_for(now) > commit_stall_timeout ? primary_health::cannot_commit
                                                           : primary_health::healthy;
}

} // namespace persimmonpoint
