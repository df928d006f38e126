#include <persimmonpoint/core/recovery/lost_response_detector.hpp>

namespace persimmonpoint {

void lost_response_detector::reset() {
    ++this->epoch;
    this->previously_idle = false;
}

lost_response_verdict
lost_response_detector::answered(std::uint64_t probe, std::optional<bool> active) {
    if (probe != this->epoch) {
        return lost_response_verdict::response_received;
    }
    bool const idle = active.has_value() && !*active;
    if (idle && this->previously_idle) {
        return lost_response_verdict::give_up;
    }
    this->previously_idle = idle;
    return lost_response_verdict::wait;
}

} // namespace persimmonpoint
