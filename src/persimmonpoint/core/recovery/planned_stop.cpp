#include <persimmonpoint/core/recovery/planned_stop.hpp>

namespace persimmonpoint {

namespace {

/// Before the end of the grace, the process is gone.
constexpr duration end_margin = std::chrono::milliseconds(500);
/// Before its end it takes no more sessions: what they would ask could be cut.
constexpr duration last_sessions_margin = std::chrono::milliseconds(1000);

} // namespace

stop_step planned_stop::decide(duration passed, stop_work const& work) const {
    duration const end = this->grace - end_margin;
    bool const idle =
        work.sessions == 0 && work.orders == 0 && work.open_transactions == 0;
    stop_step step;
    step.takes_sessions = passed < this->rotation || passed < end - last_sessions_margin;
    step.dismisses_idle_sessions = passed >= this->rotation;
    step.ends = passed >= end || (idle && passed >= this->rotation);
    return step;
}

} // namespace persimmonpoint
