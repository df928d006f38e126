#ifndef PERSIMMONPOINT_CORE_RECOVERY_GRACEFUL_SHUTDOWN_HPP_INCLUDED
#define PERSIMMONPOINT_CORE_RECOVERY_GRACEFUL_SHUTDOWN_HPP_INCLUDED

#include <cstddef>
#include <persimmonpoint/core/time.hpp>

namespace persimmonpoint {

/// Work that a host still has to finish for its callers and for other hosts.
struct outstanding_work {
    std::size_t sessions = 0; ///< Of callers connected to this host.
    /// Requests of its callers that have no answer yet, or one that is not sent yet.
    std::size_t unanswered_requests = 0;
    std::size_t orders = 0;            ///< Queued or running on its database connections.
    std::size_t open_transactions = 0; ///< Idle between two statements, for callers of
                                       ///< this or another host.
    std::size_t unsent_responses = 0;  ///< Connections with responses for other hosts.

    /// True if somebody waits for an answer of this host.
    bool owes_answers() const {
        return this->unanswered_requests > 0 || this->orders > 0 ||
               this->unsent_responses > 0;
    }
};

/// What a host does at one moment of its shutdown.
struct shutdown_decision {
    /// It takes sessions and statements. Otherwise statements are refused as not run, and
    /// with them the next statement of a transaction.
    bool accepts_work = true;
    bool closes_idle_sessions = false;
    bool ends_requests = false; ///< Requests that still run are answered now.
    bool exits = false;
};

/// Phases of a graceful shutdown.
///
/// The platform routes callers to a host until it notices that the host is not ready, so
/// the host accepts work at least until `rotation` has passed, and on until shortly
/// before the grace period ends. After `rotation` it closes idle sessions, and it exits
/// once no work is left. When the grace period is nearly over, it answers the requests
/// that still run, and exits once these answers are sent. Only a peer that doesn't take
/// its answer until the very end is left without one.
class graceful_shutdown {
public:
    /// @param grace Time from the signal until the platform kills the process.
    /// @param rotation Time from the signal until the platform routes no more callers
    /// here.
    graceful_shutdown(duration grace, duration rotation)
        : grace(grace), rotation(rotation) {}

    /// @param elapsed Time since the signal.
    shutdown_decision decide(duration elapsed, outstanding_work const& work) const;

    void set_grace(duration value) { this->grace = value; }

private:
    duration grace;
    duration rotation;
};

} // namespace persimmonpoint

#endif // PERSIMMONPOINT_CORE_RECOVERY_GRACEFUL_SHUTDOWN_HPP_INCLUDED
