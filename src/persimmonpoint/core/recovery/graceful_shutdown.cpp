#include <persimmonpoint/core/recovery/graceful_shutdown.hpp>

namespace persimmonpoint {

namespace {

/// The process exits this long before the grace period ends.
constexpr duration exit_margin = std::chrono::milliseconds(500);
/// This long before the exit, but not before `rotation`, the host stops accepting
/// sessions, because the exit could interrupt their statements.
constexpr duration accept_margin = std::chrono::milliseconds(1000);

} // namespace

shutdown_decision
graceful_shutdown::decide(duration elapsed, outstanding_work const& work) const {
    duration const exit_time = this->grace - exit_margin;
    bool const idle =
        work.sessions == 0 && work.orders == 0 && work.open_transactions == 0;
    shutdown_decision decision;
    decision.accepts_sessions =
        elapsed < this->rotation || elapsed < exit_time - accept_margin;
    decision.closes_idle_sessions = elapsed >= this->rotation;
    decision.exits = elapsed >= exit_time || (idle && elapsed >= this->rotation);
    return decision;
}

} // namespace persimmonpoint
