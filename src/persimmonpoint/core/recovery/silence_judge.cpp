#include <persimmonpoint/core/recovery/silence_judge.hpp>

namespace persimmonpoint {

void silence_judge::reset() {
    ++this->round;
    this->was_idle = false;
}

silence_verdict
silence_judge::answered(std::uint64_t question, std::optional<bool> active) {
    if (question != this->round) {
        return silence_verdict::heard;
    }
    bool const idle = active.has_value() && !*active;
    if (idle && this->was_idle) {
        return silence_verdict::give_up;
    }
    this->was_idle = idle;
    return silence_verdict::wait;
}

} // namespace persimmonpoint
