#include <persimmonpoint/core/recovery/primary_suspicion.hpp>

namespace persimmonpoint {

namespace {

/// A single refusal can be a restart of the listener; two in this order are not.
constexpr unsigned refusals_that_prove = 2;
constexpr duration silence_limit = std::chrono::milliseconds(400);
constexpr duration commit_limit = std::chrono::milliseconds(600);

} // namespace

primary_suspicion::primary_suspicion(instant now) : last_answer(now) {}

void primary_suspicion::answered(instant now) {
    this->last_answer = now;
    this->first_refusal.reset();
    this->first_silence.reset();
    this->refusals = 0;
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

primary_verdict
primary_suspicion::judge(instant now, commit_progress const& commits) const {
    if (this->refusals >= refusals_that_prove) {
        return primary_verdict::gone;
    }
    if (this->first_silence && now - this->last_answer > silence_limit) {
        return primary_verdict::silent;
    }
    return commits.stalled_for(now) > commit_limit ? primary_verdict::cannot_commit
                                                   : primary_verdict::healthy;
}

} // namespace persimmonpoint
