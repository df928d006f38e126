#include <persimmonpoint/core/recovery/planned_stop.hpp>

namespace persimmonpoint {

namespace {

/// The process exits this long before the grace period ends.
constexpr duration exit_margin = std::chrono::milliseconds(500);
/// This long before the exit the host stops accepting sessions, because the exit could
/// interrupt their statements.
constexpr duration accept_margin = std::chrono::milliseconds(1000);

} // namespace

stop_step planned_stop::decide(duration elapsed, stop_work const& work) const {
    duration const exit_time = this->grace - exit_margin;
    bool const idle =
        work.sessions == 0 && work.orders == 0 && work.open_transactions == 0;
    stop_step decision;
    decision.takes_sessions =
        elapsed < this->rotation || elapsed < exit_time - accept_margin;
    decision.dismisses_idle_sessions = elapsed >= this->rotation;
    decision.ends = elapsed >= exit_time || (idle && elapsed >= this->rotation);
    return decision;
}

} // namespace persimmonpoint
