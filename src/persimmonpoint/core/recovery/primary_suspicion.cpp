#include <persimmonpoint/core/recovery/primary_suspicion.hpp>

namespace persimmonpoint {

namespace {

/// A single refusal can be a restart of the listener; two in this order are not.
constexpr unsigned refusals_that_prove = 2;
constexpr duration silence_limit = std::chrono::milliseconds(400);
constexpr duration commit_limit = std::chrono::milliseconds(600);

} // namespace

primary_suspicion::primary_suspicion(instant now)
    : last_answer(now), last_commit_progress(now) {}

void primary_suspicion::answered(instant now) {
    this->last_answer = now;
    this->first_refusal.reset();
    this->first_silence.reset();
    this->refusals = 0;
}

void primary_suspicion::commit_sent(instant now) {
    if (this->commits_open == 0) {
        this->last_commit_progress = now;
    }
    ++this->commits_open;
}

void primary_suspicion::commit_answered(instant now) {
    if (this->commits_open > 0) {
        --this->commits_open;
    }
    this->last_commit_progress = now;
}

void primary_suspicion::refused(instant now) {
    if (!this->first_refusal) {
        this->first_refusal = now;
    }
    ++this->refusals;
}

void primary_suspicion::unanswered(instant now) {
    if (!this->first_silence) {
        this->first_silence = now;
    }
}

primary_verdict primary_suspicion::judge(instant now) const {
    if (this->refusals >= refusals_that_prove) {
        return primary_verdict::gone;
    }
    if (this->first_silence && now - this->last_answer > silence_limit) {
        return primary_verdict::silent;
    }
    if (this->commits_open > 0 && now - this->last_commit_progress > commit_limit) {
        return primary_verdict::cannot_commit;
    }
    return primary_verdict::healthy;
}

} // namespace persimmonpoint
