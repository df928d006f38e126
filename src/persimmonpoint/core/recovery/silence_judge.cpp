#include <persimmonpoint/core/recovery/silence_judge.hpp>

namespace persimmonpoint {

void silence_judge::reset() {
    ++this->epoch;
    this->previously_idle = false;
}

silence_verdict silence_judge::answered(std::uint64_t probe, std::optional<bool> active) {
    if (probe != this->epoch) {
        return silence_verdict::heard;
    }
    bool const idle = active.has_value() && !*active;
    if (idle && this->previously_idle) {
        return silence_verdict::give_up;
    }
    this->previously_idle = idle;
    return silence_verdict::wait;
}

} // namespace persimmonpoint
