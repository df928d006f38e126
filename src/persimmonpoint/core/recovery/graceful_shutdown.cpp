#include <algorithm>
#include <persimmonpoint/core/recovery/graceful_shutdown.hpp>

namespace persimmonpoint {

namespace {

/// Requests that still run are answered this long before the grace period ends.
constexpr duration answer_margin = std::chrono::milliseconds(500);
/// This long before that the host takes no more work, which could not be finished.
constexpr duration accept_margin = std::chrono::milliseconds(1000);
/// The process exits this long before the grace period ends, whoever still waits.
constexpr duration exit_margin = std::chrono::milliseconds(100);

} // namespace

shutdown_decision
graceful_shutdown::decide(duration elapsed, outstanding_work const& work) const {
    duration const last_answers = this->grace - answer_margin;
    // An open transaction has half of the grace period to end.
    duration const last_work = std::min(
        last_answers,
        std::max({this->rotation, this->grace / 2, last_answers - accept_margin}));
    bool const in_use = work.sessions > 0 || work.open_transactions > 0;
    shutdown_decision decision;
    decision.accepts_work = elapsed < last_work;
    decision.closes_idle_sessions = elapsed >= this->rotation;
    decision.ends_requests = elapsed >= last_answers;
    bool const may_exit =
        decision.ends_requests || (!in_use && elapsed >= this->rotation);
    decision.exits =
        (may_exit && !work.owes_answers()) || elapsed >= this->grace - exit_margin;
    return decision;
}

} // namespace persimmonpoint
